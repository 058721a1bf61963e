//! SIGSTOP of a node with keyed calls in flight.

use std::time::Duration;

use async_trait::async_trait;

use super::FaultScript;
use crate::{
    failures::{FailureError, FaultTestbed},
    service::ServiceFaults,
};

const DOMAIN: &str = "market";
const SERVICE: &str = "market-orders-1";
const FROZEN_TIME: Duration = Duration::from_secs(5);
/// Duration of each call at the service, so that some calls are in flight when the node is frozen.
const CALL_TIME_MS: u64 = 300;
/// Time for slow calls to start before the node is frozen.
const SLOW_CALLS_TIME: Duration = Duration::from_millis(500);

/// A node that is not the leader is frozen while calls that it sent complete.
#[derive(Clone, Copy, Debug)]
pub struct NodeFrozen;

#[async_trait]
impl FaultScript for NodeFrozen {
    fn name(&self) -> &'static str {
        "node-frozen"
    }

    async fn inject(&self, testbed: &mut FaultTestbed) -> Result<(), FailureError> {
        let slow_calls = ServiceFaults {
            delay_ms: CALL_TIME_MS,
            ..ServiceFaults::default()
        };
        testbed.cluster.set_backend_faults(SERVICE, &slow_calls).await?;
        tokio::time::sleep(SLOW_CALLS_TIME).await;
        let leader = testbed.wait_leader(DOMAIN, None, FROZEN_TIME).await?;
        let nodes = testbed.nodes_of(DOMAIN);
        let Some(follower) = nodes.into_iter().find(|node| *node != leader) else {
            return Ok(());
        };
        testbed.freeze(follower)?;
        tokio::time::sleep(FROZEN_TIME).await;
        testbed.resume(follower)?;
        testbed
            .cluster
            .set_backend_faults(SERVICE, &ServiceFaults::default())
            .await?;
        Ok(())
    }
}
