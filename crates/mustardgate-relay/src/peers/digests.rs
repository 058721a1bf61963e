//! Reports what this node counted and observed to the leader, and takes over what the leader knows.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use mustardgate::events;
use mustardgate_core::{
    clock,
    relay::{ChangeNumber, CrashReportCursor, QuotaReport, QuotaSource, ReportPace},
};
use rand::Rng;
use slog::o;
use tokio::time;

use super::{DemandReport, LeaderAnswer, PartCrashDigest, exchange::NeighbourExchange};
use crate::{
    context::RelayContext,
    leader::{begin_quota_report, end_quota_report, exchange_in_pool, exchange_quotas, exchange_without_leader},
};

/// Time between two reports of demand.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(700);

/// Largest number of crashes and quarantines in one report.
const MAX_REPORT_ENTRIES: usize = 96;

/// Longest time between the reading of a claim and the report to the new leader.
const MAX_CLAIM_PAUSE: Duration = Duration::from_millis(50);

/// Reports demand, crashes and rate limits to the leader, whose answers also prove that it still leads.
#[derive(Debug)]
pub struct DigestTask {
    context: Arc<RelayContext>,
    address: SocketAddr,
    /// Leader that answered last, and the number of the newest runner observation that it returned.
    seen: Option<(SocketAddr, u64)>,
    /// Number of the newest load of a runner that this leader returned.
    loads_seen: u64,
    /// Number of the newest change of what this leader knows of crashes that it returned.
    crashes_seen: ChangeNumber,
    /// Whether it had more to tell of crashes.
    has_more_crashes: bool,
    /// What this leader was told of crashes.
    crashes_told: CrashReportCursor,
    /// Whether this leader understands crashes under all inputs, or did not answer yet.
    knows_inputs: bool,
    exchange: NeighbourExchange,
    pace: ReportPace,
    /// When the last report that this leader answered was made.
    reported_at: Option<Instant>,
    /// Whether the last report reached a leader.
    is_led: bool,
    /// Since when no leader has answered.
    silent_since: Option<Instant>,
}

