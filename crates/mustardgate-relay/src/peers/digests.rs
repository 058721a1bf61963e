//! Brings the demand counted here to the leader.

use std::{sync::Arc, time::Duration};

use rand::Rng;
use tokio::time;

use super::DemandReport;
use crate::context::RelayContext;

/// Time between two reports of demand.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Reports demand to the leader, whose answers also show that it still leads.
#[derive(Debug)]
pub struct DigestTask {
    context: Arc<RelayContext>,
}

impl DigestTask {
    /// Creates the task.
    pub fn new(context: Arc<RelayContext>) -> Self {
        Self { context }
    }

    /// Reports for ever.
    pub async fn run(self) {
        loop {
            let pause = REPORT_INTERVAL.mul_f64(rand::rng().random_range(0.8..1.2));
            time::sleep(pause).await;
            self.report().await;
        }
    }

    async fn report(&self) {
        let leader = &self.context.leader;
        if leader.token().is_some() {
            leader.take_digest(&self.context.demand.take());
            return;
        }
        let Some(address) = leader.leader_address() else { return };
        let report = DemandReport {
            digest: self.context.demand.take(),
        };
        let is_leading = self.context.peers.report_demand(address, &report).await;
        leader.note_contact(is_leading);
    }
}
