//! What the leader knows of the use of quotas by all nodes.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::{
    QuotaAnswer, QuotaReport,
    bounds::{FORGET_TIME, QuotaBounds},
    bucket::{TenantBucket, TotalBase},
};
use crate::{
    ids::TenantId,
    relay::{ProcessNumber, TenantQuota},
};

/// Time without a report after which a node counts as one that uses its fixed share. Nodes report each 0.7 s, and more
/// often while they need something.
const SILENT_TIME: Duration = Duration::from_millis(1_800);

/// A process that reported.
#[derive(Clone, Copy, Debug)]
struct KnownProcess {
    node: SocketAddr,
    heard_at: Instant,
    /// Number of its last report.
    number: u64,
}

/// Buckets of all tenants, from which a node grants parts while it leads.
#[derive(Debug)]
pub struct QuotaLedger {
    bounds: QuotaBounds,
    /// Whether it holds only the fixed shares of the nodes that report to it.
    is_pool: bool,
    term: Option<u64>,
    /// When the term began, with empty buckets: nothing is known of what was used before.
    began_at: Option<Instant>,
    processes: BTreeMap<ProcessNumber, KnownProcess>,
    /// Processes that were replaced, whose delayed reports must not be taken for those of a successor.
    ended: BTreeSet<ProcessNumber>,
    buckets: BTreeMap<TenantId, TenantBucket>,
    /// Largest number of nodes of the last while, and when it was told.
    most_nodes: (u32, Option<Instant>),
}

impl QuotaLedger {
    /// Creates the ledger of a node that does not lead.
    pub fn new(bounds: QuotaBounds) -> Self {
        Self {
            bounds,
            is_pool: false,
            term: None,
            began_at: None,
            processes: BTreeMap::new(),
            ended: BTreeSet::new(),
            buckets: BTreeMap::new(),
            most_nodes: (0, None),
        }
    }

    /// Creates the ledger of a node that no leader reaches, for the fixed shares of the nodes that report to it.
    pub fn pool(bounds: QuotaBounds) -> Self {
        Self {
            is_pool: true,
            ..Self::new(bounds)
        }
    }

    /// Begins a term unless it has begun; returns whether it did so. The number of nodes is kept, since nodes that were cut off still use their
    /// fixed shares.
    pub fn begin_term(&mut self, now: Instant, term: u64) -> bool {
        if self.term.replace(term) == Some(term) {
            return false;
        }
        self.began_at = Some(now);
        self.processes.clear();
        self.ended.clear();
        self.buckets.clear();
        true
    }

    /// Takes over the report of a node and grants what it needs, as far as there is enough. `nodes` is the number of
    /// nodes as far as it is known, and `quota_of` returns the quota of a tenant that has one.
    ///
    /// Returns `None` if the report is older than another one of the process.
    pub fn answer(
        &mut self,
        now: Instant,
        node: SocketAddr,
        nodes: u32,
        report: &QuotaReport,
        quota_of: impl Fn(&TenantId) -> Option<TenantQuota>,
    ) -> Option<QuotaAnswer> {
        let term = self.term?;
        let last = self.processes.get(&report.process);
        if last.is_some_and(|last| report.number <= last.number) {
            return None;
        }
        if self.ended.contains(&report.process) || !report.is_valid() {
            return None;
        }
        let base = match (report.term == Some(term), last) {
            (true, Some(_)) => TotalBase::Reported,
            (true, None) => TotalBase::Unknown,
            (false, _) => TotalBase::NextReport,
        };
        self.record_nodes(now, nodes);
        if self.is_pool && self.most_nodes.0 == 0 {
            return None;
        }
        let part = self.part(now, report);
        let bounds = QuotaBounds {
            slack: self.bounds.slack * part,
            ..self.bounds
        };
        let quota_of = |tenant: &TenantId| {
            let quota = quota_of(tenant)?;
            Some(TenantQuota {
                rate_per_s: quota.rate_per_s * part,
                burst: quota.burst * part,
                ..quota
            })
        };
        // Time up to now counts by what was known before this report.
        self.fill(now, &bounds, quota_of);
        self.record_process(now, node, report);
        let mut grants = Vec::new();
        for reported in &report.uses {
            let Some(quota) = quota_of(&reported.tenant) else {
                self.buckets.remove(&reported.tenant);
                continue;
            };
            let silent = self.silent_part(now);
            let began_at = self.began_at.unwrap_or(now);
            let bucket = self.buckets.entry(reported.tenant.clone()).or_insert_with(|| {
                let mut bucket = TenantBucket::new(began_at);
                bucket.fill(now, &quota, &bounds, silent);
                bucket
            });
            bucket.record(report.process, reported, base, quota.rate_per_s);
            grants.push(bucket.grant(report.process, reported, &quota, &bounds));
        }
        Some(QuotaAnswer { term, grants })
    }

