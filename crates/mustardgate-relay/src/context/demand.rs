//! Demand for models as this node's callers show it.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use mustardgate_core::{
    ids::{BackendId, ModelId, ServiceId},
    relay::ModelName,
};
use serde::{Deserialize, Serialize};

/// Weight of a newest measurement above and below the known time that an idle runner needs to a first event; shorter
/// ones weigh more, because a runner that seems idle from here may be busy for other nodes.
const LONGER_WEIGHT: f64 = 0.02;
const SHORTER_WEIGHT: f64 = 0.06;

/// Demand since the last digest.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandDigest {
    /// Requests by service and model, refused ones included.
    pub arrivals: BTreeMap<ServiceId, BTreeMap<ModelId, f64>>,
    /// Adapters that were used, by runner.
    pub adapter_uses: BTreeMap<BackendId, BTreeSet<String>>,
    /// Time in which an idle runner brings a first event, in seconds, as far as it was measured.
    pub service_time_s: BTreeMap<ServiceId, f64>,
}

/// Counts demand.
#[derive(Debug, Default)]
pub struct DemandBoard {
    digest: Mutex<DemandDigest>,
    adapters: Arc<Mutex<UseCounts>>,
}

/// Requests under way by runner and adapter.
type UseCounts = BTreeMap<(BackendId, ModelName), u32>;

/// Counts one request for an adapter as under way until it is dropped.
#[derive(Debug)]
pub struct AdapterUse {
    key: (BackendId, ModelName),
    counts: Arc<Mutex<UseCounts>>,
}

impl Drop for AdapterUse {
    fn drop(&mut self) {
        let mut counts = self.counts.lock().expect("no holder of the lock panics");
        if let Some(count) = counts.get_mut(&self.key) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.key);
            }
        }
    }
}

impl DemandBoard {
    /// Counts a request for a model.
    pub fn record(&self, service: &ServiceId, name: &ModelName) {
        let mut digest = self.lock();
        let models = digest.arrivals.entry(service.clone()).or_default();
        *models.entry(name.model.clone()).or_default() += 1.0;
    }

    /// Notes that a request for an adapter goes to a runner, until the returned value is dropped.
    pub fn record_adapter(&self, backend: &BackendId, name: &ModelName) -> Option<AdapterUse> {
        name.adapter.as_ref()?;
        let mut digest = self.lock();
        let names = digest.adapter_uses.entry(backend.clone()).or_default();
        names.insert(name.to_text().to_string());
        drop(digest);
        let key = (backend.clone(), name.clone());
        let mut counts = self.adapters.lock().expect("no holder of the lock panics");
        *counts.entry(key.clone()).or_default() += 1;
        drop(counts);
        Some(AdapterUse {
            key,
            counts: Arc::clone(&self.adapters),
        })
    }

    /// Learns from the time that an idle runner took to a first event.
    pub fn record_first_event(&self, service: &ServiceId, elapsed: Duration) {
        let mut digest = self.lock();
        let measured_s = elapsed.as_secs_f64();
        let known_s = digest.service_time_s.entry(service.clone()).or_insert(measured_s);
        let change_s = (measured_s - *known_s).min(*known_s);
        let weight = if change_s > 0.0 { LONGER_WEIGHT } else { SHORTER_WEIGHT };
        *known_s += change_s * weight;
    }

    /// Returns the digest and begins a new one.
    pub fn take(&self) -> DemandDigest {
        let mut digest = self.lock();
        let taken = digest.clone();
        digest.arrivals.clear();
        digest.adapter_uses.clear();
        // A stream that goes on uses its adapter although it was sent long ago.
        let counts = self.adapters.lock().expect("no holder of the lock panics");
        for (backend, name) in counts.keys() {
            let names = digest.adapter_uses.entry(backend.clone()).or_default();
            names.insert(name.to_text().to_string());
        }
        taken
    }

    fn lock(&self) -> MutexGuard<'_, DemandDigest> {
        self.digest.lock().expect("no holder of the lock panics")
    }
}
