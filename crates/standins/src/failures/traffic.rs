//! Callers, load, an operator and observers that run during a fault.

use std::sync::Arc;

use tokio::task::{JoinHandle, JoinSet};
use tokio_util::sync::CancellationToken;

use super::{
    changes::{ChangeLog, ChangingOperator, ObservedVersion, observe_node},
    chats::{ChatCaller, ChatRecord},
    load::{LoadCount, run_node_load},
    orders::{OrderCaller, OrderRecord},
    testbed::FaultTestbed,
};

const ORDER_CALLERS: u64 = 4;
const CHAT_CALLERS: u64 = 4;

/// Results of the callers, the load, the operator and the observers.
#[derive(Clone, Debug, Default)]
pub(super) struct TrafficLog {
    pub orders: Vec<OrderRecord>,
    pub chats: Vec<ChatRecord>,
    pub loads: Vec<LoadCount>,
    pub changes: ChangeLog,
    pub observed: Vec<Vec<ObservedVersion>>,
}

/// The running callers, load, operator and observers.
#[derive(Debug)]
pub(super) struct RunningTraffic {
    stop: CancellationToken,
    stop_observing: CancellationToken,
    orders: JoinSet<Vec<OrderRecord>>,
    chats: JoinSet<Vec<ChatRecord>>,
    loads: JoinSet<LoadCount>,
    operator: JoinHandle<ChangeLog>,
    observers: Vec<JoinHandle<Vec<ObservedVersion>>>,
}

impl RunningTraffic {
    pub(super) fn start(testbed: &FaultTestbed) -> Self {
        let stop = CancellationToken::new();
        let stop_observing = CancellationToken::new();
        let targets = &testbed.targets;
        let seed = testbed.seed;
        let order = |number| OrderCaller::new(Arc::clone(targets), stop.clone(), seed, number).run();
        let chat = |number| ChatCaller::new(Arc::clone(targets), stop.clone(), seed, ORDER_CALLERS + number).run();
        let load = |node: usize| run_node_load(node, targets[node].callers_address, seed + node as u64, stop.clone());
        let operator = ChangingOperator::new(Arc::clone(targets), stop.clone(), seed);
        let observe = |node: usize| tokio::spawn(observe_node(targets[node].clone(), stop_observing.clone()));
        Self {
            orders: (0..ORDER_CALLERS).map(order).collect(),
            chats: (0..CHAT_CALLERS).map(chat).collect(),
            loads: (0..targets.len()).map(load).collect(),
            operator: tokio::spawn(operator.run()),
            observers: (0..targets.len()).map(observe).collect(),
            stop,
            stop_observing,
        }
    }

    /// Stops the callers, the load and the operator once their current requests have finished; the observers keep
    /// running.
    pub(super) async fn finish(&mut self) -> TrafficLog {
        self.stop.cancel();
        TrafficLog {
            orders: join_all(&mut self.orders).await.into_iter().flatten().collect(),
            chats: join_all(&mut self.chats).await.into_iter().flatten().collect(),
            loads: join_all(&mut self.loads).await,
            changes: (&mut self.operator).await.expect("the operator does not panic"),
            observed: Vec::new(),
        }
    }

    /// Stops the observers and returns the versions that each node reported.
    pub(super) async fn finish_observing(self) -> Vec<Vec<ObservedVersion>> {
        self.stop_observing.cancel();
        let mut observed = Vec::new();
        for observer in self.observers {
            observed.push(observer.await.expect("an observer does not panic"));
        }
        observed
    }
}

async fn join_all<T: 'static>(tasks: &mut JoinSet<T>) -> Vec<T> {
    let mut results = Vec::new();
    while let Some(joined) = tasks.join_next().await {
        results.push(joined.expect("a caller does not panic"));
    }
    results
}
