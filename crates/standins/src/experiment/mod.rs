//! The experiment that compares placement and routing policies under load and faults.
//!
//! The product's decision code runs in one process, on virtual time and from a seed, against small fakes of engines and
//! the weight store. Every policy gets the same requests and faults. See `docs/ATTAINMENT.md`.

mod catalogue;
mod chart;
mod deployment;
mod engine;
mod events;
mod fairness;
mod figures;
mod node;
mod placers;
mod report;
mod routers;
mod scenario;
mod simulation;
mod summary;
mod workload;

pub use self::{
    catalogue::{Catalogue, CatalogueEntry},
    chart::{ChartError, draw_page},
    deployment::{Deployment, DeploymentKind},
    fairness::fair_shares,
    figures::RunFigures,
    report::{ExperimentOptions, ExperimentReport, MissedTarget, run_experiment},
    scenario::ScenarioKind,
    simulation::{PolicyKind, run_once},
    workload::{Arrival, generate_arrivals},
};
