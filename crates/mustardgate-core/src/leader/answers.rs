//! What a domain leader concludes from the answers of engines.

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
        let Some(asked_at) = runner.take_raise(fencing) else {
            return;
        };
        match outcome {
            // Only a report that shows the number itself proves that older orders are dead.
            Ok(report) if report.fencing == fencing => {
                runner.note_held(fencing);
                runner.establish_raised(fencing);
                for order in self.orders.drop_fenced(backend) {
                    if let Some(writer) = &mut self.writer {
                        writer.add_settled(order);
                    }
                }
                runner.establish(std::iter::empty());
                self.apply_report(backend, asked_at, &report, actions);
            }
            Ok(report) => runner.note_held(report.fencing.max(fencing)),
            Err(OrderError::Fenced { newest }) => {
                runner.note_held(newest);
                runner.fence_off(now + self.settings.retry_interval);
            }
            // The raise may have succeeded, so that its number is taken.
            Err(OrderError::Unknown | OrderError::Refused) => runner.note_held(fencing),
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
        // A report asked for under an earlier right may be older than what the log says was settled.
        let Some(asked_at) = runner.take_read(read) else {
            return;
        };
        let Ok(report) = outcome else {
            return;
        };
        runner.note_held(report.fencing);
        let is_deposed = matches!(self.tenure, LeaderTenure::Leased(claim) if report.fencing.lease_offset > claim);
        if is_deposed || runner.is_fenced() || runner.has_forgotten(&report) {
            runner.fence_off(now + self.settings.retry_interval);
            return;
        }
        let may_commit = matches!(self.tenure, LeaderTenure::Leased(_)) && self.writer.is_some();
        if !runner.is_established() && !runner.refuses_old() && may_commit {
            runner.establish(self.orders.of(backend));
        }
        self.apply_report(backend, asked_at, &report, actions);
    }

    pub(super) fn order_answered(&mut self, now: Instant, backend: &BackendId, outcome: Result<(), OrderError>) {
        // Any other answer says nothing about copies of the order that are still under way.
        let Err(OrderError::Fenced { newest }) = outcome else {
            return;
        };
        let Some(runner) = self.runners.get_mut(backend).filter(|runner| runner.refuses_old()) else {
            return;
        };
        runner.note_held(newest);
        if runner.is_fenced() {
            runner.fence_off(now + self.settings.retry_interval);
        }
    }

    fn apply_report(
        &mut self,
        backend: &BackendId,
        asked_at: Instant,
        report: &EngineReport,
        actions: &mut Vec<LeaderAction>,
    ) {
        let Some(runner) = self.runners.get_mut(backend).filter(|runner| runner.is_established()) else {
            return;
        };
        match RunnerState::apply_report(runner, asked_at, report) {
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
