//! Continuous batching: each step generates one token for each running generation, as far as the token rate allows, in
//! order of priority.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::channel::mpsc::UnboundedSender;
use mustardgate_core::{ids::RequestId, log::Artifact, resources::PriorityClass};
use mustardgate_protocol::engine::EngineEvent;

use super::{options::RunCount, tokens::token_text};
use crate::http::BrokenStream;

/// Behaviour of the batch.
#[derive(Clone, Copy, Debug)]
pub struct BatchOptions {
    /// Tokens per second of all generations together.
    pub tokens_per_second: f64,
    /// Largest number of generations that run at once.
    pub max_running: usize,
    /// Largest number of generations that wait; further ones are refused.
    pub max_waiting: usize,
    /// Time between two tokens of one generation.
    pub step: Duration,
}

/// Channel for the server-sent events of one generation.
pub type EventSender = UnboundedSender<Result<Bytes, BrokenStream>>;

/// Injected end of a stream before the answer is whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BreakPoint {
    /// Index of the first token that is not sent.
    pub index: u32,
    /// Whether the connection breaks; otherwise the response ends properly, but without the last event.
    pub is_abrupt: bool,
}

/// One generation.
#[derive(Debug)]
pub struct Generation {
    /// Request and attempt that it serves.
    pub run: RunKey,
    /// Answer in its events; that of another request when answers are crossed.
    pub content: AnswerContent,
    /// Weights in use.
    pub artifact: Artifact,
    /// Priority in the batch.
    pub priority: PriorityClass,
    /// Index of the next token.
    pub next_index: u32,
    /// Number of tokens in the whole answer.
    pub end_index: u32,
    /// Time at which prefill ends.
    pub prefilled_at: Instant,
    /// Injected end of the stream, if any.
    pub break_point: Option<BreakPoint>,
    /// Channel for the events.
    pub sender: EventSender,
}

/// Request and attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunKey {
    /// Request of a caller.
    pub request: RequestId,
    /// Attempt at it.
    pub attempt: u32,
}

/// What the events of a generation contain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerContent {
    /// Request and attempt named in the events.
    pub run: RunKey,
    /// Seed of the tokens.
    pub seed: u64,
}

#[derive(Debug)]
struct QueuedGeneration {
    sequence: u64,
    served_step: u64,
    is_started: bool,
    generation: Generation,
}

/// Generations that run and wait.
#[derive(Debug)]
pub struct TokenBatch {
    options: BatchOptions,
    queue: Vec<QueuedGeneration>,
    sequence: u64,
    steps: u64,
    token_budget: f64,
    stepped_at: Option<Instant>,
    tokens: u64,
    runs: BTreeMap<RunKey, RunCount>,
}

impl TokenBatch {
    /// Creates an empty batch.
    pub fn new(options: BatchOptions) -> Self {
        Self {
            options,
            queue: Vec::new(),
            sequence: 0,
            steps: 0,
            token_budget: 0.0,
            stepped_at: None,
            tokens: 0,
            runs: BTreeMap::new(),
        }
    }

    /// Adds a generation unless too many wait already; returns whether it was added.
    pub fn push(&mut self, generation: Generation) -> bool {
        if self.queue.len() >= self.options.max_running + self.options.max_waiting {
            return false;
        }
        self.sequence += 1;
        self.queue.push(QueuedGeneration {
            sequence: self.sequence,
            served_step: self.steps,
            is_started: false,
            generation,
        });
        true
    }

    /// Stops every generation of a request; returns how many there were.
    pub fn cancel(&mut self, request: &RequestId) -> usize {
        self.fail_where("cancelled", |generation| generation.run.request == *request)
    }

    /// Fails every generation whose weights can no longer serve requests.
    pub fn fail_without_weights(&mut self, is_ready: impl Fn(&Artifact) -> bool) {
        self.fail_where("weights unloaded", |generation| !is_ready(&generation.artifact));
    }

