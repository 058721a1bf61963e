//! Checks what the stand-ins ran against the answers that callers and the operator received.

use std::{collections::BTreeMap, time::Duration};

use mustardgate_core::{
    ids::{IdempotencyKey, Offset},
    verdict::RunVerdict,
};

use super::{
    changes::AcceptedChange,
    chats::ChatOutcome,
    error::FailureError,
    orders::{OrderOutcome, OrderRecord},
    report::FaultReport,
    testbed::FaultTestbed,
    traffic::TrafficLog,
};
use crate::{engine_http::EngineStats, service::ServiceStats};

/// Runs every check and adds the counts and violations to the report.
pub(super) async fn check_run(
    testbed: &FaultTestbed,
    log: &TrafficLog,
    report: &mut FaultReport,
) -> Result<(), FailureError> {
    check_engines(testbed, report).await?;
    let runs = count_runs(testbed).await?;
    for order in &log.orders {
        check_order(testbed, order, runs.get(&order.key).copied().unwrap_or(0), report);
    }
    check_chats(testbed, log, report);
    check_loads(testbed, log, report);
    check_configuration(testbed, log, report);
    check_invariant_counters(testbed, report).await;
    Ok(())
}

async fn check_engines(testbed: &FaultTestbed, report: &mut FaultReport) -> Result<(), FailureError> {
    for backend in testbed
        .cluster
        .backends
        .iter()
        .filter(|backend| backend.name.contains("-runner-"))
    {
        let stats: EngineStats = testbed.cluster.backend_stats(&backend.name).await?;
        report.count("engine_loads", stats.loads);
        report.count("engine_unloads", stats.unloads);
        report.count("orders_fenced", stats.fenced_orders);
        report.count("stale_orders_obeyed", stats.stale_orders_obeyed);
        if stats.has_overcommitted {
            report.add_violation(format!("memory use exceeded the capacity at {}", backend.name));
        }
    }
    Ok(())
}

async fn count_runs(testbed: &FaultTestbed) -> Result<BTreeMap<IdempotencyKey, u64>, FailureError> {
    let mut runs: BTreeMap<IdempotencyKey, u64> = BTreeMap::new();
    for backend in testbed
        .cluster
        .backends
        .iter()
        .filter(|backend| backend.name.contains("-orders-"))
    {
        let stats: ServiceStats = testbed.cluster.backend_stats(&backend.name).await?;
        for (key, count) in stats.by_key {
            *runs.entry(key).or_default() += count;
        }
    }
    Ok(runs)
}

fn check_order(testbed: &FaultTestbed, order: &OrderRecord, runs: u64, report: &mut FaultReport) {
    let key = &order.key;
    report.count("keyed_orders", 1);
    report.count("keyed_orders_run", u64::from(runs > 0));
    if runs > 1 {
        report.add_violation(format!("{key} ran {runs} times"));
    }
    let mut has_run = false;
    for attempt in &order.attempts {
        let node_name = &testbed.targets[attempt.node].name;
        report.count(order_count_name(attempt.outcome), 1);
        match attempt.outcome {
            OrderOutcome::Answered | OrderOutcome::Refused(RunVerdict::Ran) => has_run = true,
            OrderOutcome::Refused(RunVerdict::NotRun) if has_run => {
                report.add_violation(format!("{key} ran, but {node_name} reported later that it had not run"));
            }
            OrderOutcome::WrongAnswer => report.add_violation(format!("{key} got a wrong answer from {node_name}")),
            OrderOutcome::CutOff if !testbed.impaired.contains(&attempt.node) => {
                report.add_violation(format!(
                    "the connection to {node_name} closed before the answer to {key} was complete"
                ));
            }
            _ => {}
        }
    }
    let last = order.attempts.last().map(|attempt| attempt.outcome);
    if last == Some(OrderOutcome::Refused(RunVerdict::NotRun)) && runs > 0 {
        report.add_violation(format!("{key} was reported as not run, but ran"));
    }
    if has_run && runs == 0 {
        report.add_violation(format!("{key} was reported as run, but never ran"));
    }
}

fn order_count_name(outcome: OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Answered => "order_attempts_answered",
        OrderOutcome::WrongAnswer => "order_attempts_wrong",
        OrderOutcome::Refused(RunVerdict::NotRun) => "order_attempts_told_not_run",
        OrderOutcome::Refused(_) => "order_attempts_told_may_have_run",
        OrderOutcome::CutOff => "order_attempts_cut_off",
        OrderOutcome::TimedOut => "order_attempts_timed_out",
        OrderOutcome::Unreachable => "order_attempts_unreachable",
    }
}

