//! Confirmation that a connection leads to the listed process of a runner.

use std::{sync::Arc, time::Duration};

use http_body_util::{BodyExt, Limited};
use mustardgate::events;
use mustardgate_core::{clock, relay::RepeatPolicy};
use slog::o;
use tokio::time;

use super::attempt::ReceivedRequest;
use crate::{
    client::{RunnerConnection, SendFailure, TakenConnection},
    fleet::RunnerCell,
};

/// Timeout of a confirmation, for which a request waits.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

impl ReceivedRequest {
    /// Returns a connection to a runner. For a stream that may be resumed, a new connection whose process is in doubt is
    /// asked first: a runner that starts again under its identity may have another software version.
    pub(super) async fn connect(
        &self,
        cell: &Arc<RunnerCell>,
        time_left: Duration,
    ) -> Result<RunnerConnection, SendFailure> {
        let TakenConnection { mut connection, is_new } = cell.pool.take(time_left).await?;
        let has_outage = self.context.fleet.has_recent_outage(clock::now());
        let needs_check = is_new
            && self.route.repeat == RepeatPolicy::Resumable
            && cell.listed().started_at_ms != 0
            && cell.is_doubtful(clock::now(), has_outage);
        if !needs_check {
            return Ok(connection);
        }
        let checking = self.read_process(cell, &mut connection);
        let started_at_ms = time::timeout(CONFIRMATION_TIMEOUT.min(time_left), checking).await;
        let started_at_ms = started_at_ms.map_err(|_elapsed| SendFailure::NotConnected)??;
        if started_at_ms == Some(cell.listed().started_at_ms) {
            cell.record_confirmation(clock::now());
            return Ok(connection);
        }
        let values = o!(
            "listed_start_ms" => cell.listed().started_at_ms,
            "start_ms" => started_at_ms.unwrap_or_default(),
            "backend" => cell.listed().id.to_string(),
        );
        events::RELAY_PROCESS_REPLACED.write(self.context.log.logger(), values);
        cell.retire();
        Err(SendFailure::Withheld)
    }

    /// Reads when the process started that a connection leads to. Whatever fails here, the request was not sent.
    async fn read_process(
        &self,
        cell: &RunnerCell,
        connection: &mut RunnerConnection,
    ) -> Result<Option<u64>, SendFailure> {
        let control = &self.context.ports.control;
        let request = control.process_request(&cell.listed().id);
        let answer = connection.send(request, CONFIRMATION_TIMEOUT).await;
        let answer = answer.map_err(|_failure| SendFailure::NotConnected)?;
        let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|_error| SendFailure::NotConnected)?;
        Ok(control.read_process(&body.to_bytes()))
    }
}
