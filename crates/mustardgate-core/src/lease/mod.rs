//! The lease that makes one node the leader of a failure domain.
//!
//! A lease makes two concurrent leaders unlikely, but safety does not depend on it: engines are protected by fencing
//! numbers, or by intents whose validity follows from log order. See `docs/design/leader.md`.

mod tracker;

pub use self::tracker::{LeaseSettings, LeaseTracker};
