//! A failure domain is cut off, and its leader is frozen meanwhile.

use std::time::Duration;

use async_trait::async_trait;

use super::FaultScript;
use crate::{
    failures::{FailureError, FaultTestbed},
    harness::RelayMode,
};

const DOMAIN: &str = "pier";
const LEADER_TIMEOUT: Duration = Duration::from_secs(12);
const CUT_TIME: Duration = Duration::from_secs(3);
/// Time for which the old leader sleeps on after the cut has ended.
const FROZEN_AFTER_CUT: Duration = Duration::from_secs(3);

/// The old leader wakes up with a view from before the cut.
#[derive(Clone, Copy, Debug)]
pub struct CutAndFreeze;

#[async_trait]
impl FaultScript for CutAndFreeze {
    fn name(&self) -> &'static str {
        "cut-and-leader-frozen"
    }

    async fn inject(&self, testbed: &mut FaultTestbed) -> Result<(), FailureError> {
        let leader = testbed.wait_leader(DOMAIN, None, LEADER_TIMEOUT).await?;
        testbed.cut_domain(DOMAIN, RelayMode::Cut);
        tokio::time::sleep(CUT_TIME / 2).await;
        testbed.freeze(leader)?;
        tokio::time::sleep(CUT_TIME / 2).await;
        testbed.heal_domain(DOMAIN);
        tokio::time::sleep(FROZEN_AFTER_CUT).await;
        testbed.resume(leader)?;
        Ok(())
    }
}
