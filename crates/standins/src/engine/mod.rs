//! Stand-in for a model engine.

mod memory;

pub use self::memory::{EngineSettings, EngineState, MemoryOvercommit};
