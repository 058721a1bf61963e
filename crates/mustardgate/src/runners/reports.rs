//! Runner states received from the leader of each failure domain, and published by this node while it leads its own.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use mustardgate_core::{
    clock,
    ids::{BackendId, DomainId, NodeId},
    reports::{
        FrameOutcome, ReportAudience, ReportCatalogue, ReportFollower, ReportFrame, ReportPublisher, RunnerState,
    },
};

/// Runner states received from the leader of each failure domain, and published by this node while it leads its own.
#[derive(Debug)]
pub struct RunnerReports {
    node: NodeId,
    domain: DomainId,
    started: Instant,
    followers: Mutex<BTreeMap<DomainId, ReportFollower>>,
    publisher: Mutex<Option<ReportPublisher>>,
}

impl RunnerReports {
    /// Creates the state of a node that has received nothing.
    pub fn new(node: NodeId, domain: DomainId) -> Self {
        Self {
            node,
            domain,
            started: clock::now(),
            followers: Mutex::default(),
            publisher: Mutex::default(),
        }
    }

    /// Adds the state of a runner that this node read; ignored unless this node publishes the states of the
    /// runner's failure domain.
    pub fn observe(&self, domain: &DomainId, backend: &BackendId, state: &RunnerState) {
        if *domain != self.domain {
            return;
        }
        if let Some(publisher) = self.publisher().as_mut() {
            publisher.observe(backend, state.clone());
        }
    }

    /// Returns the frames that are due; a node that does not lead has none.
    pub fn take_frames(&self, is_leading: bool, now: Instant) -> Vec<(ReportAudience, ReportFrame)> {
        let mut publisher = self.publisher();
        if !is_leading {
            *publisher = None;
            return Vec::new();
        }
        let publisher = publisher
            .get_or_insert_with(|| ReportPublisher::new(self.domain.clone(), self.node.clone(), rand::random()));
        publisher.take_frames(now)
    }

    /// Applies a frame.
    pub fn on_frame(&self, frame: &ReportFrame, now: Instant) -> FrameOutcome {
        let mut followers = self.followers();
        followers.entry(frame.domain.clone()).or_default().on_frame(frame, now)
    }

    /// Applies a catalogue and returns the states of its runners.
    pub fn on_catalogue(&self, catalogue: ReportCatalogue) -> Vec<(BackendId, RunnerState)> {
        let mut followers = self.followers();
        followers
            .entry(catalogue.domain.clone())
            .or_default()
            .on_catalogue(catalogue)
    }

    /// Returns the catalogue of a failure domain's runners, if this node has it.
    pub fn catalogue(&self, domain: &DomainId) -> Option<ReportCatalogue> {
        if *domain == self.domain
            && let Some(publisher) = self.publisher().as_ref()
        {
            return publisher.catalogue().cloned();
        }
        self.followers().get(domain)?.catalogue().cloned()
    }

    /// Returns the leader of the own failure domain according to its catalogue.
    pub fn leader(&self) -> Option<NodeId> {
        let followers = self.followers();
        Some(followers.get(&self.domain)?.catalogue()?.leader.clone())
    }

    /// Returns whether this node has no catalogue of a failure domain.
    pub fn lacks_catalogue(&self, domain: &DomainId) -> bool {
        self.followers()
            .get(domain)
            .is_none_or(|follower| follower.catalogue().is_none())
    }

    /// Returns the time since the last frame of the own failure domain, or since the node started if there was none.
    pub fn silence(&self, now: Instant) -> Duration {
        let silence = self.silence_of(&self.domain, now);
        silence.unwrap_or_else(|| now.saturating_duration_since(self.started))
    }

    /// Returns the time since the last frame of a failure domain, or `None` if there was none.
    pub fn silence_of(&self, domain: &DomainId, now: Instant) -> Option<Duration> {
        let received = self.followers().get(domain)?.last_frame_at()?;
        Some(now.saturating_duration_since(received))
    }

    fn followers(&self) -> MutexGuard<'_, BTreeMap<DomainId, ReportFollower>> {
        self.followers.lock().expect("no holder panics")
    }

    fn publisher(&self) -> MutexGuard<'_, Option<ReportPublisher>> {
        self.publisher.lock().expect("no holder panics")
    }
}
