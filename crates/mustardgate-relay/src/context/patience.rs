//! How long callers of each route are willing to wait when they come for the first time.

use std::{collections::BTreeMap, sync::Mutex, time::Duration};

use mustardgate_core::relay::RelayRoute;
use smol_str::SmolStr;

/// Remembers the longest patience seen on each route. A caller that comes back after a refusal has less left.
#[derive(Debug, Default)]
pub struct PatienceBoard {
    longest: Mutex<BTreeMap<SmolStr, Duration>>,
}

impl PatienceBoard {
    /// Returns whether a caller has come back so late that the route's target is missed, as far as its patience tells.
    pub fn is_late(&self, route: &RelayRoute, patience: Option<Duration>) -> bool {
        let Some(patience) = patience else { return false };
        let mut longest = self.longest.lock().expect("no holder of the lock panics");
        let known = longest.entry(route.name.clone()).or_insert(patience);
        *known = (*known).max(patience);
        patience + route.target_latency < *known
    }
}
