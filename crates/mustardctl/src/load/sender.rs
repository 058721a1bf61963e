//! Sends the scheduled requests and collects their outcomes.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use smol_str::{SmolStr, format_smolstr};
use tokio::task::JoinSet;

use super::{
    arrivals::{ArrivalSchedule, ScheduledRequest},
    report::{LoadReport, ReportBuilder},
    request::{LoadRequest, LoadTarget, RequestOutcome, send_request},
};
use crate::{cli::CommandError, client::HttpClient};

/// Options of a load.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Servers, used in rotation.
    pub servers: Vec<SocketAddr>,
    /// Targets, drawn with equal probability.
    pub targets: Vec<LoadTarget>,
    /// Tenants, drawn by weight.
    pub tenants: Vec<TenantLoad>,
    /// Total rate, in requests per second.
    pub rate: f64,
    /// Time during which requests are sent.
    pub duration: Duration,
    /// Seed of the schedule.
    pub seed: u64,
    /// Number of tokens in each answer.
    pub max_tokens: u32,
    /// Longest time to the first token that counts as in time.
    pub first_token_target: Duration,
    /// Time limit of a request, also sent as its deadline.
    pub deadline: Duration,
}

/// One tenant of the load.
#[derive(Clone, Debug)]
pub struct TenantLoad {
    /// Name in the report.
    pub name: SmolStr,
    /// Bearer key, if any.
    pub key: Option<String>,
    /// Weight of its share of the load, relative to the other tenants.
    pub weight: f64,
}

/// Sends the load and waits until every request has ended.
///
/// # Errors
/// [`CommandError::Failed`] when the task of a request panics.
pub async fn run_load(options: LoadOptions) -> Result<LoadReport, CommandError> {
    let weights = options.tenants.iter().map(|tenant| tenant.weight).collect();
    let schedule = ArrivalSchedule::new(
        options.seed,
        options.rate,
        options.duration,
        weights,
        options.targets.len(),
    );
    let client = HttpClient::new();
    let start = Instant::now();
    let mut requests = JoinSet::new();
    for scheduled in schedule {
        let due = start + scheduled.due;
        tokio::time::sleep_until(due.into()).await;
        let request = build_request(&options, scheduled, due);
        let tenant = options.tenants[scheduled.tenant].name.clone();
        let client = client.clone();
        requests.spawn(async move { (tenant, send_request(&client, request).await) });
    }
    let report = LoadReport {
        seed: options.seed,
        rate: options.rate,
        seconds: options.duration.as_secs_f64(),
        ..LoadReport::default()
    };
    collect_outcomes(requests, ReportBuilder::new(report, options.first_token_target)).await
}

async fn collect_outcomes(
    mut requests: JoinSet<(SmolStr, RequestOutcome)>,
    mut builder: ReportBuilder,
) -> Result<LoadReport, CommandError> {
    while let Some(joined) = requests.join_next().await {
        let (tenant, outcome) = joined.map_err(|error| CommandError::Failed {
            reason: error.to_string(),
        })?;
        builder.record(&tenant, &outcome);
    }
    Ok(builder.finish())
}

fn build_request(options: &LoadOptions, scheduled: ScheduledRequest, due: Instant) -> LoadRequest {
    let number = scheduled.number;
    let server = options.servers[number as usize % options.servers.len()];
    LoadRequest {
        server,
        target: options.targets[scheduled.target].clone(),
        key: options.tenants[scheduled.tenant].key.clone(),
        identifier: format_smolstr!("load-{}-{number}", options.seed),
        prompt: format!("request {number} of load {} [seed:{number}]", options.seed),
        max_tokens: options.max_tokens,
        deadline: options.deadline,
        due,
    }
}
