//! Connections to runners, confirmed to lead to the listed process where that is in doubt.

use std::{sync::Arc, time::Duration};

use metrics::counter;
use mustardgate::{buffers::collect_bytes, events};
use mustardgate_core::{buffers::BufferSource, clock, relay::is_final_status};
use slog::o;
use tokio::time;

use crate::{
    client::{RunnerConnection, SendFailure, TakenConnection},
    context::RelayContext,
    fleet::RunnerCell,
};

/// Timeout of a confirmation, for which a request waits.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// A runner to which a connection is needed.
#[derive(Clone, Copy, Debug)]
pub struct RunnerTarget<'a> {
    /// The runner.
    pub cell: &'a Arc<RunnerCell>,
    /// Whether another process than the listed one must not get the request, because it may have another version.
    pub needs_process: bool,
    /// Time left.
    pub time_left: Duration,
}

/// Returns a connection to a runner.
///
/// A connection whose process matters and is not certain is asked for it first: a runner that starts again under its
/// identity may have another software version. See `docs/design/stream-versions.md`.
///
/// # Errors
/// [`SendFailure`]; the request was not sent.
pub async fn connect_runner_process(
    context: &RelayContext,
    target: RunnerTarget<'_>,
) -> Result<TakenConnection, SendFailure> {
    let RunnerTarget {
        cell,
        needs_process,
        time_left,
    } = target;
    let mut taken = cell.pool.take(time_left).await?;
    if !needs_process || taken.connection.is_confirmed() || cell.listed().started_at_ms == 0 {
        return Ok(taken);
    }
    let now = clock::now();
    let evidence = cell.process_evidence(context.fleet.has_recent_outage(now));
    if taken.is_new && evidence.is_sufficient(now) {
        cell.pool.confirm(&mut taken.connection);
        return Ok(taken);
    }
    counter!("mustardgate_process_checks_total").increment(1);
    let checking = read_process(context, cell, &mut taken.connection);
    let started_at_ms = time::timeout(CONFIRMATION_TIMEOUT.min(time_left), checking).await;
    let started_at_ms = started_at_ms.map_err(|_elapsed| SendFailure::NotConnected)??;
    if started_at_ms == Some(cell.listed().started_at_ms) {
        cell.record_confirmation(clock::now(), &mut taken.connection);
        return Ok(taken);
    }
    let values = o!(
        "listed_start_ms" => cell.listed().started_at_ms,
        "start_ms" => started_at_ms.unwrap_or_default(),
        "backend" => cell.listed().id.to_string(),
    );
    events::RELAY_PROCESS_REPLACED.write(context.log.logger(), values);
    cell.retire();
    Err(SendFailure::Withheld)
}

/// Reads when the process started that a connection leads to. Whatever fails here, no request was sent.
pub(super) async fn read_process(
    context: &RelayContext,
    cell: &RunnerCell,
    connection: &mut RunnerConnection,
) -> Result<Option<u64>, SendFailure> {
    let control = &context.ports.control;
    let request = control.process_request(&cell.listed().id);
    let answer = connection.ask(request, CONFIRMATION_TIMEOUT).await;
    let answer = answer.map_err(|failure| match failure {
        SendFailure::NoRunner => SendFailure::NoRunner,
        _ => SendFailure::NotConnected,
    })?;
    if !is_final_status(answer.status().as_u16()) {
        return Err(SendFailure::NotConnected);
    }
    let buffers = context.buffers.guard(BufferSource::Runner(cell.listed().id.clone()));
    let body = collect_bytes(&mut answer.into_body(), MAX_ANSWER_BYTES, buffers).await;
    let body = body.map_err(|_error| SendFailure::NotConnected)?;
    Ok(control.read_process(&body))
}
