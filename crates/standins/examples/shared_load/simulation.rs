//! Nodes that choose runners, and runners that state their load.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    time::{Duration, Instant},
};

use mustardgate_core::relay::{
    BacklogEstimate, Candidate, LoadBoard, LoadEstimate, LoadSpread, LoadStatement, ReportedLoad, RunnerSelector,
    RunnerTag, SharedLoadEstimate, decode_loads, encode_loads,
};
use rand::{Rng, SeedableRng, seq::IteratorRandom};
use rand_chacha::ChaCha8Rng;

use super::Choice;

/// Number of runners.
pub(crate) const RUNNERS: usize = 140;
const SLOTS: usize = 64;
const MODELS: usize = 259;
/// Requests a second, and the share of those for which any runner will do.
const RATE_PER_S: f64 = 903.0;
const PLAIN_SHARE: f64 = 0.26;
/// Share of the demand for a model with few replicas, and the time after which it moves on to another one.
const SUDDEN_SHARE: f64 = 0.1;
const SUDDEN_REPLICAS: usize = 10;
const SUDDEN_S: u64 = 10;
/// Mean times that requests take at the usual pace, in seconds.
const PLAIN_S: f64 = 0.1;
const STREAM_S: f64 = 4.5;
/// Part of the time in which a runner's machine is busy with other work, and the pace then.
const SLOW_SHARE: f64 = 0.12;
const SLOW_PACE: f64 = 2.6;
const REPORT_S: f64 = 0.7;
/// Time of a message between nodes, one way, and from a runner to a node, in microseconds.
const MESSAGE_US: u64 = 1_400;
pub(crate) const RUN_S: u64 = 60;
/// Time that is not measured at the start, in seconds.
pub(crate) const WARM_S: u64 = 10;
const SECOND_US: u64 = 1_000_000;
/// Largest number of statements in a message.
const MAX_STATEMENTS: usize = 210;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    End(usize, usize),
    Head(usize, usize, u64, Stated),
    Report(usize),
    Pace(usize),
    Sample,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Stated {
    running: u32,
    waiting: u32,
    pace_percent: u32,
}

impl From<Stated> for ReportedLoad {
    fn from(stated: Stated) -> Self {
        Self {
            running: stated.running,
            waiting: stated.waiting,
            slots: SLOTS as u32,
            pace: Some(f64::from(stated.pace_percent) / 100.0),
        }
    }
}

#[derive(Clone, Debug)]
struct Runner {
    tag: RunnerTag,
    running: u32,
    waiting: VecDeque<(usize, u64, f64, u64)>,
    pace: f64,
}

impl Runner {
    fn requests(&self) -> f64 {
        f64::from(self.running) + self.waiting.len() as f64
    }
}

#[derive(Clone, Debug, Default)]
struct Cell {
    load: LoadEstimate,
    backlog: BacklogEstimate,
    shared: SharedLoadEstimate,
    own_newest: Option<(ReportedLoad, Instant)>,
}

#[derive(Clone, Debug)]
struct Node {
    cells: Vec<Cell>,
    reported_at: Instant,
    seen: u64,
}

/// What a simulation measures.
#[derive(Debug, Default)]
pub(crate) struct Figures {
    pub(crate) errors: Vec<f64>,
    pub(crate) ages_s: f64,
    pub(crate) peaks: Vec<f64>,
    pub(crate) busy: Vec<f64>,
    pub(crate) late: usize,
    pub(crate) bytes: usize,
}

/// Nodes, runners and the requests between them.
pub(crate) struct Simulation {
    start: Instant,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    rng: ChaCha8Rng,
    selector: RunnerSelector,
    choice: Choice,
    runners: Vec<Runner>,
    nodes: Vec<Node>,
    holders: Vec<Vec<usize>>,
    board: LoadBoard,
    by_tag: BTreeMap<RunnerTag, usize>,
    figures: Figures,
}

impl Simulation {
    /// Creates a simulation of a number of nodes.
    pub(crate) fn new(nodes: usize, choice: Choice, spread: LoadSpread) -> Self {
        let start = Instant::now() + Duration::from_secs(3_600);
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let runner = |index: usize| Runner {
            tag: RunnerTag::of(&(format!("engine-{index}").into(), 1)),
            running: 0,
            waiting: VecDeque::new(),
            pace: 1.0,
        };
        // Models are used in proportion to 1 / rank and have replicas accordingly.
        let replicas = |rank: usize| (RUNNERS / 4 / (rank + 1)).max(3);
        let holders = (0..MODELS).map(|rank| (0..RUNNERS).choose_multiple(&mut rng, replicas(rank)));
        let mut holders: Vec<Vec<usize>> = holders.collect();
        for _ in 0..=RUN_S / SUDDEN_S {
            holders.push((0..RUNNERS).choose_multiple(&mut rng, SUDDEN_REPLICAS));
        }
        let node = Node {
            cells: vec![Cell::default(); RUNNERS],
            reported_at: start,
            seen: 0,
        };
        let runners: Vec<Runner> = (0..RUNNERS).map(runner).collect();
        let by_tag = runners.iter().enumerate().map(|(index, runner)| (runner.tag, index));
        let mut simulation = Self {
            start,
            now_us: 0,
            events: BinaryHeap::new(),
            rng,
            selector: RunnerSelector::default().with_spread(spread),
            choice,
            by_tag: by_tag.collect(),
            runners,
            nodes: vec![node; nodes],
            holders,
            board: LoadBoard::default(),
            figures: Figures {
                busy: vec![0.0; RUNNERS],
                ..Figures::default()
            },
        };
        simulation.put(0, Event::Arrival);
        simulation.put(0, Event::Sample);
        for index in 0..nodes {
            let at = simulation.rng.random_range(0..SECOND_US);
            simulation.put(at, Event::Report(index));
        }
        (0..RUNNERS).for_each(|index| simulation.put(0, Event::Pace(index)));
        simulation
    }

