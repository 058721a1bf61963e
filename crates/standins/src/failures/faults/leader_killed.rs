//! SIGKILL of the leader of a failure domain.

use std::time::Duration;

use async_trait::async_trait;
use tokio::time::Instant;

use super::FaultScript;
use crate::failures::{FailureError, FaultTestbed};

const DOMAIN: &str = "pier";
const LEADER_TIMEOUT: Duration = Duration::from_secs(12);

/// The leader is killed; another node of its failure domain must take over.
#[derive(Clone, Copy, Debug)]
pub struct LeaderKilled;

#[async_trait]
impl FaultScript for LeaderKilled {
    fn name(&self) -> &'static str {
        "leader-killed"
    }

    async fn inject(&self, testbed: &mut FaultTestbed) -> Result<(), FailureError> {
        let leader = testbed.wait_leader(DOMAIN, None, LEADER_TIMEOUT).await?;
        testbed.kill(leader)?;
        let killed_at = Instant::now();
        testbed.wait_leader(DOMAIN, Some(leader), LEADER_TIMEOUT).await?;
        testbed.record_figure("without_leader_s", killed_at.elapsed().as_secs_f64());
        Ok(())
    }
}
