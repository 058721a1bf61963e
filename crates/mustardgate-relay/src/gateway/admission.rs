//! Admission of requests: a runner is chosen at which a request can be answered in time, or the request is refused.

use std::time::{Duration, Instant};

use metrics::counter;
use mustardgate::events;
use mustardgate_core::{
    clock,
    relay::{
        AdmissionQuery, AdmissionVerdict, QueueEntry, RefusalCause, RequestNeed, RequestWork, RoomForecast,
        UrgencyRank, request_priority,
    },
};
use rand::Rng;
use slog::o;

use super::attempt::ReceivedRequest;
use crate::{
    context::WorkKey,
    fleet::{CapacityShortage, ForecastQuery, RunnerPick, SelectionError, SelectionQuery},
};

/// Interval between admission checks of a waiting request.
const ADMISSION_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Part of the time that a request can spare for which it may wait after a refusal would have come too late.
const SPARE_PART: u32 = 2;
/// Time that is left to send a refusal in time.
const REFUSAL_MARGIN: Duration = Duration::from_millis(2);
/// Factor by which room may become free earlier than forecast.
const ROOM_ERROR_FACTOR: u32 = 2;

/// What a look for a runner that takes the request gave.
enum AdmissionLook {
    Admitted(RunnerPick),
    /// The request is refused.
    Refused(SelectionError),
    /// A runner of which only the expected wait is known may take it a little later.
    Poll,
    /// Runners whose load is known may take it by the given time.
    Await(SelectionError, Instant),
}

impl ReceivedRequest {
    /// Chooses a runner. On a streaming route the runner must be able to start answering in time, and the request waits
    /// briefly for such a runner. Where the load of runners is known, it must be able to end the answer in time, and the
    /// request waits in the order of the service's queue.
    pub(super) async fn select(&self, query: &SelectionQuery<'_>) -> Result<RunnerPick, SelectionError> {
        loop {
            let ahead = self
                .context
                .fleet
                .waiting
                .ahead_of_new(&self.service, &self.queue_entry());
            match self.look(query, ahead, false) {
                AdmissionLook::Admitted(pick) if pick.basis.is_none() || ahead == 0 => return Ok(pick),
                // Those that come before may take the capacity first.
                AdmissionLook::Admitted(_) => return self.await_turn(query, overloaded(), self.refusal_due()).await,
                AdmissionLook::Refused(error) => return Err(error),
                AdmissionLook::Poll => tokio::time::sleep(ADMISSION_POLL_INTERVAL).await,
                AdmissionLook::Await(error, until) => return self.await_turn(query, error, until).await,
            }
        }
    }

    /// Looks for a runner that takes the request now, behind so many others that wait.
    fn look(&self, query: &SelectionQuery<'_>, ahead: usize, is_queued: bool) -> AdmissionLook {
        let now = clock::now();
        let mut forecast = self.forecast_query(now);
        forecast.need.is_queued = is_queued;
        let picked = self.context.fleet.select(
            now,
            &SelectionQuery {
                forecast: self.context.settings.paced.forecast_admission.then_some(&forecast),
                ..*query
            },
        );
        match picked {
            Ok(pick) if pick.basis.is_some() || self.admits_by_wait(now, &pick) => AdmissionLook::Admitted(pick),
            Ok(_) if self.is_wait_over(now) => AdmissionLook::Refused(overloaded()),
            Ok(_) => AdmissionLook::Poll,
            Err(mut error) => {
                let Some(shortage) = &mut error.shortage else {
                    return AdmissionLook::Refused(error);
                };
                if let Some(room) = &mut shortage.room {
                    room.first_room += room.interval * ahead as u32;
                }
                match self.wait_left(&forecast, shortage) {
                    Some(left) => AdmissionLook::Await(error, now + left),
                    None => AdmissionLook::Refused(error),
                }
            }
        }
    }

