//! Spillover of requests to runners in other failure domains. See `docs/design/spillover.md`.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use super::shared_load::RunnerLoadView;
use crate::ids::RequestId;

/// Time constant of the fraction that leaves. Shared loads are about 1 s old, and a fraction that follows them faster than
/// twice that swings with the load that it causes itself.
const FRACTION_TIME: Duration = Duration::from_secs(2);
/// Time constant of the measured rate of requests.
const RATE_TIME: Duration = Duration::from_secs(2);
/// Shortest time over which a rate is measured, in seconds.
const MIN_COVERED_S: f64 = 0.05;
/// Time within which what nodes send shows in the shared loads; in it all nodes together fill no more than the spare slots.
const KNOWLEDGE_TIME: Duration = Duration::from_secs(1);
/// Age from which loads of a domain say nothing.
const MAX_KNOWLEDGE_AGE: Duration = Duration::from_secs(5);
/// Largest fraction that leaves: the rest shows when the shortage ends.
const MAX_FRACTION: f64 = 0.9;
/// Fraction sent to a domain of which nothing is known while the own one is short.
const PROBE_FRACTION: f64 = 0.02;
/// Slots of another domain kept for random changes of its own callers' requests, in standard deviations (the root of the
/// slots).
const RESERVE_DEVIATIONS: f64 = 1.0;
/// Free slots of the own domain below which a fraction leaves, and the rise of the load from there to the largest fraction,
/// in standard deviations. A steeper rise swings, since the load follows the fraction with a delay.
const SHORTAGE_DEVIATIONS: f64 = 2.0;
const RISE_DEVIATIONS: f64 = 4.0;
/// Extra time to a runner in another domain and back, rounded up.
const REMOTE_WAY: Duration = Duration::from_millis(5);
/// Time by which another domain has to be better, as a share of the target latency.
const MARGIN_SHARE: f64 = 0.1;
/// Share of the target latency that the wait for a slot may take: the prompt is read in the rest.
const WAIT_SHARE: f64 = 0.45;
/// Number of nodes assumed while it is not known: the number that the system is designed for.
const DESIGN_NODE_COUNT: u32 = 360;

/// One runner that can answer the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunnerOutlook {
    /// Load by the shared view, if known.
    pub load: Option<RunnerLoadView>,
    /// Expected time until the request gets a slot there.
    pub forecast: Duration,
}

/// What the runners of one failure domain that can answer the request have in store for it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DomainOutlook {
    /// Shortest expected time until the request gets a slot; `None` if no load is known.
    best: Option<Duration>,
    load: f64,
    slots: f64,
    /// Sum of the roots of the slots: the random change of requests at a full runner.
    deviation: f64,
}

impl DomainOutlook {
    /// Sums up the runners of a domain.
    pub fn of(runners: &[RunnerOutlook]) -> Self {
        let mut outlook = Self::default();
        for runner in runners {
            let Some(view) = runner.load.filter(|view| view.age <= MAX_KNOWLEDGE_AGE) else {
                continue;
            };
            outlook.best = Some(outlook.best.map_or(runner.forecast, |best| best.min(runner.forecast)));
            outlook.load += view.running + view.waiting;
            outlook.slots += view.slots;
            outlook.deviation += view.slots.sqrt();
        }
        outlook
    }

    /// Returns the slots that are free after a reserve for the domain's own callers.
    fn spare(&self) -> f64 {
        (self.slots - RESERVE_DEVIATIONS * self.deviation - self.load).max(0.0)
    }

    /// Returns whether the domain has no room for others, so that its own requests may leave it.
    fn is_full(&self) -> bool {
        self.best.is_some() && self.spare() <= 0.0
    }

    /// Returns the fraction of the requests that should leave, which rises with the load beyond the reserve.
    fn shortage(&self) -> f64 {
        let excess = self.load - self.slots + SHORTAGE_DEVIATIONS * self.deviation;
        let full = RISE_DEVIATIONS * self.deviation.max(1.0);
        (MAX_FRACTION * excess / full).clamp(0.0, MAX_FRACTION)
    }
}

/// What a decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct SpillQuery<'a> {
    /// The runners of the own domain, if any can answer.
    pub own: Option<DomainOutlook>,
    /// The other domains with runners that can answer and are not known to be cut off.
    pub others: &'a [DomainOutlook],
    /// Target latency of the request's route.
    pub target: Duration,
    /// Mean time for which a request holds a slot.
    pub hold: Duration,
    /// Nodes of the deployment; 0 if unknown.
    pub nodes: u32,
    /// Random numbers from 0 to 1, the same for each decision about one request.
    pub draws: SpillDraws,
}

/// Random numbers that follow from a request, so that one that is decided about repeatedly is drawn for once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpillDraws {
    /// Decides whether the request leaves.
    pub leave: f64,
    /// Decides where it goes.
    pub domain: f64,
}

impl SpillDraws {
    /// Returns the numbers of a request.
    pub fn of(request: &RequestId) -> Self {
        let hash = xxh3_64(request.as_bytes());
        let unit = |part: u64| (part & u64::from(u32::MAX)) as f64 / f64::from(u32::MAX);
        Self {
            leave: unit(hash),
            domain: unit(hash >> u32::BITS),
        }
    }
}

/// Where a request goes, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpillVerdict {
    /// To the own domain, or anywhere if there is no choice.
    Own,
    /// To another domain, by its index, because the own one is short of runners.
    Shortage(usize),
    /// To another domain of which nothing is known, to learn of it.
    Probe(usize),
    /// To any other domain, because no runner of the own one can answer.
    Absence,
}

