//! Platform log whose answers are lost after the append took effect.

use std::time::Duration;

use async_trait::async_trait;

use super::FaultScript;
use crate::{
    failures::{FailureError, FaultTestbed},
    platform::{LogFaults, PlatformFaults},
};

const FAULT_TIME: Duration = Duration::from_secs(6);
const LOST_ANSWER_RATIO: f64 = 0.3;
const REFUSED_RATIO: f64 = 0.1;

/// Of the appends to the platform's log, 10 % are refused, and 30 % of the others take effect without an answer.
#[derive(Clone, Copy, Debug)]
pub struct AnswersLost;

#[async_trait]
impl FaultScript for AnswersLost {
    fn name(&self) -> &'static str {
        "log-answers-lost"
    }

    async fn inject(&self, testbed: &mut FaultTestbed) -> Result<(), FailureError> {
        let log = LogFaults {
            lost_answer_ratio: LOST_ANSWER_RATIO,
            refused_ratio: REFUSED_RATIO,
            ..LogFaults::default()
        };
        let faults = PlatformFaults {
            log,
            ..PlatformFaults::default()
        };
        testbed.set_platform_faults(&faults).await?;
        tokio::time::sleep(FAULT_TIME).await;
        Ok(())
    }
}