    /// Returns what is left in the bucket of a tenant, and what nodes hold of it.
    pub fn balance(&self, tenant: &TenantId) -> Option<(f64, f64)> {
        self.buckets.get(tenant).map(TenantBucket::balance)
    }

    fn fill(&mut self, now: Instant, bounds: &QuotaBounds, quota_of: impl Fn(&TenantId) -> Option<TenantQuota>) {
        let silent = self.silent_part(now);
        self.buckets.retain(|tenant, bucket| {
            let quota = quota_of(tenant);
            if let Some(quota) = &quota {
                bucket.fill(now, quota, bounds, silent);
            }
            quota.is_some()
        });
    }

    /// The processes before this one at its address have ended. Nodes that were not heard from for long are forgotten.
    fn record_process(&mut self, now: Instant, node: SocketAddr, report: &QuotaReport) {
        let number = report.process;
        let is_over = |(process, known): &(&ProcessNumber, &KnownProcess)| {
            let is_former = known.node == node && **process != number;
            is_former || now.saturating_duration_since(known.heard_at) >= FORGET_TIME
        };
        let ended: Vec<ProcessNumber> = self
            .processes
            .iter()
            .filter(is_over)
            .map(|(process, _)| *process)
            .collect();
        for process in ended {
            self.processes.remove(&process);
            self.ended.insert(process);
            self.buckets.values_mut().for_each(|bucket| bucket.forget(process));
        }
        let known = KnownProcess {
            node,
            heard_at: now,
            number: report.number,
        };
        self.processes.insert(number, known);
    }

    fn record_nodes(&mut self, now: Instant, nodes: u32) {
        let (most, told_at) = self.most_nodes;
        let is_outdated = told_at.is_none_or(|at| now.saturating_duration_since(at) >= FORGET_TIME);
        if nodes >= most || is_outdated {
            self.most_nodes = (nodes, Some(now));
        }
    }

    /// Returns the part of quotas that the nodes may use together that report here.
    fn part(&self, now: Instant, report: &QuotaReport) -> f64 {
        if !self.is_pool {
            return 1.0;
        }
        let is_heard = |(process, known): &(&ProcessNumber, &KnownProcess)| {
            **process != report.process && now.saturating_duration_since(known.heard_at) < SILENT_TIME
        };
        let heard = self.processes.iter().filter(is_heard).count() + 1;
        let pooled_for = now.saturating_duration_since(self.began_at.unwrap_or(now));
        let nodes = (self.most_nodes.0 as usize).max(heard);
        self.bounds.fixed_share(pooled_for) * heard as f64 / nodes as f64
    }

    /// Returns the part of the nodes that are not heard from, whose use has to be counted here.
    fn silent_part(&self, now: Instant) -> f64 {
        if self.is_pool {
            return 0.0;
        }
        let is_heard = |known: &&KnownProcess| now.saturating_duration_since(known.heard_at) < SILENT_TIME;
        let heard = self.processes.values().filter(is_heard).count();
        let nodes = (self.most_nodes.0 as usize).max(self.processes.len()).max(1);
        (nodes - heard.min(nodes)) as f64 / nodes as f64
    }
}
