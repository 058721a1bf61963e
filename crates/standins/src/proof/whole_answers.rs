//! Proof that a caller gets the whole answer to its own request, or is told that the answer was interrupted.

use std::collections::BTreeMap;

use mustardgate_core::{
    ids::RequestId,
    streams::{AnswerAction, AnswerAssembler, AnswerEvent, AnswerPart},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::format_smolstr;

use super::{GuaranteeViolation, GuardMode, ProofCount, ProofFigures, ProofScenario};

const REQUEST_COUNT: usize = 12;
const MAX_TOKENS: u32 = 40;
const MAX_RESUMES: u32 = 6;
const MAX_STEPS: u64 = 4_000;
const MAX_LATE_STEPS: u64 = 60;

/// Streams with late, misdelivered, duplicated or missing events, and streams that are cut short.
#[derive(Debug)]
pub struct WholeAnswersScenario;

impl ProofScenario for WholeAnswersScenario {
    fn name(&self) -> &'static str {
        "whole-answers"
    }

    fn run(&self, seed: u64, guard: GuardMode) -> Result<ProofFigures, GuaranteeViolation> {
        let mut simulation = StreamSimulation::new(seed, guard);
        for step in 0..MAX_STEPS {
            simulation.advance(step);
        }
        simulation.check()
    }
}

/// State of one request and of the answer that its caller received.
#[derive(Debug)]
struct CallerStream {
    request: RequestId,
    tokens: u32,
    assembler: AnswerAssembler,
    received: Vec<String>,
    end: Option<AnswerEnd>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerEnd {
    Whole,
    Broken,
}

/// A message in flight to one of the callers.
#[derive(Debug)]
struct InFlight {
    target: usize,
    message: Message,
}

#[derive(Debug)]
enum Message {
    Event(AnswerEvent),
    Closed { attempt: u32 },
}

#[derive(Debug)]
struct StreamSimulation {
    rng: ChaCha8Rng,
    guard: GuardMode,
    callers: Vec<CallerStream>,
    network: BTreeMap<(u64, u64), InFlight>,
    messages: u64,
    faults: u64,
    resumes: u64,
}

impl StreamSimulation {
    fn new(seed: u64, guard: GuardMode) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let callers = (0..REQUEST_COUNT).map(|index| {
            let request = format_smolstr!("r{index}");
            CallerStream {
                assembler: AnswerAssembler::new(request.clone(), MAX_RESUMES),
                request,
                tokens: rng.random_range(0..MAX_TOKENS),
                received: Vec::new(),
                end: None,
            }
        });
        let mut simulation = Self {
            callers: callers.collect(),
            rng,
            guard,
            network: BTreeMap::new(),
            messages: 0,
            faults: 0,
            resumes: 0,
        };
        for target in 0..REQUEST_COUNT {
            simulation.start_attempt(target, 0, 0);
        }
        simulation
    }

    /// Starts an attempt that sends the tokens from index `from` on, with faults in transit.
    fn start_attempt(&mut self, target: usize, from: u32, step: u64) {
        let caller = &mut self.callers[target];
        let attempt = caller.assembler.begin_attempt();
        let (request, tokens) = (caller.request.clone(), caller.tokens);
        let cut_at = self.rng.random_bool(0.2).then(|| self.rng.random_range(0..=tokens));
        let mut at = step + self.rng.random_range(1..4);
        for index in from..tokens {
            if cut_at == Some(index) {
                break;
            }
            let text = token_text(&request, index);
            self.send(target, at, event(&request, attempt, AnswerPart::Token { index, text }));
            at += self.rng.random_range(0..2);
        }
        let is_cut = cut_at.is_some_and(|cut| cut >= from && cut < tokens);
        if is_cut {
            self.faults += 1;
        } else if self.rng.random_bool(0.05) {
            self.send(target, at, event(&request, attempt, AnswerPart::Failed));
        } else {
            self.send(target, at, event(&request, attempt, AnswerPart::Done { tokens }));
        }
        self.enqueue(target, at + MAX_LATE_STEPS, Message::Closed { attempt });
    }

