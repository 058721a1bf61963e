//! What nodes know together of the load of runners that state their pace. See `docs/design/shared-load.md`.

mod board;
mod estimate;
mod spread;
mod statement;

pub use self::{
    board::LoadBoard,
    estimate::{RunnerLoadView, SharedLoadEstimate},
    spread::LoadSpread,
    statement::{LoadStatement, RunnerTag, decode_loads, encode_loads},
};
