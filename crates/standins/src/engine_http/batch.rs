//! Continuous batching: every step gives running generations one token each, the most urgent first.

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
    /// Tokens of all generations together in a second.
    pub tokens_per_second: f64,
    /// Generations that run at once.
    pub max_running: usize,
    /// Generations that wait at most; more are refused.
    pub max_waiting: usize,
    /// Time between two tokens of one generation.
    pub step: Duration,
}

/// Receives the events of one generation as server-sent events.
pub type EventSender = UnboundedSender<Result<Bytes, BrokenStream>>;

/// Where and how a stream breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BreakPoint {
    /// Index of the first token that is not sent.
    pub index: u32,
    /// Whether the connection breaks; otherwise the stream ends in order without its last event.
    pub is_abrupt: bool,
}

/// One generation.
#[derive(Debug)]
pub struct Generation {
    /// Request and attempt that it really is for.
    pub run: RunKey,
    /// Request, attempt and seed that its events carry; another request's when answers are crossed.
    pub shown: ShownAnswer,
    /// Weights in use.
    pub artifact: Artifact,
    /// Priority in the batch.
    pub priority: PriorityClass,
    /// Index of the next token.
    pub next_index: u32,
    /// Number of tokens in the whole answer.
    pub end_index: u32,
    /// When the prompt has been read.
    pub prefilled_at: Instant,
    /// Injected break, if any.
    pub break_point: Option<BreakPoint>,
    /// Where events go.
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

/// What the events of a generation say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShownAnswer {
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
    budget: f64,
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
            budget: 0.0,
            stepped_at: None,
            tokens: 0,
            runs: BTreeMap::new(),
        }
    }

    /// Adds a generation unless too many wait already; returns whether it was taken.
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

    /// Breaks off every generation whose weights cannot answer any more.
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
        self.budget = (self.budget + self.options.tokens_per_second * elapsed.as_secs_f64()).min(max_budget);
        self.queue.retain(|queued| !queued.generation.sender.is_closed());
        self.queue
            .sort_by_key(|queued| (queued.generation.priority, queued.sequence));
        let running = self.queue.len().min(self.options.max_running);
        self.queue[..running].sort_by_key(|queued| (queued.generation.priority, queued.served_step, queued.sequence));
        for position in 0..running {
            if self.budget < 1.0 {
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

    /// Returns what ran.
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
            self.budget -= 1.0;
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
    /// Sends the next token, or breaks the stream where the fault says; returns whether a token was generated.
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
        let run = &self.shown.run;
        self.send(&EngineEvent::Token {
            request: run.request.clone(),
            attempt: run.attempt,
            index: self.next_index,
            text: token_text(self.shown.seed, self.next_index),
        });
        self.next_index += 1;
        true
    }

    fn is_whole(&self) -> bool {
        self.next_index >= self.end_index && !self.sender.is_closed()
    }

    fn finish(&self) {
        let run = &self.shown.run;
        self.send(&EngineEvent::Done {
            request: run.request.clone(),
            attempt: run.attempt,
            tokens: self.end_index,
        });
        self.sender.close_channel();
    }

    fn fail(&self, reason: &str) {
        let run = &self.shown.run;
        self.send(&EngineEvent::Failed {
            request: run.request.clone(),
            attempt: run.attempt,
            reason: reason.to_owned(),
        });
        self.sender.close_channel();
    }

    fn send(&self, event: &EngineEvent) {
        let text = serde_json::to_string(event).expect("events are plain data");
        // A receiver that is gone is noticed at the next step.
        drop(self.sender.unbounded_send(Ok(Bytes::from(format!("data: {text}\n\n")))));
    }
}
