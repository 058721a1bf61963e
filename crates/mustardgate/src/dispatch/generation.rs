//! Generation over one or more attempts, resumed at the token where an attempt broke.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use mustardgate_core::{
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
    desk::PlaceRequest,
    job::{GenerationEvent, GenerationJob},
};
use crate::{backends::AttemptError, context::NodeContext, events, gateway::CallerError};

/// Attempts of one generation at most.
const MAX_ATTEMPTS: u32 = 4;
/// When a caller should come back after a deadline or a stop ended its request.
const ENDED_RETRY: Duration = Duration::from_secs(1);

/// One generation on its way.
#[derive(Debug)]
struct GenerationRun {
    context: Arc<NodeContext>,
    job: GenerationJob,
    sender: mpsc::Sender<GenerationEvent>,
    plan: AttemptPlan,
    assembler: AnswerAssembler,
}

/// How an attempt ended.
#[derive(Debug)]
enum AttemptEnd {
    Whole { tokens: u32, first_token: Duration },
    Broken(AttemptError),
    CallerGone,
}

/// Runs a generation and sends its answer piece by piece; ends early when the receiver is dropped.
pub async fn run_generation(context: Arc<NodeContext>, job: GenerationJob, sender: mpsc::Sender<GenerationEvent>) {
    let remaining = job.origin.deadline.saturating_duration_since(clock::now());
    let cutting = context.drain.cutting();
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
        result = run.attempts() => result,
        () = time::sleep(remaining) => {
            Err(CallerError::DeadlinePassed { verdict: run.plan.verdict(), retry_after: ENDED_RETRY })
        }
        () = cutting.cancelled() => {
            Err(CallerError::Stopping { verdict: run.plan.verdict(), retry_after: ENDED_RETRY })
        }
    };
    let last = match result {
        Ok(Some(tokens)) => GenerationEvent::Done { tokens },
        Ok(None) => return,
        Err(error) => GenerationEvent::Failed(error),
    };
    // A caller that hung up no longer wants the last piece either.
    drop(run.sender.send(last).await);
}

impl GenerationRun {
    /// Returns the number of tokens of the whole answer, or `None` when the caller hung up.
    async fn attempts(&mut self) -> Result<Option<u32>, CallerError> {
        let mut ticket = self.first_place().await?;
        loop {
            let backend = ticket.backend().clone();
            let Some(address) = self.context.address_of(&backend) else {
                ticket = self.next_place(&backend, AttemptError::NotResident)?;
                continue;
            };
            let end = self.attempt_at(&backend, address).await;
            let outcome = outcome_of(&end);
            self.complete(ticket, outcome);
            match end {
                AttemptEnd::Whole { tokens, .. } => {
                    self.plan.succeed_attempt(&mut self.context.retry_budget());
                    return Ok(Some(tokens));
                }
                AttemptEnd::CallerGone => {
                    self.context
                        .engine_client
                        .cancel(address, self.job.origin.request.clone())
                        .await;
                    return Ok(None);
                }
                AttemptEnd::Broken(error) if self.assembler.is_ended() => return Err(self.give_up(error)),
                AttemptEnd::Broken(error) => ticket = self.next_place(&backend, error)?,
            }
        }
    }

    /// Returns the error of an answer that can no longer become whole.
    fn give_up(&self, error: AttemptError) -> CallerError {
        CallerError::AttemptsFailed {
            reason: error.to_string(),
            verdict: self.plan.verdict().combine(error.verdict()),
            retry_after: ENDED_RETRY,
        }
    }

    async fn first_place(&self) -> Result<RouteTicket, CallerError> {
        let artifact = &self.job.artifact;
        self.context.demand.record(artifact);
        let load = self.context.selector.pool_load(clock::now(), artifact);
        let request = PlaceRequest {
            queued: self.job.origin.queued(artifact, load.hold_time),
            artifact: artifact.clone(),
            prefix: prefix_digest(artifact, self.job.prompt.as_bytes()),
        };
        let place = self.context.desk.acquire(request).await;
        place.map_err(CallerError::refused)
    }

    /// Returns a place at another runner, or the error that ends the request.
    fn next_place(&mut self, failed: &BackendId, error: AttemptError) -> Result<RouteTicket, CallerError> {
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
        let give_up = |verdict, retry_after| CallerError::AttemptsFailed {
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
                let place = self.context.selector.select(now, &route);
                place.map_err(|_error| give_up(self.plan.verdict(), ENDED_RETRY))
            }
            NextStep::AwaitOther => Err(give_up(self.plan.verdict(), ENDED_RETRY)),
            NextStep::GiveUp { verdict, retry_after } => Err(give_up(verdict, retry_after)),
        }
    }

    fn complete(&self, ticket: RouteTicket, outcome: AttemptOutcome) {
        self.context.complete_place(ticket, &self.job.artifact, outcome);
    }

    async fn attempt_at(&mut self, backend: &BackendId, address: SocketAddr) -> AttemptEnd {
        if !self.plan.begin_attempt(backend) {
            return AttemptEnd::Broken(AttemptError::NoCapacity);
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
            Err(error) => return AttemptEnd::Broken(error),
        };
        let mut first_token = None;
        loop {
            let Ok(Some(event)) = stream.next().await else {
                self.assembler.connection_closed(attempt);
                return AttemptEnd::Broken(AttemptError::BrokenStream);
            };
            let elapsed = *first_token.get_or_insert_with(|| clock::now() - begun);
            if let Some(end) = self.take_event(event, elapsed).await {
                return end;
            }
        }
    }

    /// Takes one event of the engine; returns how the attempt ended, if it did.
    async fn take_event(&mut self, event: EngineEvent, first_token: Duration) -> Option<AttemptEnd> {
        let dropped = self.assembler.counters();
        let action = self.assembler.accept(answer_event(event));
        if self.assembler.counters() != dropped {
            let request = self.job.origin.request.to_string();
            events::ANSWER_DROPPED.write(&self.context.logger, o!("request" => request));
        }
        match action? {
            AnswerAction::Forward { index, text } => {
                let sent = self.sender.send(GenerationEvent::Token { index, text }).await;
                sent.is_err().then_some(AttemptEnd::CallerGone)
            }
            AnswerAction::Finish { tokens } => Some(AttemptEnd::Whole { tokens, first_token }),
            AnswerAction::Resume { .. } | AnswerAction::Fail { .. } => {
                Some(AttemptEnd::Broken(AttemptError::BrokenStream))
            }
        }
    }
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
        AttemptEnd::Whole { first_token, .. } => AttemptOutcome::Answered {
            first_token: *first_token,
        },
        AttemptEnd::Broken(AttemptError::NoCapacity) => AttemptOutcome::Overloaded,
        AttemptEnd::Broken(_) | AttemptEnd::CallerGone => AttemptOutcome::Failed,
    }
}
