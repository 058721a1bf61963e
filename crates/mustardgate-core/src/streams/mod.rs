//! Answers assembled whole, matched by request and attempt.