    fn put(&mut self, after_us: u64, event: Event) {
        self.events.push(Reverse((self.now_us + after_us, event)));
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_micros(self.now_us)
    }

    fn exponential_us(&mut self, mean_s: f64) -> u64 {
        (-self.rng.random_range(1e-9..1.0_f64).ln() * mean_s * SECOND_US as f64) as u64
    }

    /// Runs it to its end.
    pub(crate) fn run(mut self) -> Figures {
        while let Some(Reverse((at, event))) = self.events.pop() {
            if at > RUN_S * SECOND_US {
                break;
            }
            self.now_us = at;
            match event {
                Event::Arrival => self.arrive(),
                Event::End(node, runner) => self.end(node, runner),
                Event::Head(node, runner, number, stated) => self.read_head(node, runner, number, stated.into()),
                Event::Report(node) if self.choice == Choice::Leaderless => self.exchange(node),
                Event::Report(node) => self.report(node),
                Event::Pace(runner) => self.change_pace(runner),
                Event::Sample => self.sample(),
            }
        }
        self.figures
    }

    fn arrive(&mut self) {
        let pause = self.exponential_us(1.0 / RATE_PER_S);
        self.put(pause, Event::Arrival);
        let is_plain = self.rng.random_bool(PLAIN_SHARE);
        let draw: f64 = self.rng.random();
        let mut model = ((MODELS as f64).powf(draw) as usize).min(MODELS) - 1;
        if self.rng.random_bool(SUDDEN_SHARE) {
            // Demand moves to another model from time to time.
            model = MODELS + (self.now_us / SECOND_US / SUDDEN_S) as usize;
        }
        let holders = if is_plain {
            (0..RUNNERS).collect()
        } else {
            self.holders[model].clone()
        };
        let node = self.rng.random_range(0..self.nodes.len());
        let (index, expected) = self.select(node, &holders);
        let runner = holders[index];
        if self.now_us > WARM_S * SECOND_US {
            self.figures.errors.push(expected - self.runners[runner].requests());
            let newest = self.nodes[node].cells[runner].shared.newest();
            let age = newest.map_or(5.0, |(_, at)| self.now().saturating_duration_since(at).as_secs_f64());
            self.figures.ages_s += age;
        }
        let now = self.now();
        let cell = &mut self.nodes[node].cells[runner];
        cell.load.begin();
        cell.shared.begin(now);
        let number = cell.backlog.begin(now);
        let work_us = self.exponential_us(if is_plain { PLAIN_S } else { STREAM_S });
        let waiting = &mut self.runners[runner].waiting;
        waiting.push_back((node, number, work_us as f64, self.now_us));
        self.begin_waiting(runner);
    }

    fn select(&mut self, node: usize, holders: &[usize]) -> (usize, f64) {
        let now = self.now();
        if self.choice == Choice::True {
            let requests = |index: &usize| self.runners[holders[*index]].requests();
            let least = (0..holders.len()).min_by(|left, right| requests(left).total_cmp(&requests(right)));
            let index = least.expect("each model has replicas");
            return (index, requests(&index));
        }
        let is_shared = self.choice != Choice::Own;
        let cells = &self.nodes[node].cells;
        let candidates = holders.iter().map(|runner| {
            let cell = &cells[*runner];
            let shared = is_shared.then(|| cell.shared.view(now)).flatten();
            Candidate {
                load: shared.map_or_else(|| cell.load.expected(now), |view| view.running + view.waiting),
                wait: cell.backlog.expected(now),
                uncached_share: 0.0,
                lacks_adapter: false,
                is_remote: false,
                failure_ratio: 0.0,
                is_in_cooldown: false,
                version: None,
                shared,
            }
        });
        let candidates: Vec<Candidate> = candidates.collect();
        let rng = &mut self.rng;
        let index = self.selector.select(&candidates, || rng.random());
        let index = index.expect("each model has replicas");
        (index, candidates[index].load)
    }

