//! The way to the runners: checks of the own link, and requests that are passed on through another node while it is cut.
//!
//! A request that is passed on stays the first node's: it chooses the runner, counts the attempt and keeps the verdict.
//! The other node only sends it over its own connection. See `docs/design/cut-off-nodes.md`.

mod check;
mod forward;
mod headers;
mod helpers;
mod lost;
mod process;

pub use self::{
    check::{LinkTask, is_link_sound},
    forward::{answer_forwarded, is_forwarded},
    headers::{ForwardRefusal, ForwardRequest, ForwardVerdict},
    helpers::{HelperBook, HelperCell, HelperUse},
    lost::{lost_answer, runner_reached},
    process::{RunnerTarget, connect_runner_process},
};
