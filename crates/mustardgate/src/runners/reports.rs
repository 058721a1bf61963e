//! What this node was told of the runners of each failure domain, and tells others when it leads its own.

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

/// What this node was told of the runners of each failure domain, and tells others when it leads its own.
#[derive(Debug)]
pub struct ReportDesk {
    node: NodeId,
    domain: DomainId,
    started: Instant,
    followers: Mutex<BTreeMap<DomainId, ReportFollower>>,
    publisher: Mutex<Option<ReportPublisher>>,
}

impl ReportDesk {
    /// Creates the desk of a node that was told nothing.
    pub fn new(node: NodeId, domain: DomainId) -> Self {
        Self {
            node,
            domain,
            started: clock::now(),
            followers: Mutex::default(),
            publisher: Mutex::default(),
        }
    }

    /// Takes in what this node read itself; only the leader of the runner's domain has anyone to tell.
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

    /// Takes in a frame.
    pub fn on_frame(&self, frame: &ReportFrame, now: Instant) -> FrameOutcome {
        let mut followers = self.followers();
        followers.entry(frame.domain.clone()).or_default().on_frame(frame, now)
    }

    /// Takes in a catalogue and returns the runners' states.
    pub fn on_catalogue(&self, catalogue: ReportCatalogue) -> Vec<(BackendId, RunnerState)> {
        let mut followers = self.followers();
        followers
            .entry(catalogue.domain.clone())
            .or_default()
            .on_catalogue(catalogue)
    }

    /// Returns the runners of a failure domain for a node that asks.
    pub fn catalogue(&self, domain: &DomainId) -> Option<ReportCatalogue> {
        if *domain == self.domain
            && let Some(publisher) = self.publisher().as_ref()
        {
            return publisher.catalogue().cloned();
        }
        self.followers().get(domain)?.catalogue().cloned()
    }

    /// Returns the leader of the own failure domain when it was heard of.
    pub fn leader(&self) -> Option<NodeId> {
        let followers = self.followers();
        Some(followers.get(&self.domain)?.catalogue()?.leader.clone())
    }

    /// Returns whether nothing is known of a failure domain's runners.
    pub fn is_unknown(&self, domain: &DomainId) -> bool {
        self.followers()
            .get(domain)
            .is_none_or(|follower| follower.catalogue().is_none())
    }

    /// Returns for how long no frame of the own failure domain came.
    pub fn silence(&self, now: Instant) -> Duration {
        let silence = self.silence_of(&self.domain, now);
        silence.unwrap_or_else(|| now.saturating_duration_since(self.started))
    }

    /// Returns for how long no frame of a failure domain came, or `None` when there never was one.
    pub fn silence_of(&self, domain: &DomainId, now: Instant) -> Option<Duration> {
        let heard = self.followers().get(domain)?.last_frame_at()?;
        Some(now.saturating_duration_since(heard))
    }

    fn followers(&self) -> MutexGuard<'_, BTreeMap<DomainId, ReportFollower>> {
        self.followers.lock().expect("no holder panics")
    }

    fn publisher(&self) -> MutexGuard<'_, Option<ReportPublisher>> {
        self.publisher.lock().expect("no holder panics")
    }
}
