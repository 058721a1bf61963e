//! Runs one fault, from the start of the deployment to the checks.

use std::time::Duration;

use tokio::time::Instant;

use super::{
    changes::{changed_service, read_version},
    checks::check_run,
    error::FailureError,
    faults::FaultScript,
    report::FaultReport,
    testbed::{FaultTestbed, wait_for},
    traffic::{RunningTraffic, TrafficLog},
};
use crate::platform::PlatformFaults;

/// Time for which traffic runs without a fault, before the injection and again after it.
const UNDISTURBED_TIME: Duration = Duration::from_secs(1);
/// Time within which every running node must report the newest accepted change after the fault has ended.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(12);
/// Time for work still in transit to a backend server after the last caller has stopped.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Starts a deployment, injects one fault under load, and checks the result.
///
/// # Errors
/// [`FailureError`] when the fault could not be injected or the result could not be checked.
pub async fn run_fault(script: &dyn FaultScript, seed: u64) -> Result<FaultReport, FailureError> {
    let started_at = Instant::now();
    let mut testbed = FaultTestbed::start(seed).await?;
    let mut traffic = RunningTraffic::start(&testbed);
    tokio::time::sleep(UNDISTURBED_TIME).await;
    script.inject(&mut testbed).await?;
    testbed.set_platform_faults(&PlatformFaults::default()).await?;
    tokio::time::sleep(UNDISTURBED_TIME).await;
    let mut log = traffic.finish().await;
    let mut report = FaultReport {
        fault: script.name().to_owned(),
        seed,
        ..FaultReport::default()
    };
    await_convergence(&testbed, &log, &mut report).await;
    tokio::time::sleep(SETTLE_TIME).await;
    log.observed = traffic.finish_observing().await;
    check_run(&testbed, &log, &mut report).await?;
    report.figures.append(&mut testbed.figures);
    report.violations.append(&mut testbed.violations);
    report.run_s = started_at.elapsed().as_secs_f64();
    Ok(report)
}

/// Waits until every running node reports the newest accepted change; adds a violation for each that does not in time.
async fn await_convergence(testbed: &FaultTestbed, log: &TrafficLog, report: &mut FaultReport) {
    let newest = log
        .changes
        .accepted
        .iter()
        .map(|change| change.version)
        .max()
        .unwrap_or(0);
    let key = changed_service();
    for (node, target) in testbed.targets.iter().enumerate() {
        if testbed.ended.contains(&node) {
            continue;
        }
        let is_newest = || async {
            read_version(target, &key)
                .await
                .is_some_and(|(version, _)| version >= newest)
        };
        if let Err(error) = wait_for(
            &format!("change {newest} at {}", target.name),
            CONVERGENCE_TIMEOUT,
            is_newest,
        )
        .await
        {
            report.add_violation(error.to_string());
        }
    }
}
