//! Stand-in for a model engine: continuous batching, weights in memory, a prefix cache, and faults, behind HTTP.

mod batch;
mod control;
mod generate;
mod memory;
mod options;
mod prefix;
mod server;
mod tokens;

pub use self::{
    batch::{BatchOptions, TokenBatch},
    memory::{EngineMemory, MemoryOptions},
    options::{EngineFaults, EngineOptions, EngineStats, FAULTS_PATH, RunCount, STATS_PATH},
    prefix::{PrefixCache, PrefixOptions},
    server::EngineServer,
    tokens::{answer_seed, token_text, whole_answer},
};
