//! Generation over one or more attempts, resumed at the token where an attempt broke.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use mustardgate_core::{clock, ids::BackendId, verdict::RunVerdict};
use mustardgate_protocol::engine::{EngineEvent, GenerateRequest};
use slog::o;
use tokio::{sync::mpsc, time};

use super::job::{GenerationEvent, GenerationJob};
use crate::{backends::AttemptError, context::NodeContext, events, gateway::CallerError};

/// Attempts of one generation at most.
const MAX_ATTEMPTS: u32 = 4;
/// When a caller should come back after all attempts failed.
const FAILED_RETRY: Duration = Duration::from_secs(1);

/// One generation on its way.
#[derive(Debug)]
struct GenerationRun {
    context: Arc<NodeContext>,
    job: GenerationJob,
    sender: mpsc::Sender<GenerationEvent>,
    next_index: u32,
    attempt: u32,
    verdict: RunVerdict,
    tried: Vec<BackendId>,
}

/// How an attempt ended.
#[derive(Debug)]
enum AttemptEnd {
    Whole { tokens: u32 },
    Broken(AttemptError),
    CallerGone,
}

/// Runs a generation and sends its answer piece by piece; ends early when the receiver is dropped.
pub async fn run_generation(context: Arc<NodeContext>, job: GenerationJob, sender: mpsc::Sender<GenerationEvent>) {
    let remaining = job.deadline.saturating_duration_since(clock::now());
    let cutting = context.drain.cutting();
    let mut run = GenerationRun {
        context,
        job,
        sender,
        next_index: 0,
        attempt: 0,
        verdict: RunVerdict::NotRun,
        tried: Vec::new(),
    };
    let last = tokio::select! {
        last = run.attempts() => last,
        () = time::sleep(remaining) => {
            Some(GenerationEvent::Failed(CallerError::DeadlinePassed { verdict: run.verdict, retry_after: FAILED_RETRY }))
        }
        () = cutting.cancelled() => {
            Some(GenerationEvent::Failed(CallerError::Stopping { verdict: run.verdict, retry_after: FAILED_RETRY }))
        }
    };
    if let Some(event) = last {
        // A caller that hung up no longer wants the last piece either.
        drop(run.sender.send(event).await);
    }
}

impl GenerationRun {
    async fn attempts(&mut self) -> Option<GenerationEvent> {
        let mut reason = "no backend server holds the weights".to_owned();
        while self.attempt < MAX_ATTEMPTS {
            let Some((backend, address)) = self.choose_runner() else {
                break;
            };
            self.attempt += 1;
            self.tried.push(backend.clone());
            match self.attempt_at(address).await {
                AttemptEnd::Whole { tokens } => return Some(GenerationEvent::Done { tokens }),
                AttemptEnd::CallerGone => {
                    self.context
                        .engine_client
                        .cancel(address, self.job.request.clone())
                        .await;
                    return None;
                }
                AttemptEnd::Broken(error) => {
                    events::ATTEMPT_FAILED.write(
                        &self.context.logger,
                        o!("backend" => backend.to_string(), "error" => error.to_string()),
                    );
                    reason = error.to_string();
                }
            }
        }
        let error = CallerError::AttemptsFailed {
            reason,
            verdict: self.verdict,
            retry_after: FAILED_RETRY,
        };
        Some(GenerationEvent::Failed(error))
    }

    fn choose_runner(&self) -> Option<(BackendId, SocketAddr)> {
        let ready = self.context.board.ready(&self.job.artifact);
        let addresses = self.context.addresses.read().expect("no holder panics");
        ready
            .into_iter()
            .filter(|backend| !self.tried.contains(backend))
            .find_map(|backend| addresses.get(&backend).map(|address| (backend.clone(), *address)))
    }

    async fn attempt_at(&mut self, address: SocketAddr) -> AttemptEnd {
        let request = GenerateRequest {
            request: self.job.request.clone(),
            attempt: self.attempt,
            artifact: self.job.artifact.clone(),
            prompt: self.job.prompt.clone(),
            max_tokens: self.job.max_tokens,
            priority: self.job.class,
            resume_from: self.next_index,
        };
        let verdict_before = self.verdict;
        self.verdict = self.verdict.combine(RunVerdict::MayHaveRun);
        let remaining = self.job.deadline.saturating_duration_since(clock::now());
        let mut stream = match self.context.engine_client.generate(address, &request, remaining).await {
            Ok(stream) => stream,
            Err(error) => {
                self.verdict = verdict_before.combine(error.verdict());
                return AttemptEnd::Broken(error);
            }
        };
        loop {
            match stream.next().await {
                Ok(Some(event)) => {
                    if let Some(end) = self.take_event(event).await {
                        return end;
                    }
                }
                Ok(None) => return AttemptEnd::Broken(AttemptError::BrokenStream),
                Err(error) => return AttemptEnd::Broken(error),
            }
        }
    }

    async fn take_event(&mut self, event: EngineEvent) -> Option<AttemptEnd> {
        match event {
            EngineEvent::Token {
                request,
                attempt,
                index,
                text,
            } => {
                if request != self.job.request || attempt != self.attempt || index != self.next_index {
                    events::ANSWER_DROPPED.write(&self.context.logger, o!("request" => request.to_string()));
                    return None;
                }
                self.next_index += 1;
                let sent = self.sender.send(GenerationEvent::Token { index, text }).await;
                sent.is_err().then_some(AttemptEnd::CallerGone)
            }
            EngineEvent::Done {
                request,
                attempt,
                tokens,
            } => {
                if request != self.job.request || attempt != self.attempt {
                    return None;
                }
                if tokens != self.next_index {
                    return Some(AttemptEnd::Broken(AttemptError::BrokenStream));
                }
                self.verdict = RunVerdict::Ran;
                Some(AttemptEnd::Whole { tokens })
            }
            EngineEvent::Failed { request, attempt, .. } => {
                let is_ours = request == self.job.request && attempt == self.attempt;
                is_ours.then_some(AttemptEnd::Broken(AttemptError::BrokenStream))
            }
        }
    }
}
