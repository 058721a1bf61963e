//! Nodes that lose their links to runners, and runners that fail alone, in virtual time.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use mustardgate_core::relay::LinkMonitor;
use rand::{Rng, SeedableRng, seq::IteratorRandom};
use rand_chacha::ChaCha8Rng;
use smol_str::format_smolstr;

use crate::proof::{GuaranteeViolation, GuardMode, cadence::CONTACT_TIME};

const STEP: Duration = Duration::from_millis(10);
const RUN_TIME: Duration = Duration::from_secs(60);
const MAX_NODES: usize = 30;
/// Time between two looks at the link, and between two probes while it is cut.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a connection or a probe that hangs is given up, and runners asked in each round of a check.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
const ROUND: usize = 3;
const MAX_PROBES: usize = 6;
/// Other nodes that are asked for one request, and time for which one that could not help is not asked again.
const MAX_HELPERS: usize = 3;
const REST_TIME: Duration = Duration::from_secs(1);
/// Time for which one that helped is asked before others, and share of the requests that try others first.
const PROOF_TIME: Duration = Duration::from_secs(5);
const TRIAL_SHARE: f64 = 0.1;
/// The rule on first tries at nodes that are cut off: this many may fail, and one in fifty.
const ALLOWED_FAILURES: usize = 10;

/// How a cut looks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CutLook {
    Hanging,
    Reset,
    NewOnly,
}

/// A check of the link: when it ends, what it finds, and whether there was a cut when it began.
#[derive(Clone, Copy, Debug)]
struct RunningCheck {
    ends_at: Instant,
    asked: usize,
    answered: usize,
    is_cut: bool,
}

#[derive(Debug)]
struct SimulatedNode {
    monitor: LinkMonitor,
    cut: Option<(CutLook, Instant)>,
    /// Whether it has idle connections to runners; they live on in one look of a cut.
    has_connections: bool,
    next_look: Instant,
    /// A check that is under way.
    check: Option<RunningCheck>,
    /// When each request that hangs ends unanswered, and at which runner.
    hanging: Vec<(Instant, usize)>,
    /// Until when each other node is not asked that could not help.
    resting: BTreeMap<usize, Instant>,
    /// When each other node last helped.
    helped: BTreeMap<usize, Instant>,
}

#[derive(Debug)]
pub(super) struct CutSimulation {
    rng: ChaCha8Rng,
    guard: GuardMode,
    start: Instant,
    now: Instant,
    nodes: Vec<SimulatedNode>,
    /// Until when each runner is silent or gone.
    silent_until: Vec<Instant>,
    /// Cuts that were seen where there was none.
    false_alarms: u64,
    tries: (usize, usize),
    pub(super) counts: BTreeMap<&'static str, u64>,
}

