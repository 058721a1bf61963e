//! Callers' requests: received whole, sent to runners, answered with the runner's bytes or an honest failure.

mod answer;
mod attempt;
mod exchange;
mod headers;
mod listener;
mod stream;
mod whole;

pub use self::{
    answer::{BrokenAnswer, RelayBody},
    exchange::answer_caller,
    listener::{CallerListener, serve_callers},
};
