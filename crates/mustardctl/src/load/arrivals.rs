//! Poisson arrivals from a seeded generator.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A request of the schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledRequest {
    /// Time from the start at which the request is due.
    pub due: Duration,
    /// Index of the tenant.
    pub tenant: usize,
    /// Index of the target.
    pub target: usize,
    /// Number of the request, from 1; its prompt contains it.
    pub number: u64,
}

/// Requests with exponentially distributed times between them; equal parameters and seed give equal schedules.
#[derive(Debug)]
pub struct ArrivalSchedule {
    rng: ChaCha8Rng,
    rate: f64,
    weights: Vec<f64>,
    targets: usize,
    due: Duration,
    end: Duration,
    number: u64,
}

impl ArrivalSchedule {
    /// Creates a schedule of `rate` requests per second until `end`, with tenants drawn by weight.
    pub fn new(seed: u64, rate: f64, end: Duration, weights: Vec<f64>, targets: usize) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            rate,
            weights,
            targets,
            due: Duration::ZERO,
            end,
            number: 0,
        }
    }

    fn draw_tenant(&mut self) -> usize {
        let total: f64 = self.weights.iter().sum();
        let mut remaining = self.rng.random::<f64>() * total;
        for (index, weight) in self.weights.iter().enumerate() {
            remaining -= weight;
            if remaining < 0.0 {
                return index;
            }
        }
        self.weights.len().saturating_sub(1)
    }
}

impl Iterator for ArrivalSchedule {
    type Item = ScheduledRequest;

    fn next(&mut self) -> Option<Self::Item> {
        let uniform: f64 = self.rng.random();
        let gap = -(1.0 - uniform).ln() / self.rate;
        self.due += Duration::from_secs_f64(gap);
        if self.due >= self.end {
            return None;
        }
        self.number += 1;
        let tenant = self.draw_tenant();
        let target = self.rng.random_range(0..self.targets.max(1));
        Some(ScheduledRequest {
            due: self.due,
            tenant,
            target,
            number: self.number,
        })
    }
}
