//! Events of an answer from a backend server, and the actions that they lead to.

use derive_more::Display;

use crate::ids::RequestId;

/// One event of an answer, as received from a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerEvent {
    /// Request that the event claims to answer.
    pub request: RequestId,
    /// Attempt that the event claims to answer, from 1.
    pub attempt: u32,
    /// Part of the answer that it carries.
    pub part: AnswerPart,
}

/// Part of an answer that one event carries.
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
    /// The backend server aborted the answer.
    Failed,
}

/// What to do with an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerAction {
    /// Forward a token to the caller.
    Forward {
        /// Position in the whole answer, one more than that of the token forwarded before.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// Tell the caller that the answer is whole.
    Finish {
        /// Number of forwarded tokens.
        tokens: u32,
    },
    /// Cancel the attempt and start the next one at the next expected token.
    Resume {
        /// Index of the first token that the next attempt has to send.
        from: u32,
    },
    /// Tell the caller that the answer failed.
    Fail {
        /// Why it failed.
        failure: AnswerFailure,
    },
}

/// Why an answer failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AnswerFailure {
    /// The stream was interrupted more often than it may be resumed.
    #[display("stream_broken")]
    Broken,
    /// The backend server reported fewer tokens than it had sent.
    #[display("answer_inconsistent")]
    Inconsistent,
}
