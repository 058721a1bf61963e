//! The task of the leader role.

use std::{sync::Arc, time::Duration};

use mustardgate_core::{
    clock,
    ids::{BackendId, FencingNumber},
    leader::{DomainLeader, LeaderAction, LeaderEvent, LeaderSettings, LeaderTenure},
    lease::LeaseSettings,
    placement::{
        PlacementPolicy,
        demand::{DemandEstimator, DemandSettings},
        gain::{GainPolicy, GainSettings},
    },
    ports::{EngineReport, OrderError},
};
use slog::o;
use tokio::{
    sync::mpsc::{self, UnboundedReceiver, UnboundedSender},
    time::{self, MissedTickBehavior},
};
use tokio_util::sync::CancellationToken;

use super::{
    domain::{REPORT_FRESHNESS_INTERVALS, describe_domain},
    observer::LeaderObserver,
    placement::PlacementCache,
};
use crate::{context::NodeContext, events, runners::apply_report};

/// Interval between two ticks of the leader.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which demand is collected and moves are planned.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two appends of the domain, which bounds its share of the log.
const APPEND_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which an absent runner keeps its base assignments.
const ABSENCE_GRACE_PERIOD: Duration = Duration::from_secs(600);
/// Divisor of the lease's term that gives the time before its end at which the holder stops acting.
const LEASE_MARGIN_DIVISOR: u32 = 6;
/// Divisor of the log's retention that gives the time after which open intents are logged again.
const CHECKPOINT_DIVISOR: u32 = 4;

/// Creates the channel of leader events, and the observer that sends the log's records into it.
pub fn leader_channel() -> (
    UnboundedSender<LeaderEvent>,
    UnboundedReceiver<LeaderEvent>,
    Arc<LeaderObserver>,
) {
    // Unbounded, because no record may be dropped; the queue grows no faster than the log is read.
    let (sender, receiver) = mpsc::unbounded_channel();
    let observer = Arc::new(LeaderObserver::new(sender.clone()));
    (sender, receiver, observer)
}

/// The leader role of one node.
#[derive(Debug)]
pub struct LeaderTask {
    context: Arc<NodeContext>,
    leader: DomainLeader,
    policy: GainPolicy,
    demand: DemandEstimator,
    cache: PlacementCache,
    sender: UnboundedSender<LeaderEvent>,
    is_draining: bool,
}

impl LeaderTask {
    /// Creates the role; `session` is a random number that identifies this run of the process.
    pub fn new(context: Arc<NodeContext>, sender: UnboundedSender<LeaderEvent>, session: u64) -> Self {
        let leader = DomainLeader::new(leader_settings(&context, session));
        let policy = GainPolicy::new(GainSettings {
            domain_share: 1.0,
            ..GainSettings::default()
        });
        Self {
            context,
            leader,
            policy,
            demand: DemandEstimator::new(DemandSettings::default()),
            cache: PlacementCache::new(ABSENCE_GRACE_PERIOD),
            sender,
            is_draining: false,
        }
    }

