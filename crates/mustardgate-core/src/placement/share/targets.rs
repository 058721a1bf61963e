//! Target replica counts of the models.

use std::{cmp::Ordering, collections::BinaryHeap};

use super::rows::{ModelIndex, ModelRow};
use crate::ids::MemoryMib;

/// A model in the queue for its next replica. Of models with equal ranks the last one comes first.
#[derive(Clone, Copy, Debug)]
struct RankedModel {
    rank: f64,
    model: ModelIndex,
}

impl Ord for RankedModel {
    fn cmp(&self, other: &Self) -> Ordering {
        self.rank.total_cmp(&other.rank).then(self.model.cmp(&other.model))
    }
}

impl PartialOrd for RankedModel {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for RankedModel {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for RankedModel {}

/// Memory of the runners that is left to give out, and the work that this took.
#[derive(Clone, Copy, Debug)]
pub(super) struct MemoryPool {
    total_mib: MemoryMib,
    /// Models looked at.
    pub(super) steps: u64,
}

impl MemoryPool {
    pub(super) fn new(total_mib: MemoryMib) -> Self {
        Self { total_mib, steps: 0 }
    }

    /// Divides the memory of all runners among the declared models and returns their target replica counts: one replica
    /// each, then one at a time for the model with the highest rate per replica, until no rate exceeds
    /// `comfortable_rate`.
    pub(super) fn target_replicas(
        &mut self,
        models: &[ModelRow<'_>],
        max_replicas: u32,
        comfortable_rate: f64,
    ) -> Vec<u32> {
        let mut targets = vec![1; models.len()];
        let left_mib = self
            .total_mib
            .saturating_sub(models.iter().map(|row| row.memory_mib).sum());
        let rank = |model: ModelIndex, replicas: u32| {
            let rate = models[model].rate_per_replica_at(replicas);
            (replicas < max_replicas).then_some(rate)
        };
        self.give_out(models, &mut targets, left_mib, rank, comfortable_rate);
        targets
    }

    /// Adds replicas to `targets` from the memory that they leave: to models with a weight for replicas ahead of demand,
    /// up to `max_replicas` each.
    pub(super) fn add_headroom(&mut self, models: &[ModelRow<'_>], targets: &mut [u32], max_replicas: u32) {
        let used_mib: MemoryMib = models
            .iter()
            .zip(targets.iter())
            .map(|(row, replicas)| row.memory_mib * MemoryMib::from(*replicas))
            .sum();
        let left_mib = self.total_mib.saturating_sub(used_mib);
        let rank = |model: ModelIndex, replicas: u32| {
            let weight = models[model].headroom_weight?;
            (replicas < max_replicas).then(|| weight / f64::from(replicas + 1))
        };
        self.give_out(models, targets, left_mib, rank, f64::NEG_INFINITY);
    }

    /// Gives out `left_mib` one replica at a time to the model with the highest rank, until none is above `min_rank`.
    ///
    /// A model is queued again after each replica, so the work grows with the number of replicas and not with that times
    /// the number of models. One that has no room is dropped, because the memory left only falls.
    fn give_out(
        &mut self,
        models: &[ModelRow<'_>],
        targets: &mut [u32],
        mut left_mib: MemoryMib,
        rank: impl Fn(ModelIndex, u32) -> Option<f64>,
        min_rank: f64,
    ) {
        let ranked = |model: ModelIndex, replicas: u32| rank(model, replicas).map(|rank| RankedModel { rank, model });
        let all = targets.iter().enumerate();
        let mut queue: BinaryHeap<RankedModel> = all.filter_map(|(model, replicas)| ranked(model, *replicas)).collect();
        self.steps += models.len() as u64;
        while let Some(RankedModel { rank, model }) = queue.pop() {
            self.steps += 1;
            if rank <= min_rank {
                return;
            }
            let memory_mib = models[model].memory_mib;
            if memory_mib > left_mib {
                continue;
            }
            left_mib -= memory_mib;
            targets[model] += 1;
            queue.extend(ranked(model, targets[model]));
        }
    }
}
