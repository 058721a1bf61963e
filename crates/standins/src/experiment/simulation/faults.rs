//! Delayed load reports, and the loss and return of a failure domain.

use std::time::Duration;

use super::{ClusterSimulation, REPORT_INTERVAL_MS, ReportSnapshot, SimEvent, new_node};
use crate::experiment::{PolicyKind, events::AttemptVerdict, routers::BackendReport};

const LOSS_DETECTION_MS: u64 = 1_000;
/// Time after which a node learns that a connection to a lost backend server is broken.
const BROKEN_CONNECTION_MS: u64 = 50;

impl ClusterSimulation<'_> {
    pub(super) fn take_snapshot(&self) -> ReportSnapshot {
        let backends = self.backends.iter().map(|backend| {
            let report = (backend.outstanding(), backend.ready().collect());
            backend.is_alive.then_some(report)
        });
        let own_outstanding = |node: &crate::experiment::node::FakeNode| {
            (0..self.backends.len())
                .map(|backend| node.router.own_outstanding(backend))
                .collect()
        };
        ReportSnapshot {
            taken_at: self.now,
            backends: backends.collect(),
            own_outstanding: self.nodes.iter().map(own_outstanding).collect(),
        }
    }

    pub(super) fn take_reports(&mut self) {
        let snapshot = self.take_snapshot();
        self.snapshots.push(Some(snapshot));
        let delivery = SimEvent::DeliverReports(self.snapshots.len() - 1);
        self.events.schedule(self.now + self.scenario.report_lag(), delivery);
        let next = self.now + Duration::from_millis(REPORT_INTERVAL_MS);
        self.events.schedule(next, SimEvent::TakeReports);
    }

    pub(super) fn deliver_reports(&mut self, index: usize) {
        if let Some(snapshot) = self.snapshots[index].take() {
            self.apply_snapshot(&snapshot);
        }
        for node in 0..self.nodes.len() {
            self.shed_infeasible(node);
            self.dispatch_queued(node);
        }
    }

    pub(super) fn apply_snapshot(&mut self, snapshot: &ReportSnapshot) {
        for (node, own_outstanding) in self
            .nodes
            .iter_mut()
            .zip(&snapshot.own_outstanding)
            .filter(|(node, _)| node.is_alive)
        {
            for (backend, report) in snapshot.backends.iter().enumerate() {
                let Some((outstanding, ready)) = report else { continue };
                node.router.set_ready(backend, ready);
                let report = BackendReport {
                    measured_at: snapshot.taken_at,
                    outstanding: *outstanding,
                    own_outstanding: own_outstanding[backend],
                };
                node.router.apply_report(backend, report);
            }
        }
    }

    pub(super) fn lose_domain(&mut self, domain: usize) {
        let backends: Vec<usize> = self.domain_backends(domain);
        for backend in backends {
            let is_runner = self.deployment.is_runner(backend);
            for job in self.backends[backend].fail(is_runner) {
                let event = SimEvent::AttemptFailed {
                    job,
                    is_overload: false,
                    verdict: AttemptVerdict::MayHaveRun,
                };
                self.events
                    .schedule(self.now + Duration::from_millis(BROKEN_CONNECTION_MS), event);
            }
        }
        for node in &mut self.nodes {
            let is_lost = node.domain == domain && self.policy != PolicyKind::UpperBound;
            node.is_alive &= !is_lost;
        }
        let detection = self.now + Duration::from_millis(LOSS_DETECTION_MS);
        self.events.schedule(detection, SimEvent::DetectLoss(domain));
    }

    pub(super) fn restore_domain(&mut self, domain: usize) {
        for backend in self.domain_backends(domain) {
            self.backends[backend].is_alive = true;
            if !self.deployment.is_runner(backend) || self.policy == PolicyKind::UpperBound {
                self.fill_backend(backend, &[]);
            }
        }
        for node in 0..self.nodes.len() {
            if self.nodes[node].domain == domain && !self.nodes[node].is_alive {
                self.nodes[node] = new_node(self.deployment, self.policy, node, self.seed + 1);
            }
        }
        self.set_domain_alive(domain, true);
    }

    pub(super) fn set_domain_alive(&mut self, domain: usize, is_alive: bool) {
        for backend in self.domain_backends(domain) {
            for node in &mut self.nodes {
                node.router.set_alive(backend, is_alive);
            }
        }
    }

    /// Lists the backend servers of a failure domain.
    fn domain_backends(&self, domain: usize) -> Vec<usize> {
        let runners = self.deployment.runners;
        (0..self.backends.len())
            .filter(|backend| {
                let position = if *backend < runners {
                    *backend
                } else {
                    backend - runners
                };
                self.deployment.domain_of(position) == domain
            })
            .collect()
    }
}
