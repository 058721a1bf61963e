//! Demand for models, counted from the requests that this node receives.

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

/// Weights of a measured time to the first token at an idle runner, when longer and when shorter than the known time.
/// Shorter ones weigh more, because a runner that seems idle to this node may be busy for other nodes.
const LONGER_WEIGHT: f64 = 0.02;
const SHORTER_WEIGHT: f64 = 0.06;

/// Demand since the previous digest.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandDigest {
    /// Number of requests by service and model, refused ones included.
    pub arrivals: BTreeMap<ServiceId, BTreeMap<ModelId, f64>>,
    /// Adapters that were used, by runner.
    pub adapter_uses: BTreeMap<BackendId, BTreeSet<String>>,
    /// Measured time to the first token at an idle runner, in seconds.
    pub service_time_s: BTreeMap<ServiceId, f64>,
}

/// Counts requests by model and tracks the adapters in use.
#[derive(Debug, Default)]
pub struct DemandCounter {
    digest: Mutex<DemandDigest>,
    adapter_uses: Arc<Mutex<AdapterUseCounts>>,
}

/// Number of requests in flight by runner and adapter.
type AdapterUseCounts = BTreeMap<(BackendId, ModelName), u32>;

/// Counts one request for an adapter as in flight until it is dropped.
#[derive(Debug)]
pub struct AdapterUseGuard {
    key: (BackendId, ModelName),
    counts: Arc<Mutex<AdapterUseCounts>>,
}

impl Drop for AdapterUseGuard {
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

impl DemandCounter {
    /// Counts a request for a model.
    pub fn record_request(&self, service: &ServiceId, name: &ModelName) {
        let mut digest = self.lock();
        let models = digest.arrivals.entry(service.clone()).or_default();
        *models.entry(name.model.clone()).or_default() += 1.0;
    }

    /// Records that a request for an adapter is in flight at a runner until the returned guard is dropped; returns
    /// `None` for a request without an adapter.
    pub fn record_adapter_use(&self, backend: &BackendId, name: &ModelName) -> Option<AdapterUseGuard> {
        name.adapter.as_ref()?;
        let mut digest = self.lock();
        let names = digest.adapter_uses.entry(backend.clone()).or_default();
        names.insert(name.to_text().to_string());
        drop(digest);
        let key = (backend.clone(), name.clone());
        let mut counts = self.adapter_uses.lock().expect("no holder of the lock panics");
        *counts.entry(key.clone()).or_default() += 1;
        drop(counts);
        Some(AdapterUseGuard {
            key,
            counts: Arc::clone(&self.adapter_uses),
        })
    }

    /// Updates the known time to the first token with the time that an idle runner took.
    pub fn record_first_token_time(&self, service: &ServiceId, elapsed: Duration) {
        let mut digest = self.lock();
        let measured_s = elapsed.as_secs_f64();
        let known_s = digest.service_time_s.entry(service.clone()).or_insert(measured_s);
        let change_s = (measured_s - *known_s).min(*known_s);
        let weight = if change_s > 0.0 { LONGER_WEIGHT } else { SHORTER_WEIGHT };
        *known_s += change_s * weight;
    }

    /// Returns the digest and starts a new one.
    pub fn take(&self) -> DemandDigest {
        let mut digest = self.lock();
        let taken = digest.clone();
        digest.arrivals.clear();
        digest.adapter_uses.clear();
        // A request in flight, such as a long stream, still uses its adapter.
        let counts = self.adapter_uses.lock().expect("no holder of the lock panics");
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
