//! A planned stop: the node reports not ready at once, accepts connections until the load balancer has detected this,
//! and then finishes the requests in flight.

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

/// Time for which connections are still accepted: the load balancer checks every second and needs two answers.
const CLOSE_DELAY: Duration = Duration::from_millis(2_600);
/// Largest fraction of the grace period that [`CLOSE_DELAY`] may take.
const CLOSE_DELAY_SHARE: f64 = 0.4;
/// Time before the end of the grace period at which the process ends by itself.
const END_MARGIN: Duration = Duration::from_millis(300);

/// Waits for a stop signal and stops the node within its grace period.
pub(super) async fn stop_node(
    context: &Arc<RelayContext>,
    callers: Vec<JoinHandle<()>>,
) -> Result<StopOutcome, StartError> {
    let mut signals = install_handler(SignalKind::terminate())?;
    let mut interrupts = install_handler(SignalKind::interrupt())?;
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
    time::sleep(CLOSE_DELAY.min(grace.mul_f64(CLOSE_DELAY_SHARE))).await;
    context.drain.closing().cancel();
    let closing = async {
        for listener in callers {
            // A listener's task either finishes or is cancelled with the runtime; in both cases nothing is left to do.
            drop(listener.await);
        }
    };
    if time::timeout_at(ends_at, closing).await.is_ok() {
        return Ok(StopOutcome::Drained);
    }
    events::DRAIN_CUT.write(context.log.logger(), o!("in_flight" => context.drain.in_flight()));
    Ok(StopOutcome::Cut)
}

fn install_handler(kind: SignalKind) -> Result<Signal, StartError> {
    signal(kind).map_err(|error| StartError::Environment {
        reason: error.to_string(),
    })
}
