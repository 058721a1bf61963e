//! Sends a request to the chosen runner: over an own connection, or through another node while the link is cut.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, Uri, body::Incoming};
use metrics::counter;
use mustardgate_core::{
    clock,
    ids::BackendId,
    relay::{AnswerStage, RepeatPolicy, runner_rank},
};
use smol_str::SmolStr;

use super::{
    attempt::ReceivedRequest,
    headers::{is_framed, remove_hop_by_hop_headers},
};
use crate::{
    client::{ConnectionPool, RunnerConnection, SendFailure},
    fleet::RunnerCell,
    leader::request_permit,
    link::{
        ForwardRefusal, ForwardRequest, ForwardVerdict, HelperUse, RunnerTarget, connect_runner_process, lost_answer,
    },
    ports::AttemptMetadata,
};

/// Largest number of other nodes that are asked to pass one request on.
const MAX_HELPERS: usize = 3;
/// Time by which the deadline is shortened for the way through another node and back.
const HELPER_MARGIN: Duration = Duration::from_millis(10);

/// A head of an answer, and the connection on which its body follows.
#[derive(Debug)]
pub(super) struct OpenPath {
    pub(super) connection: RunnerConnection,
    pub(super) answer: Response<Incoming>,
    /// Whether the runner's body has a length or chunks.
    pub(super) is_framed: bool,
    /// Whether it is the first answer of the runner's connection; not known of another node's.
    pub(super) is_first_answer: bool,
    /// Where the connection belongs after the answer.
    pub(super) pool: Arc<ConnectionPool>,
    /// The other node that passes the request on, if one does.
    pub(super) helper: Option<HelperUse>,
}

/// Time by which the runner's deadline is shortened, for the answer's way back to the caller.
const RETURN_MARGIN: Duration = Duration::from_millis(5);

/// Returns the time in which the runner must answer, of the time left until the caller must have the answer.
pub fn runner_time(time_left: Duration) -> Duration {
    time_left.saturating_sub(RETURN_MARGIN).max(Duration::from_millis(1))
}

/// Where an attempt takes the answer up, and what may follow it.
#[derive(Clone, Debug, Default)]
pub(super) struct ResumePoint {
    /// How much of the answer the caller has.
    pub(super) stage: AnswerStage,
    /// Last event that the caller has of this very answer.
    pub(super) after: Option<SmolStr>,
    /// Whether another attempt may follow this one.
    pub(super) may_follow: bool,
}

impl ReceivedRequest {
    /// Sends the request and waits for the head of the answer.
    pub(super) async fn send(&self, cell: &Arc<RunnerCell>, resume: &ResumePoint) -> Result<OpenPath, SendFailure> {
        if self.context.link.uses_neighbours() {
            return self.send_through_node(cell, resume.after.clone()).await;
        }
        let outcome = self.send_directly(cell, resume).await;
        if let Err(SendFailure::NotConnected | SendFailure::Broken) = &outcome {
            self.context.link.record_failure(&cell.listed().id);
        }
        outcome
    }

    async fn send_directly(&self, cell: &Arc<RunnerCell>, resume: &ResumePoint) -> Result<OpenPath, SendFailure> {
        let target = RunnerTarget {
            cell,
            needs_process: self.route.repeat == RepeatPolicy::Resumable,
            time_left: self.time_left(),
        };
        let mut taken = connect_runner_process(&self.context, target).await?;
        // The runner may have left since it was chosen, while an adapter was loaded or the connection was made.
        if !cell.accepts_requests() {
            return Err(SendFailure::Withheld);
        }
        if let Err(delay) = request_permit(&self.context, &cell.listed()).await {
            cell.pool.give_back(taken.connection, None);
            cell.hold(clock::now() + delay);
            return Err(SendFailure::Limited);
        }
        if !cell.is_in_service() || self.check_grace().is_err() {
            return Err(SendFailure::Withheld);
        }
        let request = self.runner_request(&cell.listed().id, self.time_left(), resume.after.clone());
        let link = &self.context.link;
        let awaited = link.await_answer();
        self.record_sent();
        let answer = tokio::select! {
            answer = taken.connection.send(request, self.time_left()) => answer,
            // What cannot be sent again is awaited as long as there is time.
            () = lost_answer(&self.context, cell, &self.request.id), if resume.may_follow => Err(SendFailure::Broken),
        };
        drop(awaited);
        let answer = answer?;
        link.record_contact(taken.is_new);
        Ok(OpenPath {
            is_first_answer: taken.connection.is_first_answer(),
            connection: taken.connection,
            is_framed: is_framed(answer.headers()),
            answer,
            pool: Arc::clone(&cell.pool),
            helper: None,
        })
    }

