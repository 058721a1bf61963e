//! Refusal of requests with inputs in quarantine.
//!
//! A crash blames every input that was there. While nothing was answered with a sound part since, for example because all
//! nodes have just started, it is in quarantine beside the part that crashes runners. See `docs/design/platform.md`,
//! "Crashing inputs".

use std::time::{Duration, Instant};

use super::CrashLedger;
use crate::relay::InputId;

/// Time between two requests of a node that test a part which another one may explain.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

impl CrashLedger {
    /// Returns whether a request with these inputs must not be sent, and keeps those in quarantine there for another full
    /// time, up to the longest.
    ///
    /// A part whose crashes all happened beside another part in quarantine does not keep back a request without that one:
    /// its answer, or its crash, tells which of the two is to blame.
    pub fn refuses(&mut self, now: Instant, inputs: impl IntoIterator<Item = InputId>) -> bool {
        let inputs: Vec<InputId> = inputs.into_iter().collect();
        let is_active = |input: &&InputId| self.quarantined.get(*input).is_some_and(|known| now < known.until);
        let active: Vec<InputId> = inputs.iter().filter(is_active).copied().collect();
        if active.is_empty() {
            return false;
        }
        if active.iter().all(|input| self.is_explained(*input, &inputs)) && self.begin_probe(now, &active) {
            return false;
        }
        let settings = self.settings;
        for input in &active {
            let Some(quarantine) = self.quarantined.get(input) else {
                continue;
            };
            let ends_at = quarantine.began_at + settings.max_quarantine_time;
            self.extend_quarantine(*input, (now + settings.quarantine_time).min(ends_at));
        }
        true
    }

    /// Returns whether each crash under a part also had another part in quarantine that a request does not contain.
    fn is_explained(&self, input: InputId, request: &[InputId]) -> bool {
        let Some(by_process) = self.crashes.get(&input) else {
            return false;
        };
        let others = self.quarantined.keys();
        let others: Vec<_> = others
            .filter(|other| is_part(**other) && !request.contains(other))
            .filter_map(|other| self.crashes.get(other))
            .collect();
        let mut processes = by_process.keys();
        is_part(input) && processes.all(|process| others.iter().any(|other| other.contains_key(process)))
    }

    /// Returns whether a request may test these parts now.
    fn begin_probe(&mut self, now: Instant, inputs: &[InputId]) -> bool {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < PROBE_INTERVAL;
        self.probed.retain(|_, at| is_recent(at));
        if inputs.iter().any(|input| self.probed.contains_key(input)) {
            return false;
        }
        self.probed.extend(inputs.iter().map(|input| (*input, now)));
        true
    }
}

fn is_part(input: InputId) -> bool {
    matches!(input, InputId::Part(_))
}
