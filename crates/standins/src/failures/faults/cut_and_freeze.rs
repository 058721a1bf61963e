//! A failure domain that is cut off, with its leader frozen during the cut.

use std::time::Duration;

use async_trait::async_trait;

use super::FaultScript;
use crate::{
    failures::{FailureError, FaultTestbed},
    harness::ProxyMode,
};

const DOMAIN: &str = "pier";
const LEADER_TIMEOUT: Duration = Duration::from_secs(12);
const CUT_TIME: Duration = Duration::from_secs(3);
/// Time for which the old leader stays frozen after the cut has ended.
const FROZEN_AFTER_CUT: Duration = Duration::from_secs(3);

/// The old leader is frozen half-way through the cut and resumes after it, with an outdated view.
#[derive(Clone, Copy, Debug)]
pub struct CutAndFreeze;

#[async_trait]
impl FaultScript for CutAndFreeze {
    fn name(&self) -> &'static str {
        "cut-and-leader-frozen"
    }

    async fn inject(&self, testbed: &mut FaultTestbed) -> Result<(), FailureError> {
        let leader = testbed.wait_leader(DOMAIN, None, LEADER_TIMEOUT).await?;
        testbed.cut_domain(DOMAIN, ProxyMode::Cut);
        tokio::time::sleep(CUT_TIME / 2).await;
        testbed.freeze(leader)?;
        tokio::time::sleep(CUT_TIME / 2).await;
        testbed.heal_domain(DOMAIN);
        tokio::time::sleep(FROZEN_AFTER_CUT).await;
        testbed.resume(leader)?;
        Ok(())
    }
}
