//! Attempts after the first: what follows a failed one, and who pays for it.

use std::time::Duration;

use metrics::counter;
use mustardgate::events;
use mustardgate_core::{
    clock,
    relay::{AnswerStage, RefusalCause, RelayRequest},
    retry::{AttemptFailure, AttemptPlan, NextStep, NoRetries, RetryAllowance},
};
use slog::o;

use super::{
    attempt::{OpenAnswer, ReceivedRequest},
    failure::AttemptError,
    path::ResumePoint,
};

/// Shortest time before the deadline in which another attempt is still made.
pub(super) const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);

/// Decides what follows a failed attempt; another one is paid from the budget of the service.
pub(super) fn next_step(received: &ReceivedRequest, plan: &mut AttemptPlan, error: &AttemptError) -> NextStep {
    next_step_within(plan, error, &mut received.allowance())
}

/// Decides what follows a failed attempt; another one is paid from the allowance.
pub(super) fn next_step_within(
    plan: &mut AttemptPlan,
    error: &AttemptError,
    allowance: &mut dyn RetryAllowance,
) -> NextStep {
    let Some(backend) = error.backend.clone() else {
        return NextStep::GiveUp {
            verdict: plan.verdict(),
            retry_after: Duration::ZERO,
        };
    };
    if error.is_withheld {
        let step = plan.withdraw_attempt();
        // Neither this node nor another one reaches the runners, so no other runner is tried.
        return if error.cause == RefusalCause::RunnersUnreachable {
            NextStep::GiveUp {
                verdict: plan.verdict(),
                retry_after: Duration::ZERO,
            }
        } else {
            step
        };
    }
    let failure = AttemptFailure {
        verdict: error.verdict,
        backend,
        retry_after: None,
        answer_time: MIN_ATTEMPT_TIME,
    };
    if error.is_fatal {
        return plan.fail_attempt(clock::now(), &failure, &mut NoRetries);
    }
    plan.fail_attempt(clock::now(), &failure, allowance)
}

impl ReceivedRequest {
    /// Returns this node's share of the retry budget of the service.
    pub(super) fn allowance(&self) -> impl RetryAllowance + use<'_> {
        let part = self.context.retry_loans.part(self.context.leader.lease_time());
        self.context.budgets.allowance(&self.service, part)
    }
}

/// Counts an attempt after the first of its request, if it may have reached its runner.
pub(super) fn count_repeat(plan: &AttemptPlan, resume: &ResumePoint, opened: &Result<OpenAnswer, AttemptError>) {
    let is_sent = !opened.as_ref().is_err_and(|error| error.is_withheld);
    if plan.attempts() < 2 || !is_sent {
        return;
    }
    let is_continuation = resume.stage == AnswerStage::Continuation;
    let sort = if is_continuation { "continuation" } else { "retry" };
    counter!("mustardgate_relay_repeats_sent_total", "sort" => sort).increment(1);
}

/// Counts and logs a failed attempt, and what follows it.
pub(super) fn log_failure(received: &ReceivedRequest, plan: &AttemptPlan, error: &AttemptError, step: &NextStep) {
    let now = clock::now();
    let is_paid = !error.is_withheld && !error.is_fatal && error.backend.is_some();
    let follows = match step {
        NextStep::RetryElsewhere { .. } => "retry",
        // All else would have allowed another attempt.
        NextStep::GiveUp { .. } if is_paid && plan.allows_another(now, MIN_ATTEMPT_TIME) => "budget_spent",
        NextStep::GiveUp { .. } | NextStep::AwaitOther => "give_up",
    };
    log_attempt(received, plan, error, follows);
}

/// Counts and logs an attempt that was abandoned for the answer before it, which is awaited further.
pub(super) fn log_abandoned(received: &ReceivedRequest, plan: &AttemptPlan, error: &AttemptError) {
    log_attempt(received, plan, error, "former_answer");
}

fn log_attempt(received: &ReceivedRequest, plan: &AttemptPlan, error: &AttemptError, follows: &'static str) {
    counter!("mustardgate_relay_attempts_failed_total", "reason" => error.reason.to_string()).increment(1);
    counter!("mustardgate_relay_attempts_followed_total", "by" => follows).increment(1);
    let usage = received.context.budgets.usage(clock::now(), &received.service);
    let count = received.context.directory.known_node_count();
    let values = o!(
        "nodes_known_ms" => count.known_for.as_millis() as u64,
        "nodes" => count.nodes,
        "loan_part" => received.context.retry_loans.part(received.context.leader.lease_time()),
        "budget_allowed" => usage.allowed,
        "budget_spent" => usage.spent,
        "is_link_cut" => received.context.link.is_cut(),
        "attempts" => plan.attempts(),
        "follows" => follows,
        "verdict" => error.verdict.to_string(),
        "reason" => error.reason.to_string(),
        "cause" => error.cause.to_string(),
        "caller_digest" => received.digests.from_caller.to_string(),
        "digest" => received.digests.content.to_string(),
        "backend" => error.backend.as_deref().unwrap_or("none").to_owned(),
        "model" => model_text(&received.request),
        "service" => received.service.to_string(),
    );
    received
        .context
        .log
        .write(events::RELAY_ATTEMPT_FAILED, &received.request.id, values);
}

/// Returns the name of the requested model, for logs.
fn model_text(request: &RelayRequest) -> String {
    let name = request.model.as_ref();
    name.map_or_else(|| "none".to_owned(), |name| name.to_text().to_string())
}
