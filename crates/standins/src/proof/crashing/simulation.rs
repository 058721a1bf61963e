//! Nodes, runners that crash, and the faults between them, in virtual time.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use mustardgate_core::relay::{CrashDigest, CrashLedger, CrashSettings, InputId, RequestContent};
use rand::{Rng, SeedableRng, seq::IteratorRandom};
use rand_chacha::ChaCha8Rng;
use smol_str::format_smolstr;

use super::{
    messages::{MAX_ENTRIES, MessageContent, SimulatedMessage, answer},
    node::SimulatedNode,
};
use crate::proof::{
    GuaranteeViolation, GuardMode,
    cadence::{CONTACT_TIME, REPORT_INTERVAL_MS, message_time},
};

const STEP: Duration = Duration::from_millis(20);
const RUN_TIME: Duration = Duration::from_secs(50);
/// Time without faults at the end, over which sound requests are checked.
const CALM_TIME: Duration = Duration::from_secs(10);
const MAX_NODES: usize = 60;
/// Nodes that one node calls at once without a leader.
const MAX_EXCHANGES: usize = 6;
/// The rule: crashes, and sends that are allowed from the contact time after them.
const RULED_CRASHES: usize = 3;
const ALLOWED_SENDS: usize = 3;
/// Part of the sound requests that must not be refused in the calm time.
const MIN_SOUND_SHARE: f64 = 0.99;
/// Longest time of a message.
const MAX_MESSAGE_TIME: Duration = Duration::from_millis(400);

#[derive(Debug)]
struct SimulatedRunner {
    starts: u64,
    away_until: Instant,
}

#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    node: usize,
    runner: usize,
    input: InputId,
    ends_at: Instant,
    may_repeat: bool,
}

#[derive(Debug)]
pub(super) struct CrashSimulation {
    rng: ChaCha8Rng,
    guard: GuardMode,
    start: Instant,
    now: Instant,
    nodes: Vec<SimulatedNode>,
    runners: Vec<SimulatedRunner>,
    leader: Option<usize>,
    running: Vec<RunningRequest>,
    messages: Vec<SimulatedMessage>,
    /// Time between two returns of the crashing request.
    crash_interval: Duration,
    next_crash: Instant,
    next_unique: u64,
    /// The request under which runners crash.
    crashing: InputId,
    /// The sound request that a caller repeats.
    repeated: InputId,
    crash_times: Vec<Instant>,
    /// Sends of the crashing request by nodes in touch.
    sends: Vec<Instant>,
    calm_sound: (usize, usize),
    pub(super) counts: BTreeMap<&'static str, u64>,
}

fn input(target: &str) -> InputId {
    let content = RequestContent {
        method: "POST",
        host: "kitchen.example",
        target,
        account: b"",
        body: b"",
    };
    InputId::Request(content.digest(None))
}

