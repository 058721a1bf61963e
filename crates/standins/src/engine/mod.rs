//! State of the stand-in for a model engine, without I/O.

mod memory;

pub use self::memory::{EngineSettings, EngineState, MemoryOvercommit};
