//! An outage of the platform's log and its list of VMs.

use std::time::Duration;

use async_trait::async_trait;

use super::FaultScript;
use crate::{
    failures::{FailureError, FaultTestbed},
    platform::{ListFaults, LogFaults, PlatformFaults},
};

const OUTAGE_TIME: Duration = Duration::from_secs(6);

/// The platform is unavailable for three lease terms.
#[derive(Clone, Copy, Debug)]
pub struct PlatformDown;

/// Returns the platform's faults for an outage.
pub(super) fn outage_faults() -> PlatformFaults {
    PlatformFaults {
        log: LogFaults {
            is_down: true,
            ..LogFaults::default()
        },
        list: ListFaults {
            is_down: true,
            ..ListFaults::default()
        },
    }
}

#[async_trait]
impl FaultScript for PlatformDown {
    fn name(&self) -> &'static str {
        "platform-down"
    }

    async fn inject(&self, testbed: &mut FaultTestbed) -> Result<(), FailureError> {
        testbed.set_platform_faults(&outage_faults()).await?;
        tokio::time::sleep(OUTAGE_TIME).await;
        Ok(())
    }
}
