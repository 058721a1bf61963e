//! Admission of generations to the batch, with the faults drawn for each.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::channel::mpsc;
use hyper::{Request, StatusCode};
use mustardgate_core::ids::RequestId;
use mustardgate_protocol::engine::{CancelRequest, EngineRole, GenerateRequest, KvExport, block_hashes};
use rand::Rng;

use super::{
    batch::{AnswerContent, BreakPoint, EventSender, Generation, RunKey},
    server::{EngineServer, ServerState},
    tokens::answer_seed,
};
use crate::http::{HttpReply, json_reply, read_json, status_reply, stream_reply};

/// Largest number of requests whose cache can be exported.
const MAX_EXPORTS: usize = 1_024;

impl EngineServer {
    pub(super) async fn generate(self: &Arc<Self>, request: &Request<Bytes>) -> HttpReply {
        let generate_request: GenerateRequest = match read_json(request) {
            Ok(generate_request) => generate_request,
            Err(error) => return error.reply(),
        };
        let delay = Duration::from_millis(self.lock().faults.answer_delay_ms);
        tokio::time::sleep(delay).await;
        let (sender, receiver) = mpsc::unbounded();
        if let Err(status) = self.admit(&generate_request, sender) {
            return json_reply(status, &serde_json::json!({"error": "the request did not run"}));
        }
        self.arrival.notify_one();
        stream_reply(receiver)
    }

    pub(super) fn cancel(&self, request: &Request<Bytes>) -> HttpReply {
        let cancel: CancelRequest = match read_json(request) {
            Ok(cancel) => cancel,
            Err(error) => return error.reply(),
        };
        let stopped = self.lock().batch.cancel(&cancel.request);
        let status = if stopped > 0 {
            StatusCode::OK
        } else {
            StatusCode::NOT_FOUND
        };
        status_reply(status)
    }

    /// Adds a generation to the batch, or returns the status that tells why it does not run.
    fn admit(&self, generate_request: &GenerateRequest, sender: EventSender) -> Result<(), StatusCode> {
        let now = Instant::now();
        let mut state = self.lock();
        state.memory.advance(now);
        let refused_ratio = state.faults.refused_ratio;
        let is_refused = state.rng.random_bool(refused_ratio) || state.role == EngineRole::Prefill;
        if is_refused || !state.memory.is_ready(&generate_request.artifact) {
            state.refused += 1;
            let status = if is_refused {
                StatusCode::SERVICE_UNAVAILABLE
            } else {
                StatusCode::CONFLICT
            };
            return Err(status);
        }
        let missing_blocks = state.cache_prompt(now, generate_request);
        let prefilled_at = now + self.options.prefill_per_block * missing_blocks;
        let generation = state.build_generation(generate_request, prefilled_at, sender);
        if !state.batch.push(generation) {
            state.refused += 1;
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        Ok(())
    }
}

impl ServerState {
    /// Stores the prompt's blocks in the prefix cache and for export; returns how many of them need prefill.
    fn cache_prompt(&mut self, now: Instant, generate_request: &GenerateRequest) -> u32 {
        let blocks = block_hashes(&generate_request.artifact, &generate_request.prompt);
        let hits = self.prefix.store(now, &blocks, &mut self.rng);
        let missing = blocks.len() - hits;
        let export = KvExport {
            request: generate_request.request.clone(),
            artifact: generate_request.artifact.clone(),
            blocks,
        };
        self.exports.insert(generate_request.request.clone(), export);
        if self.exports.len() > MAX_EXPORTS {
            self.exports.pop_first();
        }
        missing as u32
    }

    fn build_generation(
        &mut self,
        generate_request: &GenerateRequest,
        prefilled_at: Instant,
        sender: EventSender,
    ) -> Generation {
        let run = RunKey {
            request: generate_request.request.clone(),
            attempt: generate_request.attempt,
        };
        let own = AnswerContent {
            run: run.clone(),
            seed: answer_seed(&generate_request.prompt),
        };
        let content = self.draw_content(&own);
        self.last_answer = Some(own);
        Generation {
            run,
            content,
            artifact: generate_request.artifact.clone(),
            priority: generate_request.priority,
            next_index: generate_request.resume_from,
            end_index: generate_request.max_tokens.max(generate_request.resume_from),
            prefilled_at,
            break_point: self.draw_break_point(generate_request),
            sender,
        }
    }

    /// Returns the request's own answer or, when the fault is drawn, that of another request.
    fn draw_content(&mut self, own: &AnswerContent) -> AnswerContent {
        let crossed_ratio = self.faults.crossed_ratio;
        if !self.rng.random_bool(crossed_ratio) {
            return own.clone();
        }
        let other = self.last_answer.clone().filter(|last| last.run != own.run);
        other.unwrap_or_else(|| AnswerContent {
            run: RunKey {
                request: RequestId::new("crossed"),
                attempt: own.run.attempt,
            },
            seed: own.seed ^ 1,
        })
    }

    fn draw_break_point(&mut self, generate_request: &GenerateRequest) -> Option<BreakPoint> {
        let faults = self.faults.clone();
        let is_abrupt = self.rng.random_bool(faults.broken_ratio);
        let is_cut_short = self.rng.random_bool(faults.cut_short_ratio);
        if generate_request.resume_from >= generate_request.max_tokens || !(is_abrupt || is_cut_short) {
            return None;
        }
        let index = self
            .rng
            .random_range(generate_request.resume_from..generate_request.max_tokens);
        Some(BreakPoint { index, is_abrupt })
    }
}
