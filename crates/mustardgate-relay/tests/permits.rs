//! Rate limits of runners while no node leads: the slots of all nodes together stay within the limit.

use std::time::Duration;

use mustardgate_core::{clock, ids::RunnerProcess, relay::PermitSchedule};
use mustardgate_relay::peers::PeerDirectory;
use tokio::time;

const RATE_PER_S: f64 = 20.0;
/// Number of nodes assumed while it is not known, as in the product.
const DESIGN_NODE_COUNT: u32 = 360;
const STEP: Duration = Duration::from_millis(20);
const LENGTH: Duration = Duration::from_secs(2);

// Guards against nodes that share a limit by the few nodes of which a new leader, which ended soon after, had heard.
#[tokio::test(start_paused = true)]
async fn nodes_that_a_new_leader_told_small_numbers_stay_within_a_rate_limit() {
    for node_count in [7_u32, 9, 59, 77, 360] {
        let process: RunnerProcess = ("engine-1".into(), 1);
        let mut nodes: Vec<(PeerDirectory, PermitSchedule)> = (0..node_count)
            .map(|_| (PeerDirectory::default(), PermitSchedule::default()))
            .collect();
        for (number, (directory, _)) in nodes.iter().enumerate() {
            directory.set_node_count(number as u32 + 1);
        }
        let ends_at = clock::now() + LENGTH;
        let mut used = 0;
        while clock::now() < ends_at {
            for (number, (directory, schedule)) in nodes.iter_mut().enumerate() {
                let count = match directory.settled_node_count() {
                    0 => DESIGN_NODE_COUNT,
                    count => count,
                };
                let draw = f64::from(number as u32) / f64::from(node_count);
                let outcome = schedule.use_slot(clock::now(), &process, RATE_PER_S, count, draw);
                used += u32::from(outcome.is_ok());
            }
            time::advance(STEP).await;
        }
        let allowed = RATE_PER_S * LENGTH.as_secs_f64();
        assert!(f64::from(used) <= allowed, "{node_count} nodes: {used} of {allowed}");
    }
}
