//! Generation over one or more attempts; a new attempt resumes at the token where the last one failed.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use mustardgate_core::{
    admission::PoolLoad,
    clock,
    ids::BackendId,
    retry::{AttemptFailure, AttemptPlan, NextStep, PlanSettings},
    routing::{AttemptOutcome, RouteRequest, RouteTicket, prefix_digest},
    streams::{AnswerAction, AnswerAssembler, AnswerEvent, AnswerPart},
};
use mustardgate_protocol::engine::{EngineEvent, GenerateRequest};
use slog::o;
use tokio::{sync::mpsc, time};

use super::{
    admission::SlotRequest,
    job::{GenerationEvent, GenerationJob},
};
use crate::{backends::AttemptError, context::NodeContext, events, gateway::CallerError};

/// Maximum number of attempts of one generation.
const MAX_ATTEMPTS: u32 = 4;
/// Time after which a caller may retry when the attempt plan states no other time, or when the deadline passed or the
/// node stops.
const ENDED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// One generation in progress.
#[derive(Debug)]
struct GenerationRun {
    context: Arc<NodeContext>,
    job: GenerationJob,
    sender: mpsc::Sender<GenerationEvent>,
    plan: AttemptPlan,
    assembler: AnswerAssembler,
}

/// How an attempt ended for the generation; [`outcome_of`] returns what routing learns from it.
#[derive(Debug)]
enum AttemptEnd {
    Answered { tokens: u32, first_token: Duration },
    Failed(AttemptError),
    CallerDisconnected,
}

/// Runs a generation and sends the events of its answer; ends early when the receiver is dropped.
pub async fn run_generation(context: Arc<NodeContext>, job: GenerationJob, sender: mpsc::Sender<GenerationEvent>) {
    let remaining = job.origin.deadline.saturating_duration_since(clock::now());
    let aborting = context.drain.aborting();
    let settings = PlanSettings {
        is_idempotent: true,
        deadline: job.origin.deadline,
        max_attempts: MAX_ATTEMPTS,
    };
    let plan = AttemptPlan::new(settings);
    let assembler = AnswerAssembler::new(job.origin.request.clone(), MAX_ATTEMPTS - 1);
    let mut run = GenerationRun {
        context,
        job,
        sender,
        plan,
        assembler,
    };
    let result = tokio::select! {
        // A whole answer counts first.
        biased;
        result = run.run_attempts() => result,
        () = time::sleep(remaining) => {
            Err(CallerError::DeadlinePassed { verdict: run.plan.verdict(), retry_after: ENDED_RETRY_AFTER })
        }
        () = aborting.cancelled() => {
            Err(CallerError::Stopping { verdict: run.plan.verdict(), retry_after: ENDED_RETRY_AFTER })
        }
    };
    let last = match result {
        Ok(Some(tokens)) => GenerationEvent::Done { tokens },
        Ok(None) => return,
        Err(error) => GenerationEvent::Failed(error),
    };
    // The send fails when the caller has disconnected, which needs no handling.
    drop(run.sender.send(last).await);
}

impl GenerationRun {
    /// Returns the number of tokens of the whole answer, or `None` when the caller disconnected.
    async fn run_attempts(&mut self) -> Result<Option<u32>, CallerError> {
        let mut ticket = self.acquire_slot().await?;
        loop {
            self.check_time_left()?;
            let backend = ticket.backend().clone();
            let Some(address) = self.context.address_of(&backend) else {
                ticket = self.retry_elsewhere(&backend, AttemptError::NotResident)?;
                continue;
            };
            let end = self.send_attempt(&backend, address).await;
            let outcome = outcome_of(&end);
            self.complete(ticket, outcome);
            match end {
                AttemptEnd::Answered { tokens, .. } => {
                    self.plan.succeed_attempt(&mut self.context.retry_budget());
                    return Ok(Some(tokens));
                }
                AttemptEnd::CallerDisconnected => {
                    self.context
                        .engine_client
                        .cancel(address, self.job.origin.request.clone())
                        .await;
                    return Ok(None);
                }
                AttemptEnd::Failed(error) if self.assembler.is_ended() => return Err(self.final_error(error)),
                AttemptEnd::Failed(error) => ticket = self.retry_elsewhere(&backend, error)?,
            }
        }
    }

    /// Returns the error of an answer that cannot be completed.
    fn final_error(&self, error: AttemptError) -> CallerError {
        CallerError::AttemptsFailed {
            reason: error.to_string(),
            verdict: self.plan.verdict().combine(error.verdict()),
            retry_after: ENDED_RETRY_AFTER,
        }
    }

    async fn acquire_slot(&self) -> Result<RouteTicket, CallerError> {
        let artifact = &self.job.artifact;
        self.context.demand.record(artifact);
        let load = self.context.selector.pool_load(clock::now(), artifact);
        let request = SlotRequest {
            queued: self.job.origin.queued_request(artifact, load.hold_time),
            artifact: artifact.clone(),
            prefix: prefix_digest(artifact, self.job.prompt.as_bytes()),
        };
        tokio::select! {
            biased;
            result = self.context.admission.acquire(request) => result.map_err(CallerError::refused),
            retry_after = self.context.drain.too_late(generation_time(load)) => Err(self.stopping(retry_after)),
        }
    }

    /// Refuses the next attempt when a planned stop would end before its answer.
    fn check_time_left(&self) -> Result<(), CallerError> {
        let load = self.context.selector.pool_load(clock::now(), &self.job.artifact);
        let time_left = self.context.drain.check_time_left(generation_time(load));
        time_left.map_err(|retry_after| self.stopping(retry_after))
    }

