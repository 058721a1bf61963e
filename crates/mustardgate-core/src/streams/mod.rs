//! Assembly of streamed answers, matched by request and attempt.
//!
//! Tokens may come late, twice, with gaps, or for another request. [`AnswerAssembler`] forwards each token of its own
//! request once and in order, and finishes an answer only when every token was forwarded. [`AttemptTracker`] keeps the
//! verdict on what was sent. See `docs/design/whole-answers.md`.

mod assembler;
mod attempt;
mod event;

pub use self::{
    assembler::{AnswerAssembler, AnswerCounters},
    attempt::AttemptTracker,
    event::{AnswerAction, AnswerEvent, AnswerFailure, AnswerPart},
};
