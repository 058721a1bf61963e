//! Times between the events of streams, measured for the admission of others.

use mustardgate_core::{clock, relay::EventTimer};

use super::StreamRelay;

/// Times the events of a stream as long as one runner sends them.
#[derive(Debug, Default)]
pub(super) struct StreamTiming {
    timer: Option<EventTimer>,
    /// Whether events came from another runner before, so that the number of events isn't that of the whole stream.
    is_part: bool,
}

impl StreamTiming {
    /// Starts anew with the events of another runner.
    pub(super) fn restart(&mut self) {
        *self = Self {
            timer: None,
            is_part: true,
        };
    }
}

impl StreamRelay {
    /// Records that events of the stream arrived together.
    pub(super) fn time_events(&mut self, events: u32) {
        let Some(open) = self.open.as_ref().filter(|open| events > 0 && open.basis.is_some()) else {
            return;
        };
        let now = clock::now();
        let Some(timer) = &mut self.timing.timer else {
            self.timing.timer = Some(EventTimer::start(now, events));
            return;
        };
        let view = open.ticket.cell().shared_load.view(now);
        if let (Some(gaps), Some(view)) = (timer.record(now, events), view) {
            let received = &self.received;
            let pace = view.pace.unwrap_or(1.0);
            received
                .context
                .admission
                .record_gaps(&received.work_key(), view.running, pace, gaps);
        }
    }

    /// Records the end of a stream of which this node passed on all events since its beginning.
    pub(super) fn record_end(&self, is_complete: bool) {
        let is_whole = !self.timing.is_part && !self.received.request.takes_up_stream();
        let basis = self.open.as_ref().and_then(|open| open.basis);
        if let (Some(timer), Some(basis)) = (self.timing.timer.filter(|_| is_whole), basis) {
            let admission = &self.received.context.admission;
            admission.record_end(&self.received.work_key(), &basis.work, timer.events(), is_complete);
        }
    }
}
