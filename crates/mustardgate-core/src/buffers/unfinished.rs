//! Which unfinished requests give way when there is no room for others.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Bytes that count as progress of a body. A caller that sends a byte now and then must not keep its place by that.
const PROGRESS_BYTES: usize = 1024;
/// Time without progress after which a body may give way. A link that lost a packet goes on within it.
pub const STALL_TIME: Duration = Duration::from_secs(1);

/// Identifier of a body that is received, unique in a process.
pub type BodyId = u64;

#[derive(Clone, Copy, Debug)]
struct BodyProgress {
    /// Bytes since the last progress.
    fresh_bytes: usize,
    progressed_at: Instant,
}

/// Decides which unfinished bodies give way.
///
/// It answers crowds of callers that send a part of a body and then keep the connection open. They take all places and all
/// room for bodies, so that callers that would finish find none. The bodies that have been without progress for longest
/// give way first; their requests have not run. Bodies that arrive keep their room however long they take.
#[derive(Clone, Debug, Default)]
pub struct UnfinishedBodies {
    bodies: BTreeMap<BodyId, BodyProgress>,
}

impl UnfinishedBodies {
    /// Records that the body of a request is being received.
    pub fn begin(&mut self, id: BodyId, now: Instant) {
        let progress = BodyProgress {
            fresh_bytes: 0,
            progressed_at: now,
        };
        self.bodies.insert(id, progress);
    }

    /// Records that bytes of the body arrived.
    pub fn record_bytes(&mut self, id: BodyId, bytes: usize, now: Instant) {
        let Some(body) = self.bodies.get_mut(&id) else {
            return;
        };
        body.fresh_bytes += bytes;
        if body.fresh_bytes >= PROGRESS_BYTES {
            *body = BodyProgress {
                fresh_bytes: 0,
                progressed_at: now,
            };
        }
    }

    /// Records that the body is whole, or not received any further.
    pub fn end(&mut self, id: BodyId) {
        self.bodies.remove(&id);
    }

    /// Removes at most `count` bodies without progress, those first that made none for longest, and returns them.
    pub fn evict(&mut self, count: usize, now: Instant) -> Vec<BodyId> {
        let silence = |body: &BodyProgress| now.saturating_duration_since(body.progressed_at);
        let stalled = self.bodies.iter().filter(|(_, body)| silence(body) >= STALL_TIME);
        let mut stalled: Vec<(Instant, BodyId)> = stalled.map(|(id, body)| (body.progressed_at, *id)).collect();
        stalled.sort_unstable();
        stalled.truncate(count);
        for (_, id) in &stalled {
            self.bodies.remove(id);
        }
        stalled.into_iter().map(|(_, id)| id).collect()
    }
}
