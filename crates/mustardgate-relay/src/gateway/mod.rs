//! Requests of callers: received completely, sent to runners, and answered with the runner's bytes or with a failure
//! that states whether the request may have run.

mod admission;
mod answer;
mod attempt;
mod body;
mod buffered;
mod connection;
mod crash;
mod digests;
mod exchange;
mod failure;
mod grace;
mod headers;
mod identity;
mod linger;
mod listener;
mod misdirected;
mod origin;
mod oversized;
mod path;
mod places;
mod quota;
mod retries;
mod stream;
mod trace;

pub(crate) use self::{
    answer::full_body,
    body::discard_body,
    buffered::{closes_connection, keep_alive_timeout},
    headers::{is_framed, remove_hop_by_hop_headers},
    identity::take_passed_credentials,
    path::runner_time,
    places::REJECTION_PAUSE,
};
pub use self::{
    answer::{BrokenAnswer, RelayBody},
    exchange::answer_caller,
    listener::{CallerListener, serve_callers},
};
