//! Requests of paced services that wait for capacity, woken in their order when some becomes available.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

use mustardgate_core::{
    clock,
    ids::ServiceId,
    relay::{AdmissionQueue, QueueEntry},
};
use tokio::sync::Notify;

/// The queues of all services.
#[derive(Debug, Default)]
pub struct AdmissionQueues {
    services: Mutex<BTreeMap<ServiceId, ServiceQueue>>,
}

#[derive(Debug, Default)]
struct ServiceQueue {
    queue: AdmissionQueue,
    /// Wakes the task of each request that waits.
    calls: BTreeMap<u64, Arc<Notify>>,
}

impl ServiceQueue {
    fn call(&self, number: Option<u64>) {
        if let Some(call) = number.and_then(|number| self.calls.get(&number)) {
            call.notify_one();
        }
    }

    fn remove(&mut self, number: u64, is_admitted: bool) {
        let next = self.queue.next_after(clock::now(), Some(number));
        if is_admitted {
            self.queue.admit(number);
        } else {
            self.queue.leave(number);
        }
        self.calls.remove(&number);
        self.call(next);
    }
}

impl AdmissionQueues {
    /// Lets the requests of a service look for capacity, one after the other, because there may be some now.
    pub fn wake(&self, service: &ServiceId) {
        if let Some(waiting) = self.lock().get(service) {
            waiting.call(waiting.queue.next_after(clock::now(), None));
        }
    }

    /// Lets the requests of all services look for capacity.
    pub fn wake_all(&self) {
        for waiting in self.lock().values() {
            waiting.call(waiting.queue.next_after(clock::now(), None));
        }
    }

    /// Returns how many requests for the same model come before a new one.
    pub fn ahead_of_new(&self, service: &ServiceId, entry: &QueueEntry) -> usize {
        let services = self.lock();
        services
            .get(service)
            .map_or(0, |waiting| waiting.queue.ahead_of_new(clock::now(), entry))
    }

    /// Adds a request; returns `None` if the queue is full of requests that come before it.
    pub fn join(self: &Arc<Self>, service: &ServiceId, entry: QueueEntry) -> Option<WaitingTurn> {
        let mut services = self.lock();
        let waiting = services.entry(service.clone()).or_default();
        let position = waiting.queue.join(clock::now(), entry)?;
        let call = Arc::new(Notify::new());
        waiting.calls.insert(position.number, Arc::clone(&call));
        if let Some(displaced) = position.displaced.and_then(|number| waiting.calls.remove(&number)) {
            displaced.notify_one();
        }
        Some(WaitingTurn {
            queues: Arc::clone(self),
            service: service.clone(),
            number: position.number,
            call,
        })
    }

    /// Returns the number of requests of a service that wait.
    pub fn len(&self, service: &ServiceId) -> usize {
        self.lock().get(service).map_or(0, |waiting| waiting.queue.len())
    }

    fn remove(&self, service: &ServiceId, number: u64, is_admitted: bool) {
        let mut services = self.lock();
        let Some(waiting) = services.get_mut(service) else {
            return;
        };
        if waiting.queue.contains(number) {
            waiting.remove(number, is_admitted);
        }
        if waiting.queue.is_empty() {
            services.remove(service);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceId, ServiceQueue>> {
        self.services.lock().expect("no holder of the lock panics")
    }
}

/// Place of a request in the queue of its service; dropping it leaves the queue.
#[derive(Debug)]
pub struct WaitingTurn {
    queues: Arc<AdmissionQueues>,
    service: ServiceId,
    number: u64,
    call: Arc<Notify>,
}

impl WaitingTurn {
    /// Completes when it is the request's turn to look for capacity, or when it was displaced.
    pub async fn called(&self) {
        self.call.notified().await;
    }

    /// Returns whether the request had to leave for one that comes before it.
    pub fn is_displaced(&self) -> bool {
        let services = self.queues.lock();
        let waiting = services.get(&self.service);
        !waiting.is_some_and(|waiting| waiting.queue.contains(self.number))
    }

    /// Returns how many requests for the same model come before this one.
    pub fn ahead(&self) -> usize {
        let services = self.queues.lock();
        let waiting = services.get(&self.service);
        waiting.map_or(0, |waiting| waiting.queue.ahead(clock::now(), self.number))
    }

    /// Gives the turn to the next request, which may find capacity at runners that hold another model.
    pub fn pass_on(&self) {
        if let Some(waiting) = self.queues.lock().get(&self.service) {
            waiting.call(waiting.queue.next_after(clock::now(), Some(self.number)));
        }
    }

    /// Leaves the queue because the request is sent.
    pub fn admit(self) {
        self.queues.remove(&self.service, self.number, true);
    }
}

impl Drop for WaitingTurn {
    fn drop(&mut self) {
        self.queues.remove(&self.service, self.number, false);
    }
}
