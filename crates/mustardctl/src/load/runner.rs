//! Sends the schedule and collects outcomes.

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

/// What load to send.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Servers, used in turn.
    pub servers: Vec<SocketAddr>,
    /// Targets, drawn evenly.
    pub targets: Vec<LoadTarget>,
    /// Tenants, drawn by weight.
    pub tenants: Vec<TenantLoad>,
    /// Requests a second in all.
    pub rate: f64,
    /// Time for which requests are sent.
    pub duration: Duration,
    /// Seed of the schedule.
    pub seed: u64,
    /// Tokens of each answer.
    pub max_tokens: u32,
    /// Time to the first token that counts as in time.
    pub target: Duration,
    /// Time after which a request is given up.
    pub deadline: Duration,
}

/// One tenant of the load.
#[derive(Clone, Debug)]
pub struct TenantLoad {
    /// Name in the report.
    pub name: SmolStr,
    /// Bearer key.
    pub key: Option<String>,
    /// Share of the load relative to the others.
    pub weight: f64,
}

/// Sends the load and waits for every answer.
///
/// # Errors
/// [`CommandError::Failed`] when a task of the load ends early.
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
    collect(requests, ReportBuilder::new(report, options.target)).await
}

async fn collect(
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
