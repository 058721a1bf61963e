//! Requests that wait at this node for a runner, by model.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use mustardgate_core::{
    clock,
    ids::{ModelId, ServiceId},
    relay::WaitingLane,
};

type LaneKey = (ServiceId, Option<ModelId>);
type Lanes = BTreeMap<LaneKey, WaitingLane>;

/// Waiting lanes by service and model.
#[derive(Debug, Default)]
pub struct LaneBoard {
    lanes: Arc<Mutex<Lanes>>,
}

/// A place in a lane until it is dropped.
#[derive(Debug)]
pub struct LanePlace {
    key: LaneKey,
    lanes: Arc<Mutex<Lanes>>,
    is_admitted: bool,
}

impl LaneBoard {
    /// Returns how long the requests that wait for a model will take to be sent on.
    pub fn expected_wait(&self, now: Instant, service: &ServiceId, model: Option<&ModelId>) -> Duration {
        let key = (service.clone(), model.cloned());
        let lanes = lock(&self.lanes);
        lanes.get(&key).map(|lane| lane.expected_wait(now)).unwrap_or_default()
    }

    /// Takes a place.
    pub fn join(&self, service: &ServiceId, model: Option<&ModelId>) -> LanePlace {
        let key = (service.clone(), model.cloned());
        lock(&self.lanes).entry(key.clone()).or_default().join();
        LanePlace {
            key,
            lanes: Arc::clone(&self.lanes),
            is_admitted: false,
        }
    }
}

impl LanePlace {
    /// Gives the place up because the request is sent to a runner.
    pub fn admit(mut self) {
        self.is_admitted = true;
    }
}

impl Drop for LanePlace {
    fn drop(&mut self) {
        let now = clock::now();
        let mut lanes = lock(&self.lanes);
        let Some(lane) = lanes.get_mut(&self.key) else { return };
        lane.leave(now, self.is_admitted);
        lanes.retain(|_, lane| !lane.is_idle(now));
    }
}

fn lock(lanes: &Mutex<Lanes>) -> MutexGuard<'_, Lanes> {
    lanes.lock().expect("no holder of the lock panics")
}
