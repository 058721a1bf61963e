//! What the leader observed of runners while their entries could not be read, for the other nodes.

use std::{
    collections::BTreeMap,
    sync::Mutex,
    time::{Duration, Instant},
};

use mustardgate_core::{clock, ids::BackendId, relay::RunnerObservation};

/// Time for which an observation is passed on; once entries can be read, they contain it within that time.
const OBSERVATION_TTL: Duration = Duration::from_secs(5);

/// The newest observation of each runner, numbered in the order in which they were recorded.
#[derive(Debug, Default)]
pub struct ObservationBuffer {
    state: Mutex<BufferState>,
}

#[derive(Debug, Default)]
struct BufferState {
    newest: BTreeMap<BackendId, NumberedObservation>,
    last_number: u64,
}

#[derive(Clone, Debug)]
struct NumberedObservation {
    number: u64,
    recorded_at: Instant,
    observation: RunnerObservation,
}

impl ObservationBuffer {
    /// Records an observation unless it equals the last one of its runner.
    pub fn record(&self, observation: RunnerObservation) {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let known = state.newest.get(&observation.id);
        if known.is_some_and(|known| known.observation == observation) {
            return;
        }
        state.last_number += 1;
        let numbered = NumberedObservation {
            number: state.last_number,
            recorded_at: clock::now(),
            observation,
        };
        state.newest.insert(numbered.observation.id.clone(), numbered);
    }

    /// Returns the unexpired observations after a number, and the last number. A number above the last one dates from
    /// before a restart of this node, and all observations are returned.
    pub fn since(&self, number: u64) -> (Vec<RunnerObservation>, u64) {
        let now = clock::now();
        let mut state = self.state.lock().expect("no holder of the lock panics");
        state
            .newest
            .retain(|_, known| now.saturating_duration_since(known.recorded_at) < OBSERVATION_TTL);
        let start = if number > state.last_number { 0 } else { number };
        let later = state.newest.values().filter(|known| known.number > start);
        (
            later.map(|known| known.observation.clone()).collect(),
            state.last_number,
        )
    }
}
