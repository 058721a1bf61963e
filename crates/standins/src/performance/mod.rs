//! Measures what a node adds to the load that it relays, against the same load sent straight.
//!
//! Everything runs as real processes on loopback. The page `docs/PERFORMANCE.md` quotes the figures.

mod calls;
mod deployment;
mod refusals;
mod relay;
mod report;
mod streams;

use mustardctl::cli::CommandError;
use snafu::Snafu;

pub use self::{
    deployment::{DeploymentPlan, MODEL, MeasuredDeployment, SERVICE, SERVICE_INSTANCE},
    report::{CallFigures, PerformanceReport, RefusalFigures, RelayFigures, StreamFigures},
};
use crate::harness::HarnessError;

/// Why a measurement could not be made.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(self)))]
pub enum PerformanceError {
    /// A process failed.
    #[snafu(display("{source}"))]
    Harness {
        /// Cause.
        source: HarnessError,
    },
    /// A declaration, the load or its result failed.
    #[snafu(display("{source}"))]
    Command {
        /// Cause.
        source: CommandError,
    },
    /// Something did not come about.
    #[snafu(display("{what}"))]
    Absent {
        /// What did not.
        what: String,
    },
}

/// Makes every measurement one after the other and judges the figures against the stated targets.
///
/// # Errors
/// [`PerformanceError`] when a measurement could not be made; a missed target is no error but part of the report.
pub async fn run_performance() -> Result<PerformanceReport, PerformanceError> {
    let load_before = report::load_average();
    let wide = MeasuredDeployment::start(DeploymentPlan::wide()).await?;
    let streams = streams::measure_streams(&wide).await?;
    let calls = calls::measure_calls(&wide).await?;
    let relay = relay::measure_relay(&wide).await?;
    drop(wide);
    let narrow = MeasuredDeployment::start(DeploymentPlan::narrow()).await?;
    let refusals = refusals::measure_refusals(&narrow).await?;
    Ok(PerformanceReport::judge(load_before, streams, calls, relay, refusals))
}
