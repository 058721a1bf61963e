//! Bursts of requests to brittle runners, in virtual time.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use mustardgate_core::{ids::BackendId, relay::deal_places};
use rand::{Rng, SeedableRng, seq::IteratorRandom};
use rand_chacha::ChaCha8Rng;
use smol_str::format_smolstr;

use crate::proof::{GuaranteeViolation, GuardMode};

const STEP: Duration = Duration::from_millis(5);
const RUN_TIME: Duration = Duration::from_secs(30);
const MAX_NODES: u8 = 40;
/// Time over which a runner counts what it turns away, and for which one that fell over is gone.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);
const FALL_TIME: Duration = Duration::from_secs(3);
/// Time for which nodes keep away from a runner that turned a request away, and share of the notices that are lost.
const REJECTION_PAUSE: Duration = Duration::from_secs(1);
const NOTICE_LOSS: f64 = 0.02;
/// Time after which all nodes have the same list of nodes and runners.
const LIST_TIME: Duration = Duration::from_millis(700);
/// The rule: falls that are allowed, and a tenth of the runners.
const ALLOWED_FALLS: f64 = 2.0;
/// Part of the free places that bursts have to fill.
const MIN_USE: f64 = 0.5;

#[derive(Debug)]
struct SimulatedRunner {
    slots: u32,
    running: Vec<(Instant, usize)>,
    rejections: Vec<Instant>,
    gone_until: Instant,
}

#[derive(Debug)]
struct SimulatedNode {
    address: SocketAddr,
    /// Nodes and runners as it knows them.
    nodes: BTreeSet<SocketAddr>,
    runners: BTreeMap<BackendId, u32>,
    next_list: Instant,
    held_until: BTreeMap<BackendId, Instant>,
}

#[derive(Debug)]
pub(super) struct BrittleSimulation {
    rng: ChaCha8Rng,
    guard: GuardMode,
    start: Instant,
    now: Instant,
    rate: usize,
    nodes: Vec<SimulatedNode>,
    /// Nodes that run, which change.
    present: BTreeSet<SocketAddr>,
    runners: BTreeMap<BackendId, SimulatedRunner>,
    burst_until: Instant,
    /// When a node last came or went, whose places are dealt to others once they have read the list, or a runner turned a
    /// request away, from which all nodes keep away then.
    changed_at: Instant,
    /// When a request was last refused for want of a place.
    refused_at: Instant,
    falls: u64,
    /// Requests that ran at the ends of bursts, and the free places then.
    used: (usize, usize),
    pub(super) counts: BTreeMap<&'static str, u64>,
}

