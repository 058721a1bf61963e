//! Permits for requests to runners with a rate limit: a node asks the leader, which issues those of all nodes.

use std::time::Duration;

use metrics::counter;
use mustardgate_core::relay::ListedRunner;
use rand::Rng;

use crate::{
    context::RelayContext,
    peers::{PermitAnswer, PermitRequest},
};

/// Longest delay before this node asks for a permit again, in which it may also hear of the end of the limit.
const MAX_PERMIT_DELAY: Duration = Duration::from_secs(2);

/// Obtains a permit to send one request to a runner now; a runner without a limit needs none.
///
/// # Errors
/// The time until this node should ask again, spread so that nodes do not ask together.
pub async fn request_permit(context: &RelayContext, runner: &ListedRunner) -> Result<(), Duration> {
    let Some(limit) = context.limits.observation(runner) else {
        return Ok(());
    };
    let request = PermitRequest { limit };
    let answer = match context.leader.leader_address() {
        _ if context.leader.token().is_some() => issue_permit(context, &request),
        Some(leader) if !context.limits.is_leader_silent() => {
            let answer = context.peers.request_permit(leader, &request).await;
            if answer.is_none() {
                context.limits.record_silent_leader();
            }
            answer.unwrap_or(PermitAnswer::NotLeading)
        }
        _ => PermitAnswer::NotLeading,
    };
    let outcome = match answer {
        PermitAnswer::Issued => Ok(()),
        PermitAnswer::Refused(delay) => Err(delay),
        PermitAnswer::NotLeading => {
            let nodes = context.directory.settled_node_count();
            context.limits.use_slot(&request.limit, nodes)
        }
    };
    let label = if outcome.is_ok() { "issued" } else { "refused" };
    counter!("mustardgate_permits_total", "outcome" => label).increment(1);
    outcome.map_err(|delay| delay.min(MAX_PERMIT_DELAY).mul_f64(rand::rng().random_range(1.0..2.0)))
}

/// Issues a permit if this node leads.
pub fn issue_permit(context: &RelayContext, request: &PermitRequest) -> PermitAnswer {
    match context.leader.token() {
        Some(term) => context.limits.issue(term, &request.limit),
        None => PermitAnswer::NotLeading,
    }
}
