//! Operators who change one resource at once through different nodes.

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
/// Shares of racing changes begin here, so that no other change has the same.
const FIRST_SHARE: u32 = 1_000;

/// Every node is given another change of the same version, again and again.
#[derive(Clone, Copy, Debug)]
pub struct RacingOperators;

#[async_trait]
impl FaultScript for RacingOperators {
    fn name(&self) -> &'static str {
        "racing-operators"
    }

    async fn inject(&self, testbed: &mut FaultTestbed) -> Result<(), FailureError> {
        let begun = Instant::now();
        let mut share = FIRST_SHARE;
        let [mut rounds, mut won] = [0, 0];
        while begun.elapsed() < RACE_TIME {
            let Some((expected, _)) = read_version(&testbed.targets[0], &changed_service()).await else {
                continue;
            };
            let accepted = race(testbed, expected, share).await;
            share += testbed.targets.len() as u32;
            rounds += 1;
            won += u32::from(accepted == 1);
            if accepted > 1 {
                testbed
                    .violations
                    .push(format!("{accepted} changes of version {expected} were accepted"));
            }
        }
        testbed.record_figure("races_count", f64::from(rounds));
        testbed.record_figure("races_won_count", f64::from(won));
        Ok(())
    }
}

/// Sends a change of one version through every node at once, and returns how many were accepted.
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
    let outcome = join_all(racers).await;
    let accepted = outcome
        .into_iter()
        .filter(|outcome| matches!(outcome, ChangeOutcome::Accepted(_)));
    accepted.count()
}
