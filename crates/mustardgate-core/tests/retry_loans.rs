//! Loans of the fixed part of a retry budget: the parts that count at any time never exceed the whole.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use mustardgate_core::relay::{LoanRequest, LoanSettings, RetryLender, RetryLoan};
use proptest::prelude::*;

const SETTINGS: LoanSettings = LoanSettings {
    term: Duration::from_secs(6),
    counting_time: Duration::from_secs(12),
    overlap: Duration::from_millis(1_500),
    settling_time: Duration::from_millis(1_400),
    single_part: 0.02,
};
const NODE_COUNT: usize = 6;
/// Sums of parts are sums of floating point numbers.
const ROUNDING: f64 = 1e-9;

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + number as u16))
}

#[derive(Clone, Debug)]
enum LoanStep {
    /// Time passes, in milliseconds.
    Pass(u64),
    /// A node reports to the leader, which has heard of so many nodes; the answer may be lost.
    Report { node: usize, nodes: u32, is_answered: bool },
    /// A node reports to the leader before, which does not know yet that its term is over.
    ReportToFormer { node: usize, nodes: u32 },
    /// A node's process ends and another one starts.
    Restart(usize),
    /// Another node leads.
    Lead(usize),
}

fn steps() -> impl Strategy<Value = Vec<LoanStep>> {
    let node = 0..NODE_COUNT;
    let nodes = 1..=(NODE_COUNT as u32);
    let step = prop_oneof![
        4 => (1_u64..4_000).prop_map(LoanStep::Pass),
        8 => (node.clone(), nodes.clone(), prop::bool::weighted(0.9))
            .prop_map(|(node, nodes, is_answered)| LoanStep::Report { node, nodes, is_answered }),
        1 => (node.clone(), nodes).prop_map(|(node, nodes)| LoanStep::ReportToFormer { node, nodes }),
        2 => node.clone().prop_map(LoanStep::Restart),
        1 => node.prop_map(LoanStep::Lead),
    ];
    prop::collection::vec(step, 1..300)
}

struct SimulatedProcess {
    number: u64,
    loan: RetryLoan,
    lender: RetryLender,
}

impl SimulatedProcess {
    fn start(number: u64) -> Self {
        Self {
            number,
            loan: RetryLoan::new(SETTINGS, number),
            lender: RetryLender::new(SETTINGS),
        }
    }
}

struct SimulatedDeployment {
    now: Instant,
    processes: Vec<SimulatedProcess>,
    started: u64,
    leader: usize,
    term: u64,
    /// The leader before with its process and term, and until when it may lend.
    former: Option<(usize, u64, u64, Instant)>,
    /// Parts that processes could use, and until when.
    usable: Vec<(u64, f64, Instant)>,
}

impl SimulatedDeployment {
    fn new() -> Self {
        Self {
            now: Instant::now(),
            processes: (0..NODE_COUNT as u64).map(SimulatedProcess::start).collect(),
            started: NODE_COUNT as u64,
            leader: 0,
            term: 1,
            former: None,
            usable: Vec::new(),
        }
    }

    fn apply(&mut self, step: &LoanStep) {
        match *step {
            LoanStep::Pass(time_ms) => self.pass(Duration::from_millis(time_ms)),
            LoanStep::Report {
                node,
                nodes,
                is_answered,
            } => self.report(node, self.leader, self.term, nodes, is_answered),
            LoanStep::ReportToFormer { node, nodes } => {
                let Some((former, process, term, until)) = self.former else {
                    return;
                };
                if self.now < until && self.processes[former].number == process {
                    self.report(node, former, term, nodes, true);
                }
            }
            LoanStep::Restart(node) => {
                self.processes[node] = SimulatedProcess::start(self.started);
                self.started += 1;
                if node == self.leader {
                    self.term += 1;
                    self.former = None;
                }
            }
            LoanStep::Lead(node) => self.lead(node),
        }
    }

