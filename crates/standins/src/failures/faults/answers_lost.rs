//! Answers of the log that are lost after the append took effect.

use std::time::Duration;

use async_trait::async_trait;

use super::FaultScript;
use crate::{
    failures::{FailureError, FaultTestbed},
    platform::{LogFaults, PlatformFaults},
};

const LOSS_TIME: Duration = Duration::from_secs(6);
const LOST_ANSWER_RATIO: f64 = 0.3;
const REFUSED_RATIO: f64 = 0.1;

/// Three appends in ten take effect without an answer, and one in ten is refused.
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
        testbed.set_platform(&faults).await?;
        tokio::time::sleep(LOSS_TIME).await;
        Ok(())
    }
}
