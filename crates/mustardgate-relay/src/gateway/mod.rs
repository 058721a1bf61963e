//! Requests of callers: received completely, sent to runners, and answered with the runner's bytes or with a failure
//! that states whether the request may have run.

mod answer;
mod attempt;
mod buffered;
mod crash;
mod digests;
mod exchange;
mod failure;
mod headers;
mod listener;
mod origin;
mod process;
mod stream;

pub use self::{
    answer::{BrokenAnswer, RelayBody},
    exchange::answer_caller,
    listener::{CallerListener, serve_callers},
};