    fn send(&mut self, target: usize, at: u64, event: AnswerEvent) {
        let fault = self.rng.random_range(0..100);
        self.faults += u64::from(fault < 8);
        match fault {
            0 | 1 => {}
            2 | 3 => {
                self.enqueue(target, at, Message::Event(event.clone()));
                self.enqueue(target, at + 3, Message::Event(event));
            }
            4 | 5 => {
                let other = self.rng.random_range(0..REQUEST_COUNT);
                self.enqueue(other, at, Message::Event(event.clone()));
                self.enqueue(target, at, Message::Event(event));
            }
            6 | 7 => {
                let late = at + self.rng.random_range(1..MAX_LATE_STEPS);
                self.enqueue(target, late, Message::Event(event));
            }
            _ => self.enqueue(target, at, Message::Event(event)),
        }
    }

    fn enqueue(&mut self, target: usize, at: u64, message: Message) {
        self.messages += 1;
        self.network.insert((at, self.messages), InFlight { target, message });
    }

    fn advance(&mut self, step: u64) {
        while let Some(first) = self.network.first_entry()
            && first.key().0 <= step
        {
            let in_flight = first.remove();
            self.receive(in_flight, step);
        }
    }

    fn receive(&mut self, in_flight: InFlight, step: u64) {
        let caller = &mut self.callers[in_flight.target];
        if self.guard == GuardMode::Removed {
            caller.receive_without_assembler(in_flight.message);
            return;
        }
        let action = match in_flight.message {
            Message::Event(event) => caller.assembler.accept(event),
            Message::Closed { attempt } => caller.assembler.connection_closed(attempt),
        };
        match action {
            Some(AnswerAction::Forward { text, .. }) => caller.received.push(text),
            Some(AnswerAction::Finish { .. }) => caller.end = Some(AnswerEnd::Whole),
            Some(AnswerAction::Fail { .. }) => caller.end = Some(AnswerEnd::Broken),
            Some(AnswerAction::Resume { from }) => {
                self.resumes += 1;
                self.start_attempt(in_flight.target, from, step);
            }
            None => {}
        }
    }

    fn check(self) -> Result<ProofFigures, GuaranteeViolation> {
        for caller in &self.callers {
            caller.check()?;
        }
        let whole = self
            .callers
            .iter()
            .filter(|caller| caller.end == Some(AnswerEnd::Whole));
        let sum = |count: fn(&AnswerAssembler) -> u64| self.callers.iter().map(|caller| count(&caller.assembler)).sum();
        let counts = [
            ("crossed", sum(|assembler| assembler.counters().crossed)),
            ("duplicates", sum(|assembler| assembler.counters().duplicates)),
            ("faults", self.faults),
            ("gaps", sum(|assembler| assembler.counters().gaps)),
            ("late", sum(|assembler| assembler.counters().late)),
            ("requests", self.callers.len() as u64),
            ("resumes", self.resumes),
            ("whole", whole.count() as u64),
        ];
        let counts = counts.into_iter().map(|(name, value)| ProofCount { name, value });
        Ok(ProofFigures {
            counts: counts.collect(),
        })
    }
}

impl CallerStream {
    /// Forwards every event unchecked, as a gateway without the assembler would.
    fn receive_without_assembler(&mut self, message: Message) {
        if self.end.is_some() {
            return;
        }
        match message {
            Message::Event(event) => match event.part {
                AnswerPart::Token { text, .. } => self.received.push(text),
                AnswerPart::Done { .. } => self.end = Some(AnswerEnd::Whole),
                AnswerPart::Failed => self.end = Some(AnswerEnd::Broken),
            },
            Message::Closed { .. } => self.end = Some(AnswerEnd::Whole),
        }
    }

    fn check(&self) -> Result<(), GuaranteeViolation> {
        let expected: Vec<String> = (0..self.tokens).map(|index| token_text(&self.request, index)).collect();
        let detail = match self.end {
            None => format!("{} neither completed nor failed", self.request),
            Some(AnswerEnd::Whole) if self.received != expected => {
                format!("{} got {:?} for {} tokens", self.request, self.received, self.tokens)
            }
            Some(AnswerEnd::Broken) if !expected.starts_with(&self.received) => {
                format!("{} got {:?} before it was interrupted", self.request, self.received)
            }
            Some(_) => return Ok(()),
        };
        Err(GuaranteeViolation {
            guarantee: "a caller gets the whole answer to its own request",
            detail,
        })
    }
}

fn event(request: &RequestId, attempt: u32, part: AnswerPart) -> AnswerEvent {
    AnswerEvent {
        request: request.clone(),
        attempt,
        part,
    }
}

fn token_text(request: &RequestId, index: u32) -> String {
    format!("{request}:{index}")
}
