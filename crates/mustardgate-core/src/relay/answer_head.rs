//! What follows from the head of a runner's answer: whether its body is passed on, and as what.
//!
//! This is the one place that decides it, for the first answer to a request and for one that goes on with a stream whose
//! caller has events already. See `docs/design/whole-answers.md`.

/// Whether an answer belongs to the request, and what it says about its execution.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerKind {
    /// It is the answer to this request.
    Outcome,
    /// The runner reports that it did not run this request.
    NotRun,
    /// Another runner than the addressed one answered, or the runner lacks the model; the request did not run.
    Misdirected,
    /// It names another request, or nothing binds it to this one.
    #[default]
    OtherRequest,
}

/// How much of an answer the caller has when a runner's answer begins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerStage {
    /// Nothing, and the answer is no stream.
    #[default]
    Plain,
    /// Nothing, and the answer is a stream.
    Stream,
    /// Events of an earlier answer to the same caller, who takes the stream up in a new request.
    Return,
    /// The head and events of this very answer, which another runner began.
    Continuation,
}

/// The head of a runner's answer, as far as the decision depends on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeadFacts {
    /// Whether it belongs to the request.
    pub kind: AnswerKind,
    /// Status.
    pub status: u16,
    /// Whether it carries the runner's seal.
    pub is_sealed: bool,
    /// Whether its body has a content encoding.
    pub is_encoded: bool,
    /// Whether its body is an event stream.
    pub is_event_stream: bool,
}

/// What follows from the head of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadVerdict {
    /// Its body is a stream, which is passed on event by event.
    Stream,
    /// The answer is passed on once it was received as a whole.
    Whole,
    /// The request did not run; nothing is passed on.
    NotRun,
    /// The request may have run; nothing is passed on, for this reason.
    Uncertain(&'static str),
}

/// Returns whether an answer may have a status.
///
/// A server in trouble may write any number. One outside 200 to 599 is no answer, and what else its head says is not to be
/// believed.
pub fn is_final_status(status: u16) -> bool {
    (200..600).contains(&status)
}

impl HeadFacts {
    /// Returns what follows from the head at a stage of the caller's answer.
    pub fn verdict(&self, stage: AnswerStage) -> HeadVerdict {
        if self.kind == AnswerKind::OtherRequest {
            return HeadVerdict::Uncertain("other_request");
        }
        if (100..200).contains(&self.status) {
            return HeadVerdict::Uncertain("informational");
        }
        if !is_final_status(self.status) {
            return HeadVerdict::Uncertain("invalid_status");
        }
        if self.kind != AnswerKind::Outcome {
            return HeadVerdict::NotRun;
        }
        let is_success = (200..300).contains(&self.status);
        if is_success && (!self.is_sealed || self.is_encoded) {
            return HeadVerdict::Uncertain("unsealed");
        }
        let is_stream = self.status == 200 && self.is_event_stream;
        match stage {
            AnswerStage::Stream | AnswerStage::Return | AnswerStage::Continuation if is_stream => HeadVerdict::Stream,
            AnswerStage::Return | AnswerStage::Continuation if is_success => HeadVerdict::Uncertain("no_stream"),
            AnswerStage::Continuation => HeadVerdict::Uncertain("resume_refused"),
            AnswerStage::Plain | AnswerStage::Stream | AnswerStage::Return => HeadVerdict::Whole,
        }
    }
}
