//! Operators who change the same resource concurrently through different nodes.

use std::time::Duration;

use async_trait::async_trait;
use futures::future::join_all;
use smol_str::format_smolstr;
use tokio::time::Instant;

use super::FaultScript;
use crate::failures::{
    FailureError, FaultTestbed,
    changes::{ChangeOutcome, changed_service, read_version, send_change, share_spec},
};

const RACE_TIME: Duration = Duration::from_secs(8);
/// First share set by a racing change, high enough that no other change sets the same one.
const FIRST_SHARE: u32 = 1_000;

/// Repeatedly sends every node a different change that expects the same version; at most one may be accepted.
#[derive(Clone, Copy, Debug)]
pub struct RacingOperators;

#[async_trait]
impl FaultScript for RacingOperators {
    fn name(&self) -> &'static str {
        "racing-operators"
    }

    async fn inject(&self, testbed: &mut FaultTestbed) -> Result<(), FailureError> {
        let started_at = Instant::now();
        let mut share = FIRST_SHARE;
        let [mut rounds, mut won] = [0, 0];
        while started_at.elapsed() < RACE_TIME {
            let Some((expected, _)) = read_version(&testbed.targets[0], &changed_service()).await else {
                continue;
            };
            let accepted = race(testbed, expected, share).await;
            share += testbed.targets.len() as u32;
            rounds += 1;
            won += u32::from(accepted == 1);
            if accepted > 1 {
                testbed.violations.push(format!(
                    "{accepted} concurrent changes of version {expected} were accepted"
                ));
            }
        }
        testbed.record_figure("races_count", f64::from(rounds));
        testbed.record_figure("races_won_count", f64::from(won));
        Ok(())
    }
}

/// Sends one change through each node, all concurrently and for the same version, and returns how many were accepted.
async fn race(testbed: &FaultTestbed, expected: u64, first_share: u32) -> usize {
    let key = changed_service();
    let racers = testbed.targets.iter().zip(first_share..).map(|(target, share)| {
        let key = &key;
        async move {
            send_change(
                target,
                key,
                &share_spec(share),
                expected,
                &format_smolstr!("race-{share}"),
            )
            .await
        }
    });
    let outcomes = join_all(racers).await;
    let accepted = outcomes
        .into_iter()
        .filter(|outcome| matches!(outcome, ChangeOutcome::Accepted(_)));
    accepted.count()
}