    /// Asks other nodes in turn until one sends the request, or may have done so.
    async fn send_through_node(
        &self,
        cell: &Arc<RunnerCell>,
        resume_after: Option<SmolStr>,
    ) -> Result<OpenPath, SendFailure> {
        let members = self.context.directory.members();
        let mut tried = Vec::new();
        while tried.len() < MAX_HELPERS {
            let Some((address, helper)) = self.context.helpers.choose(&members, &tried) else {
                break;
            };
            tried.push(address);
            match self.forward(cell, helper, resume_after.clone()).await {
                Err(SendFailure::NoPath) => {}
                outcome => {
                    let label = if outcome.is_ok() { "answered" } else { "failed" };
                    counter!("mustardgate_requests_through_nodes_total", "outcome" => label).increment(1);
                    return outcome;
                }
            }
        }
        counter!("mustardgate_requests_through_nodes_total", "outcome" => "no_path").increment(1);
        Err(SendFailure::NoPath)
    }

    /// Has one other node send the request; [`SendFailure::NoPath`] says that it cannot help.
    async fn forward(
        &self,
        cell: &Arc<RunnerCell>,
        helper: HelperUse,
        resume_after: Option<SmolStr>,
    ) -> Result<OpenPath, SendFailure> {
        self.is_sent.store(false, Ordering::Relaxed);
        let node = helper.helper();
        let Ok(mut taken) = node.pool.take(self.time_left()).await else {
            node.rest();
            return Err(SendFailure::NoPath);
        };
        let listed = cell.listed();
        let time_left = self.time_left().saturating_sub(HELPER_MARGIN);
        let mut request = self.runner_request(&listed.id, time_left, resume_after);
        let forwarded = ForwardRequest {
            backend: listed.id.clone(),
            started_at_ms: listed.started_at_ms,
            request: self.request.id.clone(),
            time_left,
            needs_process: self.route.repeat == RepeatPolicy::Resumable,
        };
        forwarded.write(request.headers_mut());
        if self.check_grace().is_err() {
            return Err(SendFailure::Withheld);
        }
        self.record_sent();
        let mut answer = match taken.connection.send(request, self.time_left()).await {
            Ok(answer) => answer,
            Err(SendFailure::NotSent) => return Err(SendFailure::NoPath),
            Err(failure) => {
                node.rest();
                return Err(failure);
            }
        };
        let (verdict, load) = ForwardVerdict::take(answer.headers_mut());
        node.record_load(load);
        match verdict {
            ForwardVerdict::Answered { is_framed } => {
                node.record_help();
                Ok(OpenPath {
                    connection: taken.connection,
                    answer,
                    is_framed,
                    is_first_answer: false,
                    pool: Arc::clone(&node.pool),
                    helper: Some(helper),
                })
            }
            ForwardVerdict::Refused(ForwardRefusal::Unavailable) => {
                node.rest();
                Err(SendFailure::NoPath)
            }
            ForwardVerdict::Refused(ForwardRefusal::Held(delay)) => {
                cell.hold(clock::now() + delay);
                Err(SendFailure::Limited)
            }
            ForwardVerdict::Refused(ForwardRefusal::Withheld | ForwardRefusal::NotConnected) => {
                Err(SendFailure::NotConnected)
            }
            ForwardVerdict::Broken { is_timeout: true } => Err(SendFailure::TimedOut),
            ForwardVerdict::Broken { is_timeout: false } => Err(SendFailure::BrokenBeyondNode),
            ForwardVerdict::Crashed => Err(SendFailure::CrashedBeyondNode),
        }
    }

    /// Returns the request as the runner gets it.
    fn runner_request(
        &self,
        backend: &BackendId,
        time_left: Duration,
        resume_after: Option<SmolStr>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        let path = self.head.uri.path_and_query().cloned();
        *request.uri_mut() = path.map(Uri::from).unwrap_or_default();
        let headers = request.headers_mut();
        *headers = self.head.headers.clone();
        remove_hop_by_hop_headers(headers);
        let metadata = AttemptMetadata {
            backend: backend.clone(),
            time_left: runner_time(time_left),
            rank: runner_rank(&self.route, self.tenant.as_deref()),
            tenant: self.tenant.as_ref().map(|tenant| tenant.name.clone()),
            resume_after,
        };
        self.context.ports.dialect.write_attempt(headers, &metadata);
        request
    }

    /// Returns the time until the caller must have its complete answer, or until a planned stop ends the request.
    pub(super) fn time_left(&self) -> Duration {
        let time_left = self.expires_at.saturating_duration_since(clock::now());
        self.context.within_stop(time_left)
    }
}