impl CrashSimulation {
    pub(super) fn new(seed: u64, guard: GuardMode) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let start = Instant::now();
        let nodes = (0..rng.random_range(2..=MAX_NODES)).map(|number| SimulatedNode {
            ledger: CrashLedger::new(CrashSettings::default()).with_changes_from(1_000_000 * (number as u64 + 1)),
            next_report: start,
            is_cut: false,
            in_touch_since: start,
            seen: BTreeMap::new(),
            told: BTreeMap::new(),
            pushed: 0,
        });
        let nodes = nodes.collect();
        let runners = (0..rng.random_range(3..10)).map(|_| SimulatedRunner {
            starts: 1,
            away_until: start,
        });
        Self {
            nodes,
            runners: runners.collect(),
            guard,
            start,
            now: start,
            leader: Some(0),
            running: Vec::new(),
            messages: Vec::new(),
            crash_interval: Duration::from_millis(rng.random_range(100..2_500)),
            next_crash: start + Duration::from_millis(rng.random_range(2_000..10_000)),
            next_unique: 0,
            crashing: input("/crash"),
            repeated: input("/sound"),
            crash_times: Vec::new(),
            sends: Vec::new(),
            calm_sound: (0, 0),
            counts: BTreeMap::new(),
            rng,
        }
    }

    pub(super) fn run(&mut self) {
        while self.now < self.start + RUN_TIME {
            self.now += STEP;
            if self.now + CALM_TIME < self.start + RUN_TIME {
                self.fail();
            } else {
                self.heal();
            }
            self.deliver();
            self.finish_requests();
            for node in 0..self.nodes.len() {
                self.report(node);
            }
            self.send_requests();
        }
    }

    fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_default() += 1;
    }

    /// Brings faults about, each at its own rate.
    fn fail(&mut self) {
        if self.rng.random_bool(0.004) {
            self.leader = None;
            self.count("leaders lost");
        }
        if self.leader.is_none() && self.rng.random_bool(0.004) {
            self.elect();
        }
        if self.rng.random_bool(0.004) {
            let share = self.rng.random_range(0.0..0.5);
            for number in 0..self.nodes.len() {
                let is_cut = self.rng.random_bool(share);
                let node = &mut self.nodes[number];
                if node.is_cut && !is_cut {
                    node.in_touch_since = self.now;
                }
                node.is_cut = is_cut;
            }
            self.count("cuts");
        }
        if self.rng.random_bool(0.004) {
            // A wave of crashes that no request caused.
            let killed = self.rng.random_range(1..=self.runners.len());
            for runner in 0..killed {
                self.crash(runner);
            }
            self.count("waves");
        }
    }

    fn heal(&mut self) {
        for node in self.nodes.iter_mut().filter(|node| node.is_cut) {
            node.is_cut = false;
            node.in_touch_since = self.now;
        }
        if self.leader.is_none() {
            self.elect();
        }
    }

    fn elect(&mut self) {
        self.leader = Some(self.rng.random_range(0..self.nodes.len()));
    }

    /// Ends a runner and everything that runs there; each node blames what it had running.
    fn crash(&mut self, runner: usize) {
        if self.now < self.runners[runner].away_until {
            return;
        }
        let process = (format_smolstr!("engine-{runner}"), self.runners[runner].starts);
        let away_ms = self.rng.random_range(1_000..3_500);
        self.runners[runner].away_until = self.now + Duration::from_millis(away_ms);
        self.runners[runner].starts += 1;
        let broken: Vec<RunningRequest> = self
            .running
            .extract_if(.., |running| running.runner == runner)
            .collect();
        for request in broken {
            if self.guard == GuardMode::Removed {
                continue;
            }
            let node = &mut self.nodes[request.node];
            node.ledger.record_crash(self.now, &process, [request.input]);
            node.ledger.update(self.now);
            node.next_report = node.next_report.min(self.now + STEP);
            let is_repeated = node.ledger.is_repeated([request.input]);
            if request.may_repeat && !is_repeated {
                self.send(request.node, request.input, false);
            }
        }
    }

    fn finish_requests(&mut self) {
        let now = self.now;
        let ended: Vec<RunningRequest> = self.running.extract_if(.., |running| running.ends_at <= now).collect();
        for request in ended {
            if request.input == self.crashing {
                self.running.push(request);
                self.crash_times.push(now);
                self.crash(request.runner);
                self.count("crashes by the request");
            } else {
                self.nodes[request.node].ledger.record_sound(now, [request.input]);
            }
        }
    }

    fn report(&mut self, node: usize) {
        if self.now < self.nodes[node].next_report {
            return;
        }
        let interval = Duration::from_millis(self.rng.random_range(REPORT_INTERVAL_MS));
        self.nodes[node].next_report = self.now + interval;
        if self.nodes[node].is_cut {
            return;
        }
        self.nodes[node].ledger.update(self.now);
        let leader = self.leader.filter(|leader| !self.nodes[*leader].is_cut);
        let called = match leader {
            Some(leader) => vec![leader],
            None => (0..self.nodes.len()).choose_multiple(&mut self.rng, MAX_EXCHANGES),
        };
        let news = self.nodes[node]
            .ledger
            .news_page(self.now, self.nodes[node].pushed, MAX_ENTRIES);
        self.nodes[node].pushed = news.last;
        for other in called {
            if other == node || self.nodes[other].is_cut {
                continue;
            }
            let (digest, content) = if leader.is_some() {
                self.nodes[node].report_to(other, self.now)
            } else {
                let summary = self.nodes[node].ledger.summary(self.now);
                (news.digest.clone(), MessageContent::Exchange(summary))
            };
            self.send_message(node, other, digest, content);
        }
    }

    fn send_message(&mut self, sender: usize, receiver: usize, digest: CrashDigest, content: MessageContent) {
        let delay = message_time(&mut self.rng, MAX_MESSAGE_TIME);
        self.messages.push(SimulatedMessage {
            due_at: self.now + delay,
            receiver,
            sender,
            digest,
            content,
        });
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.messages.extract_if(.., |message| message.due_at <= now).collect();
        for message in due {
            let node = &mut self.nodes[message.receiver];
            node.ledger.merge(now, &message.digest);
            node.ledger.update(now);
            if let MessageContent::LeaderAnswer(last, is_complete) = message.content {
                node.seen.insert(message.sender, (last, is_complete));
            }
            if let Some((digest, content)) = answer(&node.ledger, now, &message.content) {
                self.send_message(message.receiver, message.sender, digest, content);
            }
        }
    }

    fn send_requests(&mut self) {
        if self.now >= self.next_crash {
            self.next_crash = self.now + self.crash_interval;
            let node = self.rng.random_range(0..self.nodes.len());
            self.offer(node, self.crashing, true);
        }
        for node in 0..self.nodes.len() {
            if self.rng.random_bool(0.05) {
                self.next_unique += 1;
                let unique = input(&format!("/sound/{}", self.next_unique));
                self.offer(node, unique, true);
            }
            // A caller repeats this one all the time, through any node.
            if self.rng.random_bool(0.02) {
                self.offer(node, self.repeated, true);
            }
        }
    }

    /// Sends a request unless it is quarantined.
    fn offer(&mut self, node: usize, offered: InputId, may_repeat: bool) {
        let is_refused = self.nodes[node].ledger.refuses(self.now, [offered]);
        let is_sound = offered != self.crashing;
        if is_sound && self.now + CALM_TIME / 2 >= self.start + RUN_TIME {
            self.calm_sound.0 += 1;
            self.calm_sound.1 += usize::from(!is_refused);
        }
        if is_refused {
            self.count(if is_sound { "sound refused" } else { "crashing refused" });
            return;
        }
        self.send(node, offered, may_repeat);
    }

    fn send(&mut self, node: usize, sent: InputId, may_repeat: bool) {
        let now = self.now;
        let alive = (0..self.runners.len()).filter(|runner| self.runners[*runner].away_until <= now);
        let Some(runner) = alive.choose(&mut self.rng) else {
            return;
        };
        let is_in_touch = !self.nodes[node].is_cut && now >= self.nodes[node].in_touch_since + CONTACT_TIME;
        if sent == self.crashing && (is_in_touch || now < self.start + CONTACT_TIME) {
            self.sends.push(now);
        }
        let ends_at = now + Duration::from_millis(self.rng.random_range(20..120));
        self.running.push(RunningRequest {
            node,
            runner,
            input: sent,
            ends_at,
            may_repeat,
        });
    }

    /// Checks the sends of the crashing request that the rule counts.
    pub(super) fn check_sends(&self) -> Result<(), GuaranteeViolation> {
        let Some(third) = self.crash_times.get(RULED_CRASHES - 1) else {
            return Ok(());
        };
        let late = self.sends.iter().filter(|at| **at >= *third + CONTACT_TIME).count();
        if late <= ALLOWED_SENDS {
            return Ok(());
        }
        Err(GuaranteeViolation {
            guarantee: "a request that crashes runners is sent no more",
            detail: format!(
                "{late} sends by {} nodes, {} crashes, the third at {} ms",
                self.nodes.len(),
                self.crash_times.len(),
                (*third - self.start).as_millis(),
            ),
        })
    }

    /// Checks that sound requests are not refused in the calm time.
    pub(super) fn check_sound(&self) -> Result<(), GuaranteeViolation> {
        let (offered, sent) = self.calm_sound;
        if sent as f64 >= offered as f64 * MIN_SOUND_SHARE {
            return Ok(());
        }
        Err(GuaranteeViolation {
            guarantee: "sound requests go on",
            detail: format!("{sent} of {offered} were sent"),
        })
    }
}
