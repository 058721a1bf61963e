//! Connections to runners; each failure states whether the request may have run.

mod connection;
mod last_read;
mod pool;
mod socket;
mod target;

pub use self::{
    connection::{LONGEST_SILENCE, RunnerConnection, SendFailure, connect_runner, tune_socket},
    last_read::{LAST_READ_TIME, LastRead},
    pool::{ConnectionPool, PoolSettings, TakenConnection},
    socket::MAX_BYTES_BEFORE_HEAD,
    target::{PeerKind, names_target, no_runner_answer},
};
