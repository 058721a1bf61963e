//! Connections to runners, whose failures say whether a request may have run.

mod connection;
mod pool;

pub use self::{
    connection::{RunnerConnection, SendFailure, connect_runner, tune_socket},
    pool::{ConnectionPool, PoolSettings},
};
