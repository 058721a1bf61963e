//! Proof that a leaving backend server gets no new work after the grace time, while lists of VMs are out of date.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use mustardgate_core::{
    clock,
    ids::{BackendId, NodeId},
    membership::{
        DomainDigest, LEAVING_GRACE, MembershipSettings, MembershipView, NodeHeartbeat, PropagationScope,
        default_suspicion,
    },
    ports::{VmEntry, VmRole, VmState},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::format_smolstr;

use super::{GuaranteeViolation, GuardMode, ProofCount, ProofFigures, ProofScenario};

const STEP: Duration = Duration::from_millis(100);
const STEPS: u64 = 900;
const DOMAIN_COUNT: usize = 3;
const NODES_PER_DOMAIN: usize = 5;
const BACKEND_COUNT: usize = 6;
const FETCH_INTERVAL_STEPS: u64 = 20;
const MAX_LAG_STEPS: u64 = 300;
const MAX_TRANSIT_STEPS: u64 = 4;

/// Nodes that fetch lists of varying age, exchange heartbeats and digests, and are disconnected one at a time.
#[derive(Debug)]
pub struct LeavingScenario;

impl ProofScenario for LeavingScenario {
    fn name(&self) -> &'static str {
        "leaving"
    }

    fn run(&self, seed: u64, guard: GuardMode) -> Result<ProofFigures, GuaranteeViolation> {
        let mut simulation = LeavingSimulation::new(seed, guard);
        for step in 0..STEPS {
            simulation.advance(step)?;
        }
        Ok(simulation.figures())
    }
}

#[derive(Debug)]
struct LeavingNode {
    name: NodeId,
    view: MembershipView,
    last_list: Vec<VmEntry>,
    disconnected_until: u64,
}

#[derive(Clone, Debug)]
enum Message {
    Heartbeat(NodeHeartbeat),
    Digest(DomainDigest),
}

/// When a backend server leaves and when this becomes visible, in steps.
#[derive(Clone, Copy, Debug)]
struct LeavingTimes {
    leaves_at: u64,
    /// First step in which a connected node fetched a list that shows it as leaving.
    first_listed: Option<u64>,
}

#[derive(Debug)]
struct LeavingSimulation {
    rng: ChaCha8Rng,
    guard: GuardMode,
    start: Instant,
    nodes: Vec<LeavingNode>,
    backends: BTreeMap<BackendId, LeavingTimes>,
    network: BTreeMap<(u64, u64), (NodeId, Message)>,
    messages: u64,
    disconnections: u64,
    stale_lists: u64,
    checked: u64,
}

