//! The same open-loop load of streams through the node and straight at the engines.

use std::time::Duration;

use mustardctl::load::{LoadOptions, LoadReport, LoadTarget, run_load};
use mustardgate_core::{log::Artifact, resources::PriorityClass};
use snafu::ResultExt;

use super::{
    CommandSnafu, PerformanceError,
    deployment::{MODEL, MeasuredDeployment, VERSION},
    report::StreamFigures,
};

const RATE_PER_S: f64 = 60.0;
const DURATION: Duration = Duration::from_secs(30);
const TOKENS: u32 = 32;
const SEED: u64 = 1;
const DEADLINE: Duration = Duration::from_secs(10);
/// Time to the first token that counts as in time.
pub(super) const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(580);

pub(super) async fn measure_streams(deployment: &MeasuredDeployment) -> Result<StreamFigures, PerformanceError> {
    let straight = LoadOptions {
        servers: deployment.engines(),
        targets: vec![LoadTarget::Engine {
            artifact: Artifact {
                model: MODEL.into(),
                adapter: None,
                version: VERSION.into(),
            },
            priority: PriorityClass::default(),
        }],
        tenants: deployment.tenants(),
        rate: RATE_PER_S,
        duration: DURATION,
        seed: SEED,
        max_tokens: TOKENS,
        first_token_target: FIRST_TOKEN_TARGET,
        deadline: DEADLINE,
    };
    let through = LoadOptions {
        servers: vec![deployment.callers()],
        targets: vec![LoadTarget::Model(MODEL.into())],
        ..straight.clone()
    };
    let straight: LoadReport = run_load(straight).await.context(CommandSnafu)?;
    let before = deployment.usage()?;
    let through = run_load(through).await.context(CommandSnafu)?;
    let after = deployment.usage()?;
    let processor = after.processor.saturating_sub(before.processor);
    Ok(StreamFigures::compare(straight, through, processor))
}
