//! Which events of a runner's answer belong to a caller's stream, and whether the stream is complete when the answer ends.
//!
//! This is the one place that decides it. See `docs/design/whole-answers.md`.

use smol_str::SmolStr;

use super::{
    event_numbering::{EventNumbering, NumberingEvidence},
    events::StreamEvent,
};

/// Whether an event belongs to the caller's stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventVerdict {
    /// It is the next event.
    PassOn,
    /// It holds nothing that the caller lacks: an event that it has already, or a comment.
    Skip,
    /// It cannot follow the events that the caller has, so the answer is not the rest of the stream.
    Foreign,
}

/// Whether a stream is complete when the body of an answer ends as its framing requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndVerdict {
    /// It is.
    Complete,
    /// It was broken off, for this reason.
    Broken(&'static str),
}

/// How far a stream has come, over the answers of one runner or several in turn.
#[derive(Clone, Debug, Default)]
pub struct StreamProgress {
    /// Identifier of the last event that the caller has.
    last: Option<SmolStr>,
    /// Whether the caller had events before the current answer began.
    is_continued: bool,
    /// Whether an event of the current answer was passed on.
    has_event: bool,
    /// Whether an earlier answer broke off within what follows the last event.
    has_more: bool,
    /// What is known of the identifiers of the service's events, apart from `seen`.
    known: NumberingEvidence,
    /// What the answers of this stream say of them and was not taken yet.
    seen: NumberingEvidence,
    /// Identifier behind which the rest of an earlier runner began with a gap.
    refused_after: Option<u64>,
}

impl StreamProgress {
    /// Creates the progress of a stream of which the caller has the events up to `last`, if it takes one up; `known` is what
    /// is known of the identifiers of the service's events.
    pub fn new(last: Option<SmolStr>, known: NumberingEvidence) -> Self {
        Self {
            is_continued: last.is_some(),
            last,
            known,
            ..Self::default()
        }
    }

    /// Records that another runner's answer follows; `has_more` says that the answer before it broke off within an event, or
    /// before all the bytes that it had announced.
    pub fn begin_answer(&mut self, known: NumberingEvidence, has_more: bool) {
        self.is_continued = self.last.is_some();
        self.has_event = false;
        self.has_more |= has_more;
        self.known = known;
    }

    /// Returns the identifier of the last event that the caller has.
    pub fn last(&self) -> Option<&SmolStr> {
        self.last.as_ref()
    }

    /// Returns whether the current answer goes on with the stream and has brought no event so far.
    pub fn is_empty_rest(&self) -> bool {
        self.is_continued && !self.has_event
    }

    /// Returns what is known of how identifiers rise in streams of the service.
    pub fn numbering(&self) -> EventNumbering {
        self.known.merged_with(self.seen).numbering()
    }

    /// Returns whether this stream shows a gap between identifiers of which the service was not known to have any.
    pub fn has_new_gap(&self) -> bool {
        let is_new = self.known.numbering() != EventNumbering::Gapped;
        is_new && self.seen.numbering() == EventNumbering::Gapped
    }

    /// Returns what the answers since the last call say of the identifiers of the service's events.
    pub fn take_evidence(&mut self) -> NumberingEvidence {
        let seen = std::mem::take(&mut self.seen);
        self.known = self.known.merged_with(seen);
        seen
    }

    /// Returns whether an event belongs to the stream, and takes it over if it is the next one.
    pub fn accept(&mut self, event: &StreamEvent) -> EventVerdict {
        let Some(id) = &event.id else {
            return self.accept_unnumbered(event);
        };
        let number = |text: &str| text.parse::<u64>().ok();
        if let (Some(last), Some(number)) = (self.last.as_deref().and_then(number), number(id)) {
            let is_first_of_rest = self.is_empty_rest();
            if number <= last {
                return if is_first_of_rest {
                    EventVerdict::Foreign
                } else {
                    EventVerdict::Skip
                };
            }
            if number - last > 1 && !self.allows_gap_after(last) {
                return EventVerdict::Foreign;
            }
            if !is_first_of_rest {
                self.seen.record_step(number - last);
            }
        }
        self.last = Some(id.into());
        self.has_event = true;
        self.has_more = false;
        EventVerdict::PassOn
    }

    /// Returns whether an event may follow that is not the next one by number. A rest may leave numbers out, unless the service
    /// is known to number its events one by one; two runners that both leave them out prove that it does not.
    fn allows_gap_after(&mut self, last: u64) -> bool {
        if !self.is_continued || self.numbering() != EventNumbering::Consecutive {
            return true;
        }
        let is_confirmed = self.refused_after == Some(last);
        if is_confirmed {
            self.seen.record_gap();
        }
        self.refused_after = Some(last);
        is_confirmed
    }

    /// Returns whether an event without an identifier belongs to the stream. Only an answer that began the stream may hold what
    /// has no place in it.
    fn accept_unnumbered(&mut self, event: &StreamEvent) -> EventVerdict {
        match (self.is_continued, event.is_comment()) {
            (true, true) => EventVerdict::Skip,
            (true, false) => EventVerdict::Foreign,
            (false, is_comment) => {
                self.has_event |= !is_comment;
                EventVerdict::PassOn
            }
        }
    }

    /// Returns whether the stream is complete; `has_remainder` says that the answer ended inside an event, `is_framed` that it
    /// had a length or chunks, so that its end is known to be one.
    ///
    /// An answer that goes on with a stream and has no event says that none is left. It is refused if an earlier answer had
    /// begun to write more.
    pub fn end(&self, has_remainder: bool, is_framed: bool) -> EndVerdict {
        if has_remainder {
            return EndVerdict::Broken("unfinished_event");
        }
        if !self.has_event && (self.has_more || !is_framed) {
            return EndVerdict::Broken("no_event");
        }
        EndVerdict::Complete
    }
}
