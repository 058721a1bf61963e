//! What a backend server sends of an answer, and what is to be done with it.

use derive_more::Display;

use crate::ids::RequestId;

/// One event of an answer, as it came from a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerEvent {
    /// Request that the event says it answers.
    pub request: RequestId,
    /// Attempt that the event says it answers, from 1.
    pub attempt: u32,
    /// What it brings.
    pub part: AnswerPart,
}

/// What one event brings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerPart {
    /// One token.
    Token {
        /// Position in the whole answer, from 0.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// The end of the answer.
    Done {
        /// Number of tokens in the whole answer.
        tokens: u32,
    },
    /// The backend server broke the answer off.
    Failed,
}

/// What is to be done with an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerAction {
    /// Pass a token on to the caller.
    Pass {
        /// Position in the whole answer; each action has the position after that of the one before.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// Tell the caller that the answer is whole.
    Finish {
        /// Number of tokens passed on.
        tokens: u32,
    },
    /// Cancel the attempt and start the next one at the token wanted.
    Resume {
        /// Index of the first token that the next attempt has to send.
        from: u32,
    },
    /// Tell the caller that the answer broke off.
    Fail {
        /// Why.
        failure: AnswerFailure,
    },
}

/// Why an answer broke off.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AnswerFailure {
    /// The stream broke more often than it may be resumed.
    #[display("stream_broken")]
    Broken,
    /// The backend server counted fewer tokens than it had sent.
    #[display("answer_inconsistent")]
    Inconsistent,
}
