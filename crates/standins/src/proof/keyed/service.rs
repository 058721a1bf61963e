//! A service whose calls must not be repeated, with late requests and with late or lost answers.

use std::collections::BTreeMap;

use mustardgate_core::idempotency::KeyId;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::KeyDelivery;

/// Upper bound of the transit time of a request or an answer, in steps.
const MAX_TRANSIT_STEPS: u64 = 60;

/// The service and the network between it and the nodes.
#[derive(Debug, Default)]
pub(super) struct FakeService {
    inbound: Vec<TransitMessage>,
    answers: Vec<TransitMessage>,
    runs: BTreeMap<KeyId, u64>,
    /// Number of answers lost in transit.
    pub lost_answers: u64,
}

#[derive(Clone, Debug)]
struct TransitMessage {
    arrives_at: u64,
    delivery: KeyDelivery,
}

impl FakeService {
    /// Sends a request to the service.
    pub fn send(&mut self, delivery: KeyDelivery, step: u64, rng: &mut ChaCha8Rng) {
        let arrives_at = step + draw_transit_steps(rng);
        self.inbound.push(TransitMessage { arrives_at, delivery });
    }

    /// Runs the requests that have arrived, and returns the answers that have arrived at the nodes.
    pub fn advance(&mut self, step: u64, rng: &mut ChaCha8Rng) -> Vec<KeyDelivery> {
        for delivery in take_arrived(&mut self.inbound, step) {
            *self.runs.entry(delivery.id.clone()).or_default() += 1;
            if rng.random_bool(0.2) {
                self.lost_answers += 1;
                continue;
            }
            let arrives_at = step + draw_transit_steps(rng);
            self.answers.push(TransitMessage { arrives_at, delivery });
        }
        take_arrived(&mut self.answers, step)
    }

    /// Returns how often the service ran a key.
    pub fn runs(&self, id: &KeyId) -> u64 {
        self.runs.get(id).copied().unwrap_or_default()
    }

    /// Returns the number of runs of every key that was run.
    pub fn all_runs(&self) -> &BTreeMap<KeyId, u64> {
        &self.runs
    }
}

fn draw_transit_steps(rng: &mut ChaCha8Rng) -> u64 {
    if rng.random_bool(0.8) {
        rng.random_range(0..4)
    } else {
        rng.random_range(4..MAX_TRANSIT_STEPS)
    }
}

fn take_arrived(messages: &mut Vec<TransitMessage>, step: u64) -> Vec<KeyDelivery> {
    let (arrived, others) = messages.drain(..).partition(|message| message.arrives_at <= step);
    *messages = others;
    let arrived: Vec<TransitMessage> = arrived;
    arrived.into_iter().map(|message| message.delivery).collect()
}
