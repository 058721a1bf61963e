//! Orders to a runner whose outcome is unknown, and the room that they may still take.

use std::time::{Duration, Instant};

use super::{ModelName, OrderKind};

/// Longest time after which an order without an answer may still be executed; the platform allows for seconds.
pub const MAX_ORDER_DELAY: Duration = Duration::from_secs(15);

/// Identity of an order in [`OrderClaims`].
pub type ClaimId = u64;

/// Order counts that a runner may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CountRange {
    /// Count in the runner's newest report.
    pub reported: u64,
    /// Count after the orders accepted since, which the next order expects.
    pub expected: u64,
}

#[derive(Clone, Debug)]
struct OrderClaim {
    id: ClaimId,
    kind: OrderKind,
    name: ModelName,
    expected_count: u64,
    until: Instant,
}

/// Orders to one runner that may still be executed, by whichever of its processes. See docs/design/leader.md.
///
/// An order names the runner and its order count, not its process. It is executed only while the count is the expected
/// one, so it cannot follow an order that a process accepted at the same count, but the count of the next process may
/// pass that value again.
#[derive(Clone, Debug, Default)]
pub struct OrderClaims {
    claims: Vec<OrderClaim>,
    last_id: ClaimId,
    /// Until when an order of a former leader may be executed that runners do not refuse for its token.
    former_until: Option<Instant>,
}

impl OrderClaims {
    /// Creates the claims of a leader whose runners accept orders of former leaders, the last of them sent before `now`.
    pub fn after_unfenced_leader(now: Instant) -> Self {
        Self {
            former_until: Some(now + MAX_ORDER_DELAY),
            ..Self::default()
        }
    }

    /// Records an order that is about to be sent.
    pub fn begin(&mut self, now: Instant, expected_count: u64, kind: OrderKind, name: &ModelName) -> ClaimId {
        self.claims.retain(|claim| now < claim.until);
        self.last_id += 1;
        self.claims.push(OrderClaim {
            id: self.last_id,
            kind,
            name: name.clone(),
            expected_count,
            until: now + MAX_ORDER_DELAY,
        });
        self.last_id
    }

    /// Removes an order whose answer says that it was executed or will not be.
    pub fn settle(&mut self, id: ClaimId) {
        self.claims.retain(|claim| claim.id != id);
    }

    /// Returns the most that orders may take beside the next order if all are executed that still can be. `cost` is what
    /// the load of a name takes, and `largest_cost` the most that any load takes.
    ///
    /// Orders that expect the same count exclude each other, the next order included.
    pub fn largest_claim(
        &self,
        now: Instant,
        counts: CountRange,
        cost: impl Fn(&ModelName) -> f64,
        largest_cost: f64,
    ) -> f64 {
        let largest_at = |count: u64| {
            let live = self.claims.iter().filter(|claim| now < claim.until);
            let executable = live.filter(|claim| claim.expected_count == count);
            let costs = executable.map(|claim| match claim.kind {
                OrderKind::Load => cost(&claim.name),
                OrderKind::Evict => 0.0,
            });
            costs.reduce(f64::max)
        };
        // An accepted order may have been a repeat that was not counted, so earlier counts are possible as well.
        let mut earlier: Vec<u64> = self.claims.iter().map(|claim| claim.expected_count).collect();
        earlier.retain(|count| (counts.reported..counts.expected).contains(count));
        earlier.sort_unstable();
        earlier.dedup();
        let before: f64 = earlier.into_iter().filter_map(largest_at).sum();
        let after: f64 = (counts.expected + 1..).map_while(largest_at).sum();
        let is_unfenced = self.former_until.is_some_and(|until| now < until);
        before + after + if is_unfenced { largest_cost } else { 0.0 }
    }
}
