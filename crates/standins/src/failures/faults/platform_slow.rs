//! A platform that answers slowly.

use std::time::Duration;

use async_trait::async_trait;

use super::FaultScript;
use crate::{
    failures::{FailureError, FaultTestbed},
    platform::{ListFaults, LogFaults, PlatformFaults},
};

const SLOW_TIME: Duration = Duration::from_secs(6);
const DELAY_MS: u64 = 700;

/// Every answer of the platform is delayed, but by less than the nodes' timeout.
#[derive(Clone, Copy, Debug)]
pub struct PlatformSlow;

#[async_trait]
impl FaultScript for PlatformSlow {
    fn name(&self) -> &'static str {
        "platform-slow"
    }

    async fn inject(&self, testbed: &mut FaultTestbed) -> Result<(), FailureError> {
        let faults = PlatformFaults {
            log: LogFaults {
                delay_ms: DELAY_MS,
                ..LogFaults::default()
            },
            list: ListFaults {
                delay_ms: DELAY_MS,
                ..ListFaults::default()
            },
        };
        testbed.set_platform_faults(&faults).await?;
        tokio::time::sleep(SLOW_TIME).await;
        Ok(())
    }
}