impl CutSimulation {
    pub(super) fn new(seed: u64, guard: GuardMode) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let start = Instant::now();
        let nodes = (0..rng.random_range(3..=MAX_NODES)).map(|_| SimulatedNode {
            monitor: LinkMonitor::default(),
            cut: None,
            has_connections: true,
            next_look: start,
            check: None,
            hanging: Vec::new(),
            resting: BTreeMap::new(),
            helped: BTreeMap::new(),
        });
        Self {
            nodes: nodes.collect(),
            silent_until: vec![start; rng.random_range(4..20)],
            guard,
            start,
            now: start,
            false_alarms: 0,
            tries: (0, 0),
            counts: BTreeMap::new(),
            rng,
        }
    }

    pub(super) fn run(&mut self) {
        while self.now < self.start + RUN_TIME {
            self.now += STEP;
            self.fail();
            for node in 0..self.nodes.len() {
                self.end_hanging(node);
                self.watch(node);
                if self.rng.random_bool(0.15) {
                    self.try_request(node);
                }
            }
        }
    }

    fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_default() += 1;
    }

    /// Cuts nodes off, heals them, and silences single runners or half of them.
    fn fail(&mut self) {
        let now = self.now;
        if self.rng.random_bool(0.001) {
            let share = self.rng.random_range(0.1..0.7);
            let look = [CutLook::Hanging, CutLook::Reset, CutLook::NewOnly][self.rng.random_range(0..3)];
            // At least one node is left to help.
            for number in 1..self.nodes.len() {
                if self.nodes[number].cut.is_none() && self.rng.random_bool(share) {
                    self.nodes[number].cut = Some((look, now));
                    self.count("cuts");
                }
            }
        }
        if self.rng.random_bool(0.002) {
            for node in &mut self.nodes {
                node.cut = None;
            }
        }
        if self.rng.random_bool(0.005) {
            let half = self.silent_until.len() / 2;
            let silenced = if self.rng.random_bool(0.2) { half } else { 1 };
            let silent_time = Duration::from_millis(self.rng.random_range(300..2_000));
            let silent = self.silent_until.iter().filter(|until| **until > now).count();
            // Never more than half of them, or a cut and a failure of the runners could not be told apart.
            let silenced = silenced.min(half.saturating_sub(silent));
            for runner in (0..self.silent_until.len()).choose_multiple(&mut self.rng, silenced) {
                self.silent_until[runner] = now + silent_time;
                self.count("silent runners");
            }
        }
    }

    fn reaches(&self, node: usize, runner: usize) -> bool {
        self.nodes[node].cut.is_none() && self.silent_until[runner] <= self.now
    }

    fn end_hanging(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        for (_, runner) in node.hanging.extract_if(.., |(at, _)| *at <= now) {
            node.monitor.record_failure(now, &format_smolstr!("engine-{runner}"));
            node.monitor.end_wait();
        }
    }

    /// Checks and probes as the node's task does.
    fn watch(&mut self, number: usize) {
        let now = self.now;
        if let Some(check) = self.nodes[number].check.take_if(|check| check.ends_at <= now) {
            let node = &mut self.nodes[number];
            if node.monitor.record_check(now, check.asked, check.answered) {
                node.has_connections = false;
                self.false_alarms += u64::from(!check.is_cut);
                self.count("cuts noticed");
            }
        }
        let is_suspected = self.nodes[number].monitor.needs_check(now);
        if self.nodes[number].check.is_some() || (now < self.nodes[number].next_look && !is_suspected) {
            return;
        }
        let order = (0..self.silent_until.len()).choose_multiple(&mut self.rng, MAX_PROBES);
        let is_cut = self.nodes[number].monitor.is_cut();
        self.nodes[number].next_look = now + if is_cut { PROBE_INTERVAL } else { CHECK_INTERVAL };
        if is_cut {
            for runner in order.into_iter().take(2) {
                let is_answered = self.reaches(number, runner);
                self.nodes[number].monitor.record_probe(now, is_answered);
                if !is_answered {
                    break;
                }
            }
        } else if is_suspected {
            let is_slow = !matches!(self.nodes[number].cut, Some((CutLook::Reset | CutLook::NewOnly, _)));
            let (mut asked, mut answered, mut ends_at) = (0, 0, now);
            for round in order.chunks(ROUND) {
                asked += round.len();
                answered += round.iter().filter(|runner| self.reaches(number, **runner)).count();
                ends_at += if answered == 0 && is_slow { PROBE_TIMEOUT } else { STEP };
                if answered > 0 {
                    break;
                }
            }
            self.nodes[number].check = Some(RunningCheck {
                ends_at,
                asked,
                answered,
                is_cut: self.nodes[number].cut.is_some(),
            });
            self.count("checks");
        }
    }

    fn try_request(&mut self, number: usize) {
        let draw = self.rng.random();
        let uses_neighbours =
            self.guard == GuardMode::Enforced && self.nodes[number].monitor.uses_neighbours(self.now, draw);
        let is_served = if uses_neighbours {
            self.count("requests through other nodes");
            self.serve_through(number)
        } else {
            self.serve_directly(number)
        };
        let is_bound = self.nodes[number]
            .cut
            .is_some_and(|(_, since)| self.now >= since + CONTACT_TIME);
        if is_bound {
            self.tries.0 += 1;
            self.tries.1 += usize::from(is_served);
        }
    }

    fn serve_directly(&mut self, number: usize) -> bool {
        let now = self.now;
        let runner = self.rng.random_range(0..self.silent_until.len());
        let is_silent = self.silent_until[runner] > now;
        let node = &mut self.nodes[number];
        let lives_on = matches!(node.cut, Some((CutLook::NewOnly, _))) && node.has_connections;
        match node.cut {
            _ if is_silent => {}
            None => {
                node.has_connections = true;
                node.monitor.record_contact(now, true);
                return true;
            }
            Some(_) if lives_on => {
                // Connections are closed one after the other, and cannot be replaced.
                node.has_connections = !self.rng.random_bool(0.2);
                node.monitor.record_contact(now, false);
                return true;
            }
            Some((CutLook::Reset | CutLook::NewOnly, _)) => {
                node.monitor.record_failure(now, &format_smolstr!("engine-{runner}"));
                return false;
            }
            Some((CutLook::Hanging, _)) => {}
        }
        node.monitor.begin_wait(now);
        node.hanging.push((now + CONNECT_TIMEOUT, runner));
        false
    }

    /// Asks other nodes in turn; those that are cut off and know it refuse, and are not asked again for a while.
    fn serve_through(&mut self, number: usize) -> bool {
        let now = self.now;
        let is_resting = |other: &usize| self.nodes[number].resting.get(other).is_some_and(|until| *until > now);
        let others = (0..self.nodes.len()).filter(|other| *other != number && !is_resting(other));
        let has_helped = |other: &usize| {
            self.nodes[number]
                .helped
                .get(other)
                .is_some_and(|at| now - *at < PROOF_TIME)
        };
        let (proven, others): (Vec<usize>, Vec<usize>) = others.partition(has_helped);
        let mut asked = Vec::new();
        if !self.rng.random_bool(TRIAL_SHARE) {
            asked = proven.iter().copied().choose_multiple(&mut self.rng, MAX_HELPERS);
        }
        asked.extend(others.into_iter().choose_multiple(&mut self.rng, MAX_HELPERS));
        asked.extend(proven);
        for other in asked.into_iter().take(MAX_HELPERS) {
            if self.nodes[other].monitor.is_cut() {
                self.nodes[number].resting.insert(other, now + REST_TIME);
                continue;
            }
            self.nodes[number].helped.insert(other, now);
            let runner = self.rng.random_range(0..self.silent_until.len());
            // A silent runner fails whoever sends to it.
            return self.reaches(other, runner) || self.silent_until[runner] > now;
        }
        false
    }

    /// Checks the rule on first tries at nodes that were cut off for long enough.
    pub(super) fn check_tries(&self) -> Result<(), GuaranteeViolation> {
        let (tried, served) = self.tries;
        let failed = tried - served;
        if served * 3 >= tried * 2 || failed <= ALLOWED_FAILURES + tried / 50 {
            return Ok(());
        }
        Err(GuaranteeViolation {
            guarantee: "a node that is cut off serves through other nodes",
            detail: format!("{served} of {tried} first tries served, {} nodes", self.nodes.len()),
        })
    }

    /// Checks that silent runners, which never are all of them, are not taken for a cut.
    pub(super) fn check_alarms(&self) -> Result<(), GuaranteeViolation> {
        let noticed = self.counts.get("cuts noticed").copied().unwrap_or_default();
        if self.false_alarms * 10 <= noticed || self.false_alarms <= 2 {
            return Ok(());
        }
        Err(GuaranteeViolation {
            guarantee: "failures of runners are not taken for a cut",
            detail: format!("{} of {noticed} cuts noticed were none", self.false_alarms),
        })
    }
}
