//! Forwards the tokens of one request: each once, in order, and none of another request or of an abandoned attempt.

use super::event::{AnswerAction, AnswerEvent, AnswerFailure, AnswerPart};
use crate::ids::RequestId;

/// Counts of the events that an assembler dropped, and of gaps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounters {
    /// Events of other requests.
    pub crossed: u64,
    /// Events of attempts that had been abandoned, and events that came while no attempt was in progress.
    pub late: u64,
    /// Tokens that had been forwarded before.
    pub duplicates: u64,
    /// Gaps in the sequence of tokens.
    pub gaps: u64,
}

/// Assembles the answer of one request over all its attempts.
///
/// Between [`AnswerAction::Resume`] and [`AnswerAssembler::begin_attempt`] every event is dropped. No action follows
/// [`AnswerAction::Finish`] or [`AnswerAction::Fail`].
#[derive(Clone, Debug)]
pub struct AnswerAssembler {
    request: RequestId,
    phase: AssemblyPhase,
    last_attempt: u32,
    next_index: u32,
    resumes_left: u32,
    counters: AnswerCounters,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AssemblyPhase {
    /// Events of the last attempt are accepted.
    Receiving,
    /// The next attempt has to begin.
    Interrupted,
    /// The answer is whole or has failed.
    Ended,
}

impl AnswerAssembler {
    /// Creates the assembler of a request whose stream may be resumed `max_resumes` times, which must be 0 when the
    /// request must not run twice.
    pub fn new(request: RequestId, max_resumes: u32) -> Self {
        Self {
            request,
            phase: AssemblyPhase::Interrupted,
            last_attempt: 0,
            next_index: 0,
            resumes_left: max_resumes,
            counters: AnswerCounters::default(),
        }
    }

    /// Begins the next attempt and returns its number; everything that older ones still send is dropped.
    pub fn begin_attempt(&mut self) -> u32 {
        self.last_attempt += 1;
        if self.phase == AssemblyPhase::Interrupted {
            self.phase = AssemblyPhase::Receiving;
        }
        self.last_attempt
    }

    /// Returns the index of the next expected token, which is the number of forwarded tokens.
    pub fn next_index(&self) -> u32 {
        self.next_index
    }

    /// Returns whether the answer is whole or has failed.
    pub fn is_ended(&self) -> bool {
        self.phase == AssemblyPhase::Ended
    }

    /// Returns the counts of dropped events and gaps.
    pub fn counters(&self) -> AnswerCounters {
        self.counters
    }

    /// Processes one event and returns the action that it leads to, if any.
    pub fn accept(&mut self, event: AnswerEvent) -> Option<AnswerAction> {
        if event.request != self.request {
            self.counters.crossed += 1;
            return None;
        }
        if event.attempt != self.last_attempt || self.phase != AssemblyPhase::Receiving {
            self.counters.late += 1;
            return None;
        }
        match event.part {
            AnswerPart::Token { index, text } => self.accept_token(index, text),
            AnswerPart::Done { tokens } => Some(self.accept_done(tokens)),
            AnswerPart::Failed => Some(self.interrupt()),
        }
    }

    /// Processes the end of an attempt's connection, which has no effect if the attempt had already ended.
    pub fn connection_closed(&mut self, attempt: u32) -> Option<AnswerAction> {
        if attempt != self.last_attempt || self.phase != AssemblyPhase::Receiving {
            return None;
        }
        Some(self.interrupt())
    }

    fn accept_token(&mut self, index: u32, text: String) -> Option<AnswerAction> {
        if index < self.next_index {
            self.counters.duplicates += 1;
            return None;
        }
        if index > self.next_index {
            self.counters.gaps += 1;
            return Some(self.interrupt());
        }
        self.next_index += 1;
        Some(AnswerAction::Forward { index, text })
    }

    fn accept_done(&mut self, tokens: u32) -> AnswerAction {
        if tokens > self.next_index {
            self.counters.gaps += 1;
            return self.interrupt();
        }
        self.phase = AssemblyPhase::Ended;
        if tokens < self.next_index {
            let failure = AnswerFailure::Inconsistent;
            return AnswerAction::Fail { failure };
        }
        AnswerAction::Finish { tokens }
    }

    fn interrupt(&mut self) -> AnswerAction {
        let Some(resumes_left) = self.resumes_left.checked_sub(1) else {
            self.phase = AssemblyPhase::Ended;
            let failure = AnswerFailure::Broken;
            return AnswerAction::Fail { failure };
        };
        self.resumes_left = resumes_left;
        self.phase = AssemblyPhase::Interrupted;
        AnswerAction::Resume { from: self.next_index }
    }
}
