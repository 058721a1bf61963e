//! Loans of the fixed part of a retry budget, which a leader gives to the processes of all nodes.
//!
//! The parts that may still be spent or count in a window never exceed the whole, whichever processes end and start
//! meanwhile. See `docs/design/platform.md`.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

/// Number that a process draws at its start, to tell it from others at the same address.
pub type ProcessNumber = u64;

/// Part of the fixed retries that is divided among the nodes. The rest is lent to processes that start while the loans of
/// former ones still count.
const DIVIDED_PART: f64 = 0.5;

/// Times of loans.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoanSettings {
    /// Time for which a process may use a loan after it asked for it.
    pub term: Duration,
    /// Longest time for which a retry counts after the decision on it.
    pub counting_time: Duration,
    /// Longest time for which a former leader may lend after the term of the next one began.
    pub overlap: Duration,
    /// Time within which a leader hears of all nodes.
    pub settling_time: Duration,
    /// Part of the fixed retries that is a single retry.
    pub single_part: f64,
}

/// What a process says of its loan as it asks its leader for one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Number of the process.
    pub process: ProcessNumber,
    /// Part of the fixed retries that it was lent last, if retries under that loan may still count.
    pub held: f64,
}

/// A process that may borrow; earlier builds send no number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LoanHolder {
    address: SocketAddr,
    process: Option<ProcessNumber>,
}

/// A part of the fixed retries that may be spent, or counts in a window, until a time.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LentPart {
    part: f64,
    until: Instant,
}

/// Lends parts of the fixed retries while its node leads.
#[derive(Debug)]
pub struct RetryLender {
    settings: LoanSettings,
    /// Fencing token of the term in which it lends.
    token: Option<u64>,
    /// When loans of former leaders have run out.
    lends_from: Option<Instant>,
    /// When the number of nodes is known.
    settles_at: Option<Instant>,
    /// Parts of each process, the largest and oldest first.
    lent: BTreeMap<LoanHolder, Vec<LentPart>>,
}

impl RetryLender {
    /// Creates a lender that has lent nothing.
    pub fn new(settings: LoanSettings) -> Self {
        Self {
            settings,
            token: None,
            lends_from: None,
            settles_at: None,
            lent: BTreeMap::new(),
        }
    }

    /// Begins a term unless it has begun. Loans of former leaders are unknown until they have run out; before the first
    /// term there was none.
    pub fn begin_term(&mut self, now: Instant, token: u64, is_first: bool) {
        if self.token.replace(token) == Some(token) {
            return;
        }
        let unknown_for = self.settings.overlap + self.settings.term + self.settings.counting_time;
        self.settles_at = Some(now + self.settings.settling_time);
        self.lends_from = Some(if is_first { now } else { now + unknown_for });
    }

    /// Lends a process its part of the fixed retries, if so much is left, and returns the part.
    ///
    /// While loans of former leaders may still count, a process is lent no more than it holds.
    pub fn lend(&mut self, now: Instant, address: SocketAddr, request: Option<LoanRequest>, nodes: u32) -> f64 {
        let process = request.map(|request| request.process);
        let holder = LoanHolder { address, process };
        self.drop_expired(now);
        self.end_former(now, holder);
        let known = self.lent.get(&holder).and_then(|parts| parts.first());
        let known = known.map_or(0.0, |first| first.part);
        let wanted = DIVIDED_PART / f64::from(nodes.max(1));
        let is_clear = self.lends_from.is_some_and(|from| now >= from);
        let part = match request {
            // An earlier build divides the fixed retries by the number of nodes alone.
            None => wanted,
            Some(request) if !is_clear => wanted.min(request.held.clamp(0.0, 1.0)),
            Some(_) => {
                let left = (1.0 - self.lent_to_others(holder)).max(known);
                self.first_part(now, wanted).min(left).max(0.0)
            }
        };
        let until = now + self.settings.term + self.settings.counting_time;
        let parts = self.lent.entry(holder).or_default();
        parts.retain(|earlier| earlier.part > part);
        parts.push(LentPart { part, until });
        part
    }

    /// Returns what to lend of a part until the number of nodes is known. Parts by the few nodes of which a new leader has
    /// heard would leave nothing for the others.
    fn first_part(&self, now: Instant, part: f64) -> f64 {
        let is_settled = self.settles_at.is_some_and(|at| now >= at);
        if is_settled {
            part
        } else {
            part.min(self.settings.single_part)
        }
    }

    /// Returns the sum of the largest parts that count for each process but one.
    fn lent_to_others(&self, holder: LoanHolder) -> f64 {
        let others = self.lent.iter().filter(|(other, _)| **other != holder);
        others
            .filter_map(|(_, parts)| parts.first())
            .map(|first| first.part)
            .sum()
    }

    /// The processes before this one at its address have ended, so they spend nothing more.
    fn end_former(&mut self, now: Instant, holder: LoanHolder) {
        let counts_until = now + self.settings.counting_time;
        let former = self
            .lent
            .iter_mut()
            .filter(|(other, _)| other.address == holder.address && **other != holder);
        for lent in former.flat_map(|(_, parts)| parts) {
            lent.until = lent.until.min(counts_until);
        }
    }

    fn drop_expired(&mut self, now: Instant) {
        self.lent.retain(|_, parts| {
            parts.retain(|lent| now < lent.until);
            !parts.is_empty()
        });
    }
}

/// The loan of this process.
#[derive(Debug)]
pub struct RetryLoan {
    settings: LoanSettings,
    process: ProcessNumber,
    held: Option<LentPart>,
}

impl RetryLoan {
    /// Creates the loan of a process that holds nothing yet.
    pub fn new(settings: LoanSettings, process: ProcessNumber) -> Self {
        Self {
            settings,
            process,
            held: None,
        }
    }

    /// Returns the part of the fixed retries that this process may use now.
    pub fn part(&self, now: Instant) -> f64 {
        let current = self.held.filter(|held| now < held.until);
        current.map_or(0.0, |held| held.part)
    }

    /// Returns what to tell a leader.
    pub fn request(&self, now: Instant) -> LoanRequest {
        let counting = self.held.filter(|held| now < held.until + self.settings.counting_time);
        LoanRequest {
            process: self.process,
            held: counting.map_or(0.0, |held| held.part),
        }
    }

    /// Takes over what a leader lent in answer to a request of `asked_at`, and returns the part lent before.
    pub fn renew(&mut self, asked_at: Instant, part: f64) -> Option<f64> {
        let until = asked_at + self.settings.term;
        let former = self.held.replace(LentPart { part, until });
        former.map(|former| former.part)
    }
}