fn check_chats(testbed: &FaultTestbed, log: &TrafficLog, report: &mut FaultReport) {
    for chat in &log.chats {
        report.count(chat_count_name(chat.outcome), 1);
        let node_name = &testbed.targets[chat.node].name;
        match chat.outcome {
            ChatOutcome::Wrong => report.add_violation(format!("a wrong answer from {node_name}")),
            ChatOutcome::CutOff if !testbed.impaired.contains(&chat.node) => {
                report.add_violation(format!("an incomplete answer from {node_name}"));
            }
            _ => {}
        }
    }
}

fn chat_count_name(outcome: ChatOutcome) -> &'static str {
    match outcome {
        ChatOutcome::Whole => "chats_whole",
        ChatOutcome::Wrong => "chats_wrong",
        ChatOutcome::CutOff => "chats_cut_off",
        ChatOutcome::Refused => "chats_refused",
        ChatOutcome::Unreachable => "chats_unreachable",
        ChatOutcome::TimedOut => "chats_timed_out",
    }
}

fn check_loads(testbed: &FaultTestbed, log: &TrafficLog, report: &mut FaultReport) {
    for load in &log.loads {
        report.count("load_sent", load.sent);
        report.count("load_answered", load.answered);
        report.count("load_in_time", load.in_time);
        report.count("load_broken", load.broken);
        if load.broken > 0 && !testbed.impaired.contains(&load.node) {
            let node_name = &testbed.targets[load.node].name;
            report.add_violation(format!(
                "{} load requests got an incomplete or wrong answer from {node_name}",
                load.broken
            ));
        }
    }
}

fn check_configuration(testbed: &FaultTestbed, log: &TrafficLog, report: &mut FaultReport) {
    let changes = &log.changes;
    report.count("changes_sent", changes.sent);
    report.count("changes_accepted", changes.accepted.len() as u64);
    report.count("changes_refused", changes.refused);
    report.count("changes_unknown", changes.unknown);
    report.count("rollouts_accepted", changes.rollouts);
    let mut shares_by_version: BTreeMap<Offset, u32> = changes
        .accepted
        .iter()
        .map(|change| (change.version, change.share))
        .collect();
    for (node, observed) in log.observed.iter().enumerate() {
        let node_name = &testbed.targets[node].name;
        for pair in observed.windows(2) {
            if pair[1].version <= pair[0].version {
                report.add_violation(format!(
                    "{node_name} reported version {} and then version {}",
                    pair[0].version, pair[1].version
                ));
            }
        }
        for version in observed {
            if *shares_by_version.entry(version.version).or_insert(version.share) != version.share {
                report.add_violation(format!(
                    "{node_name} reported a different share for version {}",
                    version.version
                ));
            }
        }
    }
    let is_unaffected = |node: &usize| {
        !testbed.impaired.contains(node) && !testbed.cut_off.contains(node) && !testbed.ended.contains(node)
    };
    record_longest_delay(testbed, log, report, "change_in_force_max_s", is_unaffected);
    record_longest_delay(testbed, log, report, "change_in_force_fault_included_max_s", |node| {
        !testbed.ended.contains(node)
    });
}

/// Records the longest time from sending an accepted change until a chosen node reported it or a newer version.
fn record_longest_delay(
    testbed: &FaultTestbed,
    log: &TrafficLog,
    report: &mut FaultReport,
    figure: &str,
    is_chosen: impl Fn(&usize) -> bool,
) {
    let nodes: Vec<usize> = (0..testbed.targets.len()).filter(is_chosen).collect();
    let delays = log.changes.accepted.iter().flat_map(|change| {
        let by_node = nodes
            .iter()
            .filter_map(|node| observation_delay(&log.observed[*node], change));
        by_node.collect::<Vec<Duration>>()
    });
    if let Some(longest) = delays.max() {
        report.figures.insert(figure.to_owned(), longest.as_secs_f64());
    }
}

fn observation_delay(observed: &[super::changes::ObservedVersion], change: &AcceptedChange) -> Option<Duration> {
    let first = observed.iter().find(|observed| observed.version >= change.version)?;
    Some(first.observed_at.saturating_duration_since(change.sent_at))
}

/// Adds a violation for each reachable node that counted violations of its internal invariants.
async fn check_invariant_counters(testbed: &FaultTestbed, report: &mut FaultReport) {
    for target in testbed.targets.iter() {
        let Some(status) = target.status().await else {
            continue;
        };
        if status.invariant_violations > 0 {
            report.add_violation(format!(
                "{} counted {} violations of its internal invariants",
                target.name, status.invariant_violations
            ));
        }
    }
}