    /// Generates the tokens that are due by now.
    pub fn step(&mut self, now: Instant) {
        let elapsed = self
            .stepped_at
            .map_or(self.options.step, |at| now.saturating_duration_since(at));
        self.stepped_at = Some(now);
        self.steps += 1;
        let max_budget = self.options.max_running as f64;
        self.token_budget =
            (self.token_budget + self.options.tokens_per_second * elapsed.as_secs_f64()).min(max_budget);
        self.queue.retain(|queued| !queued.generation.sender.is_closed());
        self.queue
            .sort_by_key(|queued| (queued.generation.priority, queued.sequence));
        let running = self.queue.len().min(self.options.max_running);
        self.queue[..running].sort_by_key(|queued| (queued.generation.priority, queued.served_step, queued.sequence));
        for position in 0..running {
            if self.token_budget < 1.0 {
                break;
            }
            self.serve(position, now);
        }
        self.queue.retain(|queued| !queued.generation.sender.is_closed());
    }

    /// Returns whether nothing runs or waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the number of running generations.
    pub fn running(&self) -> u32 {
        self.queue.len().min(self.options.max_running) as u32
    }

    /// Returns the number of waiting generations.
    pub fn waiting(&self) -> u32 {
        self.queue.len().saturating_sub(self.options.max_running) as u32
    }

    /// Returns the number of tokens generated.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the run counts of all attempts that ran.
    pub fn runs(&self) -> Vec<RunCount> {
        self.runs.values().cloned().collect()
    }

    fn serve(&mut self, position: usize, now: Instant) {
        let queued = &mut self.queue[position];
        if queued.generation.prefilled_at > now {
            return;
        }
        let key = &queued.generation.run;
        let count = self.runs.entry(key.clone()).or_insert_with(|| RunCount {
            request: key.request.clone(),
            attempt: key.attempt,
            runs: 0,
            tokens: 0,
            finished: 0,
        });
        if !queued.is_started {
            queued.is_started = true;
            count.runs += 1;
        }
        queued.served_step = self.steps;
        if queued.generation.send_next() {
            self.token_budget -= 1.0;
            self.tokens += 1;
            count.tokens += 1;
        }
        if queued.generation.is_whole() {
            queued.generation.finish();
            count.finished += 1;
        }
    }

    fn fail_where(&mut self, reason: &str, is_failed: impl Fn(&Generation) -> bool) -> usize {
        let before = self.queue.len();
        self.queue.retain(|queued| {
            let is_failed = is_failed(&queued.generation);
            if is_failed {
                queued.generation.fail(reason);
            }
            !is_failed
        });
        before - self.queue.len()
    }
}

impl Generation {
    /// Sends the next token, or ends the stream at its break point; returns whether a token was generated.
    fn send_next(&mut self) -> bool {
        if self.is_whole() {
            return false;
        }
        if let Some(point) = self.break_point.filter(|point| self.next_index >= point.index) {
            if point.is_abrupt {
                drop(self.sender.unbounded_send(Err(BrokenStream)));
            }
            self.sender.close_channel();
            return false;
        }
        let run = &self.content.run;
        self.send(&EngineEvent::Token {
            request: run.request.clone(),
            attempt: run.attempt,
            index: self.next_index,
            text: token_text(self.content.seed, self.next_index),
        });
        self.next_index += 1;
        true
    }

    fn is_whole(&self) -> bool {
        self.next_index >= self.end_index && !self.sender.is_closed()
    }

    fn finish(&self) {
        let run = &self.content.run;
        self.send(&EngineEvent::Done {
            request: run.request.clone(),
            attempt: run.attempt,
            tokens: self.end_index,
        });
        self.sender.close_channel();
    }

    fn fail(&self, reason: &str) {
        let run = &self.content.run;
        self.send(&EngineEvent::Failed {
            request: run.request.clone(),
            attempt: run.attempt,
            reason: reason.to_owned(),
        });
        self.sender.close_channel();
    }

    fn send(&self, event: &EngineEvent) {
        let text = serde_json::to_string(event).expect("events are plain data");
        // A send fails when the receiver was dropped; `step` then removes the generation.
        drop(self.sender.unbounded_send(Ok(Bytes::from(format!("data: {text}\n\n")))));
    }
}
