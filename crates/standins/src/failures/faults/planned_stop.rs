//! SIGTERM of a node under load.

use std::time::Duration;

use async_trait::async_trait;
use tokio::time::Instant;

use super::FaultScript;
use crate::failures::{FailureError, FaultTestbed};

const DOMAIN: &str = "pier";
const LEADER_TIMEOUT: Duration = Duration::from_secs(12);
/// Time within which the node must stop; longer than its limit for finishing requests in flight.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);

/// The leader of a failure domain is told to stop. It does not count as impaired, so that any answer which it cuts off
/// is a violation.
#[derive(Clone, Copy, Debug)]
pub struct PlannedStop;

#[async_trait]
impl FaultScript for PlannedStop {
    fn name(&self) -> &'static str {
        "planned-stop"
    }

    async fn inject(&self, testbed: &mut FaultTestbed) -> Result<(), FailureError> {
        let leader = testbed.wait_leader(DOMAIN, None, LEADER_TIMEOUT).await?;
        testbed.ended.insert(leader);
        let terminated_at = Instant::now();
        testbed.cluster.nodes[leader].process.terminate()?;
        let status = testbed.cluster.nodes[leader].process.wait(STOP_TIMEOUT).await?;
        testbed.record_figure("stopped_after_s", terminated_at.elapsed().as_secs_f64());
        if !status.success() {
            let name = &testbed.targets[leader].name;
            testbed.violations.push(format!("{name} stopped with {status}"));
        }
        testbed.wait_leader(DOMAIN, Some(leader), LEADER_TIMEOUT).await?;
        testbed.record_figure("new_leader_after_s", terminated_at.elapsed().as_secs_f64());
        Ok(())
    }
}
