//! Log lines about the course of a stream.

use metrics::counter;
use mustardgate::events;
use mustardgate_core::relay::{SoftwareVersion, StreamEvent};
use slog::o;
use smol_str::SmolStr;

use super::{super::attempt::OpenAnswer, StreamRelay};

impl StreamRelay {
    /// Counts and logs that another runner goes on with the stream.
    pub(super) fn log_resumed(&self, open: &OpenAnswer, version_before: &SoftwareVersion) {
        counter!("mustardgate_streams_resumed_total").increment(1);
        let values = o!(
            "version" => open.ticket.cell().listed().version.to_string(),
            "version_before" => version_before.to_string(),
            "last_event" => self.progress.last().map_or("none", SmolStr::as_str).to_owned(),
            "backend" => open.ticket.cell().listed().id.to_string(),
        );
        let log = &self.received.context.log;
        log.write(events::RELAY_STREAM_RESUMED, &self.received.request.id, values);
    }

    /// Logs an event that cannot follow those that the caller has.
    pub(super) fn log_refused(&self, event: &StreamEvent) {
        let values = o!(
            "numbering" => self.progress.numbering().to_string(),
            "last_event" => self.progress.last().map_or("none", SmolStr::as_str).to_owned(),
            "event_id" => event.id.clone().unwrap_or_else(|| "none".to_owned()),
            "backend" => self.open.as_ref().map_or("none".to_owned(), |open| open.ticket.cell().listed().id.to_string()),
        );
        let log = &self.received.context.log;
        log.write(events::RELAY_STREAM_EVENT_REFUSED, &self.received.request.id, values);
    }

    /// Counts and logs that the stream ends as broken.
    pub(super) fn log_broken(&mut self, reason: &'static str) {
        self.trace.end();
        counter!("mustardgate_streams_broken_total").increment(1);
        let values = o!(
            "reason" => reason,
            "last_event" => self.progress.last().map_or("none", SmolStr::as_str).to_owned(),
            "route" => self.received.route.name.to_string(),
        );
        let log = &self.received.context.log;
        log.write(events::RELAY_STREAM_BROKEN, &self.received.request.id, values);
    }
}
