//! The leader dies while the platform is away.

use std::time::Duration;

use async_trait::async_trait;
use tokio::time::Instant;

use super::{FaultScript, platform_down::outage};
use crate::{
    failures::{FailureBench, FailureError},
    platform::PlatformFaults,
};

const DOMAIN: &str = "pier";
const LEADER_LIMIT: Duration = Duration::from_secs(12);
const OUTAGE: Duration = Duration::from_secs(4);

/// No lease can be taken until the platform is back.
#[derive(Clone, Copy, Debug)]
pub struct OutageAndKill;

#[async_trait]
impl FaultScript for OutageAndKill {
    fn name(&self) -> &'static str {
        "outage-and-leader-killed"
    }

    async fn inject(&self, bench: &mut FailureBench) -> Result<(), FailureError> {
        let leader = bench.wait_leader(DOMAIN, None, LEADER_LIMIT).await?;
        bench.set_platform(&outage()).await?;
        tokio::time::sleep(OUTAGE / 2).await;
        bench.kill(leader)?;
        let killed_at = Instant::now();
        tokio::time::sleep(OUTAGE / 2).await;
        bench.set_platform(&PlatformFaults::default()).await?;
        bench.wait_leader(DOMAIN, Some(leader), LEADER_LIMIT).await?;
        bench.note("without_leader_s", killed_at.elapsed().as_secs_f64());
        Ok(())
    }
}
