//! Declarations in TOML files: reading, checking, and comparing with the configuration in force.

mod check;
mod files;
mod plan;

pub use self::{
    check::check_declarations,
    files::{DeclaredResource, parse_declarations, read_folder},
    plan::{ApplyPlan, PlannedChange, PlannedStep, plan_changes},
};
