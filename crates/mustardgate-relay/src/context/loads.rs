//! Loads of runners on their way between nodes.

use std::{
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use metrics::{counter, gauge};
use mustardgate::events;
use mustardgate_core::{
    clock,
    ids::ServiceId,
    relay::{LoadBoard, LoadStatement, RunnerTag, decode_loads, encode_loads},
};
use slog::{Logger, o};

use crate::fleet::RunnerFleet;

/// Largest number of statements in a report or an answer: 2 KB, or 3 KB a second.
const MAX_STATEMENTS: usize = 210;
/// Longest encoding of a statement, in bytes.
const STATEMENT_BYTES: usize = 10;
/// Largest number of statements in an exchange without a leader. A node takes part in some 12 of them each 0.7 s.
const MAX_EXCHANGED: usize = 20;
/// Suspended time from which statements are made older.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);
/// Time without loads from a leader after which this is logged.
const SILENCE_TIME: Duration = Duration::from_secs(3);

/// Time in which a leader returns a load that this node has reported: two report intervals.
const OWN_TIME: Duration = Duration::from_millis(1_500);

/// Passes loads of runners between this node and others, and keeps them for other nodes while this one leads.
#[derive(Debug)]
pub struct LoadExchange {
    state: Mutex<ExchangeState>,
    logger: Logger,
}

#[derive(Debug, Default)]
struct ExchangeState {
    board: LoadBoard,
    /// Time of the last message to the leader, one way.
    way: Duration,
    paced: Vec<ServiceId>,
    /// Time by which the lease clock was ahead of the runtime's clock, which suspensions stop.
    suspended: Option<Duration>,
    /// When the leader last returned loads, this node led, or nothing was reported that it could return.
    shared_at: Option<Instant>,
    is_silent: bool,
}

impl LoadExchange {
    /// Creates an exchange without loads.
    pub fn new(logger: Logger) -> Self {
        Self {
            state: Mutex::default(),
            logger,
        }
    }

    /// Returns what runners stated to this node after a time, for a report to the leader.
    pub fn report(&self, fleet: &RunnerFleet, since: Option<Instant>) -> Vec<u8> {
        let mut own = fleet.own_loads(clock::now(), since);
        newest_first(&mut own, MAX_STATEMENTS);
        let way = self.lock().way;
        for statement in &mut own {
            statement.age += way;
        }
        count_sent(encode_loads(&own))
    }

    /// Takes over a report of another node as leader, and returns what has changed after a number of loads, in an answer with
    /// room for some bytes.
    pub fn answer(&self, now: Instant, report: &[u8], seen: u64, room: usize) -> (Vec<u8>, u64) {
        let mut state = self.lock();
        for statement in decode_loads(report) {
            state.board.record(now, &statement);
        }
        let max_statements = MAX_STATEMENTS.min(room / STATEMENT_BYTES);
        let (known, seen) = state.board.since(now, seen, max_statements);
        drop(state);
        count_received(report);
        (count_sent(encode_loads(&known)), seen)
    }

    /// Takes over what the leader knows, from an answer that took a time in all.
    pub fn hear_leader(&self, fleet: &RunnerFleet, loads: &[u8], round_trip: Duration) {
        self.lock().way = round_trip / 2;
        if !loads.is_empty() {
            self.record_shared();
            hear(fleet, loads, round_trip, "leader");
        }
    }

    /// Exchanges what this node knows with its own board, because it leads.
    pub fn lead(&self, now: Instant, fleet: &RunnerFleet) {
        let known_at = clock::now();
        let known = fleet.known_loads(known_at);
        if known.is_empty() {
            return;
        }
        self.record_shared();
        let mut state = self.lock();
        for statement in &known {
            state.board.record(now, statement);
        }
        let tags = fleet.load_tags();
        state.board.retain(|runner: &RunnerTag| tags.contains(runner));
        let (known, _) = state.board.since(now, 0, usize::MAX);
        drop(state);
        fleet.hear_loads(known_at, &known);
    }

    /// Returns the newest statements that this node knows, for nodes that reach no leader either.
    pub fn knowledge(&self, fleet: &RunnerFleet) -> Vec<u8> {
        let mut known = fleet.known_loads(clock::now());
        newest_first(&mut known, MAX_EXCHANGED);
        let way = self.lock().way;
        for statement in &mut known {
            statement.age += way;
        }
        count_sent(encode_loads(&known))
    }

    /// Takes over what another node knows; `round_trip` is the time of the call if it is an answer to this node. A calling
    /// node adds the time on the way itself.
    pub fn hear_neighbour(&self, fleet: &RunnerFleet, loads: &[u8], round_trip: Option<Duration>) {
        if let Some(round_trip) = round_trip {
            self.lock().way = round_trip / 2;
        }
        hear(fleet, loads, round_trip.unwrap_or_default(), "neighbour");
    }

    /// Makes loads older by the time in which the machine was suspended, and records what is known of them.
    pub fn review(&self, lease_time: Instant, fleet: &RunnerFleet) {
        let now = clock::now();
        let ahead = lease_time.saturating_duration_since(now);
        let former = self.lock().suspended.replace(ahead);
        let suspension = former.map_or(Duration::ZERO, |former| ahead.saturating_sub(former));
        if suspension >= MIN_SUSPENSION {
            fleet.add_load_age(suspension);
        }
        self.record_paced(fleet.paced_services());
        let known = fleet.known_loads(now);
        if known.is_empty() {
            return;
        }
        let ages = known.iter().map(|statement| statement.age.as_secs_f64());
        let mean_s = ages.sum::<f64>() / known.len() as f64;
        gauge!("mustardgate_runner_load_age_seconds").set(mean_s);
        let has_own = !fleet.own_loads(now, now.checked_sub(OWN_TIME)).is_empty();
        self.record_silence(now, has_own, mean_s);
    }

    fn record_shared(&self) {
        let mut state = self.lock();
        state.shared_at = Some(clock::now());
        if std::mem::take(&mut state.is_silent) {
            events::RELAY_LOADS_SHARED.write(&self.logger, o!());
        }
    }

    /// Logs that no loads are returned. A leader that hears of loads returns at least those that this node reported, so
    /// silence without requests of its own means nothing.
    fn record_silence(&self, now: Instant, has_own: bool, mean_age_s: f64) {
        let mut state = self.lock();
        if !has_own {
            state.shared_at = Some(now);
        }
        let shared_at = *state.shared_at.get_or_insert(now);
        if state.is_silent || now.saturating_duration_since(shared_at) < SILENCE_TIME {
            return;
        }
        state.is_silent = true;
        let values = o!("mean_age_ms" => (mean_age_s * 1_000.0) as u64);
        events::RELAY_LOADS_UNSHARED.write(&self.logger, values);
    }

    fn record_paced(&self, services: Vec<ServiceId>) {
        let mut state = self.lock();
        if state.paced == services {
            return;
        }
        for service in services.iter().filter(|service| !state.paced.contains(service)) {
            events::RELAY_SERVICE_PACED.write(&self.logger, o!("service" => service.to_string()));
        }
        state.paced = services;
    }

    fn lock(&self) -> MutexGuard<'_, ExchangeState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

fn hear(fleet: &RunnerFleet, loads: &[u8], delay: Duration, source: &'static str) {
    if loads.is_empty() {
        return;
    }
    let mut statements = decode_loads(loads);
    for statement in &mut statements {
        statement.age = statement.age.saturating_add(delay);
    }
    let newer = fleet.hear_loads(clock::now(), &statements);
    count_received(loads);
    counter!("mustardgate_runner_loads_heard_total", "source" => source).increment(newer as u64);
}

fn newest_first(statements: &mut Vec<LoadStatement>, max_count: usize) {
    statements.sort_unstable_by_key(|statement| statement.age);
    statements.truncate(max_count);
}

fn count_sent(loads: Vec<u8>) -> Vec<u8> {
    counter!("mustardgate_runner_load_bytes_total", "direction" => "sent").increment(loads.len() as u64);
    loads
}

fn count_received(loads: &[u8]) {
    counter!("mustardgate_runner_load_bytes_total", "direction" => "received").increment(loads.len() as u64);
}
