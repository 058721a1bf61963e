//! What the leader saw of runners while their entries could not be read, for the other nodes.

use std::{
    collections::BTreeMap,
    sync::Mutex,
    time::{Duration, Instant},
};

use mustardgate_core::{clock, ids::BackendId, relay::RunnerObservation};

/// Time for which an observation is told; entries follow it within that time once they can be read.
const TELL_TIME: Duration = Duration::from_secs(5);

/// The newest observation of each runner, numbered in the order in which they were made.
#[derive(Debug, Default)]
pub struct ObservationBoard {
    state: Mutex<BoardState>,
}

#[derive(Debug, Default)]
struct BoardState {
    newest: BTreeMap<BackendId, NumberedObservation>,
    last_number: u64,
}

#[derive(Clone, Debug)]
struct NumberedObservation {
    number: u64,
    made_at: Instant,
    observation: RunnerObservation,
}

impl ObservationBoard {
    /// Takes an observation, unless it is the same as the last one of its runner.
    pub fn note(&self, observation: RunnerObservation) {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let known = state.newest.get(&observation.id);
        if known.is_some_and(|known| known.observation == observation) {
            return;
        }
        state.last_number += 1;
        let numbered = NumberedObservation {
            number: state.last_number,
            made_at: clock::now(),
            observation,
        };
        state.newest.insert(numbered.observation.id.clone(), numbered);
    }

    /// Returns the observations after a number that are still worth telling, and the last number. A number above the last
    /// one is from before a restart of this node.
    pub fn since(&self, number: u64) -> (Vec<RunnerObservation>, u64) {
        let now = clock::now();
        let mut state = self.state.lock().expect("no holder of the lock panics");
        state
            .newest
            .retain(|_, known| now.saturating_duration_since(known.made_at) < TELL_TIME);
        let told = if number > state.last_number { 0 } else { number };
        let later = state.newest.values().filter(|known| known.number > told);
        (
            later.map(|known| known.observation.clone()).collect(),
            state.last_number,
        )
    }
}