    /// Runs the role until `shutdown`.
    pub async fn run(mut self, mut events: UnboundedReceiver<LeaderEvent>, shutdown: CancellationToken) {
        let mut ticks = time::interval(TICK_INTERVAL);
        let mut plans = time::interval(PLAN_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        plans.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = shutdown.cancelled() => return,
                Some(event) = events.recv() => self.handle(event),
                _ = ticks.tick() => self.tick(),
                _ = plans.tick() => self.plan(),
            }
        }
    }

    fn tick(&mut self) {
        if self.context.drain.is_draining() && !self.is_draining {
            self.is_draining = true;
            self.handle(LeaderEvent::Draining);
        }
        self.handle(LeaderEvent::Tick);
    }

    fn plan(&mut self) {
        let now = clock::now();
        self.demand.observe(now, &self.context.demand.collect());
        let Some(description) = describe_domain(&self.context, &self.demand, &mut self.cache) else {
            return;
        };
        self.policy.set_remote_replicas(description.remote_replicas);
        self.handle(LeaderEvent::DomainChanged(description.config));
        if self.leader.tenure() == LeaderTenure::Follower {
            return;
        }
        let moves = self.policy.plan(now, &self.leader.view(now));
        if !moves.is_empty() {
            self.handle(LeaderEvent::MovesPlanned(moves));
        }
    }

    fn handle(&mut self, event: LeaderEvent) {
        for action in self.leader.handle(clock::now(), event) {
            self.perform(action);
        }
        let tenure = self.leader.tenure();
        let previous = self.context.leadership.replace_tenure(tenure);
        if previous != tenure {
            let event = if tenure == LeaderTenure::Follower {
                events::LEASE_LOST
            } else {
                events::LEASE_GAINED
            };
            event.write(&self.context.logger, o!("tenure" => format!("{tenure:?}")));
        }
    }

    fn perform(&self, action: LeaderAction) {
        let context = Arc::clone(&self.context);
        let sender = self.sender.clone();
        match action {
            LeaderAction::Append { append, record } => {
                tokio::spawn(async move {
                    let outcome = context.log.append(*record).await;
                    context.tail.wake();
                    send_event(&sender, LeaderEvent::AppendAnswered { append, outcome });
                });
            }
            LeaderAction::RaiseFencing { backend, fencing } => {
                tokio::spawn(async move {
                    let outcome = raise_fencing(&context, &backend, fencing).await;
                    send_event(
                        &sender,
                        LeaderEvent::RaiseAnswered {
                            backend,
                            fencing,
                            outcome,
                        },
                    );
                });
            }
            LeaderAction::ReadReport { backend, read } => {
                tokio::spawn(async move {
                    let outcome = read_report(&context, &backend).await;
                    send_event(&sender, LeaderEvent::ReportAnswered { backend, read, outcome });
                });
            }
            LeaderAction::SendOrder { backend, order } => {
                let id = order.order.clone();
                let values = o!("backend" => backend.to_string(), "order" => format!("{:?}", order.action));
                events::ORDER_SENT.write(&self.context.logger, values);
                tokio::spawn(async move {
                    let outcome = context.engines.send_order(&backend, order).await;
                    if let Err(error) = &outcome {
                        let values = o!("backend" => backend.to_string(), "error" => error.to_string());
                        events::ORDER_FAILED.write(&context.logger, values);
                    }
                    send_event(
                        &sender,
                        LeaderEvent::OrderAnswered {
                            backend,
                            order: id,
                            outcome,
                        },
                    );
                });
            }
            LeaderAction::RefuseMove { planned, refusal } => {
                let values = o!("move" => format!("{planned:?}"), "refusal" => refusal.to_string());
                events::MOVE_REFUSED.write(&self.context.logger, values);
            }
            LeaderAction::ReportViolation { backend, violation } => {
                self.context.leadership.count_violation();
                let values = o!("backend" => backend.to_string(), "violation" => violation.to_string());
                events::MEMORY_INVARIANT.write(&self.context.logger, values);
            }
        }
    }
}

fn leader_settings(context: &NodeContext, session: u64) -> LeaderSettings {
    let settings = &context.settings;
    let term = settings.platform.lease_term();
    LeaderSettings {
        lease: LeaseSettings {
            domain: settings.node.domain.clone(),
            node: settings.node.name.clone(),
            session,
            term,
            margin: term / LEASE_MARGIN_DIVISOR,
        },
        address: FencingNumber::pack_address(settings.peers.listen),
        read_interval: settings.backends.report_interval(),
        retry_interval: settings.platform.timeout(),
        report_freshness: settings.backends.report_interval() * REPORT_FRESHNESS_INTERVALS,
        append_interval: APPEND_INTERVAL,
        checkpoint_interval: settings.platform.retention() / CHECKPOINT_DIVISOR,
    }
}

fn send_event(sender: &UnboundedSender<LeaderEvent>, event: LeaderEvent) {
    // Sending fails only while the node stops.
    drop(sender.send(event));
}

async fn raise_fencing(
    context: &NodeContext,
    backend: &BackendId,
    fencing: FencingNumber,
) -> Result<EngineReport, OrderError> {
    let requested_at = clock::now();
    let outcome = context.engines.raise_fencing(backend, fencing).await;
    if let Ok(report) = &outcome {
        apply_report(context, backend, report, requested_at);
    }
    outcome
}

async fn read_report(context: &NodeContext, backend: &BackendId) -> Result<EngineReport, OrderError> {
    let requested_at = clock::now();
    let outcome = context.engines.report(backend).await;
    if let Ok(report) = &outcome {
        apply_report(context, backend, report, requested_at);
    }
    outcome
}
