//! Evaluates the measured slopes at the design size, and finds the sizes at which bounds are exceeded.

use mustardgate_core::config::FEEDERS_PER_DOMAIN;
use serde::Serialize;

use super::{serving::HELD_MODELS, slope::MeasuredSlope};

/// Nodes at the design size.
const NODES: f64 = 360.0;
/// Runners at the design size.
const RUNNERS: f64 = 1_600.0;
/// Models at the design size.
const MODELS: f64 = 810.0;
/// Failure domains at the design size.
const DOMAINS: f64 = 23.0;
/// Requests per second at the design size, over all nodes.
const REQUESTS_PER_SECOND: f64 = 8_600.0;
/// Configuration changes per day at the design size.
const CHANGES_PER_DAY: f64 = 1_200.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Share of requests that have an idempotency key; the plan of the design does not state it.
const KEYED_RATIO: f64 = 0.1;
/// Replicas of a model among which one request is routed.
const REPLICAS: f64 = 4.0;

/// Reads of the log per second by one reader. Every node follows the records of keys and leases; only the feeders of a
/// failure domain also follow the configuration, with a reader of its own.
pub const READS_PER_SECOND: f64 = 1.0;
/// Readers of the log in a node that feeds its failure domain.
const FEEDER_READERS: f64 = 2.0;
/// Reads of one runner's report per second, by one node.
pub const REPORTS_PER_SECOND: f64 = 2.0;
/// Renewals of one failure domain's lease per second.
pub const RENEWALS_PER_SECOND: f64 = 0.5;
/// Fetches of the list of VMs per second, by one node.
pub const LISTS_PER_SECOND: f64 = 1.0;
/// Changes of the list of VMs per day: each of 123 VMs that fail or are restarted or replaced leaves the list and
/// comes back.
const VM_CHANGES_PER_DAY: f64 = 2.0 * 123.0;
/// Base placements that one node computes per second: one for each change of declarations or of the list of VMs.
pub const BASE_ROUNDS_PER_SECOND: f64 = (CHANGES_PER_DAY + VM_CHANGES_PER_DAY) / SECONDS_PER_DAY;

const KEPT_KEYS: f64 = 80_000.0;
const QUEUED_REQUESTS: f64 = 4_096.0;
const MAX_QUEUED_BYTES: f64 = 33_554_432.0;
const MAX_ANSWER_BYTES: f64 = 8_388_608.0;

/// Processor time that control work may take, as a share of one core.
const MAX_PROCESSOR: f64 = 0.017;
/// Memory that control work may take, in bytes.
const MAX_MEMORY_BYTES: f64 = 134_217_728.0;
/// Bytes per second that control work may send and receive.
const MAX_TRAFFIC: f64 = 6_000.0;
/// Appends per second that the stand-in for the platform's log accepts.
const MAX_APPENDS: f64 = 400.0;

/// One figure of one role at the design size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RoleFigure {
    /// Role that has the cost.
    pub role: &'static str,
    /// What the figure measures.
    pub name: &'static str,
    /// Unit.
    pub unit: &'static str,
    /// The figure.
    pub value: f64,
    /// The bound on the figure, if there is one.
    pub bound: Option<f64>,
    /// Whether `docs/CAPACITY.md` claims that the bound is kept.
    pub is_claimed: bool,
    /// Share of the design size at which the figure reaches its bound; `None` for a figure within it.
    pub breaks_at: Option<f64>,
}

impl RoleFigure {
    /// Returns whether the figure exceeds a bound that is claimed to be kept.
    pub fn is_missed(&self) -> bool {
        self.is_claimed && self.bound.is_some_and(|bound| self.value > bound)
    }
}

/// Finds measured slopes by name.
#[derive(Clone, Copy, Debug)]
pub struct SlopeTable<'a>(pub &'a [MeasuredSlope]);

impl SlopeTable<'_> {
    /// Returns the figure of a slope at a size.
    pub fn at(&self, name: &str, size: f64) -> f64 {
        let found = self.0.iter().find(|slope| slope.name == name);
        found.expect("every slope that is evaluated was measured").at(size)
    }

    /// Returns the increase of a slope's figure per unit of the size.
    pub fn per_unit(&self, name: &str) -> f64 {
        self.at(name, 1.0) - self.at(name, 0.0)
    }
}

