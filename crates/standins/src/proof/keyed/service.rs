//! A plain service whose calls must not be repeated, with requests and answers that are late or lost on the way.

use std::collections::BTreeMap;

use mustardgate_core::idempotency::KeyId;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::Delivery;

/// Steps that a request or an answer is on the way at most.
const MAX_TRANSIT_STEPS: u64 = 60;

/// The service with the network in front of it.
#[derive(Debug, Default)]
pub(super) struct FakeService {
    inbound: Vec<Transit>,
    answers: Vec<Transit>,
    runs: BTreeMap<KeyId, u64>,
    /// Answers that were lost on the way back.
    pub lost_answers: u64,
}

#[derive(Clone, Debug)]
struct Transit {
    arrives: u64,
    delivery: Delivery,
}

impl FakeService {
    /// Puts a request on the way.
    pub fn send(&mut self, delivery: Delivery, step: u64, rng: &mut ChaCha8Rng) {
        let arrives = step + draw_transit(rng);
        self.inbound.push(Transit { arrives, delivery });
    }

    /// Runs what has arrived, and returns the answers that have come back.
    pub fn advance(&mut self, step: u64, rng: &mut ChaCha8Rng) -> Vec<Delivery> {
        for delivery in take_arrived(&mut self.inbound, step) {
            *self.runs.entry(delivery.id.clone()).or_default() += 1;
            if rng.random_bool(0.2) {
                self.lost_answers += 1;
                continue;
            }
            let arrives = step + draw_transit(rng);
            self.answers.push(Transit { arrives, delivery });
        }
        take_arrived(&mut self.answers, step)
    }

    /// Returns how often the service ran a key.
    pub fn runs(&self, id: &KeyId) -> u64 {
        self.runs.get(id).copied().unwrap_or_default()
    }

    /// Returns all runs by key.
    pub fn all_runs(&self) -> &BTreeMap<KeyId, u64> {
        &self.runs
    }
}

fn draw_transit(rng: &mut ChaCha8Rng) -> u64 {
    if rng.random_bool(0.8) {
        rng.random_range(0..4)
    } else {
        rng.random_range(4..MAX_TRANSIT_STEPS)
    }
}

fn take_arrived(transits: &mut Vec<Transit>, step: u64) -> Vec<Delivery> {
    let (arrived, others) = transits.drain(..).partition(|transit| transit.arrives <= step);
    *transits = others;
    let arrived: Vec<Transit> = arrived;
    arrived.into_iter().map(|transit| transit.delivery).collect()
}
