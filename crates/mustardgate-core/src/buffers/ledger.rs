//! Reservations of buffered bytes by source, within a limit on all of them together.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use derive_more::Display;

use super::BufferLimits;
use crate::ids::BackendId;

/// Control calls have the total divided by this to themselves, so that slow callers cannot keep the node from the log.
const CONTROL_DIVISOR: usize = 4;

/// Identifier of a holder of bytes, unique in a process.
pub type HolderId = u64;

/// Who sends bytes that are buffered.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum BufferSource {
    /// Callers, whose requests are kept until they are answered.
    #[display("requests")]
    Callers,
    /// The log or another node that answers a control call.
    #[display("control")]
    Server(SocketAddr),
    /// Other nodes, whose control calls are answered.
    #[display("control")]
    Nodes,
    /// Connections of callers: what each takes beside the body of its request.
    #[display("connections")]
    Connections,
    /// A runner that answers a request, or a question for its report.
    #[display("answers")]
    Runner(BackendId),
}

impl BufferSource {
    fn kind(&self) -> SourceKind {
        match self {
            Self::Callers => SourceKind::Requests,
            Self::Server(_) | Self::Nodes => SourceKind::Control,
            Self::Connections => SourceKind::Connections,
            Self::Runner(_) => SourceKind::Answers,
        }
    }

    /// Returns the source of what a runner at an address answers to other than requests of callers.
    pub fn runner_at(address: SocketAddr) -> Self {
        Self::Runner(address.to_string().into())
    }
}

/// What the bytes of a source are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SourceKind {
    Requests,
    Control,
    Answers,
    Connections,
}

#[derive(Clone, Debug)]
struct BufferHolding {
    source: BufferSource,
    bytes: usize,
    /// Bytes that are still to come, as far as the holder knows.
    left: usize,
    /// Whether the holder can still be ended.
    is_open: bool,
}

impl BufferHolding {
    fn is_request(&self) -> bool {
        self.source == BufferSource::Callers
    }
}

/// Decides which bytes are kept when not all of them fit.
///
/// An answer of a runner that does not fit ends the largest open answer of the runner that holds most, or itself if that is its
/// own runner. So a runner with a few ordinary answers never loses them to one that sends without end.
///
/// Requests take room from open answers up to a share of theirs, and are not ended once they are whole, because they may
/// already run. One request may exceed that share by what nobody else holds, or no node would ever serve a large body that
/// its configuration allows; while it is not whole, it ends when others need that room. Of requests that are not whole,
/// those with fewer bytes to come take the room of those with more: with too many of them, some become whole instead of
/// none.
///
/// Control calls have a share to themselves: without the log no answer is worth much. So have callers' connections, which
/// are there before anything is known of their requests.
#[derive(Clone, Debug)]
pub struct BufferLedger {
    limits: BufferLimits,
    holdings: BTreeMap<HolderId, BufferHolding>,
    held_bytes: BTreeMap<BufferSource, usize>,
    total_bytes: usize,
}

impl BufferLedger {
    /// Creates a ledger without holders.
    pub fn new(limits: BufferLimits) -> Self {
        Self {
            limits,
            holdings: BTreeMap::new(),
            held_bytes: BTreeMap::new(),
            total_bytes: 0,
        }
    }

    /// Returns the bytes held by all sources together.
    pub fn total_bytes(&self) -> usize {
        self.total_bytes
    }

    /// Returns the bytes held by a source.
    pub fn bytes_of(&self, source: &BufferSource) -> usize {
        self.held_bytes.get(source).copied().unwrap_or_default()
    }

    /// Returns each source with the bytes that it holds.
    pub fn sources(&self) -> impl Iterator<Item = (&BufferSource, usize)> {
        self.held_bytes.iter().map(|(source, bytes)| (source, *bytes))
    }

    /// Reserves further bytes for a holder, and returns the holders that lose theirs for it; `None` refuses the bytes, and
    /// nobody loses any. A holder that lost its bytes gets no further ones.
    pub fn reserve(&mut self, holder: HolderId, source: &BufferSource, bytes: usize) -> Option<Vec<HolderId>> {
        self.reserve_towards(holder, source, bytes, usize::MAX)
    }

