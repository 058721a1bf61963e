//! A planned stop: the node reports not ready at once, accepts connections until the load balancer has detected this,
//! finishes the requests in flight, and tells the callers of those that are left what is known of them.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use mustardgate::{events, node::StopOutcome};
use mustardgate_core::relay::StopSchedule;
use slog::o;
use tokio::{task::JoinHandle, time};

use super::signals::StopSignals;
use crate::{client::LAST_READ_TIME, context::RelayContext};

/// Longest sleep between two looks at the clock that counts suspensions, which the runtime's clock does not.
const CLOCK_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time that callers are given at least to get the answers with which their requests are ended.
const ANSWER_TIME: Duration = Duration::from_millis(50);

/// Waits for a stop signal and stops the node within its grace period.
pub(super) async fn stop_node(
    context: &Arc<RelayContext>,
    mut signals: StopSignals,
    callers: Vec<JoinHandle<()>>,
) -> StopOutcome {
    signals.next().await;
    let grace = context.settings.bounds.grace();
    let schedule = StopSchedule::new(context.leader.lease_time(), grace);
    context.stop.begin(schedule);
    context.drain.begin();
    context.leader.drain();
    events::DRAINING.write(
        context.log.logger(),
        o!("in_flight" => context.drain.in_flight(), "grace_ms" => grace.as_millis() as u64),
    );
    sleep_until(context, schedule.closes_at).await;
    context.drain.closing().cancel();
    let mut closing = std::pin::pin!(async {
        for listener in callers {
            // A listener's task either finishes or is cancelled with the runtime; in both cases nothing is left to do.
            drop(listener.await);
        }
    });
    tokio::select! {
        () = &mut closing => return StopOutcome::Drained,
        () = sleep_until(context, schedule.cuts_at) => {}
    }
    // The answers of a head and of a body that have arrived are read first.
    time::sleep(LAST_READ_TIME * 2).await;
    let in_flight = context.drain.in_flight();
    if in_flight > 0 {
        events::DRAIN_CUT.write(context.log.logger(), o!("in_flight" => in_flight));
    }
    context.drain.aborting().cancel();
    // A machine that was suspended may be late already.
    let ends_at = schedule.ends_at.max(context.leader.lease_time() + ANSWER_TIME);
    tokio::select! {
        () = &mut closing => {}
        () = sleep_until(context, ends_at) => {}
    }
    match in_flight {
        0 => StopOutcome::Drained,
        _ => StopOutcome::Cut,
    }
}

/// Sleeps until an instant of the clock that counts suspensions.
async fn sleep_until(context: &RelayContext, at: Instant) {
    loop {
        let left = at.saturating_duration_since(context.leader.lease_time());
        if left.is_zero() {
            return;
        }
        time::sleep(left.min(CLOCK_CHECK_INTERVAL)).await;
    }
}
