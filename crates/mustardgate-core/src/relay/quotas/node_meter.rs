//! Admission at a node by the grants of the leader or, without one, of a neighbour that pools fixed shares.

use std::time::{Duration, Instant};

use super::{QuotaAnswer, QuotaBounds, QuotaMeter, QuotaPermit, QuotaReport, QuotaRequest, QuotaVerdict};
use crate::{ids::TenantId, relay::ProcessNumber};

/// From whom grants are asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaSource {
    /// The leader, which keeps the buckets of all nodes.
    Leader,
    /// A neighbour, which keeps buckets of the fixed shares of the nodes that ask it.
    Pool,
}

/// From what an admitted request was paid.
#[derive(Clone, Debug, PartialEq)]
pub struct NodePermit {
    permit: QuotaPermit,
    source: QuotaSource,
}

/// What a node may admit: by grants of the leader, else by grants of a neighbour, else by its own fixed share.
///
/// The fixed share of one node is often far below one request of a small tenant, so nodes without a leader put their
/// shares together. What they use of them is reported to the next leader like the use of an own share.
#[derive(Debug)]
pub struct NodeMeter {
    leader: QuotaMeter,
    pool: QuotaMeter,
    /// Whether the fixed share is in use, which is empty when a leader is lost.
    uses_share: bool,
}

impl NodeMeter {
    /// Creates the meter of a process that was granted nothing.
    pub fn new(bounds: QuotaBounds, process: ProcessNumber) -> Self {
        Self {
            leader: QuotaMeter::new(bounds, process),
            pool: QuotaMeter::new(bounds, process),
            uses_share: false,
        }
    }

    /// Returns whom to ask for grants.
    pub fn source(&self, now: Instant) -> QuotaSource {
        if self.leader.is_led(now) {
            QuotaSource::Leader
        } else {
            QuotaSource::Pool
        }
    }

    /// Decides on a request.
    ///
    /// # Errors
    /// [`NodeRefusal`] if the leader or a neighbour has to be asked first, or the quota is used up.
    pub fn admit(&mut self, now: Instant, request: &QuotaRequest<'_>) -> Result<NodePermit, NodeRefusal> {
        let source = self.source(now);
        let verdict = match source {
            QuotaSource::Leader => {
                self.uses_share = false;
                self.leader.admit(now, request)
            }
            QuotaSource::Pool => {
                if !std::mem::replace(&mut self.uses_share, true) {
                    self.pool.restart(now);
                }
                self.pool.admit(now, request)
            }
        };
        match verdict {
            QuotaVerdict::Admitted(permit) => {
                if source == QuotaSource::Pool {
                    self.leader.record_unled(now, request.tenant, request.cost);
                }
                Ok(NodePermit { permit, source })
            }
            QuotaVerdict::Ask => Err(NodeRefusal::Ask),
            QuotaVerdict::Refused(left) => Err(NodeRefusal::Later(left)),
        }
    }

    /// Counts a request that is finally refused.
    pub fn record_refusal(&mut self, now: Instant, tenant: &TenantId, cost: f64) {
        self.meter(self.source(now)).record_refusal(now, tenant, cost);
    }

    /// Gives back what an admitted request was to use.
    pub fn give_back(&mut self, now: Instant, permit: &NodePermit) {
        self.meter(permit.source).give_back(now, &permit.permit);
        if permit.source == QuotaSource::Pool {
            let paid = &permit.permit;
            self.leader.record_unled(now, paid.tenant(), -paid.cost());
        }
    }

    /// Counts an admitted request once more.
    pub fn charge_again(&mut self, now: Instant, permit: &NodePermit) {
        self.meter(permit.source).charge_again(now, &permit.permit);
        if permit.source == QuotaSource::Pool {
            let paid = &permit.permit;
            self.leader.record_unled(now, paid.tenant(), paid.cost());
        }
    }

    /// Returns what to report, unless a report to the same source is under way.
    pub fn begin_report(&mut self, now: Instant, source: QuotaSource) -> Option<QuotaReport> {
        self.meter(source).begin_report(now)
    }

    /// Takes over the answer to a report, if there is one.
    pub fn end_report(&mut self, now: Instant, source: QuotaSource, number: u64, answer: Option<&QuotaAnswer>) {
        self.meter(source).end_report(now, number, answer);
    }

    fn meter(&mut self, source: QuotaSource) -> &mut QuotaMeter {
        match source {
            QuotaSource::Leader => &mut self.leader,
            QuotaSource::Pool => &mut self.pool,
        }
    }
}

/// Why a request is not admitted now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeRefusal {
    /// Grants have to be asked for, with the next report.
    Ask,
    /// The quota is used up for this time.
    Later(Duration),
}