impl DigestTask {
    /// Creates the task of a node that other nodes reach at `address`.
    pub fn new(context: Arc<RelayContext>, address: SocketAddr) -> Self {
        Self {
            context,
            address,
            seen: None,
            loads_seen: 0,
            crashes_seen: 0,
            has_more_crashes: false,
            crashes_told: CrashReportCursor::default(),
            knows_inputs: true,
            exchange: NeighbourExchange::default(),
            pace: ReportPace::default(),
            reported_at: None,
            is_led: false,
            silent_since: None,
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        loop {
            let pause = REPORT_INTERVAL.mul_f64(rand::rng().random_range(0.8..1.2));
            tokio::select! {
                () = time::sleep(pause) => {}
                // Crashes under one input follow each other fast, so other nodes hear of each at once.
                () = self.context.crashes.next_crash() => time::sleep(self.crash_delay()).await,
                // A new leader lends retries, and a node that has just started has none before.
                () = self.context.leader.next_claim() => time::sleep(self.claim_pause()).await,
            }
            self.pace.record_report(clock::now());
            self.report().await;
            let leader = &self.context.leader;
            let is_leading = leader.token().is_some();
            self.context.load.review(is_leading, leader.has_contact());
            self.record_contact(is_leading || leader.has_contact());
            // Requests wait for what a neighbour answers, so the next report does not.
            let _asking = tokio::spawn(exchange_without_leader(Arc::clone(&self.context)));
        }
    }

    /// Logs that no leader answers, and that one does again.
    fn record_contact(&mut self, is_led: bool) {
        let now = clock::now();
        let leader = self.context.leader.leader_address();
        let name = leader.map(|address| address.to_string()).unwrap_or_default();
        let log = self.context.log.logger();
        if is_led {
            if let Some(since) = self.silent_since.take() {
                let silent_ms = now.saturating_duration_since(since).as_millis() as u64;
                events::RELAY_LEADER_ANSWERS.write(log, o!("silent_ms" => silent_ms, "leader" => name));
            }
        } else if self.silent_since.is_none() {
            self.silent_since = Some(now);
            events::RELAY_LEADER_SILENT.write(log, o!("leader" => name));
        }
    }

    fn crash_delay(&self) -> Duration {
        let nodes = self.context.directory.node_count();
        self.pace.crash_delay(clock::now(), nodes, self.is_led)
    }

    /// Spreads the reports of many nodes to a new leader. Nodes that have just started are spread already.
    fn claim_pause(&self) -> Duration {
        if self.seen.is_none() {
            return Duration::ZERO;
        }
        MAX_CLAIM_PAUSE.mul_f64(rand::rng().random_range(0.0..1.0))
    }

    async fn report(&mut self) {
        let leader = &self.context.leader;
        let known_nodes = self.context.directory.node_count();
        self.context.fleet.record_node_count(known_nodes);
        self.context.loads.review(leader.lease_time(), &self.context.fleet);
        if let Some(term) = leader.term() {
            self.context.loads.lead(leader.lease_time(), &self.context.fleet);
            leader.record_demand(&self.context.demand.take());
            let directory = &self.context.directory;
            directory.set_feeder(None);
            let nodes = directory.count_live_nodes();
            directory.set_node_count(nodes);
            directory.list_contacts();
            let (now, loans) = (leader.lease_time(), &self.context.retry_loans);
            let part = loans.lend(now, term, self.address, Some(loans.request(now)), nodes);
            self.renew_loan(self.address, now, part);
            self.exchange.record_leader(&self.context);
            self.is_led = false;
            exchange_quotas(Arc::clone(&self.context), QuotaSource::Leader).await;
            return;
        }
        let Some(address) = leader.leader_address() else {
            self.is_led = false;
            return self.exchange.run(&self.context, self.address).await;
        };
        let quotas = begin_quota_report(&self.context, QuotaSource::Leader);
        let quota_number = quotas.as_ref().map(|quotas| quotas.number);
        let reported_at = clock::now();
        let asked_at = self.context.leader.lease_time();
        let answer = self.call_leader(address, quotas).await;
        if let Some(number) = quota_number {
            let granted = answer.as_ref().and_then(|answer| answer.quotas.as_ref());
            if granted.is_none() {
                exchange_in_pool(&self.context).await;
            }
            end_quota_report(&self.context, QuotaSource::Leader, number, granted);
        }
        let is_leading = answer.as_ref().is_some_and(|answer| answer.is_leading);
        self.is_led = is_leading;
        self.context.leader.record_leader_contact(is_leading);
        self.context.directory.set_feeder(is_leading.then_some(address));
        self.reported_at = Some(reported_at);
        if let Some(answer) = answer {
            let round_trip = self.context.leader.lease_time().saturating_duration_since(asked_at);
            self.context
                .loads
                .hear_leader(&self.context.fleet, &answer.loads, round_trip);
            if is_leading {
                self.loads_seen = answer.loads_seen;
                self.crashes_seen = answer.crashes_seen;
                self.has_more_crashes = answer.has_more_crashes;
                self.knows_inputs = answer.inputs.is_some();
            }
            self.apply_answer(address, &answer);
            if let Some(part) = answer.loan {
                self.renew_loan(address, asked_at, part);
            }
        }
    }

    fn renew_loan(&self, leader: SocketAddr, asked_at: Instant, part: f64) {
        let former = self.context.retry_loans.renew(asked_at, part);
        if former == Some(part) {
            return;
        }
        events::RELAY_RETRY_LOAN_CHANGED.write(
            self.context.log.logger(),
            o!(
                "nodes" => self.context.directory.node_count(),
                "before" => former.unwrap_or_default(),
                "part" => part,
                "leader" => leader.to_string(),
            ),
        );
    }

    /// Reports to the node that is believed to lead. While it does not answer as leader, other nodes are told what this
    /// one knows as well.
    async fn call_leader(&mut self, address: SocketAddr, quotas: Option<QuotaReport>) -> Option<LeaderAnswer> {
        let seen = self.seen.filter(|(leader, _)| *leader == address);
        let reported_since = self.reported_since(address);
        if reported_since.is_none() {
            self.crashes_told = CrashReportCursor::default();
        }
        let (inputs, crashes_told) = self.context.crashes.report(&self.crashes_told, MAX_REPORT_ENTRIES);
        let is_catching_up = seen.is_none() || self.has_more_crashes;
        let crashes_known = is_catching_up.then(|| self.context.crashes.suspect_summary());
        let now = self.context.leader.lease_time();
        let earlier_crashes = if self.knows_inputs {
            PartCrashDigest::default()
        } else {
            PartCrashDigest::of(&inputs)
        };
        let report = DemandReport {
            address: self.address,
            digest: self.context.demand.take(),
            crashes: earlier_crashes,
            inputs: Some(inputs),
            limits: self.context.limits.own_observations(),
            domain: Some(self.context.settings.node.domain.clone()),
            members_seen: self.context.directory.members_digest(),
            versions: self.context.streams.version_digest(now),
            brittle: self.context.brittle.services(),
            loan: Some(self.context.retry_loans.request(now)),
            quotas,
            seen: seen.map_or(0, |(_, seen)| seen),
            loads: self.context.loads.report(&self.context.fleet, reported_since),
            loads_seen: seen.map_or(0, |_| self.loads_seen),
            crashes_seen: seen.map_or(0, |_| self.crashes_seen),
            crashes_known,
        };
        let reporting = self.context.peers.report_demand(address, &report);
        let answer = if self.is_led {
            reporting.await
        } else {
            let exchanging = self.exchange.run(&self.context, self.address);
            let (answer, ()) = tokio::join!(reporting, exchanging);
            answer
        };
        let is_leading = answer.as_ref().is_some_and(|answer| answer.is_leading);
        if is_leading {
            if answer.as_ref().is_some_and(|answer| answer.inputs.is_some()) {
                self.crashes_told = crashes_told;
            }
            self.exchange.record_leader(&self.context);
        } else if self.is_led {
            self.exchange.run(&self.context, self.address).await;
        }
        answer
    }

    /// Returns from when on crashes are reported to a leader; it knows those of earlier reports.
    fn reported_since(&self, leader: SocketAddr) -> Option<Instant> {
        let is_known = self.is_led && self.seen.is_some_and(|(seen, _)| seen == leader);
        self.reported_at.filter(|_| is_known)
    }

    fn apply_answer(&mut self, address: SocketAddr, answer: &LeaderAnswer) {
        let directory = &self.context.directory;
        directory.record_contact(address, None);
        directory.set_node_count(answer.nodes);
        if let Some(members) = &answer.members {
            directory.set_members(members);
        }
        let now = self.context.leader.lease_time();
        self.context.streams.merge_versions(now, &answer.versions);
        self.context.brittle.merge(&answer.brittle);
        directory.remember(&answer.neighbours);
        for observation in &answer.observations {
            self.context.fleet.observe(observation);
        }
        let inputs = answer.crashes.or_newer(answer.inputs.as_ref());
        self.context.crashes.merge(&inputs);
        self.context.limits.merge(&answer.limits);
        if answer.is_leading {
            self.seen = Some((address, answer.seen));
        }
    }
}
