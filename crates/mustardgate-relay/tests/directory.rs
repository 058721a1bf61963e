//! Number of nodes that share the limits of the whole deployment.

use std::time::Duration;

use mustardgate_relay::peers::PeerDirectory;
use tokio::time;

// Guards against shares that are too large because a new leader has heard of few nodes yet.
#[tokio::test(start_paused = true)]
async fn the_number_of_nodes_does_not_fall_with_a_new_leader_that_knows_few() {
    let directory = PeerDirectory::default();
    assert_eq!(directory.known_node_count().nodes, 0);
    directory.set_node_count(77);
    time::advance(Duration::from_secs(5)).await;
    directory.set_node_count(2);
    assert_eq!(directory.known_node_count().nodes, 77);
    // Nodes that are gone for good are forgotten after a while.
    for _ in 0..12 {
        time::advance(Duration::from_secs(6)).await;
        directory.set_node_count(2);
    }
    assert_eq!(directory.known_node_count().nodes, 2);
}
