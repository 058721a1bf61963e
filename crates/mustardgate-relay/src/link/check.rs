//! Checks whether runners answer over own connections, when the link is in doubt and until it is restored.

use std::{sync::Arc, time::Duration};

use futures::future::join_all;
use metrics::counter;
use rand::seq::SliceRandom;
use tokio::time;

use super::process::read_process;
use crate::{client::SendFailure, context::RelayContext, fleet::RunnerCell};

/// Time between two looks at the link, and between two probes while it is cut.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a probe; a sound runner answers within a few milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Runners that are asked at once in a check, and in all of its rounds.
const PROBES_PER_ROUND: usize = 3;
const MAX_PROBES: usize = 6;

/// Runners that are asked at most in one probe of a link that is cut.
const PROBES_TO_RESTORE: usize = 2;

/// What a probe found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeOutcome {
    /// A runner answered.
    Answered,
    /// Nobody answered in time.
    Silent,
    /// Another node answered, which says nothing of the link to the runners.
    NoRunner,
}

/// Checks the link to the runners.
#[derive(Debug)]
pub struct LinkTask {
    context: Arc<RelayContext>,
}

impl LinkTask {
    /// Creates the task.
    pub fn new(context: Arc<RelayContext>) -> Self {
        Self { context }
    }

    /// Runs until the process ends.
    pub async fn run(self) {
        let link = &self.context.link;
        loop {
            let pause = if link.is_cut() { PROBE_INTERVAL } else { CHECK_INTERVAL };
            tokio::select! {
                () = time::sleep(pause) => {}
                () = link.next_suspicion() => {}
            }
            if link.is_cut() {
                self.probe().await;
            } else if link.needs_check() {
                check_link(&self.context, None).await;
            }
        }
    }

    /// Asks one runner whether the link is restored, and a second one right away if so.
    async fn probe(&self) {
        let runners = choose_runners(&self.context, None);
        let mut left = PROBES_TO_RESTORE;
        for cell in runners {
            let outcome = probe(&self.context, &cell).await;
            if outcome == ProbeOutcome::NoRunner {
                continue;
            }
            let is_answered = outcome == ProbeOutcome::Answered;
            self.context.link.record_probe(is_answered);
            left -= 1;
            if !is_answered || left == 0 {
                return;
            }
        }
    }
}

/// Returns whether another runner than `failed` answers, so that the failure is not one of the link.
pub async fn is_link_sound(context: &RelayContext, failed: &RunnerCell) -> bool {
    !context.link.is_cut() && check_link(context, Some(failed)).await
}

/// Asks some runners, and records the link as cut if none of them answers; returns whether one did, or there is none.
async fn check_link(context: &RelayContext, excluded: Option<&RunnerCell>) -> bool {
    let (mut asked, mut answered) = (0, 0);
    for runners in choose_runners(context, excluded).chunks(PROBES_PER_ROUND) {
        let outcomes = join_all(runners.iter().map(|cell| probe(context, cell))).await;
        let count = |wanted| outcomes.iter().filter(|outcome| **outcome == wanted).count();
        answered += count(ProbeOutcome::Answered);
        asked += runners.len() - count(ProbeOutcome::NoRunner);
        if answered > 0 {
            break;
        }
    }
    if context.link.record_check(asked, answered) {
        for cell in context.fleet.all() {
            cell.forget_failures();
            cell.pool.close_all();
        }
    }
    answered > 0 || asked == 0
}

/// Chooses runners to ask at random: of the own failure domain and of others in turn, because a domain that is cut off
/// reaches its own, and of each those without a failure first.
fn choose_runners(context: &RelayContext, excluded: Option<&RunnerCell>) -> Vec<Arc<RunnerCell>> {
    let failed = context.link.failed_runners();
    let excluded = excluded.map(|cell| cell.listed().id.clone());
    let mut cells = context.fleet.all();
    cells.retain(|cell| cell.is_in_service() && !cell.is_at_node() && Some(&cell.listed().id) != excluded.as_ref());
    // Runners of other services get no requests, and anyone may list some at which nobody listens.
    if let Some(active) = context.routes.current() {
        cells.retain(|cell| active.config.services.contains_key(&cell.listed().service));
    }
    cells.shuffle(&mut rand::rng());
    cells.sort_by_key(|cell| failed.contains(&cell.listed().id));
    let own_domain = &context.settings.node.domain;
    let (near, far): (Vec<_>, Vec<_>) = cells.into_iter().partition(|cell| cell.listed().domain == *own_domain);
    let mut ranked: Vec<_> = near
        .into_iter()
        .enumerate()
        .chain(far.into_iter().enumerate())
        .collect();
    ranked.sort_by_key(|(rank, _)| *rank);
    ranked.truncate(MAX_PROBES);
    ranked.into_iter().map(|(_, cell)| cell).collect()
}

/// Asks a runner over a new connection, which joins its pool; returns whether it answered.
pub(super) async fn probe_runner(context: &RelayContext, cell: &RunnerCell) -> bool {
    probe(context, cell).await == ProbeOutcome::Answered
}

async fn probe(context: &RelayContext, cell: &RunnerCell) -> ProbeOutcome {
    counter!("mustardgate_link_probes_total").increment(1);
    let probing = async {
        let mut connection = cell.pool.connect(PROBE_TIMEOUT).await?;
        read_process(context, cell, &mut connection).await?;
        cell.pool.give_back(connection, None);
        Ok::<_, SendFailure>(())
    };
    match time::timeout(PROBE_TIMEOUT, probing).await {
        Ok(Ok(())) => ProbeOutcome::Answered,
        Ok(Err(SendFailure::NoRunner)) => {
            cell.record_node();
            ProbeOutcome::NoRunner
        }
        Ok(Err(_)) | Err(_) => ProbeOutcome::Silent,
    }
}
