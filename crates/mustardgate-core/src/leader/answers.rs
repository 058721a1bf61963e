//! Handling of engines' responses to fencing raises, report reads and orders.

use std::time::Instant;

use super::{domain::DomainLeader, messages::LeaderAction, runner::RunnerState, settings::LeaderTenure};
use crate::{
    ids::{BackendId, FencingNumber},
    ports::{EngineReport, OrderError},
};

impl DomainLeader {
    pub(super) fn raise_answered(
        &mut self,
        now: Instant,
        backend: &BackendId,
        fencing: FencingNumber,
        outcome: Result<EngineReport, OrderError>,
        actions: &mut Vec<LeaderAction>,
    ) {
        let Some(runner) = self.runners.get_mut(backend) else {
            return;
        };
        let Some(requested_at) = runner.complete_raise(fencing) else {
            return;
        };
        match outcome {
            // Only a report with this very number proves that orders under older numbers can no longer take effect.
            Ok(report) if report.fencing == fencing => {
                runner.observe_fencing(fencing);
                runner.confirm_raise(fencing);
                for order in self.orders.drop_fenced(backend) {
                    if let Some(writer) = &mut self.writer {
                        writer.add_settled(order);
                    }
                }
                runner.rebuild_ledgers(std::iter::empty());
                self.apply_report(backend, requested_at, &report, actions);
            }
            Ok(report) => runner.observe_fencing(report.fencing.max(fencing)),
            Err(OrderError::Fenced { newest }) => {
                runner.observe_fencing(newest);
                runner.suspend_until(now + self.settings.retry_interval);
            }
            // The raise may have succeeded, so its number counts as seen by the engine.
            Err(OrderError::Unknown | OrderError::Refused) => runner.observe_fencing(fencing),
        }
    }

    pub(super) fn report_answered(
        &mut self,
        now: Instant,
        backend: &BackendId,
        read: u64,
        outcome: Result<EngineReport, OrderError>,
        actions: &mut Vec<LeaderAction>,
    ) {
        let Some(runner) = self.runners.get_mut(backend) else {
            return;
        };
        // A report requested in an earlier tenure may predate orders that the log records as settled.
        let Some(requested_at) = runner.complete_read(read) else {
            return;
        };
        let Ok(report) = outcome else {
            return;
        };
        runner.observe_fencing(report.fencing);
        let is_superseded = matches!(self.tenure, LeaderTenure::Leased(claim) if report.fencing.lease_offset > claim);
        if is_superseded || runner.is_fenced() || runner.has_lost_fencing(&report) {
            runner.suspend_until(now + self.settings.retry_interval);
            return;
        }
        let may_commit = matches!(self.tenure, LeaderTenure::Leased(_)) && self.writer.is_some();
        if !runner.is_state_known() && !runner.enforces_fencing() && may_commit {
            runner.rebuild_ledgers(self.orders.for_backend(backend));
        }
        self.apply_report(backend, requested_at, &report, actions);
    }

    pub(super) fn order_answered(&mut self, now: Instant, backend: &BackendId, outcome: Result<(), OrderError>) {
        // No other response tells whether copies of the order are still in transit.
        let Err(OrderError::Fenced { newest }) = outcome else {
            return;
        };
        let Some(runner) = self.runners.get_mut(backend).filter(|runner| runner.enforces_fencing()) else {
            return;
        };
        runner.observe_fencing(newest);
        if runner.is_fenced() {
            runner.suspend_until(now + self.settings.retry_interval);
        }
    }

    fn apply_report(
        &mut self,
        backend: &BackendId,
        requested_at: Instant,
        report: &EngineReport,
        actions: &mut Vec<LeaderAction>,
    ) {
        let Some(runner) = self.runners.get_mut(backend).filter(|runner| runner.is_state_known()) else {
            return;
        };
        match RunnerState::apply_report(runner, requested_at, report) {
            Ok(false) => return,
            Ok(true) => {}
            Err(violation) => actions.push(LeaderAction::ReportViolation {
                backend: backend.clone(),
                violation,
            }),
        }
        for order in &report.settled {
            if self.orders.settle(backend, order)
                && let Some(writer) = &mut self.writer
            {
                writer.add_settled(order.clone());
            }
        }
    }
}
