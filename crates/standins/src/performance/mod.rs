//! Measures the overhead of a node: the same load is sent through the node and directly to the backend servers.
//!
//! All programs run as separate processes on the loopback interface. See `docs/PERFORMANCE.md` for the figures.

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

/// A measurement could not be made.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(self)))]
pub enum PerformanceError {
    /// A process could not be started or ended too early.
    #[snafu(display("{source}"))]
    Harness {
        /// Cause.
        source: HarnessError,
    },
    /// A resource could not be declared, or the load could not be sent.
    #[snafu(display("{source}"))]
    Command {
        /// Cause.
        source: CommandError,
    },
    /// Another step failed.
    #[snafu(display("{reason}"))]
    Failed {
        /// What went wrong.
        reason: String,
    },
}

/// Makes all measurements, one after the other, and checks the figures against the targets.
///
/// # Errors
/// [`PerformanceError`] when a measurement could not be made; a missed target is not an error but part of the report.
pub async fn run_performance() -> Result<PerformanceReport, PerformanceError> {
    let load_average_before = report::load_average();
    let large = MeasuredDeployment::start(DeploymentPlan::large()).await?;
    let streams = streams::measure_streams(&large).await?;
    let calls = calls::measure_calls(&large).await?;
    let relay = relay::measure_relay(&large).await?;
    drop(large);
    let small = MeasuredDeployment::start(DeploymentPlan::small()).await?;
    let refusals = refusals::measure_refusals(&small).await?;
    Ok(PerformanceReport::evaluate(
        load_average_before,
        streams,
        calls,
        relay,
        refusals,
    ))
}
