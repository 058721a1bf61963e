//! Waiting for the time from which on a planned stop refuses a request.

use std::time::Duration;

use mustardgate::drain::DrainController;
use mustardgate_core::drain::DrainTiming;
use tokio::time::{self, Instant};

const SECOND: Duration = Duration::from_secs(1);
const TIMING: DrainTiming = DrainTiming {
    grace: SECOND,
    limit: Duration::from_secs(9),
};

#[tokio::test(start_paused = true)]
async fn a_request_that_waits_without_a_planned_stop_is_not_refused() {
    let drain = DrainController::default();
    let waiting = time::timeout(SECOND * 3_600, drain.too_late(SECOND)).await;
    waiting.expect_err("no stop has begun");
    assert_eq!(drain.check_time_left(SECOND), Ok(()));
}

#[tokio::test(start_paused = true)]
async fn a_waiting_request_is_refused_as_soon_as_too_little_of_a_planned_stop_is_left() {
    let drain = DrainController::default();
    let stopping = drain.clone();
    let waiting = tokio::spawn(async move { stopping.too_late(SECOND * 4).await });
    time::sleep(SECOND).await;
    let begun = Instant::now();
    drain.begin_window(TIMING);
    assert!(drain.is_draining());
    waiting.await.expect("not cancelled");
    let waited = begun.elapsed();
    assert!(waited > SECOND * 5 && waited <= SECOND * 6, "{waited:?}");
    assert_eq!(drain.check_time_left(SECOND * 4), Err(SECOND));
    assert_eq!(drain.check_time_left(SECOND * 3), Ok(()));
}

#[tokio::test(start_paused = true)]
async fn waiting_requests_are_refused_when_a_planned_stop_is_cut_short() {
    let drain = DrainController::default();
    drain.begin_window(TIMING);
    let stopping = drain.clone();
    let waiting = tokio::spawn(async move { stopping.too_late(Duration::ZERO).await });
    time::sleep(SECOND).await;
    let cut = Instant::now();
    drain.end_window();
    waiting.await.expect("not cancelled");
    drain.wait_end().await;
    assert_eq!(cut.elapsed(), Duration::ZERO);
    assert!(drain.aborting().is_cancelled() && drain.closing().is_cancelled());
}

// Guards against answers that have arrived and are ended, because a node that stood still hears of both at once.
#[tokio::test]
async fn steps_that_are_complete_count_before_the_end_of_the_requests_in_flight() {
    const STEPS: usize = 100;
    let drain = DrainController::default();
    drain.aborting().cancel();
    let mut ended = 0;
    for _ in 0..STEPS {
        ended += usize::from(drain.unless_aborted(async {}).await.is_none());
    }
    assert_eq!(ended, 0, "of {STEPS}");
    assert_eq!(drain.unless_aborted(std::future::pending::<()>()).await, None);
}
