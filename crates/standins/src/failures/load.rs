//! Open-loop load on one node, by the load code of `mustardctl load`.

use std::{net::SocketAddr, time::Duration};

use mustardctl::load::{LoadOptions, LoadTarget, TenantLoad, run_load};
use tokio_util::sync::CancellationToken;

use super::declarations::{MODELS, TENANT_KEY};

const REQUESTS_PER_SECOND: f64 = 4.0;
const SLICE_DURATION: Duration = Duration::from_secs(1);
const MAX_TOKENS: u32 = 16;
const TARGET_LATENCY: Duration = Duration::from_millis(580);
const DEADLINE: Duration = Duration::from_secs(4);

/// What came of the load on one node.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadCount {
    pub node: usize,
    pub sent: u64,
    pub answered: u64,
    pub in_time: u64,
    pub broken: u64,
}

/// Loads a node until told to stop.
pub(super) async fn run_node_load(node: usize, server: SocketAddr, seed: u64, stop: CancellationToken) -> LoadCount {
    let mut count = LoadCount {
        node,
        ..LoadCount::default()
    };
    let mut slice = 0;
    while !stop.is_cancelled() {
        slice += 1;
        let Ok(report) = run_load(slice_options(server, seed.wrapping_mul(1_000) + slice)).await else {
            continue;
        };
        count.sent += report.sent;
        count.answered += report.answered;
        count.in_time += report.in_time;
        count.broken += report.broken;
    }
    count
}

fn slice_options(server: SocketAddr, seed: u64) -> LoadOptions {
    let targets = MODELS.map(|model| LoadTarget::Model(model.into()));
    LoadOptions {
        servers: vec![server],
        targets: targets.to_vec(),
        tenants: vec![TenantLoad {
            name: "island-kitchen".into(),
            key: Some(TENANT_KEY.to_owned()),
            weight: 1.0,
        }],
        rate: REQUESTS_PER_SECOND,
        duration: SLICE_DURATION,
        seed,
        max_tokens: MAX_TOKENS,
        target: TARGET_LATENCY,
        deadline: DEADLINE,
    }
}
