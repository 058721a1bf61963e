//! Tells a crash of a runner from a broken connection, and records under which inputs it crashed.

use std::sync::Arc;

use mustardgate_core::{
    clock,
    relay::{InputId, RefusalCause, shared_parts},
};

use super::attempt::ReceivedRequest;
use crate::{fleet::RunnerCell, link::is_link_sound};

/// Whether a runner crashed when its connection broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CrashOutcome {
    /// It lives, or it is not known that it crashed.
    NotCrashed,
    /// It crashed.
    Crashed {
        /// Whether another runner crashed under the same input before.
        is_repeated: bool,
    },
}

impl CrashOutcome {
    pub(super) fn is_crashed(self) -> bool {
        matches!(self, Self::Crashed { .. })
    }

    pub(super) fn is_repeated(self) -> bool {
        self == Self::Crashed { is_repeated: true }
    }
}

impl ReceivedRequest {
    /// Returns what may crash a runner that processes the request.
    pub(super) fn inputs(&self) -> Vec<InputId> {
        shared_parts(&self.request).chain(self.digests.inputs()).collect()
    }

    /// Returns the cause of a refusal if runners crash under the request or a part of its prompt.
    pub(super) fn quarantine(&self) -> Option<RefusalCause> {
        let crashes = &self.context.crashes;
        if crashes.refuses(self.digests.inputs()) {
            return Some(RefusalCause::RequestQuarantined);
        }
        let is_refused = crashes.refuses(shared_parts(&self.request));
        is_refused.then_some(RefusalCause::PromptQuarantined)
    }

    /// Checks whether a runner that broke its connection has crashed, and records the inputs if so.
    ///
    /// A runner that leaves as planned ends its connections as well and is not checked.
    pub(super) async fn record_crash(&self, cell: &RunnerCell, inputs: &[InputId]) -> CrashOutcome {
        let is_crashed = !self.falls_over(cell) && cell.is_in_service() && cell.is_process_gone().await;
        // While the link is cut, nothing seems to listen anywhere.
        if !is_crashed || !is_link_sound(&self.context, cell).await {
            return CrashOutcome::NotCrashed;
        }
        self.record_known_crash(cell, inputs)
    }

    /// Records that a runner has crashed if it has, under a request that it had been answering for long.
    ///
    /// The stream goes on elsewhere meanwhile: what ended beside it may be the cause, and its next runner shows which.
    pub(super) fn record_late_crash(&self, cell: &Arc<RunnerCell>) {
        let is_suspect = !self.falls_over(cell) && cell.is_in_service();
        if !is_suspect {
            return;
        }
        let (context, cell) = (Arc::clone(&self.context), Arc::clone(cell));
        let (request, inputs) = (self.request.id.clone(), self.digests.inputs().to_vec());
        tokio::spawn(async move {
            if cell.is_process_gone().await && is_link_sound(&context, &cell).await {
                context.crashes.record_crash(&cell.listed(), &request, &inputs);
            }
        });
    }

    /// Returns whether a runner that crashes has turned too many requests away.
    fn falls_over(&self, cell: &RunnerCell) -> bool {
        // Nodes stay away from a brittle runner that has turned a request away.
        self.context.brittle.is_brittle(&self.service) && cell.hold_left(clock::now()).is_some()
    }

    /// Records the inputs under which a runner is known to have crashed.
    pub(super) fn record_known_crash(&self, cell: &RunnerCell, inputs: &[InputId]) -> CrashOutcome {
        let crashes = &self.context.crashes;
        CrashOutcome::Crashed {
            is_repeated: crashes.record_crash(&cell.listed(), &self.request.id, inputs),
        }
    }
}