    fn stopping(&self, retry_after: Duration) -> CallerError {
        CallerError::Stopping {
            verdict: self.plan.verdict(),
            retry_after,
        }
    }

    /// Takes a slot at another runner for the next attempt, or returns the error that ends the request.
    fn retry_elsewhere(&mut self, failed: &BackendId, error: AttemptError) -> Result<RouteTicket, CallerError> {
        events::ATTEMPT_FAILED.write(
            &self.context.logger,
            o!("backend" => failed.to_string(), "error" => error.to_string()),
        );
        let now = clock::now();
        let load = self.context.selector.pool_load(now, &self.job.artifact);
        let failure = AttemptFailure {
            verdict: error.verdict(),
            backend: failed.clone(),
            retry_after: None,
            answer_time: load.answer_time,
        };
        let attempts_failed = |verdict, retry_after| CallerError::AttemptsFailed {
            reason: error.to_string(),
            verdict,
            retry_after,
        };
        match self.plan.fail_attempt(now, &failure, &mut *self.context.retry_budget()) {
            NextStep::RetryElsewhere { excluded } => {
                let route = RouteRequest {
                    artifact: self.job.artifact.clone(),
                    prefix: None,
                    excluded,
                };
                let selection = self.context.selector.select(now, &route);
                selection.map_err(|_error| attempts_failed(self.plan.verdict(), ENDED_RETRY_AFTER))
            }
            NextStep::AwaitOther => Err(attempts_failed(self.plan.verdict(), ENDED_RETRY_AFTER)),
            NextStep::GiveUp { verdict, retry_after } => Err(attempts_failed(verdict, retry_after)),
        }
    }

    fn complete(&self, ticket: RouteTicket, outcome: AttemptOutcome) {
        self.context.complete_attempt(ticket, &self.job.artifact, outcome);
    }

    async fn send_attempt(&mut self, backend: &BackendId, address: SocketAddr) -> AttemptEnd {
        if !self.plan.begin_attempt(backend) {
            return AttemptEnd::Failed(AttemptError::NoCapacity);
        }
        let attempt = self.assembler.begin_attempt();
        let begun = clock::now();
        let request = GenerateRequest {
            request: self.job.origin.request.clone(),
            attempt,
            artifact: self.job.artifact.clone(),
            prompt: self.job.prompt.clone(),
            max_tokens: self.job.max_tokens,
            priority: self.job.origin.class,
            resume_from: self.assembler.next_index(),
        };
        let remaining = self.job.origin.deadline.saturating_duration_since(begun);
        let mut stream = match self.context.engine_client.generate(address, &request, remaining).await {
            Ok(stream) => stream,
            Err(error) => return AttemptEnd::Failed(error),
        };
        let mut first_token = None;
        loop {
            let Ok(Some(event)) = stream.next().await else {
                self.assembler.connection_closed(attempt);
                return AttemptEnd::Failed(AttemptError::BrokenStream);
            };
            let elapsed = *first_token.get_or_insert_with(|| clock::now() - begun);
            if let Some(end) = self.handle_event(event, elapsed).await {
                return end;
            }
        }
    }

    /// Handles one event of the engine; returns how the attempt ended, if it did.
    async fn handle_event(&mut self, event: EngineEvent, first_token: Duration) -> Option<AttemptEnd> {
        let counters = self.assembler.counters();
        let action = self.assembler.accept(answer_event(event));
        if self.assembler.counters() != counters {
            let request = self.job.origin.request.to_string();
            events::ANSWER_DROPPED.write(&self.context.logger, o!("request" => request));
        }
        match action? {
            AnswerAction::Forward { index, text } => {
                let sent = self.sender.send(GenerationEvent::Token { index, text }).await;
                sent.is_err().then_some(AttemptEnd::CallerDisconnected)
            }
            AnswerAction::Finish { tokens } => Some(AttemptEnd::Answered { tokens, first_token }),
            AnswerAction::Resume { .. } | AnswerAction::Fail { .. } => {
                Some(AttemptEnd::Failed(AttemptError::BrokenStream))
            }
        }
    }
}

/// Returns the expected time from the dispatch of a generation to the end of its answer.
fn generation_time(load: PoolLoad) -> Duration {
    load.hold_time.max(load.answer_time)
}

fn answer_event(event: EngineEvent) -> AnswerEvent {
    match event {
        EngineEvent::Token {
            request,
            attempt,
            index,
            text,
        } => AnswerEvent {
            request,
            attempt,
            part: AnswerPart::Token { index, text },
        },
        EngineEvent::Done {
            request,
            attempt,
            tokens,
        } => AnswerEvent {
            request,
            attempt,
            part: AnswerPart::Done { tokens },
        },
        EngineEvent::Failed { request, attempt, .. } => AnswerEvent {
            request,
            attempt,
            part: AnswerPart::Failed,
        },
    }
}

fn outcome_of(end: &AttemptEnd) -> AttemptOutcome {
    match end {
        AttemptEnd::Answered { first_token, .. } => AttemptOutcome::Answered {
            first_token: *first_token,
        },
        AttemptEnd::Failed(AttemptError::NoCapacity) => AttemptOutcome::Overloaded,
        AttemptEnd::Failed(_) | AttemptEnd::CallerDisconnected => AttemptOutcome::Failed,
    }
}
