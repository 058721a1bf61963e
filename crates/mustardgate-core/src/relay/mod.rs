//! Relaying of opaque requests by configured routes: matching, choice of a runner, retry budget, time to come back.
//!
//! A deployment may hand the system its routes, services and runners instead of declaring resources. Requests and answers
//! are then opaque bytes, and these modules decide where each request goes. See `docs/design/platform.md`.

mod adapters;
mod admission;
mod backlog;
mod budget;
mod catalogue;
mod choice;
mod config;
mod events;
mod health;
mod load;
mod planner;
mod prompt;
mod request;

pub use self::{
    adapters::{AdapterEvictor, AdapterSlot},
    admission::{AdmissionGate, AdmissionQuery, GateSettings, RefusalCause, RetryAdvisor, RetryAdvisorSettings},
    backlog::BacklogFigure,
    budget::{BudgetSettings, RetryShare},
    catalogue::{CatalogueChange, ListedRunner, RunnerCatalogue, RunnerObservation, RunnerState},
    choice::{Candidate, ChoiceWeights, RunnerChoice},
    config::{
        CallerLimits, EngineProfile, ModelProfile, RelayConfig, RelayRoute, RelayService, RepeatPolicy, RouteTable,
        WeightedTarget, runner_rank,
    },
    events::{EventSplitter, StreamEvent},
    health::{HealthSettings, OutcomeTracker},
    load::{LoadFigure, ReportedLoad},
    planner::{OrderKind, PlacementOrder, PlacementPlanner, PlannerSettings, RunnerHoldings},
    prompt::PromptMemory,
    request::{ModelName, PromptPart, RelayRequest, TokenUsage},
};
