//! Calls to plain services, retried only where the verdict on the failed attempt permits it.

use std::time::Duration;

use mustardgate_core::{
    clock,
    ids::{BackendId, ServiceId},
    log::Artifact,
    retry::{AttemptFailure, AttemptPlan, NextStep, PlanSettings},
    routing::{AttemptOutcome, RouteRequest, RouteTicket, service_artifact},
};
use slog::o;

use super::{admission::SlotRequest, job::JobOrigin};
use crate::{
    backends::PlainCall,
    context::NodeContext,
    events,
    gateway::CallerError,
    http::{CallError, HttpReply},
};

/// Maximum number of attempts of one call.
const MAX_ATTEMPTS: u32 = 3;
/// Time after which a caller may retry when the attempt plan states no other time, or when the node stops.
const FAILED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A call to a plain service to be dispatched.
#[derive(Clone, Debug)]
pub struct CallJob {
    /// Caller, tenant and deadline.
    pub origin: JobOrigin,
    /// Service that is called.
    pub service: ServiceId,
    /// Whether the service declares the call idempotent.
    pub is_idempotent: bool,
    /// The call to send.
    pub call: PlainCall,
}

/// Runs a call and returns the service's whole answer.
///
/// # Errors
/// [`CallerError`] with the verdict over all attempts.
pub async fn run_call(context: &NodeContext, job: &CallJob) -> Result<HttpReply, CallerError> {
    let settings = PlanSettings {
        is_idempotent: job.is_idempotent,
        deadline: job.origin.deadline,
        max_attempts: MAX_ATTEMPTS,
    };
    let artifact = service_artifact(&job.service);
    let mut run = CallRun {
        context,
        job,
        artifact,
        plan: AttemptPlan::new(settings),
        attempt: 0,
    };
    let ended = context.drain.unless_aborted(run.run_attempts()).await;
    ended.unwrap_or_else(|| {
        Err(CallerError::Stopping {
            verdict: run.plan.verdict(),
            retry_after: FAILED_RETRY_AFTER,
        })
    })
}

/// Returns the expected time from the dispatch of a call to its answer.
pub fn call_time(context: &NodeContext, job: &CallJob) -> Duration {
    let artifact = service_artifact(&job.service);
    context.selector.pool_load(clock::now(), &artifact).answer_time
}

#[derive(Debug)]
struct CallRun<'a> {
    context: &'a NodeContext,
    job: &'a CallJob,
    artifact: Artifact,
    plan: AttemptPlan,
    attempt: u32,
}

impl CallRun<'_> {
    async fn run_attempts(&mut self) -> Result<HttpReply, CallerError> {
        let mut ticket = self.acquire_slot().await?;
        loop {
            self.check_time_left()?;
            let backend = ticket.backend().clone();
            let begun = clock::now();
            match self.send_attempt(&backend).await {
                Ok(reply) => {
                    let outcome = AttemptOutcome::Answered {
                        first_token: clock::now() - begun,
                    };
                    self.context.complete_attempt(ticket, &self.artifact, outcome);
                    self.plan.succeed_attempt(&mut self.context.retry_budget());
                    return Ok(reply);
                }
                Err(error) => {
                    self.context
                        .complete_attempt(ticket, &self.artifact, AttemptOutcome::Failed);
                    ticket = self.retry_elsewhere(&backend, error)?;
                }
            }
        }
    }

    async fn acquire_slot(&self) -> Result<RouteTicket, CallerError> {
        let request = SlotRequest {
            queued: self.job.origin.queued_request(&self.artifact, Duration::ZERO),
            artifact: self.artifact.clone(),
            prefix: None,
        };
        let answer_time = call_time(self.context, self.job);
        tokio::select! {
            biased;
            result = self.context.admission.acquire(request) => result.map_err(CallerError::refused),
            retry_after = self.context.drain.too_late(answer_time) => Err(self.stopping(retry_after)),
        }
    }

    /// Refuses the next attempt when a planned stop would end before its answer.
    fn check_time_left(&self) -> Result<(), CallerError> {
        let answer_time = call_time(self.context, self.job);
        let time_left = self.context.drain.check_time_left(answer_time);
        time_left.map_err(|retry_after| self.stopping(retry_after))
    }

    fn stopping(&self, retry_after: Duration) -> CallerError {
        CallerError::Stopping {
            verdict: self.plan.verdict(),
            retry_after,
        }
    }

    async fn send_attempt(&mut self, backend: &BackendId) -> Result<HttpReply, CallFailure> {
        let address = self.context.address_of(backend).ok_or(CallFailure::NotSent)?;
        if !self.plan.begin_attempt(backend) {
            return Err(CallFailure::NotSent);
        }
        self.attempt += 1;
        let remaining = self.job.origin.deadline.saturating_duration_since(clock::now());
        let reply = self
            .context
            .plain_client
            .call(address, &self.job.call, self.attempt, remaining)
            .await;
        reply.map_err(CallFailure::Call)
    }

    /// Takes a slot at another instance for the next attempt, or returns the error that ends the call.
    fn retry_elsewhere(&mut self, failed: &BackendId, failure: CallFailure) -> Result<RouteTicket, CallerError> {
        let reason = failure.to_string();
        let values = o!("backend" => failed.to_string(), "error" => reason.clone());
        events::ATTEMPT_FAILED.write(&self.context.logger, values);
        let now = clock::now();
        let load = self.context.selector.pool_load(now, &self.artifact);
        let failure = AttemptFailure {
            verdict: failure.verdict(),
            backend: failed.clone(),
            retry_after: None,
            answer_time: load.answer_time,
        };
        let (verdict, retry_after) = match self.plan.fail_attempt(now, &failure, &mut *self.context.retry_budget()) {
            NextStep::RetryElsewhere { excluded } => {
                let route = RouteRequest {
                    artifact: self.artifact.clone(),
                    prefix: None,
                    excluded,
                };
                match self.context.selector.select(now, &route) {
                    Ok(ticket) => return Ok(ticket),
                    Err(_) => (self.plan.verdict(), FAILED_RETRY_AFTER),
                }
            }
            NextStep::AwaitOther => (self.plan.verdict(), FAILED_RETRY_AFTER),
            NextStep::GiveUp { verdict, retry_after } => (verdict, retry_after),
        };
        Err(CallerError::AttemptsFailed {
            reason,
            verdict,
            retry_after,
        })
    }
}

/// Why one attempt got no answer.
#[derive(Clone, Copy, Debug, derive_more::Display)]
enum CallFailure {
    /// The call failed.
    #[display("{_0}")]
    Call(CallError),
    /// The instance is no longer declared, or no further attempt is permitted; nothing was sent.
    #[display("the instance is not declared, or no further attempt is permitted")]
    NotSent,
}

impl CallFailure {
    fn verdict(self) -> mustardgate_core::verdict::RunVerdict {
        match self {
            Self::Call(error) => error.verdict(),
            Self::NotSent => mustardgate_core::verdict::RunVerdict::NotRun,
        }
    }
}