/// Decides for one service at one node which requests leave the own failure domain.
///
/// Load pattern: a domain has too few runners for its callers for seconds to minutes while another has room, and all its
/// nodes see that at the same time. The fraction that leaves follows the shortage slowly, and in the time in which nodes
/// don't see each other's requests they send no more than the other domains have room for.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpillController {
    fraction: f64,
    /// Decayed number of decisions, and the time that it covers.
    count: f64,
    covered_s: f64,
    decided_at: Option<Instant>,
}

impl SpillController {
    /// Returns the fraction of requests that leaves now, without the bound by the others' spare slots.
    pub fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Decides about one request.
    pub fn decide(&mut self, now: Instant, query: &SpillQuery<'_>) -> SpillVerdict {
        let Some(own) = query.own else {
            return SpillVerdict::Absence;
        };
        self.follow(now, own.shortage());
        let spare: f64 = query.others.iter().map(DomainOutlook::spare).sum();
        let held = self.rate_per_s() * senders(query) * unseen_s(query.hold);
        let fraction = self.fraction.min(spare / held.max(f64::MIN_POSITIVE));
        if let Some(index) = choose_domain(query.others, spare, query.draws.domain)
            && query.draws.leave < fraction * gain(&own, &query.others[index], query.target)
        {
            return SpillVerdict::Shortage(index);
        }
        let is_short = own.best.is_some_and(|best| best > query.target.mul_f64(WAIT_SHARE));
        let unknown = query.others.iter().position(|other| other.best.is_none());
        match unknown.filter(|_| is_short && query.draws.leave < PROBE_FRACTION) {
            Some(index) => SpillVerdict::Probe(index),
            None => SpillVerdict::Own,
        }
    }

    /// Returns the rate of decisions; it is not underestimated at the start, when all nodes may be short at once.
    fn rate_per_s(&self) -> f64 {
        self.count / self.covered_s.max(MIN_COVERED_S)
    }

    fn follow(&mut self, now: Instant, shortage: f64) {
        let passed = self
            .decided_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.decided_at = Some(now);
        let left = |time: Duration| (-passed.as_secs_f64() / time.as_secs_f64()).exp();
        self.count = self.count * left(RATE_TIME) + 1.0;
        self.covered_s = self.covered_s * left(RATE_TIME) + RATE_TIME.as_secs_f64() * (1.0 - left(RATE_TIME));
        self.fraction = shortage + (self.fraction - shortage) * left(FRACTION_TIME);
    }
}

/// Returns how many nodes may send to the others now: those of the domains without room, with nodes spread evenly.
fn senders(query: &SpillQuery<'_>) -> f64 {
    let nodes = if query.nodes == 0 {
        DESIGN_NODE_COUNT
    } else {
        query.nodes
    };
    let short = query.others.iter().filter(|other| other.is_full()).count();
    let share = (1 + short) as f64 / (1 + query.others.len()) as f64;
    (f64::from(nodes) * share).max(1.0)
}

/// Returns the requests that are held, and not seen yet by others, for each request a second.
fn unseen_s(hold: Duration) -> f64 {
    let hold_s = hold.as_secs_f64().max(f64::MIN_POSITIVE);
    hold_s * (1.0 - (-KNOWLEDGE_TIME.as_secs_f64() / hold_s).exp())
}

/// Returns from 0 to 1 how much a request does better in another domain. It is 1 if only the other one meets what the caller
/// needs, and 0 unless the other is better by more than the way and a margin. Between, it rises with the difference: a limit
/// at which all requests turn would make nodes that see the same loads turn together.
fn gain(own: &DomainOutlook, other: &DomainOutlook, target: Duration) -> f64 {
    let (Some(here), Some(there)) = (own.best, other.best) else {
        return 0.0;
    };
    let there = there + REMOTE_WAY;
    let longest = target.mul_f64(WAIT_SHARE);
    if here > longest && there <= longest {
        return 1.0;
    }
    let margin_s = target.as_secs_f64() * MARGIN_SHARE;
    let difference_s = here.as_secs_f64() - there.as_secs_f64();
    ((difference_s - margin_s) / margin_s.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
}

/// Chooses a domain in proportion to its spare slots.
fn choose_domain(domains: &[DomainOutlook], spare: f64, draw: f64) -> Option<usize> {
    let mut left = draw * spare;
    let with_spare = domains.iter().enumerate().filter(|(_, domain)| domain.spare() > 0.0);
    let mut last = None;
    for (index, domain) in with_spare {
        last = Some(index);
        left -= domain.spare();
        if left <= 0.0 {
            break;
        }
    }
    last
}

/// Returns the expected time until a request gets a slot at a runner where each is held for `hold` at the usual pace.
///
/// The load is expected to differ by its root until the request is there, so a runner that is nearly full has a wait.
pub fn slot_wait(view: &RunnerLoadView, hold: Duration) -> Duration {
    /// Factor between the logistic and the normal distribution.
    const LOGISTIC_SCALE: f64 = 1.7;
    let slots = view.slots.max(1.0);
    let load = view.running + view.waiting;
    let deviation = load.max(1.0).sqrt() / LOGISTIC_SCALE;
    let excess = (load + 1.0 - slots) / deviation;
    let expected = if excess > 30.0 { excess } else { excess.exp().ln_1p() };
    let room = if view.waiting >= 1.0 {
        view.running.max(1.0)
    } else {
        slots
    };
    // Requests wait beside free slots where memory is short.
    let queued = (deviation * expected).max(view.waiting);
    hold.mul_f64((queued / room * view.pace.unwrap_or(1.0)).min(1e3))
}
