//! Clock of the async runtime, read as a standard [`Instant`] so that the other modules do not depend on runtime types.

use std::time::Instant;

/// Returns the current time of the runtime's clock, which tests pause and advance.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
