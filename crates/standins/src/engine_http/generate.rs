//! Generations: admission to the batch, with the faults drawn for each.

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
    batch::{BreakPoint, EventSender, Generation, RunKey, ShownAnswer},
    server::{EngineServer, ServerState},
    tokens::answer_seed,
};
use crate::http::{HttpReply, json_reply, read_json, status_reply, stream_reply};

/// Caches kept for export.
const MAX_EXPORTS: usize = 1_024;

impl EngineServer {
    pub(super) async fn generate(self: &Arc<Self>, request: &Request<Bytes>) -> HttpReply {
        let wanted: GenerateRequest = match read_json(request) {
            Ok(wanted) => wanted,
            Err(error) => return error.reply(),
        };
        let delay = Duration::from_millis(self.lock().faults.answer_delay_ms);
        tokio::time::sleep(delay).await;
        let (sender, receiver) = mpsc::unbounded();
        if let Err(status) = self.admit(&wanted, sender) {
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

    /// Puts a generation into the batch, or returns the status that says why it does not run.
    fn admit(&self, wanted: &GenerateRequest, sender: EventSender) -> Result<(), StatusCode> {
        let now = Instant::now();
        let mut state = self.lock();
        state.memory.advance(now);
        let refused_ratio = state.faults.refused_ratio;
        let is_refused = state.rng.random_bool(refused_ratio) || state.role == EngineRole::Prefill;
        if is_refused || !state.memory.is_ready(&wanted.artifact) {
            state.refused += 1;
            let status = if is_refused {
                StatusCode::SERVICE_UNAVAILABLE
            } else {
                StatusCode::CONFLICT
            };
            return Err(status);
        }
        let prefill = state.prefill_blocks(now, wanted);
        let prefilled_at = now + self.options.prefill_per_block * prefill;
        let generation = state.build_generation(wanted, prefilled_at, sender);
        if !state.batch.push(generation) {
            state.refused += 1;
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        Ok(())
    }
}

impl ServerState {
    /// Stores the prompt's blocks in the prefix cache and returns how many have to be read.
    fn prefill_blocks(&mut self, now: Instant, wanted: &GenerateRequest) -> u32 {
        let blocks = block_hashes(&wanted.artifact, &wanted.prompt);
        let hits = self.prefix.store(now, &blocks, &mut self.rng);
        let missing = blocks.len() - hits;
        let export = KvExport {
            request: wanted.request.clone(),
            artifact: wanted.artifact.clone(),
            blocks,
        };
        self.exports.insert(wanted.request.clone(), export);
        if self.exports.len() > MAX_EXPORTS {
            self.exports.pop_first();
        }
        missing as u32
    }

    fn build_generation(&mut self, wanted: &GenerateRequest, prefilled_at: Instant, sender: EventSender) -> Generation {
        let run = RunKey {
            request: wanted.request.clone(),
            attempt: wanted.attempt,
        };
        let own = ShownAnswer {
            run: run.clone(),
            seed: answer_seed(&wanted.prompt),
        };
        let shown = self.draw_shown(&own);
        self.last_answer = Some(own);
        Generation {
            run,
            shown,
            artifact: wanted.artifact.clone(),
            priority: wanted.priority,
            next_index: wanted.resume_from,
            end_index: wanted.max_tokens.max(wanted.resume_from),
            prefilled_at,
            break_point: self.draw_break(wanted),
            sender,
        }
    }

    /// Returns the own answer, or by fault that of another request.
    fn draw_shown(&mut self, own: &ShownAnswer) -> ShownAnswer {
        let crossed_ratio = self.faults.crossed_ratio;
        if !self.rng.random_bool(crossed_ratio) {
            return own.clone();
        }
        let other = self.last_answer.clone().filter(|last| last.run != own.run);
        other.unwrap_or_else(|| ShownAnswer {
            run: RunKey {
                request: RequestId::new("crossed"),
                attempt: own.run.attempt,
            },
            seed: own.seed ^ 1,
        })
    }

    fn draw_break(&mut self, wanted: &GenerateRequest) -> Option<BreakPoint> {
        let faults = self.faults.clone();
        let is_abrupt = self.rng.random_bool(faults.broken_ratio);
        let is_cut_short = self.rng.random_bool(faults.cut_short_ratio);
        if wanted.resume_from >= wanted.max_tokens || !(is_abrupt || is_cut_short) {
            return None;
        }
        let index = self.rng.random_range(wanted.resume_from..wanted.max_tokens);
        Some(BreakPoint { index, is_abrupt })
    }
}