impl LeavingSimulation {
    fn new(seed: u64, guard: GuardMode) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes = (0..DOMAIN_COUNT * NODES_PER_DOMAIN).map(|index| {
            let name = format_smolstr!("n{index}");
            LeavingNode {
                view: MembershipView::new(
                    name.clone(),
                    format_smolstr!("d{}", index % DOMAIN_COUNT),
                    MembershipSettings::default(),
                    default_suspicion(),
                ),
                name,
                last_list: Vec::new(),
                disconnected_until: 0,
            }
        });
        let backends = (0..BACKEND_COUNT).map(|index| {
            let times = LeavingTimes {
                leaves_at: rng.random_range(100..600),
                first_listed: None,
            };
            (format_smolstr!("b{index}"), times)
        });
        Self {
            nodes: nodes.collect(),
            backends: backends.collect(),
            rng,
            guard,
            start: clock::now(),
            network: BTreeMap::new(),
            messages: 0,
            disconnections: 0,
            stale_lists: 0,
            checked: 0,
        }
    }

    fn advance(&mut self, step: u64) -> Result<(), GuaranteeViolation> {
        self.disconnect_node(step);
        self.deliver(step);
        for index in 0..self.nodes.len() {
            if (step + index as u64).is_multiple_of(FETCH_INTERVAL_STEPS) && self.is_connected(index, step) {
                self.fetch_list(index, step);
            }
            self.send_updates(index, step);
            self.check(index, step)?;
        }
        Ok(())
    }

    /// May disconnect one node, if every node has been connected for longer than the grace time.
    fn disconnect_node(&mut self, step: u64) {
        let grace = grace_steps();
        let all_recovered = self.nodes.iter().all(|node| node.disconnected_until + grace < step);
        if step > FETCH_INTERVAL_STEPS && all_recovered && self.rng.random_bool(0.02) {
            let index = self.rng.random_range(0..self.nodes.len());
            self.nodes[index].disconnected_until = step + self.rng.random_range(10..200);
            self.disconnections += 1;
        }
    }

    fn is_connected(&self, index: usize, step: u64) -> bool {
        self.nodes[index].disconnected_until <= step
    }

    fn fetch_list(&mut self, index: usize, step: u64) {
        let lag = if self.rng.random_bool(0.1) {
            0
        } else {
            self.rng.random_range(0..MAX_LAG_STEPS)
        };
        let list = self.list_at(step.saturating_sub(lag));
        self.stale_lists += u64::from(lag > 0);
        let now = self.now(step);
        for entry in list.iter().filter(|entry| entry.state == VmState::Leaving) {
            if let Some(times) = self.backends.get_mut(&entry.name) {
                times.first_listed.get_or_insert(step);
            }
        }
        self.nodes[index].view.list_fetched(&list, now);
        self.nodes[index].last_list = list;
    }

    fn list_at(&self, step: u64) -> Vec<VmEntry> {
        let nodes = (0..self.nodes.len()).map(|index| {
            let domain = format_smolstr!("d{}", index % DOMAIN_COUNT);
            vm_entry(&format_smolstr!("n{index}"), VmRole::Entry, &domain, VmState::Live)
        });
        let backends = self.backends.iter().map(|(name, times)| {
            let state = if times.leaves_at <= step {
                VmState::Leaving
            } else {
                VmState::Live
            };
            vm_entry(name, VmRole::Backend, "d0", state)
        });
        nodes.chain(backends).collect()
    }

    fn send_updates(&mut self, index: usize, step: u64) {
        let now = self.now(step);
        let settings = MembershipSettings::default();
        let view = &mut self.nodes[index].view;
        view.tick(now);
        let scope = view.take_propagation();
        let has_new_marks = scope >= PropagationScope::OwnDomain;
        let sends_heartbeat = has_new_marks || is_due(step, index, settings.heartbeat_interval);
        let sends_digest = (is_due(step, index, settings.digest_interval) && view.is_speaker(now))
            || scope == PropagationScope::AllDomains;
        let mut sent = Vec::new();
        if sends_heartbeat {
            let heartbeat = view.next_heartbeat(now);
            let targets = if has_new_marks {
                view.neighbours()
            } else {
                view.heartbeat_targets(now)
            };
            let targets = targets.into_iter();
            sent.extend(targets.map(|entry| (entry.name, Message::Heartbeat(heartbeat.clone()))));
        }
        if sends_digest {
            let digest = view.digest(now);
            let targets = view.digest_targets(now).into_iter();
            sent.extend(targets.map(|entry| (entry.name, Message::Digest(digest.clone()))));
        }
        if !self.is_connected(index, step) {
            return;
        }
        for (target, message) in sent {
            self.messages += 1;
            let arrives_at = step + self.rng.random_range(1..=MAX_TRANSIT_STEPS);
            self.network.insert((arrives_at, self.messages), (target, message));
        }
    }

    fn deliver(&mut self, step: u64) {
        let now = self.now(step);
        while let Some(first) = self.network.first_entry()
            && first.key().0 <= step
        {
            let (target, message) = first.remove();
            let node = self.nodes.iter_mut().find(|node| node.name == target);
            let Some(node) = node.filter(|node| node.disconnected_until <= step) else {
                continue;
            };
            match message {
                Message::Heartbeat(heartbeat) => node.view.heartbeat_received(&heartbeat, now),
                Message::Digest(digest) => node.view.digest_received(&digest, now),
            }
        }
    }

    /// Fails if a node that was connected for the whole grace time still gives a leaving backend server new work.
    fn check(&mut self, index: usize, step: u64) -> Result<(), GuaranteeViolation> {
        let node = &self.nodes[index];
        for (backend, times) in &self.backends {
            let Some(first_listed) = times.first_listed else {
                continue;
            };
            let bound = first_listed.max(node.disconnected_until) + grace_steps();
            if step <= bound {
                continue;
            }
            self.checked += 1;
            if self.takes_new_work(node, backend) {
                return Err(GuaranteeViolation {
                    guarantee: "a leaving backend server gets no new work after the grace time",
                    detail: format!("{} gave work to {backend} {} steps too late", node.name, step - bound),
                });
            }
        }
        Ok(())
    }

    fn takes_new_work(&self, node: &LeavingNode, backend: &BackendId) -> bool {
        match self.guard {
            GuardMode::Enforced => node.view.takes_new_work(backend),
            GuardMode::Removed => {
                let mut list = node.last_list.iter();
                list.any(|entry| entry.name == *backend && entry.state == VmState::Live)
            }
        }
    }

    fn now(&self, step: u64) -> Instant {
        self.start + STEP * step as u32
    }

    fn figures(&self) -> ProofFigures {
        let regressed = self.nodes.iter().map(|node| node.view.counters().regressed_lists);
        let listed = self.backends.values().filter(|times| times.first_listed.is_some());
        let counts = [
            ("cuts", self.disconnections),
            ("judged", self.checked),
            ("leaving", listed.count() as u64),
            ("messages", self.messages),
            ("regressed_lists", regressed.sum()),
            ("stale_lists", self.stale_lists),
        ];
        let counts = counts.into_iter().map(|(name, value)| ProofCount { name, value });
        ProofFigures {
            counts: counts.collect(),
        }
    }
}

fn grace_steps() -> u64 {
    (LEAVING_GRACE.as_millis() / STEP.as_millis()) as u64
}

fn is_due(step: u64, index: usize, interval: Duration) -> bool {
    let steps = (interval.as_millis() / STEP.as_millis()) as u64;
    (step + index as u64).is_multiple_of(steps)
}

fn vm_entry(name: &str, role: VmRole, domain: &str, state: VmState) -> VmEntry {
    VmEntry {
        name: name.into(),
        role,
        domain: domain.into(),
        region: "r".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        state,
    }
}
