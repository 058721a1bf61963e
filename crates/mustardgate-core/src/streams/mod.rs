//! Answers assembled whole, matched by request and attempt.
//!
//! Tokens may come late, twice, with gaps, or for another request. [`AnswerAssembler`] passes each token of its own
//! request on once and in order, and ends an answer only when every token was passed. [`AttemptTracker`] keeps the
//! verdict on what was sent. See `docs/design/whole-answers.md`.

mod assembler;
mod attempt;
mod event;

pub use self::{
    assembler::{AnswerAssembler, AnswerCounters},
    attempt::AttemptTracker,
    event::{AnswerAction, AnswerEvent, AnswerFailure, AnswerPart},
};