/// Evaluates the figures of every role at the design size.
pub fn evaluate_design(slopes: &[MeasuredSlope]) -> Vec<RoleFigure> {
    let slopes = SlopeTable(slopes);
    let mut figures = gateway(slopes);
    figures.extend(follower(slopes));
    figures.extend(leader(slopes));
    figures.extend(other_roles(slopes));
    figures
}

fn figure(role: &'static str, name: &'static str, unit: &'static str, value: f64) -> RoleFigure {
    RoleFigure {
        role,
        name,
        unit,
        value,
        bound: None,
        is_claimed: false,
        breaks_at: None,
    }
}

/// Adds a bound to a figure; `breaks_at` assumes that the figure grows with the given power of the size.
fn bounded(figure: RoleFigure, bound: f64, is_claimed: bool, power: f64) -> RoleFigure {
    let breaks_at = (figure.value > bound).then(|| (bound / figure.value).powf(1.0 / power));
    RoleFigure {
        bound: Some(bound),
        is_claimed,
        breaks_at,
        ..figure
    }
}

fn gateway(slopes: SlopeTable<'_>) -> Vec<RoleFigure> {
    let role = "gateway";
    let request_us = slopes.at("route_select", REPLICAS) + slopes.at("queue_admit", 0.0);
    let request_share = REQUESTS_PER_SECOND / NODES * request_us / 1e6;
    let vms = NODES + RUNNERS;
    let list_share = LISTS_PER_SECOND * (slopes.at("list_parse", vms) + slopes.at("list_take", vms)) / 1e6;
    let routing = slopes.at("route_memory", RUNNERS) + slopes.at("board_memory", RUNNERS);
    let keys = slopes.at("key_memory", KEPT_KEYS) + MAX_ANSWER_BYTES;
    let queue = slopes.at("queue_memory", QUEUED_REQUESTS) + MAX_QUEUED_BYTES;
    let state = routing + keys + queue + slopes.at("config_memory", RUNNERS + MODELS) + slopes.at("member_memory", vms);
    let list_bytes = LISTS_PER_SECOND * slopes.at("list_body", vms);
    vec![
        figure(role, "routing and reports held", "B", routing),
        figure(role, "record of keys, full window", "B", keys),
        figure(role, "queue, full", "B", queue),
        bounded(
            figure(role, "state of all roles, full", "B", state),
            MAX_MEMORY_BYTES,
            true,
            1.0,
        ),
        bounded(
            figure(role, "list of VMs in", "B/s", list_bytes),
            MAX_TRAFFIC,
            false,
            1.0,
        ),
        bounded(
            figure(role, "list of VMs taken", "core", list_share),
            MAX_PROCESSOR,
            true,
            1.0,
        ),
        bounded(
            figure(role, "routing and admission", "core", request_share),
            MAX_PROCESSOR,
            true,
            1.0,
        ),
    ]
}

/// Returns the reads of the log per second by all nodes.
pub fn reads_per_second(nodes: f64, domains: f64) -> f64 {
    (nodes + domains * FEEDERS_PER_DOMAIN as f64) * READS_PER_SECOND
}

fn lease_bytes(slopes: SlopeTable<'_>) -> f64 {
    DOMAINS * RENEWALS_PER_SECOND * slopes.per_unit("lease_log")
}

fn key_bytes(slopes: SlopeTable<'_>) -> f64 {
    REQUESTS_PER_SECOND * KEYED_RATIO * slopes.per_unit("key_log")
}

fn follower(slopes: SlopeTable<'_>) -> Vec<RoleFigure> {
    let role = "configuration follower";
    let declared = RUNNERS + MODELS;
    let changes = CHANGES_PER_DAY / SECONDS_PER_DAY;
    let quiet = FEEDER_READERS * (lease_bytes(slopes) + changes * slopes.per_unit("config_log"));
    let keyed = quiet + FEEDER_READERS * key_bytes(slopes);
    let replay = REQUESTS_PER_SECOND * KEYED_RATIO * slopes.per_unit("key_replay") / 1e6;
    vec![
        figure(role, "configuration held", "B", slopes.at("config_memory", declared)),
        figure(role, "snapshot", "B", slopes.at("config_snapshot", declared)),
        figure(role, "one change applied", "µs", slopes.at("config_apply", declared)),
        figure(role, "changes", "1/s", changes),
        figure(
            role,
            "replay of all declarations",
            "µs",
            slopes.at("config_replay", declared),
        ),
        bounded(
            figure(role, "log in, without keys", "B/s", quiet),
            MAX_TRAFFIC,
            true,
            1.0,
        ),
        bounded(
            figure(role, "log in, a tenth keyed", "B/s", keyed),
            MAX_TRAFFIC,
            false,
            1.0,
        ),
        bounded(
            figure(role, "keys replayed, a tenth keyed", "core", replay),
            MAX_PROCESSOR,
            true,
            1.0,
        ),
    ]
}

