//! Decision logic of mustardgate: configuration, leases, memory, idempotency, routing and placement.
//!
//! Nothing in this crate opens a socket or a file. Inputs are plain values, the time is passed in as a
//! [`std::time::Instant`] read from the runtime's clock, and randomness comes from a seeded generator of the caller,
//! so that every decision can be reproduced from a seed. The design is explained in `docs/DESIGN.md`.

pub mod admission;
pub mod buffers;
pub mod clock;
pub mod config;
pub mod drain;
pub mod idempotency;
pub mod ids;
pub mod leader;
pub mod lease;
pub mod ledger;
pub mod log;
pub mod membership;
pub mod placement;
pub mod ports;
pub mod relay;
pub mod reports;
pub mod resources;
pub mod retry;
pub mod routing;
pub mod streams;
pub mod validation;
pub mod verdict;
