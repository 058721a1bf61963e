//! Reports the demand counted by this node to the leader.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::Rng;
use tokio::time;

use super::DemandReport;
use crate::context::RelayContext;

/// Time between two reports of demand.
const REPORT_INTERVAL: Duration = Duration::from_millis(700);

/// Reports demand to the leader, whose answers also prove that it still leads.
#[derive(Debug)]
pub struct DigestTask {
    context: Arc<RelayContext>,
    address: SocketAddr,
    /// Leader that answered last, and the number of the newest runner observation that it returned.
    seen: Option<(SocketAddr, u64)>,
}

impl DigestTask {
    /// Creates the task of a node that other nodes reach at `address`.
    pub fn new(context: Arc<RelayContext>, address: SocketAddr) -> Self {
        Self {
            context,
            address,
            seen: None,
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        loop {
            let pause = REPORT_INTERVAL.mul_f64(rand::rng().random_range(0.8..1.2));
            time::sleep(pause).await;
            self.report().await;
        }
    }

    async fn report(&mut self) {
        let leader = &self.context.leader;
        if leader.token().is_some() {
            leader.record_demand(&self.context.demand.take());
            self.context.directory.set_feeder(None);
            self.context
                .directory
                .set_node_count(self.context.directory.count_live_nodes());
            return;
        }
        let Some(address) = leader.leader_address() else { return };
        let report = DemandReport {
            address: self.address,
            digest: self.context.demand.take(),
            crashes: self.context.crashes.digest(),
            limits: self.context.limits.own_observations(),
            seen: self
                .seen
                .filter(|(leader, _)| *leader == address)
                .map_or(0, |(_, seen)| seen),
        };
        let answer = self.context.peers.report_demand(address, &report).await;
        let is_leading = answer.as_ref().is_some_and(|answer| answer.is_leading);
        leader.record_leader_contact(is_leading);
        self.context.directory.set_feeder(is_leading.then_some(address));
        if let Some(answer) = answer {
            self.context.directory.record_contact(address);
            self.context.directory.set_node_count(answer.nodes);
            for observation in &answer.observations {
                self.context.fleet.observe(observation);
            }
            self.context.crashes.merge(&answer.crashes);
            self.context.limits.merge(&answer.limits);
            self.seen = Some((address, answer.seen));
        }
    }
}
