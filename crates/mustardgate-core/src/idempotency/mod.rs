//! Keyed requests that run at most once.
