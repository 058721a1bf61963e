//! Backend servers that the platform's list of VMs marks as leaving.

use std::time::Duration;

use async_trait::async_trait;
use tokio::time::Instant;

use super::FaultScript;
use crate::{
    engine_http::EngineStats,
    failures::{FailureError, FaultTestbed},
    service::ServiceStats,
};

const SERVICE: &str = "pier-orders-1";
const ENGINE: &str = "pier-runner-1";
const OBSERVED_TIME: Duration = Duration::from_secs(8);
/// Seconds after which a leaving backend server must get no new work; the list itself lags by half a second.
const NEW_WORK_LIMIT_S: f64 = 5.0;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// An instance of a plain service and an engine are marked as leaving under load.
#[derive(Clone, Copy, Debug)]
pub struct BackendLeaving;

#[async_trait]
impl FaultScript for BackendLeaving {
    fn name(&self) -> &'static str {
        "backend-leaving"
    }

    async fn inject(&self, testbed: &mut FaultTestbed) -> Result<(), FailureError> {
        testbed.mark_leaving(SERVICE).await?;
        testbed.mark_leaving(ENGINE).await?;
        let marked_at = Instant::now();
        let mut previous = count_started_work(testbed).await?;
        let mut last_work_s = [0.0; 2];
        while marked_at.elapsed() < OBSERVED_TIME {
            let current = count_started_work(testbed).await?;
            for (index, last_s) in last_work_s.iter_mut().enumerate() {
                if current[index] > previous[index] {
                    *last_s = marked_at.elapsed().as_secs_f64();
                }
            }
            previous = current;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        for (backend, last_s) in [SERVICE, ENGINE].into_iter().zip(last_work_s) {
            testbed.record_figure(&format!("{backend}_last_new_work_s"), last_s);
            if last_s > NEW_WORK_LIMIT_S {
                let violation = format!("{backend} got new work {last_s:.1} s after it was marked as leaving");
                testbed.violations.push(violation);
            }
        }
        Ok(())
    }
}

/// Returns how many calls the service and how many generations the engine have started so far.
async fn count_started_work(testbed: &FaultTestbed) -> Result<[u64; 2], FailureError> {
    let service: ServiceStats = testbed.cluster.backend_stats(SERVICE).await?;
    let engine: EngineStats = testbed.cluster.backend_stats(ENGINE).await?;
    let generations = engine.runs.iter().map(|run| u64::from(run.runs)).sum();
    Ok([service.runs, generations])
}
