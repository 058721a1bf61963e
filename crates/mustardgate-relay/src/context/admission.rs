//! What this node has measured of the engines of paced services, and the room that it has promised to refused callers.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use mustardgate_core::{
    clock,
    ids::ServiceId,
    relay::{
        BatchLoad, EngineMeasurements, EventGaps, ModelName, ReportedLoad, RequestWork, ReturnSchedule, RoomForecast,
    },
};

/// Measurements and promises by service and form of the answer.
#[derive(Debug, Default)]
pub struct AdmissionBook {
    services: Mutex<BTreeMap<WorkKey, ServiceBook>>,
}

/// A service, and whether requests for it are answered by streams: other answers take times of their own.
pub type WorkKey = (ServiceId, bool);

#[derive(Debug, Default)]
struct ServiceBook {
    measured: EngineMeasurements,
    returns: BTreeMap<Option<ModelName>, ReturnSchedule>,
}

impl AdmissionBook {
    /// Returns what was measured.
    pub fn measured(&self, key: &WorkKey) -> EngineMeasurements {
        self.lock().get(key).map_or_else(EngineMeasurements::default, |book| {
            book.measured.discounted(clock::now())
        })
    }

    /// Records a load that a runner states with an answer.
    pub fn record_load(&self, key: &WorkKey, load: ReportedLoad) {
        if load.pace.is_some() && load.waiting == 0 {
            self.with(key, |book| {
                book.measured.record_free_batch(clock::now(), f64::from(load.running));
            });
        }
    }

    /// Records that a request is sent to a runner of a paced service.
    pub fn record_sent(&self, key: &WorkKey) {
        self.with(key, |book| book.measured.record_sent(clock::now()));
    }

    /// Records the time to the first token of a request that was sent to a runner with this load.
    pub fn record_first_token(&self, key: &WorkKey, load: &BatchLoad, work: &RequestWork, elapsed: Duration) {
        self.with(key, |book| {
            book.measured.record_first_token(clock::now(), load, work, elapsed);
        });
    }

    /// Records the times between some events of a stream of a runner with so many running requests at this pace.
    pub fn record_gaps(&self, key: &WorkKey, running: f64, pace: f64, gaps: EventGaps) {
        self.with(key, |book| book.measured.record_gaps(running, pace, gaps));
    }

    /// Records the end of a stream after so many events.
    pub fn record_end(&self, key: &WorkKey, work: &RequestWork, events: u64, is_complete: bool) {
        self.with(key, |book| book.measured.record_end(work, events, is_complete));
    }

    /// Returns the delay after which the caller of a refused request finds room; `draw` is a random number in 0..1.
    pub fn retry_delay(
        &self,
        key: &WorkKey,
        model: Option<&ModelName>,
        room: &RoomForecast,
        time_left: Duration,
        draw: f64,
    ) -> Duration {
        let now = clock::now();
        self.with(key, |book| {
            book.returns.retain(|_, schedule| !schedule.is_idle(now));
            let schedule = book.returns.entry(model.cloned()).or_default();
            schedule.retry_delay(now, room, time_left, draw)
        })
    }

    fn with<T>(&self, key: &WorkKey, action: impl FnOnce(&mut ServiceBook) -> T) -> T {
        action(self.lock().entry(key.clone()).or_default())
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<WorkKey, ServiceBook>> {
        self.services.lock().expect("no holder of the lock panics")
    }
}
