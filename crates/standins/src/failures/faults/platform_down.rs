//! An outage of the platform's log and list.

use std::time::Duration;

use async_trait::async_trait;

use super::FaultScript;
use crate::{
    failures::{FailureError, FaultTestbed},
    platform::{ListFaults, LogFaults, PlatformFaults},
};

const OUTAGE: Duration = Duration::from_secs(6);

/// The platform is away for three terms of the lease.
#[derive(Clone, Copy, Debug)]
pub struct PlatformDown;

/// Returns the faults of an outage.
pub(super) fn outage() -> PlatformFaults {
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
        testbed.set_platform(&outage()).await?;
        tokio::time::sleep(OUTAGE).await;
        Ok(())
    }
}
