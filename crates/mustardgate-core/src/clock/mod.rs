//! The runtime's clock, read as a standard [`Instant`] so that decisions need no runtime type.

use std::time::Instant;

/// Returns the current time of the runtime's clock, which tests pause and advance.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
