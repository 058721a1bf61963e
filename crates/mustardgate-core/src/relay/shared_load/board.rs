//! The newest load statement of each runner, as the leader keeps it for the other nodes.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::{
    super::load::ReportedLoad,
    statement::{LoadStatement, RunnerTag},
};

/// Time by which a statement has to be newer than the one known. Ages are rounded, and the time on the way is estimated, so
/// the same statement reported twice differs by less.
const MIN_PROGRESS: Duration = Duration::from_millis(12);
/// Age from which a statement is not passed on: the load has changed altogether since.
const MAX_AGE: Duration = Duration::from_secs(5);
/// Largest number of runners.
const MAX_RUNNERS: usize = 4_096;

/// The newest statement of each runner, numbered in the order in which they were recorded.
#[derive(Debug, Default)]
pub struct LoadBoard {
    newest: BTreeMap<RunnerTag, NumberedStatement>,
    by_number: BTreeMap<u64, RunnerTag>,
    last_number: u64,
}

#[derive(Clone, Copy, Debug)]
struct NumberedStatement {
    number: u64,
    load: ReportedLoad,
    made_at: Instant,
}

impl LoadBoard {
    /// Records a statement unless one at least as new is known.
    pub fn record(&mut self, now: Instant, statement: &LoadStatement) {
        let known = self.newest.get(&statement.runner);
        let Some(made_at) = now.checked_sub(statement.age).filter(|_| statement.age <= MAX_AGE) else {
            return;
        };
        if known.is_some_and(|known| made_at < known.made_at + MIN_PROGRESS)
            || (known.is_none() && self.newest.len() >= MAX_RUNNERS)
        {
            return;
        }
        if let Some(known) = known {
            self.by_number.remove(&known.number);
        }
        self.last_number += 1;
        let numbered = NumberedStatement {
            number: self.last_number,
            load: statement.load,
            made_at,
        };
        self.newest.insert(statement.runner, numbered);
        self.by_number.insert(self.last_number, statement.runner);
    }

    /// Returns up to `max_count` statements after a number, in their order, and the number of the last one. A number above
    /// the last one dates from before a restart of this node, and the count begins anew.
    pub fn since(&self, now: Instant, number: u64, max_count: usize) -> (Vec<LoadStatement>, u64) {
        let start = if number > self.last_number { 0 } else { number };
        let mut last = start;
        let later = self.by_number.range(start + 1..).take(max_count);
        let statements = later.filter_map(|(number, runner)| {
            last = *number;
            let known = self.newest.get(runner)?;
            let age = now.saturating_duration_since(known.made_at);
            (age <= MAX_AGE).then_some(LoadStatement {
                runner: *runner,
                load: known.load,
                age,
            })
        });
        (statements.collect(), last)
    }

    /// Forgets runners whose process has ended.
    pub fn retain(&mut self, exists: impl Fn(&RunnerTag) -> bool) {
        self.newest.retain(|runner, _| exists(runner));
        let newest = &self.newest;
        self.by_number.retain(|_, runner| newest.contains_key(runner));
    }
}
