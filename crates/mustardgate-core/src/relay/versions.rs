//! Software versions of runners; what runners of two versions write does not fit together.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ids::RunnerProcess;

/// Version of the software of a runner process, not of the weights that it holds.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SoftwareVersion {
    /// The version that the runner states.
    #[display("{_0}")]
    Stated(SmolStr),
    /// The runner states none, so that the version of no other process is known to be the same.
    #[display("unknown of {}", _0.0)]
    Unknown(RunnerProcess),
}

impl SoftwareVersion {
    /// Returns the version that a process states; an empty text states none.
    pub fn of(stated: &str, process: RunnerProcess) -> Self {
        match stated.trim() {
            "" => Self::Unknown(process),
            stated => Self::Stated(stated.into()),
        }
    }
}
