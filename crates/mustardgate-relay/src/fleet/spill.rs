//! Choice between the own failure domain and others for requests to paced services.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use metrics::counter;
use mustardgate::events;
use mustardgate_core::{
    ids::{DomainId, ServiceId},
    relay::{
        Candidate, DomainOutlook, RunnerOutlook, SpillController, SpillDraws, SpillQuery, SpillVerdict, slot_wait,
    },
};
use slog::{Logger, o};

use super::{RunnerCell, RunnerFleet, SelectionQuery};

/// Fractions at which the start and the end of spillover are logged.
const BEGIN_FRACTION: f64 = 0.05;
const END_FRACTION: f64 = 0.01;

/// Spillover of each service from this node.
#[derive(Debug)]
pub(super) struct SpillTable {
    services: Mutex<BTreeMap<ServiceId, ServiceSpill>>,
    nodes: AtomicU32,
    logger: Logger,
}

#[derive(Debug, Default)]
struct ServiceSpill {
    controller: SpillController,
    is_spilling: bool,
}

impl SpillTable {
    /// Creates a table without spillover.
    pub(super) fn new(logger: Logger) -> Self {
        Self {
            services: Mutex::default(),
            nodes: AtomicU32::default(),
            logger,
        }
    }

    fn decide(&self, now: Instant, service: &ServiceId, query: &SpillQuery<'_>) -> SpillVerdict {
        let mut services = self.services.lock().expect("no holder of the lock panics");
        let spill = services.entry(service.clone()).or_default();
        let verdict = spill.controller.decide(now, query);
        let fraction = spill.controller.fraction();
        let is_changed = if spill.is_spilling {
            fraction < END_FRACTION
        } else {
            fraction > BEGIN_FRACTION && matches!(verdict, SpillVerdict::Shortage(_))
        };
        if is_changed {
            spill.is_spilling = !spill.is_spilling;
            let values = o!("fraction" => fraction, "service" => service.to_string());
            if spill.is_spilling {
                events::RELAY_SPILLOVER_BEGUN.write(&self.logger, values);
            } else {
                events::RELAY_SPILLOVER_ENDED.write(&self.logger, values);
            }
        }
        verdict
    }
}

impl RunnerFleet {
    /// Sets the number of nodes of the deployment, 0 if unknown.
    pub fn record_node_count(&self, nodes: u32) {
        self.spill.nodes.store(nodes, Ordering::Relaxed);
    }

    /// Decides whether a request stays in the own failure domain; returns which of the runners that can answer it may be
    /// chosen, and why.
    pub(super) fn choose_domain(
        &self,
        now: Instant,
        query: &SelectionQuery<'_>,
        holders: &[(Arc<RunnerCell>, Candidate)],
    ) -> (Vec<bool>, SpillVerdict) {
        let hold = mean_hold(holders).unwrap_or(query.target);
        let mut by_domain: BTreeMap<DomainId, Vec<RunnerOutlook>> = BTreeMap::new();
        for (cell, candidate) in holders.iter().filter(|(_, candidate)| !candidate.is_in_cooldown) {
            let wait = candidate.shared.map_or(Duration::ZERO, |view| slot_wait(&view, hold));
            let outlook = RunnerOutlook {
                load: candidate.shared,
                forecast: wait.max(candidate.wait),
            };
            by_domain.entry(cell.listed().domain.clone()).or_default().push(outlook);
        }
        let own = by_domain
            .remove(&self.own_domain)
            .map(|runners| DomainOutlook::of(&runners));
        let (names, outlooks): (Vec<DomainId>, Vec<DomainOutlook>) = by_domain
            .into_iter()
            .map(|(domain, runners)| (domain, DomainOutlook::of(&runners)))
            .unzip();
        let spill_query = SpillQuery {
            own,
            others: &outlooks,
            target: query.target,
            hold,
            nodes: self.spill.nodes.load(Ordering::Relaxed),
            draws: SpillDraws::of(&query.request.id),
        };
        let verdict = self.spill.decide(now, query.service, &spill_query);
        let domain = match verdict {
            SpillVerdict::Own => Some(&self.own_domain),
            SpillVerdict::Shortage(index) | SpillVerdict::Probe(index) => names.get(index),
            SpillVerdict::Absence => None,
        };
        let may_take =
            |(cell, _): &(Arc<RunnerCell>, Candidate)| domain.is_none_or(|domain| cell.listed().domain == *domain);
        (holders.iter().map(may_take).collect(), verdict)
    }
}

/// Counts a request that is sent to a runner of a paced service.
pub(super) fn count_sent(verdict: SpillVerdict, is_remote: bool) {
    let reason = match verdict {
        SpillVerdict::Own => "none",
        SpillVerdict::Shortage(_) => "shortage",
        SpillVerdict::Probe(_) => "probe",
        SpillVerdict::Absence => "absence",
    };
    let domain = if is_remote { "other" } else { "own" };
    counter!("mustardgate_spillover_requests_total", "domain" => domain, "reason" => reason).increment(1);
}

fn mean_hold(holders: &[(Arc<RunnerCell>, Candidate)]) -> Option<Duration> {
    let holds: Vec<Duration> = holders.iter().filter_map(|(cell, _)| cell.shared_load.hold()).collect();
    let count = u32::try_from(holds.len()).ok().filter(|count| *count > 0)?;
    Some(holds.iter().sum::<Duration>() / count)
}
