//! A planned stop: not ready at once, still accepting until the balancer has noticed, then finishing what is in flight.

use std::{sync::Arc, time::Duration};

use mustardgate::{
    events,
    node::{StartError, StopOutcome},
};
use slog::o;
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    task::JoinHandle,
    time::{self, Instant},
};

use crate::context::RelayContext;

/// Time for which connections are still accepted: the balancer asks each second, and needs two answers.
const NOTICE_TIME: Duration = Duration::from_millis(2_600);
/// Part of the grace that the notice may take at most.
const NOTICE_SHARE: f64 = 0.4;
/// Time before the end of the grace at which the process ends by itself.
const END_MARGIN: Duration = Duration::from_millis(300);

/// Waits for a stop signal and stops the node within its grace.
pub(super) async fn stop_node(
    context: &Arc<RelayContext>,
    callers: Vec<JoinHandle<()>>,
) -> Result<StopOutcome, StartError> {
    let mut signals = install(SignalKind::terminate())?;
    let mut interrupts = install(SignalKind::interrupt())?;
    tokio::select! {
        _ = signals.recv() => {}
        _ = interrupts.recv() => {}
    }
    let grace = context.settings.bounds.grace();
    let ends_at = Instant::now() + grace.saturating_sub(END_MARGIN);
    context.drain.begin();
    context.leader.drain();
    events::DRAINING.write(
        context.log.logger(),
        o!("in_flight" => context.drain.in_flight(), "grace_ms" => grace.as_millis() as u64),
    );
    time::sleep(NOTICE_TIME.min(grace.mul_f64(NOTICE_SHARE))).await;
    context.drain.closing().cancel();
    let closing = async {
        for listener in callers {
            // A listener's task ends by itself or with the runtime; neither leaves anything to do here.
            drop(listener.await);
        }
    };
    if time::timeout_at(ends_at, closing).await.is_ok() {
        return Ok(StopOutcome::Drained);
    }
    events::DRAIN_CUT.write(context.log.logger(), o!("in_flight" => context.drain.in_flight()));
    Ok(StopOutcome::Cut)
}

fn install(kind: SignalKind) -> Result<Signal, StartError> {
    signal(kind).map_err(|error| StartError::Environment {
        reason: error.to_string(),
    })
}
