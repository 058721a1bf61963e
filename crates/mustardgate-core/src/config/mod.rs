//! Configuration replicated from the platform's log by replay.
