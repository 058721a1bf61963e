//! SIGTERM of a node under load.

use std::time::Duration;

use async_trait::async_trait;
use tokio::time::Instant;

use super::FaultScript;
use crate::failures::{FailureBench, FailureError};

const DOMAIN: &str = "pier";
const LEADER_LIMIT: Duration = Duration::from_secs(12);
/// Time for the node to stop, longer than its limit for requests in flight.
const STOP_LIMIT: Duration = Duration::from_secs(15);

/// The leader of a failure domain is asked to stop; it counts as unimpaired, so nothing at it may be cut off.
#[derive(Clone, Copy, Debug)]
pub struct PlannedStop;

#[async_trait]
impl FaultScript for PlannedStop {
    fn name(&self) -> &'static str {
        "planned-stop"
    }

    async fn inject(&self, bench: &mut FailureBench) -> Result<(), FailureError> {
        let leader = bench.wait_leader(DOMAIN, None, LEADER_LIMIT).await?;
        bench.ended.insert(leader);
        let asked_at = Instant::now();
        bench.cluster.nodes[leader].process.terminate()?;
        let status = bench.cluster.nodes[leader].process.wait(STOP_LIMIT).await?;
        bench.note("stopped_after_s", asked_at.elapsed().as_secs_f64());
        if !status.success() {
            let name = &bench.targets[leader].name;
            bench.violations.push(format!("{name} stopped with {status}"));
        }
        bench.wait_leader(DOMAIN, Some(leader), LEADER_LIMIT).await?;
        bench.note("new_leader_after_s", asked_at.elapsed().as_secs_f64());
        Ok(())
    }
}
