//! SIGKILL of the leader of a failure domain while the platform is unavailable.

use std::time::Duration;

use async_trait::async_trait;
use tokio::time::Instant;

use super::{FaultScript, platform_down::outage_faults};
use crate::{
    failures::{FailureError, FaultTestbed},
    platform::PlatformFaults,
};

const DOMAIN: &str = "pier";
const LEADER_TIMEOUT: Duration = Duration::from_secs(12);
const OUTAGE_TIME: Duration = Duration::from_secs(4);

/// No other node can acquire the lease until the platform is available again.
#[derive(Clone, Copy, Debug)]
pub struct OutageAndKill;

#[async_trait]
impl FaultScript for OutageAndKill {
    fn name(&self) -> &'static str {
        "outage-and-leader-killed"
    }

    async fn inject(&self, testbed: &mut FaultTestbed) -> Result<(), FailureError> {
        let leader = testbed.wait_leader(DOMAIN, None, LEADER_TIMEOUT).await?;
        testbed.set_platform_faults(&outage_faults()).await?;
        tokio::time::sleep(OUTAGE_TIME / 2).await;
        testbed.kill(leader)?;
        let killed_at = Instant::now();
        tokio::time::sleep(OUTAGE_TIME / 2).await;
        testbed.set_platform_faults(&PlatformFaults::default()).await?;
        testbed.wait_leader(DOMAIN, Some(leader), LEADER_TIMEOUT).await?;
        testbed.record_figure("without_leader_s", killed_at.elapsed().as_secs_f64());
        Ok(())
    }
}