    /// Waits in the queue of the service; without capacity until then the request is refused for the given reason.
    async fn await_turn(
        &self,
        query: &SelectionQuery<'_>,
        mut refusal: SelectionError,
        mut until: Instant,
    ) -> Result<RunnerPick, SelectionError> {
        let waiting = &self.context.fleet.waiting;
        let began_at = clock::now();
        let Some(turn) = waiting.join(&self.service, self.queue_entry()) else {
            return self.end_wait(began_at, "queue_full", Err(refusal));
        };
        if refusal.shortage.is_none() {
            waiting.wake(&self.service);
        }
        loop {
            let is_called = tokio::time::timeout_at(until.into(), turn.called()).await.is_ok();
            if turn.is_displaced() {
                return self.end_wait(began_at, "displaced", Err(refusal));
            }
            match self.look(query, turn.ahead(), is_called) {
                AdmissionLook::Admitted(pick) => {
                    turn.admit();
                    return self.end_wait(began_at, "admitted", Ok(pick));
                }
                // Once a refusal would come too late, the request waits on for what room there may be.
                AdmissionLook::Refused(error) if is_called && is_busy(&error) && self.refusal_due() <= clock::now() => {
                    refusal = error;
                }
                AdmissionLook::Refused(error) => return self.end_wait(began_at, "no_room", Err(error)),
                // A request that waits longer than a refusal may take has to be sent while it can still end in time.
                AdmissionLook::Await(error, next_until) if self.refusal_due() > clock::now() => {
                    (refusal, until) = (error, next_until);
                }
                AdmissionLook::Await(error, _) => refusal = error,
                AdmissionLook::Poll => {}
            }
            if !is_called {
                return self.end_wait(began_at, "no_capacity", Err(refusal));
            }
            turn.pass_on();
        }
    }

    /// Counts a wait that has ended, and returns its result.
    fn end_wait(
        &self,
        began_at: Instant,
        outcome: &'static str,
        result: Result<RunnerPick, SelectionError>,
    ) -> Result<RunnerPick, SelectionError> {
        counter!("mustardgate_admission_waits_total", "outcome" => outcome).increment(1);
        if self.is_sampled {
            let values = o!(
                "outcome" => outcome,
                "waiting" => self.context.fleet.waiting.len(&self.service),
                "waited_ms" => clock::now().saturating_duration_since(began_at).as_millis() as u64,
            );
            let log = &self.context.log;
            log.write(events::RELAY_REQUEST_WAITED, &self.request.id, values);
        }
        result
    }

    /// Returns when a refusal has to be sent.
    fn refusal_due(&self) -> Instant {
        let now = clock::now();
        now + self.need(now).refusal_left().saturating_sub(REFUSAL_MARGIN)
    }

    fn queue_entry(&self) -> QueueEntry {
        QueueEntry {
            urgency: self.urgency(),
            tenant: self
                .tenant
                .as_ref()
                .map(|tenant| tenant.name.clone())
                .unwrap_or_default(),
            model: self.request.model.clone(),
            in_time_until: self.request.received_at + self.route.target_latency,
            deadline: self.expires_at,
        }
    }

    /// Returns what forecasts at runners are based on.
    fn forecast_query(&self, now: Instant) -> ForecastQuery {
        let context = &self.context;
        let active = context.routes.current();
        let engine = active
            .as_ref()
            .and_then(|active| active.config.services.get(&self.service)?.engine.as_ref());
        let measured = context.admission.measured(&self.work_key());
        let nodes = context.directory.known_node_count().nodes;
        let others_per_s = measured.sent_per_s(now) * f64::from(nodes.saturating_sub(1));
        let runners = if others_per_s > 0.0 {
            context.fleet.of_service(&self.service).len()
        } else {
            1
        };
        ForecastQuery {
            need: self.need(now),
            others_per_s: others_per_s / runners.max(1) as f64,
            measured,
            slots: engine.as_ref().map_or(0, |engine| engine.slots),
            kv_tokens: engine.map_or(0, |engine| engine.kv_capacity_tokens),
            has_parts: !self.request.parts.is_empty(),
            is_stream: self.route.is_stream,
            nodes,
        }
    }

    fn need(&self, now: Instant) -> RequestNeed {
        let usage = self.request.usage.unwrap_or_default();
        let in_parts: u64 = self.request.parts.iter().map(|part| part.tokens).sum();
        let is_begun = self.version.is_some();
        RequestNeed {
            urgency: self.urgency(),
            most_urgent: self.most_urgent,
            elapsed: now.saturating_duration_since(self.request.received_at),
            time_left: self.expires_at.saturating_duration_since(now),
            longest_pause: self.route.longest_pause,
            work: RequestWork {
                prompt_tokens: usage.prompt.max(in_parts) as f64,
                // How much of a stream that has begun is left is not known.
                output_tokens: if is_begun { 0.0 } else { usage.output as f64 },
            },
            is_begun,
            is_queued: false,
        }
    }

