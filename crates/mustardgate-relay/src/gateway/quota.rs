//! Admission of requests by the quotas of their tenants.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use metrics::counter;
use mustardgate_core::{
    clock,
    relay::{NodePermit, NodeRefusal, QuotaRequest, RelayRequest, RelayRoute, RelayTenant},
    verdict::RunVerdict,
};
use rand::Rng;
use tokio::time;

use super::{answer::LocalAnswer, attempt::ReceivedRequest, failure::AttemptError};
use crate::{context::RelayContext, leader::exchange_quotas};

/// Part of the target latency within which a refusal is sent.
const REFUSAL_DIVISOR: u32 = 8;
/// Longest wait for the leader, which answers within a few milliseconds.
const MAX_WAIT: Duration = Duration::from_millis(100);
/// Time after which a caller should retry when the leader did not answer in time: it has answered by then, or the fixed
/// share is used.
const SILENT_DELAY: Duration = Duration::from_millis(200);
/// Largest random extension of the time after which a caller should retry, so that callers do not come back together.
const DELAY_JITTER: f64 = 0.2;

/// What an admitted request uses of a quota; given back when it is dropped, unless the request may have run.
#[derive(Debug)]
pub(super) struct QuotaHold {
    context: Arc<RelayContext>,
    permit: NodePermit,
    /// Attempts that may have run, the one under way included.
    runs: AtomicU32,
    /// Whether the attempt under way is counted.
    is_counted: AtomicBool,
}

/// Admits a request by the quota of its tenant, if there is one.
///
/// # Errors
/// The refusal of a request that exceeds the quota.
pub(super) async fn admit_by_quota(
    context: &Arc<RelayContext>,
    tenant: Option<&RelayTenant>,
    request: &RelayRequest,
    route: &RelayRoute,
) -> Result<Option<QuotaHold>, LocalAnswer> {
    let Some((tenant, quota)) = tenant.and_then(|tenant| Some((tenant, tenant.quota.as_ref()?))) else {
        return Ok(None);
    };
    let ends_at = clock::now() + (route.target_latency / REFUSAL_DIVISOR).min(MAX_WAIT);
    let cost = quota.cost(request.usage) as f64;
    let mut is_new = true;
    let delay = loop {
        let query = QuotaRequest {
            tenant: &tenant.name,
            quota,
            cost,
            nodes: context.sharing_nodes(),
            draw: rand::rng().random(),
            is_new: std::mem::take(&mut is_new),
        };
        let answered = context.quotas.next_answer();
        tokio::pin!(answered);
        // An answer that arrives between the decision and the wait must not be missed.
        answered.as_mut().enable();
        match context.quotas.admit(context.leader.lease_time(), &query) {
            Ok(permit) => {
                count_decision(tenant, "admitted", cost);
                return Ok(Some(QuotaHold::new(context, permit)));
            }
            Err(NodeRefusal::Later(left)) if clock::now() + left <= ends_at => time::sleep(left).await,
            Err(NodeRefusal::Later(left)) => break left,
            Err(NodeRefusal::Ask) => {
                // The report goes on if the caller leaves, since others may wait for its answer.
                let source = context.quotas.source(context.leader.lease_time());
                let _reporting = tokio::spawn(exchange_quotas(Arc::clone(context), source));
                let left = ends_at.saturating_duration_since(clock::now());
                if time::timeout(left, answered).await.is_err() {
                    break SILENT_DELAY;
                }
            }
        }
    };
    let retry_after = delay.mul_f64(1.0 + rand::rng().random_range(0.0..DELAY_JITTER));
    count_decision(tenant, "refused", cost);
    let now = context.leader.lease_time();
    context.quotas.record_refusal(now, &tenant.name, cost, retry_after);
    Err(LocalAnswer::QuotaExceeded { retry_after })
}

fn count_decision(tenant: &RelayTenant, outcome: &'static str, cost: f64) {
    let name = tenant.name.to_string();
    counter!("mustardgate_quota_requests_total", "tenant" => name.clone(), "outcome" => outcome).increment(1);
    counter!("mustardgate_quota_units_total", "tenant" => name, "outcome" => outcome).increment(cost as u64);
}

impl QuotaHold {
    fn new(context: &Arc<RelayContext>, permit: NodePermit) -> Self {
        Self {
            context: Arc::clone(context),
            permit,
            runs: AtomicU32::new(0),
            is_counted: AtomicBool::new(false),
        }
    }

    /// Counts an attempt that may run from now on; the first one was counted when the request was admitted.
    fn begin_run(&self) {
        if self.is_counted.swap(true, Ordering::Relaxed) {
            return;
        }
        if self.runs.fetch_add(1, Ordering::Relaxed) > 0 {
            let now = self.context.leader.lease_time();
            self.context.quotas.charge_again(now, &self.permit);
        }
    }

    /// Ends the attempt under way, which did not run if `is_run` is false.
    fn end_attempt(&self, is_run: bool) {
        let was_counted = self.is_counted.swap(false, Ordering::Relaxed);
        if was_counted && !is_run && self.runs.fetch_sub(1, Ordering::Relaxed) > 1 {
            self.give_back();
        }
    }

    fn give_back(&self) {
        let now = self.context.leader.lease_time();
        self.context.quotas.give_back(now, &self.permit);
    }
}

impl Drop for QuotaHold {
    fn drop(&mut self) {
        if *self.runs.get_mut() == 0 {
            self.give_back();
            counter!("mustardgate_quota_returned_total").increment(1);
        }
    }
}

impl ReceivedRequest {
    /// Records that the attempt under way has reached the step from which on it may run.
    pub(super) fn record_sent(&self) {
        self.is_sent.store(true, Ordering::Relaxed);
        if let Some(quota) = &self.quota {
            quota.begin_run();
        }
    }

    /// Counts an attempt that ended before its answer was passed on in the quota, unless it did not run.
    pub(super) fn settle_quota<T>(&self, opened: &Result<T, AttemptError>) {
        let Some(quota) = &self.quota else { return };
        let is_run = !opened.as_ref().is_err_and(|error| error.verdict == RunVerdict::NotRun);
        quota.end_attempt(is_run);
    }
}