fn leader(slopes: SlopeTable<'_>) -> Vec<RoleFigure> {
    let role = "domain leader";
    let led_runners = RUNNERS / DOMAINS;
    let base = BASE_ROUNDS_PER_SECOND * slopes.at("base_by_models", MODELS) / 1e6;
    let demand_met = slopes.at("gain_calm", MODELS) / 1e6;
    let demand_high = slopes.at("gain_strained", MODELS) / 1e6;
    let reports = led_runners * REPORTS_PER_SECOND;
    let held = HELD_MODELS as f64;
    let report_us = slopes.at("report_parse", held)
        + slopes.at("report_take", MODELS)
        + slopes.at("route_upsert", RUNNERS)
        + slopes.at("leader_report", led_runners);
    let report_share = reports * report_us / 1e6;
    let report_bytes = reports * slopes.at("report_body", held);
    vec![
        figure(
            role,
            "state of own runners",
            "B",
            slopes.at("leader_memory", led_runners),
        ),
        figure(role, "reports of own runners", "1/s", reports),
        bounded(
            figure(role, "reports of own runners taken", "core", report_share),
            MAX_PROCESSOR,
            true,
            1.0,
        ),
        bounded(
            figure(role, "reports of own runners in", "B/s", report_bytes),
            MAX_TRAFFIC,
            false,
            1.0,
        ),
        bounded(figure(role, "base placement", "core", base), MAX_PROCESSOR, false, 2.0),
        bounded(
            figure(role, "round, demand met", "core", demand_met),
            MAX_PROCESSOR,
            true,
            2.0,
        ),
        bounded(
            figure(role, "round, a tenth short", "core", demand_high),
            MAX_PROCESSOR,
            false,
            2.0,
        ),
        figure(role, "lease renewals", "1/s", RENEWALS_PER_SECOND),
        figure(role, "bytes of one logged intent", "B", slopes.per_unit("intent_log")),
    ]
}

fn other_roles(slopes: SlopeTable<'_>) -> Vec<RoleFigure> {
    let declared = RUNNERS + MODELS;
    let base = BASE_ROUNDS_PER_SECOND * slopes.at("base_by_models", MODELS) / 1e6;
    let nodes_in_domain = NODES / DOMAINS;
    let keyed = REQUESTS_PER_SECOND * KEYED_RATIO;
    // At this rate, a node's claims and outcomes are so far apart in time that hardly any two share an append.
    let appends = DOMAINS * RENEWALS_PER_SECOND + 2.0 * keyed;
    let quiet_appends = DOMAINS * RENEWALS_PER_SECOND + CHANGES_PER_DAY / SECONDS_PER_DAY;
    let log = "platform's log";
    vec![
        figure(
            "operator API",
            "all resources listed",
            "B",
            slopes.at("config_snapshot", declared),
        ),
        figure(
            "operator API",
            "one change to a watcher",
            "B",
            slopes.per_unit("config_log"),
        ),
        bounded(
            figure("stand-by", "base placement", "core", base),
            MAX_PROCESSOR,
            false,
            2.0,
        ),
        figure(
            "stand-by",
            "digest frame",
            "B",
            slopes.at("digest_frame", nodes_in_domain),
        ),
        figure("stand-by", "heartbeat frame", "B", slopes.at("heartbeat_frame", 0.0)),
        figure(log, "reads", "1/s", reads_per_second(NODES, DOMAINS)),
        figure(
            log,
            "reads, were every node to follow twice",
            "1/s",
            NODES * FEEDER_READERS * READS_PER_SECOND,
        ),
        bounded(
            figure(log, "appends, without keys", "1/s", quiet_appends),
            MAX_APPENDS,
            true,
            1.0,
        ),
        bounded(
            figure(log, "appends, a tenth keyed", "1/s", appends),
            MAX_APPENDS,
            false,
            1.0,
        ),
    ]
}
