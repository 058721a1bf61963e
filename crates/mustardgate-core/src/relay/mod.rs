//! Relaying of opaque requests by configured routes: matching, runner selection, retry budget, retry delay.
//!
//! A deployment may supply its routes, services and runners instead of declaring resources. Requests and answers are
//! then opaque bytes, and these modules decide where each request goes. See `docs/design/platform.md`.

mod adapters;
mod admission;
mod admission_queue;
mod answer_head;
mod backlog;
mod brittle;
mod budget;
mod catalogue;
mod config;
mod crashes;
mod event_numbering;
mod events;
mod feed;
mod feed_times;
mod forecast;
mod grace;
mod health;
mod inputs;
mod key_checks;
mod link;
mod load;
mod measurements;
mod node_count;
mod order_claims;
mod permits;
mod planner;
mod prefix;
mod process_evidence;
mod processes;
mod quotas;
mod rate_limits;
mod report_pace;
mod request;
mod retry_loans;
mod return_times;
mod route_targets;
mod selector;
mod shared_load;
mod spill;
mod stream_batches;
mod stream_gate;
mod stream_lives;
mod stream_origins;
mod stream_progress;
mod stream_versions;
mod tenants;
mod versions;

pub use self::{
    adapters::{AdapterEvictor, AdapterSlot},
    admission::{AdmissionGate, AdmissionQuery, GateSettings, RefusalCause, RetryAdvisor, RetryAdvisorSettings},
    admission_queue::{AdmissionQueue, QueueEntry, QueuePosition},
    answer_head::{AnswerKind, AnswerStage, HeadFacts, HeadVerdict, is_final_status},
    backlog::BacklogEstimate,
    brittle::{BrittleLedger, BrittleService, BrittleStatement, deal_places},
    budget::{BudgetSettings, RetryShare, ShareUsage},
    catalogue::{CatalogueChange, ListedRunner, RunnerCatalogue, RunnerObservation, RunnerState},
    config::{
        CallerLimits, EngineProfile, ModelProfile, RelayConfig, RelayRoute, RelayService, RepeatPolicy, RouteTable,
        WeightedTarget, request_priority, runner_rank,
    },
    crashes::{
        ChangeNumber, CrashDigest, CrashLedger, CrashObservation, CrashPage, CrashRecord, CrashReportCursor,
        CrashSettings, CrashSummary, LedgerSummary, PageRequest, QuarantineNotice, RecordNeed, RecordedCrashes,
        shared_parts,
    },
    event_numbering::{EventNumbering, NumberingBook, NumberingEvidence},
    events::{EventSplitter, StreamEvent},
    feed::{FeedAllowance, FeedLimits},
    feed_times::FeedTimes,
    forecast::{BatchLoad, LocalLoad, RequestWork, StreamForecast, release_rate},
    grace::{AnswerTimes, GraceQuery, StopSchedule},
    health::{HealthSettings, OutcomeTracker},
    inputs::{InputId, PartId, RequestContent, RequestDigest},
    key_checks::{ConfigAge, KeyBounds, KeyVerdict},
    link::LinkMonitor,
    load::{LoadEstimate, ReportedLoad},
    measurements::{EngineMeasurements, EventGaps, EventTimer, LoadFit},
    node_count::{NodeCount, NodeCountHistory},
    order_claims::{ClaimId, CountRange, MAX_ORDER_DELAY, OrderClaims},
    permits::{PermitIssuer, PermitSchedule},
    planner::{OrderKind, PlacementOrder, PlacementPlanner, PlannerSettings, RunnerHoldings},
    prefix::PrefixIndex,
    process_evidence::ProcessEvidence,
    quotas::{
        NodeMeter, NodePermit, NodeRefusal, QuotaAnswer, QuotaBounds, QuotaGrant, QuotaLedger, QuotaMeter, QuotaPermit,
        QuotaReport, QuotaRequest, QuotaSource, QuotaUse, QuotaVerdict,
    },
    rate_limits::{LimitChange, LimitLedger, LimitObservation, LimitStatement},
    report_pace::ReportPace,
    request::{ModelName, PromptPart, RelayRequest, TokenUsage},
    retry_loans::{LoanRequest, LoanSettings, ProcessNumber, RetryLender, RetryLoan},
    return_times::{ReturnSchedule, RoomForecast},
    route_targets::{FormerTarget, TargetDigest},
    selector::{Candidate, RunnerSelector, SelectionWeights},
    shared_load::{
        LoadBoard, LoadSpread, LoadStatement, RunnerLoadView, RunnerTag, SharedLoadEstimate, decode_loads, encode_loads,
    },
    spill::{DomainOutlook, RunnerOutlook, SpillController, SpillDraws, SpillQuery, SpillVerdict, slot_wait},
    stream_batches::{choose_recorders, decode_batch, encode_batches, record_interval},
    stream_gate::{AdmissionVerdict, RequestNeed, StreamGate, UrgencyRank},
    stream_lives::StreamLives,
    stream_origins::{NodeMember, OriginFinding, OriginLedger, StreamKey, StreamOrigin, choose_keepers, rank_keepers},
    stream_progress::{EndVerdict, EventVerdict, StreamProgress},
    stream_versions::{BegunStream, ListRead, NoticeScope, StreamVersions},
    tenants::{
        CallerIdentity, CredentialFault, KeyDigest, QuotaUnit, RelayTenant, SharedKey, TenantQuota, TenantTable,
    },
    versions::{SeenVersion, SoftwareVersion, VersionDigest, VersionHistory, VersionTag},
};
