//! SIGSTOP of the leader of a failure domain, for longer than its lease.

use std::time::Duration;

use async_trait::async_trait;
use tokio::time::Instant;

use super::FaultScript;
use crate::failures::{FailureError, FaultTestbed};

const DOMAIN: &str = "pier";
const LEADER_TIMEOUT: Duration = Duration::from_secs(12);
/// Time for which the old leader runs beside the new one after it resumes.
const OVERLAP: Duration = Duration::from_secs(2);

/// The leader is frozen until another node leads, then resumes and still assumes that it holds the lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaderFrozen;

#[async_trait]
impl FaultScript for LeaderFrozen {
    fn name(&self) -> &'static str {
        "leader-frozen"
    }

    async fn inject(&self, testbed: &mut FaultTestbed) -> Result<(), FailureError> {
        let leader = testbed.wait_leader(DOMAIN, None, LEADER_TIMEOUT).await?;
        testbed.freeze(leader)?;
        let frozen_at = Instant::now();
        let successor = testbed.wait_leader(DOMAIN, Some(leader), LEADER_TIMEOUT).await;
        testbed.record_figure("without_leader_s", frozen_at.elapsed().as_secs_f64());
        testbed.resume(leader)?;
        successor?;
        tokio::time::sleep(OVERLAP).await;
        Ok(())
    }
}