impl BrittleSimulation {
    pub(super) fn new(seed: u64, guard: GuardMode) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let start = Instant::now();
        let addresses = (0..rng.random_range(2..=MAX_NODES)).map(|number| SocketAddr::from(([10, 0, 0, number], 80)));
        let present: BTreeSet<SocketAddr> = addresses.collect();
        let slots = [6, 8, 64][rng.random_range(0..3)];
        let count = rng.random_range(3..20);
        let runners: BTreeMap<BackendId, u32> = (0..count)
            .map(|number| (format_smolstr!("engine-{number:02}"), slots))
            .collect();
        let nodes = present.iter().map(|address| SimulatedNode {
            address: *address,
            nodes: present.clone(),
            runners: runners.clone(),
            next_list: start,
            held_until: BTreeMap::new(),
        });
        Self {
            nodes: nodes.collect(),
            rate: rng.random_range(2..=3),
            runners: runners
                .into_iter()
                .map(|(id, slots)| {
                    let runner = SimulatedRunner {
                        slots,
                        running: Vec::new(),
                        rejections: Vec::new(),
                        gone_until: start,
                    };
                    (id, runner)
                })
                .collect(),
            present,
            guard,
            start,
            now: start,
            burst_until: start,
            changed_at: start,
            refused_at: start,
            falls: 0,
            used: (0, 0),
            counts: BTreeMap::new(),
            rng,
        }
    }

    pub(super) fn run(&mut self) {
        while self.now < self.start + RUN_TIME {
            self.now += STEP;
            self.change();
            for runner in self.runners.values_mut() {
                runner.running.retain(|(ends_at, _)| *ends_at > self.now);
            }
            let was_burst = self.burst_until + STEP > self.now;
            let is_burst = self.burst_until > self.now;
            for node in 0..self.nodes.len() {
                if !self.present.contains(&self.nodes[node].address) {
                    continue;
                }
                self.read_lists(node);
                let requests = if is_burst {
                    4
                } else {
                    usize::from(self.rng.random_bool(0.02))
                };
                for _ in 0..requests {
                    self.send(node);
                }
            }
            // A burst that is not refused anything does not fill the places.
            let is_settled = self.now - self.changed_at > REJECTION_PAUSE;
            if was_burst && !is_burst && is_settled && self.now - self.refused_at <= STEP {
                self.record_use();
            }
        }
    }

    fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_default() += 1;
    }

    fn change(&mut self) {
        if self.rng.random_bool(0.005) {
            let length = self.rng.random_range(100..800);
            self.burst_until = self.now + Duration::from_millis(length);
            self.count("bursts");
        }
        // A node ends, or one comes back, one at a time.
        if self.rng.random_bool(0.0005)
            && let Some(address) = self.nodes.iter().map(|node| node.address).choose(&mut self.rng)
        {
            if self.present.contains(&address) && self.present.len() > 1 {
                self.present.remove(&address);
            } else {
                self.present.insert(address);
            }
            self.changed_at = self.now;
            self.count("nodes that came or went");
        }
    }

    fn read_lists(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        if self.now < node.next_list {
            return;
        }
        node.next_list = self.now + LIST_TIME.mul_f64(self.rng.random_range(0.2..1.0));
        node.nodes.clone_from(&self.present);
        let listed = self.runners.iter().filter(|(_, runner)| runner.gone_until <= self.now);
        node.runners = listed.map(|(id, runner)| (id.clone(), runner.slots)).collect();
    }

    fn send(&mut self, number: usize) {
        let now = self.now;
        let node = &self.nodes[number];
        let places = deal_places(&node.runners, &node.nodes, node.address);
        let in_flight = |id: &BackendId| {
            self.runners[id]
                .running
                .iter()
                .filter(|(_, node)| *node == number)
                .count()
        };
        let is_usable = |id: &&BackendId| match self.guard {
            GuardMode::Enforced => {
                let is_held = node.held_until.get(*id).is_some_and(|until| *until > now);
                !is_held && in_flight(id) < places[*id] as usize
            }
            GuardMode::Removed => true,
        };
        let Some(id) = node.runners.keys().filter(is_usable).choose(&mut self.rng).cloned() else {
            self.refused_at = now;
            return;
        };
        let length = Duration::from_millis(self.rng.random_range(20..200));
        let rate = self.rate;
        let runner = self.runners.get_mut(&id).expect("nodes know existing runners");
        if runner.gone_until > now {
            return;
        }
        if runner.running.len() < runner.slots as usize {
            runner.running.push((now + length, number));
            return self.count("requests run");
        }
        runner.rejections.retain(|at| now - *at < REJECTION_WINDOW);
        runner.rejections.push(now);
        if runner.rejections.len() > rate {
            runner.gone_until = now + FALL_TIME;
            runner.running.clear();
            runner.rejections.clear();
            self.falls += 1;
            self.count("falls");
        }
        self.changed_at = now;
        self.count("rejections");
        for other in 0..self.nodes.len() {
            if other == number || !self.rng.random_bool(NOTICE_LOSS) {
                self.nodes[other].held_until.insert(id.clone(), now + REJECTION_PAUSE);
            }
        }
    }

    fn record_use(&mut self) {
        let present = self.runners.values().filter(|runner| runner.gone_until <= self.now);
        for runner in present {
            self.used.0 += runner.running.len();
            self.used.1 += runner.slots as usize;
        }
    }

    /// Checks how often runners fell over.
    pub(super) fn check_falls(&self) -> Result<(), GuaranteeViolation> {
        if self.falls as f64 <= ALLOWED_FALLS + self.runners.len() as f64 / 10.0 {
            return Ok(());
        }
        Err(GuaranteeViolation {
            guarantee: "brittle runners do not fall over",
            detail: format!(
                "{} falls of {} runners, {} nodes",
                self.falls,
                self.runners.len(),
                self.nodes.len()
            ),
        })
    }

    /// Checks that bursts fill most places.
    pub(super) fn check_use(&self) -> Result<(), GuaranteeViolation> {
        let (used, free) = self.used;
        if used as f64 >= free as f64 * MIN_USE {
            return Ok(());
        }
        Err(GuaranteeViolation {
            guarantee: "brittle runners are used",
            detail: format!("{used} of {free} places at the ends of bursts"),
        })
    }
}
