//! Choice of the runner for an attempt.
