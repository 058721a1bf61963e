//! Requests beside a planned stop: whether they may still be passed on, and how they end when the node does.

use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use metrics::counter;
use mustardgate::events;
use mustardgate_core::{
    clock,
    ids::RequestId,
    relay::{GraceQuery, RefusalCause, RelayRoute},
    retry::AttemptPlan,
};
use slog::o;

use super::{attempt::ReceivedRequest, failure::AttemptError};
use crate::context::RelayContext;

/// Reason of attempts that the end of the grace period has ended.
pub(super) const STOP_REASON: &str = "node_stopping";

/// A request as far as a planned stop is concerned.
#[derive(Clone, Copy, Debug)]
pub(super) struct StopCandidate<'a> {
    pub(super) request: &'a RequestId,
    pub(super) route: &'a RelayRoute,
    /// When it was read completely, on the clock that counts suspensions.
    pub(super) read_at: Instant,
    /// Time by which the caller must have its complete answer.
    pub(super) expires_at: Instant,
}

/// Returns whether a request may be passed on to a runner, as far as a planned stop is concerned.
///
/// # Errors
/// The cause of the refusal.
pub(super) fn check_grace(context: &RelayContext, candidate: &StopCandidate<'_>) -> Result<(), RefusalCause> {
    let now = context.leader.lease_time();
    let Some(left) = context.stop.time_left(now) else {
        return Ok(());
    };
    let query = GraceQuery {
        read_at: candidate.read_at,
        may_take: candidate.expires_at.saturating_duration_since(clock::now()),
        usual_time: context.stop.usual_time(now, &candidate.route.name),
        is_repeatable: candidate.route.repeat.is_idempotent(),
    };
    if context.stop.admits(now, &query) {
        return Ok(());
    }
    counter!("mustardgate_requests_refused_by_stop_total").increment(1);
    let values = o!(
        "age_ms" => now.saturating_duration_since(query.read_at).as_millis() as u64,
        "usual_ms" => query.usual_time.unwrap_or_default().as_millis() as u64,
        "may_take_ms" => query.may_take.as_millis() as u64,
        "left_ms" => left.as_millis() as u64,
        "is_repeatable" => query.is_repeatable,
        "route" => candidate.route.name.to_string(),
    );
    context.log.write(events::RELAY_STOP_REFUSED, candidate.request, values);
    Err(RefusalCause::NodeStopping)
}

impl RelayContext {
    /// Returns the part of a time that is left before a planned stop ends the requests in flight.
    pub(crate) fn within_stop(&self, time: Duration) -> Duration {
        let left = self.stop.time_left(self.leader.lease_time());
        left.map_or(time, |left| time.min(left))
    }
}

impl ReceivedRequest {
    /// Returns whether the request may be passed on, as far as a planned stop is concerned.
    ///
    /// # Errors
    /// The cause of the refusal.
    pub(super) fn check_grace(&self) -> Result<(), RefusalCause> {
        check_grace(
            &self.context,
            &StopCandidate {
                request: &self.request.id,
                route: &self.route,
                read_at: self.read_at,
                expires_at: self.expires_at,
            },
        )
    }

    /// Returns the error of the attempt under way as the grace period ends; one that was not sent is withdrawn.
    pub(super) fn stop_attempt(&self, plan: &mut AttemptPlan) -> AttemptError {
        if !self.is_sent.load(Ordering::Relaxed) {
            // The request ends here, whatever could follow.
            let _next = plan.withdraw_attempt();
        }
        AttemptError {
            is_timeout: true,
            verdict: plan.verdict(),
            reason: STOP_REASON.into(),
            ..AttemptError::unplaced(RefusalCause::NodeStopping)
        }
    }
}
