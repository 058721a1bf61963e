//! Tasks that a node needs for as long as it runs.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use mustardgate_relay::node::keep_running;
use slog::{Discard, Logger, o};

// Guards against a follower of the list that is gone for the rest of the process after one panic.
#[tokio::test(start_paused = true)]
async fn a_task_that_panics_is_started_again() {
    const PANICS: usize = 8;
    let starts = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&starts);
    let task = keep_running(Logger::root(Discard, o!()), "test", move || {
        let start = counted.fetch_add(1, Ordering::Relaxed);
        async move {
            assert!(start >= PANICS, "an odd record");
        }
    });
    task.await.expect("the supervisor does not panic");
    assert_eq!(starts.load(Ordering::Relaxed), PANICS + 1);
}