    fn pass(&mut self, time: Duration) {
        for process in &self.processes {
            let part = process.loan.part(self.now);
            if part > 0.0 {
                self.usable.push((process.number, part, self.now));
            }
        }
        self.now += time;
        for process in &self.processes {
            let part = process.loan.part(self.now);
            if part > 0.0 {
                self.usable.push((process.number, part, self.now));
            }
        }
    }

    fn lead(&mut self, node: usize) {
        let former = self.processes[self.leader].number;
        self.former = Some((self.leader, former, self.term, self.now + SETTINGS.overlap));
        self.leader = node;
        self.term += 1;
    }

    fn report(&mut self, node: usize, leader: usize, term: u64, nodes: u32, is_answered: bool) {
        let request = Some(self.processes[node].loan.request(self.now));
        let leading = &mut self.processes[leader];
        leading.lender.begin_term(self.now, term, term == 1);
        let part = leading.lender.lend(self.now, address(node), request, nodes);
        if is_answered {
            self.processes[node].loan.renew(self.now, part);
        }
    }

    /// Returns the sum of the largest parts under which retries count now.
    fn counting(&self) -> f64 {
        let mut largest = BTreeMap::<u64, f64>::new();
        let recent = self
            .usable
            .iter()
            .filter(|(_, _, at)| *at + SETTINGS.counting_time >= self.now);
        for (process, part, _) in recent {
            let known = largest.entry(*process).or_default();
            *known = known.max(*part);
        }
        largest.values().sum()
    }
}

proptest! {
    // Guards against BUDGET breaks by restarts, changes of the leader, lost answers and wrong numbers of nodes.
    #[test]
    fn parts_that_count_never_exceed_the_whole(steps in steps()) {
        let mut deployment = SimulatedDeployment::new();
        for step in &steps {
            deployment.apply(step);
            let counting = deployment.counting();
            prop_assert!(counting <= 1.0 + ROUNDING, "{counting} after {step:?}");
        }
    }
}

fn lend(lender: &mut RetryLender, now: Instant, node: usize, process: u64, nodes: u32) -> f64 {
    lender.lend(now, address(node), Some(LoanRequest { process, held: 0.0 }), nodes)
}

// Guards against starved nodes: one that starts has its part at once while a leader remembers what was lent.
#[test]
fn restarted_processes_have_their_part_at_once_while_less_than_the_whole_is_lent() {
    let now = Instant::now();
    let mut lender = RetryLender::new(SETTINGS);
    lender.begin_term(now, 1, true);
    let settled = now + SETTINGS.settling_time;
    for node in 0..NODE_COUNT {
        lend(&mut lender, settled, node, 0, NODE_COUNT as u32);
    }
    let again: Vec<f64> = (0..NODE_COUNT)
        .map(|node| lend(&mut lender, settled, node, 1, NODE_COUNT as u32))
        .collect();
    let part = 0.5 / NODE_COUNT as f64;
    assert!(again.iter().all(|lent| (lent - part).abs() < ROUNDING), "{again:?}");
    assert!(lend(&mut lender, settled, 0, 2, NODE_COUNT as u32) < ROUNDING);
    let later = settled + SETTINGS.counting_time;
    assert!((lend(&mut lender, later, 0, 2, NODE_COUNT as u32) - part).abs() < ROUNDING);
}

// Guards against processes that lose their part to a change of the leader.
#[test]
fn a_new_leader_confirms_what_processes_hold_and_lends_no_more_until_former_loans_have_run_out() {
    let now = Instant::now();
    let mut lender = RetryLender::new(SETTINGS);
    lender.begin_term(now, 2, false);
    let held = LoanRequest { process: 1, held: 0.1 };
    assert!((lender.lend(now, address(0), Some(held), 5) - 0.1).abs() < ROUNDING);
    assert!(lend(&mut lender, now, 1, 1, 5) < ROUNDING);
    let later = now + SETTINGS.overlap + SETTINGS.term + SETTINGS.counting_time;
    assert!((lend(&mut lender, later, 1, 1, 5) - 0.1).abs() < ROUNDING);
}