    /// Returns the kind of work by which its measurements are kept.
    pub(super) fn work_key(&self) -> WorkKey {
        (self.service.clone(), self.route.is_stream)
    }

    fn urgency(&self) -> UrgencyRank {
        UrgencyRank {
            priority: request_priority(&self.route, self.tenant.as_deref()),
            target: self.route.target_latency,
        }
    }

    /// Returns whether the request may be sent to a runner of which only the expected wait is known.
    fn admits_by_wait(&self, now: Instant, pick: &RunnerPick) -> bool {
        let query = self.admission_query(now, pick.candidate.wait);
        !self.route.is_stream || self.context.gate.admits(&query)
    }

    fn is_wait_over(&self, now: Instant) -> bool {
        let query = self.admission_query(now, Duration::ZERO);
        query.elapsed + ADMISSION_POLL_INTERVAL > self.context.gate.max_queue_time(&query)
    }

    fn admission_query(&self, now: Instant, wait: Duration) -> AdmissionQuery {
        AdmissionQuery {
            wait,
            elapsed: now.saturating_duration_since(self.request.received_at),
            target: self.route.target_latency,
            urgent_target: self.urgent_target,
            is_begun: self.version.is_some(),
        }
    }

    /// Returns how long a request that no runner takes now may wait, if one may take it before a refusal would come too late. A
    /// caller that is refused at once has more time left for its retry.
    fn wait_left(&self, forecast: &ForecastQuery, shortage: &CapacityShortage) -> Option<Duration> {
        let need = &forecast.need;
        let refusal_left = need.refusal_left().saturating_sub(REFUSAL_MARGIN);
        // Other answers than streams take a known time, so that a request may wait longer if it will surely be served.
        let spare = need.time_left.saturating_sub(shortage.idle_end) / SPARE_PART;
        let is_sure = |room: &RoomForecast| !self.route.is_stream && room.first_room * ROOM_ERROR_FACTOR <= spare;
        let left = match &shortage.room {
            Some(room) if !room.is_in_time => return None,
            Some(room) if is_sure(room) => spare,
            Some(room) if room.first_room > refusal_left * ROOM_ERROR_FACTOR => return None,
            _ => refusal_left,
        };
        (shortage.verdict == AdmissionVerdict::Busy && !left.is_zero()).then_some(left)
    }

    /// Returns the time after which the caller of a request that was refused for lack of capacity should come back. None is
    /// worth while before the deadline if no runner could end the request in time.
    pub(super) fn backlog_delay(&self, shortage: &CapacityShortage) -> Option<Duration> {
        let time_left = self.expires_at.saturating_duration_since(clock::now());
        let verdict = <&'static str>::from(shortage.verdict);
        counter!("mustardgate_admission_refusals_total", "verdict" => verdict).increment(1);
        let delay = if shortage.verdict == AdmissionVerdict::Hopeless {
            Some(time_left)
        } else {
            let model = self.request.model.as_ref();
            let draw = rand::rng().random();
            let admission = &self.context.admission;
            let room = shortage.room.as_ref();
            room.map(|room| admission.retry_delay(&self.work_key(), model, room, time_left, draw))
        };
        if self.is_sampled {
            let room = shortage.room.map(|room| room.first_room);
            let values = o!(
                "room_ms" => room.map_or(-1, |room| room.as_millis() as i64),
                "time_left_ms" => time_left.as_millis() as u64,
                "end_ms" => shortage.end.as_millis() as u64,
                "verdict" => verdict,
            );
            let log = &self.context.log;
            log.write(events::RELAY_CAPACITY_SHORT, &self.request.id, values);
        }
        delay
    }
}

fn is_busy(error: &SelectionError) -> bool {
    let shortage = error.shortage.as_ref();
    shortage.is_some_and(|shortage| shortage.verdict == AdmissionVerdict::Busy)
}

fn overloaded() -> SelectionError {
    SelectionError {
        cause: RefusalCause::Overloaded,
        retry_after: None,
        shortage: None,
    }
}