    fn begin_waiting(&mut self, index: usize) {
        while self.runners[index].running < SLOTS as u32 {
            let runner = &mut self.runners[index];
            let Some((node, number, work_us, sent_at)) = runner.waiting.pop_front() else {
                return;
            };
            runner.running += 1;
            let stated = Stated {
                running: runner.running,
                waiting: runner.waiting.len() as u32,
                pace_percent: (runner.pace * 100.0) as u32,
            };
            let time_us = (work_us * runner.pace) as u64;
            let is_late = self.now_us - sent_at > SECOND_US * 2 / 5;
            self.figures.late += usize::from(is_late && self.now_us > WARM_S * SECOND_US);
            self.put(MESSAGE_US, Event::Head(node, index, number, stated));
            self.put(time_us + 2 * MESSAGE_US, Event::End(node, index));
        }
    }

    fn read_head(&mut self, node: usize, runner: usize, number: u64, load: ReportedLoad) {
        let now = self.now();
        let cell = &mut self.nodes[node].cells[runner];
        cell.backlog.end(now, number);
        cell.load.report(now, load);
        cell.shared.state(now, load);
        cell.own_newest = Some((load, now));
    }

    fn end(&mut self, node: usize, runner: usize) {
        let now = self.now();
        let cell = &mut self.nodes[node].cells[runner];
        cell.load.end();
        cell.shared.end(now);
        self.runners[runner].running -= 1;
        self.begin_waiting(runner);
    }

    /// A node reports what it saw itself since its last report, and takes over what the leader knows.
    fn report(&mut self, index: usize) {
        self.put((REPORT_S * SECOND_US as f64) as u64, Event::Report(index));
        let now = self.now();
        let way = Duration::from_micros(MESSAGE_US);
        let node = &mut self.nodes[index];
        let own = node.cells.iter().zip(&self.runners).filter_map(|(cell, runner)| {
            let (load, at) = cell.own_newest.filter(|(_, at)| *at >= node.reported_at)?;
            Some(statement(runner.tag, load, now.saturating_duration_since(at)))
        });
        let report = encode_loads(&own.collect::<Vec<_>>());
        for mut statement in decode_loads(&report) {
            statement.age += way;
            self.board.record(now, &statement);
        }
        let (known, seen) = self.board.since(now, node.seen, MAX_STATEMENTS);
        let answer = encode_loads(&known);
        (node.seen, node.reported_at) = (seen, now);
        take_over(node, &self.by_tag, now, &answer);
        if self.now_us > WARM_S * SECOND_US {
            self.figures.bytes += report.len() + answer.len();
        }
    }

    /// A node exchanges the statements that it knows with six others, the newest 20 each.
    fn exchange(&mut self, index: usize) {
        self.put((REPORT_S * SECOND_US as f64) as u64, Event::Report(index));
        let now = self.now();
        let others = (0..self.nodes.len()).choose_multiple(&mut self.rng, 6);
        for other in others {
            for (from, to) in [(index, other), (other, index)] {
                let known = self.nodes[from].cells.iter().zip(&self.runners);
                let known = known.filter_map(|(cell, runner)| {
                    let (load, at) = cell.shared.newest()?;
                    Some(statement(runner.tag, load, now.saturating_duration_since(at)))
                });
                let mut known: Vec<LoadStatement> = known.collect();
                known.sort_by_key(|statement| statement.age);
                known.truncate(20);
                let message = encode_loads(&known);
                take_over(&mut self.nodes[to], &self.by_tag, now, &message);
                if self.now_us > WARM_S * SECOND_US {
                    self.figures.bytes += message.len();
                }
            }
        }
    }

    fn change_pace(&mut self, index: usize) {
        let is_slow = self.rng.random_bool(SLOW_SHARE);
        let noise = self.rng.random_range(0.9..1.1);
        self.runners[index].pace = if is_slow { SLOW_PACE } else { 1.0 } * noise;
        let pause = self.exponential_us(2.0);
        self.put(pause, Event::Pace(index));
    }

    fn sample(&mut self) {
        self.put(SECOND_US / 4, Event::Sample);
        if self.now_us < WARM_S * SECOND_US {
            return;
        }
        let loads: Vec<f64> = self.runners.iter().map(Runner::requests).collect();
        let mean = loads.iter().sum::<f64>() / RUNNERS as f64;
        let busiest = loads.iter().copied().fold(0.0, f64::max);
        self.figures.peaks.push(busiest / mean);
        for (sum, load) in self.figures.busy.iter_mut().zip(loads) {
            *sum += load;
        }
    }
}

fn statement(runner: RunnerTag, load: ReportedLoad, age: Duration) -> LoadStatement {
    LoadStatement { runner, load, age }
}

fn take_over(node: &mut Node, by_tag: &BTreeMap<RunnerTag, usize>, now: Instant, message: &[u8]) {
    for statement in decode_loads(message) {
        let age = statement.age + Duration::from_micros(2 * MESSAGE_US);
        let Some(at) = now.checked_sub(age) else { continue };
        node.cells[by_tag[&statement.runner]].shared.state(at, statement.load);
    }
}
