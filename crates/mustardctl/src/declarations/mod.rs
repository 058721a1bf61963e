//! Declarations in TOML files: reads them, checks them and compares them with the configuration in force.

mod check;
mod files;
mod plan;

pub use self::{
    check::check_declarations,
    files::{DeclaredResource, parse_declarations, read_folder},
    plan::{ApplyPlan, PlannedAction, PlannedChange, plan_changes},
};
