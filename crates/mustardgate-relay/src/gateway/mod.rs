//! Requests of callers: received completely, sent to runners, and answered with the runner's bytes or with a failure
//! that states whether the request may have run.

mod answer;
mod attempt;
mod buffered;
mod digests;
mod exchange;
mod headers;
mod listener;
mod stream;

pub use self::{
    answer::{BrokenAnswer, RelayBody},
    exchange::answer_caller,
    listener::{CallerListener, serve_callers},
};