    /// Reserves bytes like [`BufferLedger::reserve`] for a holder to which `left` bytes are still to come.
    pub fn reserve_towards(
        &mut self,
        holder: HolderId,
        source: &BufferSource,
        bytes: usize,
        left: usize,
    ) -> Option<Vec<HolderId>> {
        let mut ended = Vec::new();
        if !self.fits_share(source, bytes) {
            if source.kind() != SourceKind::Requests {
                return None;
            }
            ended = self.choose_ended_requests(holder, bytes, left)?;
        }
        let freed = ended.iter().filter_map(|id| self.holdings.get(id));
        let freed: usize = freed.map(|holding| holding.bytes).sum();
        ended.extend(self.choose_ended(holder, source, bytes.saturating_sub(freed))?);
        for id in &ended {
            self.release(*id);
        }
        let holding = self.holdings.entry(holder).or_insert_with(|| BufferHolding {
            source: source.clone(),
            bytes: 0,
            left,
            is_open: matches!(source, BufferSource::Runner(_) | BufferSource::Callers),
        });
        holding.bytes += bytes;
        holding.left = left;
        *self.held_bytes.entry(source.clone()).or_default() += bytes;
        self.total_bytes += bytes;
        Some(ended)
    }

    /// Records how many bytes are still to come to a holder.
    pub fn record_left(&mut self, holder: HolderId, left: usize) {
        if let Some(holding) = self.holdings.get_mut(&holder) {
            holding.left = left;
        }
    }

    /// Records that a holder cannot be ended any more, because its bytes are on their way to somebody else.
    pub fn settle(&mut self, holder: HolderId) {
        if let Some(holding) = self.holdings.get_mut(&holder) {
            holding.is_open = false;
        }
    }

    /// Releases some bytes of a holder.
    pub fn shrink(&mut self, holder: HolderId, bytes: usize) {
        let Some(holding) = self.holdings.get_mut(&holder) else {
            return;
        };
        let freed = bytes.min(holding.bytes);
        holding.bytes -= freed;
        let source = holding.source.clone();
        self.free(&source, freed);
    }

    /// Releases all bytes of a holder.
    pub fn release(&mut self, holder: HolderId) {
        let Some(holding) = self.holdings.remove(&holder) else {
            return;
        };
        self.free(&holding.source, holding.bytes);
    }

    /// Returns whether requests hold more than half of what they may hold.
    pub fn is_short_for_requests(&self) -> bool {
        self.bytes_for(SourceKind::Requests) > self.limits.request_bytes() / 2
    }

    /// Returns the number of connections that fit when each takes as many bytes.
    pub fn connection_capacity(&self, bytes_each: usize) -> usize {
        self.limits.connection_bytes / bytes_each
    }

    fn free(&mut self, source: &BufferSource, bytes: usize) {
        self.total_bytes -= bytes;
        if let Some(held) = self.held_bytes.get_mut(source) {
            *held -= bytes;
            if *held == 0 {
                self.held_bytes.remove(source);
            }
        }
    }

    fn fits_share(&self, source: &BufferSource, bytes: usize) -> bool {
        let kind = source.kind();
        let share = match kind {
            SourceKind::Answers => return true,
            SourceKind::Control => self.control_share(),
            SourceKind::Connections => self.limits.connection_bytes,
            SourceKind::Requests => self.limits.request_bytes(),
        };
        self.bytes_for(kind) + bytes <= share
    }

    /// Returns the requests that have to end so that one gets bytes which exceed the share of all; `None` if it has to end.
    fn choose_ended_requests(&self, asking: HolderId, bytes: usize, left: usize) -> Option<Vec<HolderId>> {
        let share = self.limits.request_bytes();
        let wanted = self.bytes_for(SourceKind::Requests) + bytes;
        if self.is_lone(asking, bytes) {
            return Some(Vec::new());
        }
        let others = self.holdings.iter().filter(|(id, _)| **id != asking);
        let open = others.filter(|(_, holding)| holding.is_open && holding.is_request());
        let mut losers: Vec<(usize, HolderId, usize)> = open
            .filter(|(_, holding)| holding.left > left || holding.bytes > share)
            .map(|(id, holding)| (holding.left, *id, holding.bytes))
            .collect();
        losers.sort_unstable();
        let mut needed = wanted.saturating_sub(share);
        let mut ended = Vec::new();
        while needed > 0 {
            let (_, id, freed) = losers.pop()?;
            needed = needed.saturating_sub(freed);
            ended.push(id);
        }
        Some(ended)
    }

