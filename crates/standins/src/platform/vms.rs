//! The list of VMs, which shows each change only after a lag.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use mustardgate_core::ports::VmEntry;
use smol_str::SmolStr;

/// A list of VMs that shows each change after a lag.
#[derive(Debug)]
pub struct LaggingList {
    lag: Duration,
    changes: Vec<VmChange>,
    shown: BTreeMap<SmolStr, VmEntry>,
}

#[derive(Debug)]
struct VmChange {
    shown_at: Instant,
    name: SmolStr,
    entry: Option<VmEntry>,
}

impl LaggingList {
    /// Creates an empty list that shows changes `lag` after they were made.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            changes: Vec::new(),
            shown: BTreeMap::new(),
        }
    }

    /// Adds or replaces a VM.
    pub fn upsert(&mut self, now: Instant, entry: VmEntry) {
        self.push(now, entry.name.clone(), Some(entry));
    }

    /// Removes a VM.
    pub fn remove(&mut self, now: Instant, name: SmolStr) {
        self.push(now, name, None);
    }

    /// Returns the entries that the list shows at `now`, ordered by name.
    pub fn entries(&mut self, now: Instant) -> Vec<VmEntry> {
        let due = self.changes.iter().take_while(|change| change.shown_at <= now).count();
        for change in self.changes.drain(..due) {
            match change.entry {
                Some(entry) => self.shown.insert(change.name, entry),
                None => self.shown.remove(&change.name),
            };
        }
        self.shown.values().cloned().collect()
    }

    fn push(&mut self, now: Instant, name: SmolStr, entry: Option<VmEntry>) {
        let shown_at = now + self.lag;
        self.changes.push(VmChange { shown_at, name, entry });
    }
}
