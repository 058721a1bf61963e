//! Crashes as earlier builds tell them, which know parts of prompts only.

use std::time::Duration;

use mustardgate_core::{
    ids::RunnerProcess,
    relay::{CrashDigest, CrashObservation, InputId, PartId, QuarantineNotice},
};
use serde::{Deserialize, Serialize};

/// One runner process that crashed under a part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrash {
    /// The part.
    pub part: PartId,
    /// The process.
    pub process: RunnerProcess,
    /// Time since the crash.
    pub age: Duration,
}

/// What a node of an earlier build knows of crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrashDigest {
    /// Crashes that still count.
    pub crashes: Vec<PartCrash>,
    /// Parts of these crashes that were answered well, and the time since.
    pub sound: Vec<(PartId, Duration)>,
    /// Parts in quarantine, and the time until it ends.
    pub quarantined: Vec<(PartId, Duration)>,
}

impl PartCrashDigest {
    /// Returns the part of a digest that earlier builds understand.
    pub fn of(digest: &CrashDigest) -> Self {
        let crashes = digest.crashes.iter().filter_map(|crash| {
            Some(PartCrash {
                part: part_of(crash.input)?,
                process: crash.process.clone(),
                age: crash.age,
            })
        });
        let sound = digest.sound.iter();
        let quarantined = digest.quarantined.iter();
        Self {
            crashes: crashes.collect(),
            sound: sound
                .filter_map(|(input, age)| Some((part_of(*input)?, *age)))
                .collect(),
            quarantined: quarantined
                .filter_map(|notice| Some((part_of(notice.input)?, notice.left)))
                .collect(),
        }
    }

    /// Returns what a node knows: its whole digest, or what one of an earlier build tells.
    pub fn or_newer(&self, inputs: Option<&CrashDigest>) -> CrashDigest {
        inputs.cloned().unwrap_or_else(|| self.to_digest())
    }

    fn to_digest(&self) -> CrashDigest {
        let crashes = self.crashes.iter().map(|crash| CrashObservation {
            input: InputId::Part(crash.part),
            process: crash.process.clone(),
            age: crash.age,
        });
        let sound = self.sound.iter().map(|(part, age)| (InputId::Part(*part), *age));
        // The age of the quarantine is not told.
        let quarantined = self.quarantined.iter().map(|(part, left)| QuarantineNotice {
            input: InputId::Part(*part),
            left: *left,
            age: Duration::ZERO,
        });
        CrashDigest {
            crashes: crashes.collect(),
            sound: sound.collect(),
            quarantined: quarantined.collect(),
        }
    }
}

fn part_of(input: InputId) -> Option<PartId> {
    match input {
        InputId::Part(part) => Some(part),
        InputId::Request(_) => None,
    }
}
