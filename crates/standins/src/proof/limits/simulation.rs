//! Nodes, runners and the faults between them, in virtual time.

use std::time::{Duration, Instant};

use mustardgate_core::{
    ids::RunnerProcess,
    relay::{LimitObservation, LimitStatement},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::format_smolstr;

use super::node::{MAX_MESSAGE_TIME, SimulatedNode};
use crate::proof::{
    GuaranteeViolation, GuardMode,
    cadence::{CONTACT_TIME, REPORT_INTERVAL_MS, message_time},
};

const STEP: Duration = Duration::from_millis(10);
/// Time in which nodes fail, are cut off and come back.
const FAULTY_TIME: Duration = Duration::from_secs(40);
/// Time without faults at the end, over which the use of limited runners is checked.
const CALM_TIME: Duration = Duration::from_secs(30);
/// Part of the calm time in which the nodes find each other again.
const SETTLING_TIME: Duration = Duration::from_secs(10);
const RUNNERS: usize = 3;
const MAX_NODES: usize = 120;
/// The rule, which holds from the contact time after the first statement: time after a node was told from which it
/// counts, and the arrivals allowed in a window.
const TOLD_TIME: Duration = Duration::from_millis(500);
const RULED_WINDOW: Duration = Duration::from_secs(4);
const RULED_FACTOR: f64 = 1.5;
const RULED_EXTRA: f64 = 5.0;
/// Part of its limit that a runner must get while more is asked for.
const MIN_USE: f64 = 0.5;

#[derive(Debug)]
struct SimulatedRunner {
    process: RunnerProcess,
    rate: f64,
    /// When it states its limit, and until when.
    limited: (Instant, Instant),
    /// Requests from nodes that had been told of the limit, by time.
    arrivals: Vec<Instant>,
    /// All requests, by time.
    all_arrivals: Vec<Instant>,
}

/// Something on its way.
#[derive(Debug)]
enum Message {
    Answer {
        node: usize,
        runner: usize,
        statement: LimitStatement,
        sent_at: Instant,
    },
    Report {
        limits: Vec<LimitObservation>,
    },
    Leader {
        node: usize,
        nodes: u32,
        limits: Vec<LimitObservation>,
    },
}

#[derive(Debug)]
pub(super) struct LimitSimulation {
    rng: ChaCha8Rng,
    guard: GuardMode,
    start: Instant,
    now: Instant,
    nodes: Vec<SimulatedNode>,
    runners: Vec<SimulatedRunner>,
    /// Leading node and its term.
    leader: Option<(usize, u64)>,
    terms: u64,
    messages: Vec<(Instant, Message)>,
    /// Probability that a node wants to send to a runner in one step.
    demand: f64,
    permits: u64,
    slots: u64,
    refusals: u64,
}

impl LimitSimulation {
    pub(super) fn new(seed: u64, guard: GuardMode) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let start = Instant::now();
        let node_count = rng.random_range(2..=MAX_NODES);
        let runners = (0..RUNNERS).map(|number| {
            let from = start + Duration::from_millis(rng.random_range(1_000..12_000));
            SimulatedRunner {
                process: (format_smolstr!("engine-{number}"), 1),
                rate: 10_f64.powf(rng.random_range(-0.7..1.3)),
                limited: (from, start + FAULTY_TIME + CALM_TIME),
                arrivals: Vec::new(),
                all_arrivals: Vec::new(),
            }
        });
        let runners = runners.collect();
        // Each node alone asks for about as much as the limits allow all of them, or for far less.
        let demand = rng.random_range(0.02..0.3);
        Self {
            nodes: (0..node_count).map(|_| SimulatedNode::new(RUNNERS)).collect(),
            runners,
            guard,
            start,
            now: start,
            leader: Some((0, 1)),
            terms: 1,
            messages: Vec::new(),
            demand,
            permits: 0,
            slots: 0,
            refusals: 0,
            rng,
        }
    }

    pub(super) fn run(&mut self) {
        while self.now < self.start + FAULTY_TIME {
            self.fail();
            self.step();
        }
        for node in &mut self.nodes {
            node.reaches_leader = true;
        }
        self.elect();
        while self.now < self.start + FAULTY_TIME + CALM_TIME {
            self.step();
        }
    }

    /// Brings faults about, each at its own rate.
    fn fail(&mut self) {
        if self.rng.random_bool(0.001) {
            self.leader = None;
        }
        if self.leader.is_none() && self.rng.random_bool(0.004) {
            self.elect();
        }
        if self.rng.random_bool(0.002) {
            // A part of the nodes loses the leader, which some cut off before reach again.
            let share = self.rng.random_range(0.0..0.8);
            for node in &mut self.nodes {
                node.reaches_leader = self.rng.random_bool(1.0 - share);
            }
        }
        if self.rng.random_bool(0.001) {
            let restarted = self.rng.random_range(0..self.nodes.len());
            self.nodes[restarted] = SimulatedNode::new(RUNNERS);
            if self.leader.is_some_and(|(leader, _)| leader == restarted) {
                self.leader = None;
            }
        }
    }

    fn elect(&mut self) {
        self.terms += 1;
        let node = self.rng.random_range(0..self.nodes.len());
        self.nodes[node].reaches_leader = true;
        self.leader = Some((node, self.terms));
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for node in 0..self.nodes.len() {
            self.report(node);
            for runner in 0..RUNNERS {
                if self.rng.random_bool(self.demand) {
                    self.send(node, runner);
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        for (_, message) in self
            .messages
            .extract_if(.., |(due_at, _)| *due_at <= now)
            .collect::<Vec<_>>()
        {
            match message {
                Message::Answer {
                    node,
                    runner,
                    statement,
                    sent_at,
                } => {
                    let process = self.runners[runner].process.clone();
                    self.nodes[node].receive(now, runner, &process, statement, sent_at);
                }
                Message::Report { limits } => {
                    if let Some((leader, _)) = self.leader {
                        self.nodes[leader].ledger.merge(now, &limits, MAX_MESSAGE_TIME);
                    }
                }
                Message::Leader { node, nodes, limits } => {
                    let node = &mut self.nodes[node];
                    node.ledger.merge(now, &limits, MAX_MESSAGE_TIME);
                    node.largest_node_count = node.largest_node_count.max(nodes);
                }
            }
        }
    }

    fn report(&mut self, node: usize) {
        if self.nodes[node].next_report.is_some_and(|at| self.now < at) {
            return;
        }
        let interval = Duration::from_millis(self.rng.random_range(REPORT_INTERVAL_MS));
        self.nodes[node].next_report = Some(self.now + interval);
        let Some((leader, _)) = self.leader.filter(|_| self.nodes[node].reaches_leader) else {
            return;
        };
        let limits = self.nodes[node].ledger.own_observations(self.now);
        let delay = message_time(&mut self.rng, MAX_MESSAGE_TIME);
        self.messages.push((self.now + delay, Message::Report { limits }));
        let reached = self.nodes.iter().filter(|node| node.reaches_leader).count();
        let answer = Message::Leader {
            node,
            nodes: reached as u32,
            limits: self.nodes[leader].ledger.all_observations(self.now),
        };
        let delay = message_time(&mut self.rng, MAX_MESSAGE_TIME);
        self.messages.push((self.now + delay, answer));
    }

    fn send(&mut self, node: usize, runner: usize) {
        let now = self.now;
        if self.nodes[node].held_until[runner].is_some_and(|until| now < until) {
            return;
        }
        if let Err(delay) = self.obtain_permit(node, runner) {
            self.refusals += 1;
            let draw = self.rng.random();
            return self.nodes[node].hold(runner, now, delay, draw);
        }
        // The request is on its way for up to half a second, for example while a connection is made.
        let arrives_at = now + message_time(&mut self.rng, MAX_MESSAGE_TIME).min(Duration::from_millis(500));
        let target = &mut self.runners[runner];
        let is_limited = (target.limited.0..target.limited.1).contains(&arrives_at);
        let statement = if is_limited {
            LimitStatement::PerSecond(target.rate)
        } else {
            LimitStatement::Unlimited
        };
        target.all_arrivals.push(arrives_at);
        let is_told = self.nodes[node].told_at[runner].is_some_and(|at| now >= at + TOLD_TIME);
        if is_limited && is_told && now >= target.limited.0 + CONTACT_TIME {
            target.arrivals.push(arrives_at);
        }
        let answer_time = Duration::from_millis(self.rng.random_range(5..900));
        let answer = Message::Answer {
            node,
            runner,
            statement,
            sent_at: now,
        };
        self.messages.push((arrives_at + answer_time, answer));
    }

    fn obtain_permit(&mut self, node: usize, runner: usize) -> Result<(), Duration> {
        let process = self.runners[runner].process.clone();
        let Some(limit) = self.nodes[node].ledger.limited(self.now, &process) else {
            return Ok(());
        };
        if let Some((leader, term)) = self.leader
            && self.guard == GuardMode::Enforced
            && (leader == node || self.nodes[node].reaches_leader)
        {
            self.permits += 1;
            return self.nodes[leader].issue(self.now, term, &limit);
        }
        self.slots += 1;
        let draw = self.rng.random();
        self.nodes[node].use_slot(self.now, &process, draw, self.guard)
    }

    /// Checks the arrivals in every window of the rule.
    pub(super) fn check_limits(&self) -> Result<(), GuaranteeViolation> {
        for runner in &self.runners {
            let allowed = RULED_FACTOR * runner.rate * RULED_WINDOW.as_secs_f64() + RULED_EXTRA;
            let mut arrivals = runner.arrivals.clone();
            arrivals.sort_unstable();
            for (index, from) in arrivals.iter().enumerate() {
                let in_window = arrivals[index..].partition_point(|at| *at < *from + RULED_WINDOW);
                if in_window as f64 > allowed {
                    return Err(GuaranteeViolation {
                        guarantee: "a rate limit binds all nodes together",
                        detail: format!(
                            "{} nodes sent {in_window} requests in a window from {} ms, allowed {allowed:.1} at {:.2}",
                            self.nodes.len(),
                            (*from - self.start).as_millis(),
                            runner.rate,
                        ),
                    });
                }
            }
        }
        Ok(())
    }

    /// Checks that limited runners are used in the calm time, in which more is asked for than they take.
    pub(super) fn check_use(&self) -> Result<(), GuaranteeViolation> {
        let from = self.start + FAULTY_TIME + SETTLING_TIME;
        let checked_s = CALM_TIME.as_secs_f64() - SETTLING_TIME.as_secs_f64();
        let wanted = self.demand * self.nodes.len() as f64 / STEP.as_secs_f64();
        for runner in &self.runners {
            let count = runner.all_arrivals.iter().filter(|at| **at >= from).count();
            let expected = runner.rate.min(wanted) * checked_s * MIN_USE - 1.0;
            if (count as f64) < expected {
                return Err(GuaranteeViolation {
                    guarantee: "a limited runner is not starved",
                    detail: format!(
                        "{count} requests, expected {expected:.1} at {:.2} a second",
                        runner.rate
                    ),
                });
            }
        }
        Ok(())
    }

    pub(super) fn counts(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let arrivals = self.runners.iter().map(|runner| runner.arrivals.len() as u64).sum();
        [
            ("arrivals", arrivals),
            ("permits asked for", self.permits),
            ("slots asked for", self.slots),
            ("refusals", self.refusals),
            ("terms", self.terms),
        ]
        .into_iter()
    }
}
