//! Reports of the use of quotas: a node asks the leader, which keeps the buckets of all nodes. A node that no leader reaches
//! asks a neighbour, which keeps the fixed shares of those that ask it.

use std::{net::SocketAddr, sync::Arc};

use metrics::counter;
use mustardgate_core::relay::{QuotaAnswer, QuotaReport, QuotaSource};

use crate::{context::RelayContext, peers::QuotaCall};

/// Reports what this node has used of quotas and needs, unless a report is under way, and takes over the answer.
pub async fn exchange_quotas(context: Arc<RelayContext>, source: QuotaSource) {
    if source == QuotaSource::Pool {
        return exchange_in_pool(&context).await;
    }
    let Some(report) = begin_quota_report(&context, QuotaSource::Leader) else {
        return;
    };
    let number = report.number;
    let answer = ask_leader(&context, report).await;
    if answer.is_none() {
        exchange_in_pool(&context).await;
    }
    end_quota_report(&context, QuotaSource::Leader, number, answer.as_ref());
}

/// Reports to a neighbour if no leader grants anything.
pub async fn exchange_without_leader(context: Arc<RelayContext>) {
    if context.quotas.source(context.leader.lease_time()) == QuotaSource::Pool {
        exchange_in_pool(&context).await;
    }
}

/// Reports to a neighbour. A node that has just lost its leader does so before its grants end, so that requests need not be
/// refused meanwhile.
pub async fn exchange_in_pool(context: &RelayContext) {
    let Some(report) = begin_quota_report(context, QuotaSource::Pool) else {
        return;
    };
    let number = report.number;
    let answer = ask_pool(context, report).await;
    end_quota_report(context, QuotaSource::Pool, number, answer.as_ref());
}

async fn ask_leader(context: &RelayContext, report: QuotaReport) -> Option<QuotaAnswer> {
    let address = context.directory.own_address()?;
    if context.leader.token().is_some() {
        return answer_quota_report(context, address, &report);
    }
    let call = QuotaCall {
        address,
        report,
        is_pooled: false,
    };
    context
        .peers
        .report_quotas(context.leader.leader_address()?, &call)
        .await
}

/// Asks the first node of the own failure domain that answers, or else of another one: nodes that are cut off together
/// then ask the same one.
async fn ask_pool(context: &RelayContext, report: QuotaReport) -> Option<QuotaAnswer> {
    let now = context.leader.lease_time();
    let own = context.directory.own()?;
    let members = context.directory.members();
    let candidates = members.iter().chain([own]);
    let open = candidates.filter(|member| context.quotas.may_ask(now, member.address));
    let keeper = open
        .min_by_key(|member| (member.domain != own.domain, member.address))?
        .address;
    if keeper == own.address {
        return answer_from_pool(context, keeper, &report);
    }
    let call = QuotaCall {
        address: own.address,
        report,
        is_pooled: true,
    };
    let answer = context.peers.report_quotas(keeper, &call).await;
    if answer.is_none() {
        context.quotas.rest_neighbour(now, keeper);
    }
    answer
}

/// Returns what to report of quotas, if any tenant has one and no report is under way.
pub fn begin_quota_report(context: &RelayContext, source: QuotaSource) -> Option<QuotaReport> {
    let now = context.leader.lease_time();
    let routes = context.routes.current();
    context.quotas.begin_report(now, source, routes.as_deref())
}

/// Takes over the answer to a report.
pub fn end_quota_report(context: &RelayContext, source: QuotaSource, number: u64, answer: Option<&QuotaAnswer>) {
    let outcome = if answer.is_some() { "answered" } else { "unanswered" };
    let to = match source {
        QuotaSource::Leader => "leader",
        QuotaSource::Pool => "neighbour",
    };
    counter!("mustardgate_quota_reports_total", "to" => to, "outcome" => outcome).increment(1);
    let now = context.leader.lease_time();
    context
        .quotas
        .end_report(now, source, number, answer, context.sharing_nodes());
}

/// Answers the report of a node if this node leads and has a configuration.
pub fn answer_quota_report(context: &RelayContext, node: SocketAddr, report: &QuotaReport) -> Option<QuotaAnswer> {
    let term = context.leader.term()?;
    let routes = context.routes.current()?;
    let now = context.leader.lease_time();
    context
        .quotas
        .answer(now, term, context.sharing_nodes(), node, report, &routes)
}

/// Answers the report of a node that no leader reaches.
pub fn answer_from_pool(context: &RelayContext, node: SocketAddr, report: &QuotaReport) -> Option<QuotaAnswer> {
    let routes = context.routes.current()?;
    let now = context.leader.lease_time();
    context
        .quotas
        .answer_from_pool(now, context.sharing_nodes(), node, report, &routes)
}

impl RelayContext {
    /// Returns the number of nodes that share quotas, or 0 if it is not known: what leaders told this process, or else the
    /// number in the lease.
    pub(crate) fn sharing_nodes(&self) -> u32 {
        match self.directory.settled_node_count() {
            0 => self
                .leader
                .nodes_in_lease()
                .max(self.directory.known_node_count().nodes),
            nodes => nodes,
        }
    }
}