    /// Returns whether a request may exceed the share of all by what nobody else holds.
    fn is_lone(&self, asking: HolderId, bytes: usize) -> bool {
        let largest_body = self.limits.largest_body_bytes();
        let wanted = self.bytes_for(SourceKind::Requests) + bytes;
        let own_bytes = self.holdings.get(&asking).map_or(0, |holding| holding.bytes) + bytes;
        let requests = self.holdings.values().filter(|holding| holding.is_request());
        let largest = requests.map(|holding| holding.bytes).fold(own_bytes, usize::max);
        let is_free = self.shared_bytes() + bytes <= self.shared_limit();
        is_free && wanted <= largest_body && wanted - largest <= largest_body - self.limits.request_bytes()
    }

    /// Returns the request that exceeds the share of all requests, if it can still be ended, with its bytes.
    fn oversized_request(&self) -> Option<(HolderId, usize)> {
        let share = self.limits.request_bytes();
        let mut open = self.holdings.iter().filter(|(_, holding)| holding.is_open);
        let (id, holding) = open.find(|(_, holding)| holding.is_request() && holding.bytes > share)?;
        Some((*id, holding.bytes))
    }

    /// Returns the bytes that requests and answers hold.
    fn shared_bytes(&self) -> usize {
        self.bytes_for(SourceKind::Requests) + self.bytes_for(SourceKind::Answers)
    }

    /// Returns the bytes that requests and answers may hold.
    fn shared_limit(&self) -> usize {
        self.limits.total_bytes - self.control_share()
    }

    fn control_share(&self) -> usize {
        self.limits.total_bytes / CONTROL_DIVISOR
    }

    fn bytes_for(&self, kind: SourceKind) -> usize {
        let sources = self.sources().filter(|(source, _)| source.kind() == kind);
        sources.map(|(_, held)| held).sum()
    }

    /// Returns the holders that have to end so that the bytes fit; `None` if the asking one has to.
    fn choose_ended(&self, asking: HolderId, source: &BufferSource, bytes: usize) -> Option<Vec<HolderId>> {
        let mut ended = Vec::new();
        if matches!(source.kind(), SourceKind::Control | SourceKind::Connections) {
            return Some(ended);
        }
        let mut needed = (self.shared_bytes() + bytes).saturating_sub(self.shared_limit());
        if needed == 0 {
            return Some(ended);
        }
        let is_answer = matches!(source, BufferSource::Runner(_));
        if is_answer && let Some((id, freed)) = self.oversized_request() {
            needed = needed.saturating_sub(freed);
            ended.push(id);
        }
        let mut held_bytes = self.held_bytes.clone();
        let mut open: BTreeSet<(&BufferSource, Reverse<usize>, HolderId)> = self
            .holdings
            .iter()
            .filter(|(id, holding)| holding.is_open && !holding.is_request() && **id != asking)
            .map(|(id, holding)| (&holding.source, Reverse(holding.bytes), *id))
            .collect();
        while needed > 0 {
            let candidates = held_bytes
                .iter()
                .filter(|(other, _)| open.iter().any(|entry| entry.0 == *other));
            let (greediest, held) = candidates.max_by_key(|(_, held)| **held)?;
            let own_bytes = held_bytes.get(source).copied().unwrap_or_default() + bytes;
            if is_answer && (greediest == source || *held <= own_bytes) {
                return None;
            }
            let greediest = greediest.clone();
            let entry = *open.iter().find(|entry| *entry.0 == greediest)?;
            open.remove(&entry);
            let (_, Reverse(freed), id) = entry;
            if let Some(held) = held_bytes.get_mut(&greediest) {
                *held -= freed;
            }
            needed = needed.saturating_sub(freed);
            ended.push(id);
        }
        Some(ended)
    }
}
