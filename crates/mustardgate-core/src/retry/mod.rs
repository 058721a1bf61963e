//! Retries and hedges: whether another attempt may follow, within a budget that keeps them from amplifying an overload.

mod budget;
mod plan;

pub use self::{
    budget::{NoRetries, PrepaidRetry, RetryAllowance, RetryBudget, RetryLimits},
    plan::{AttemptFailure, AttemptPlan, NextStep, PlanSettings},
};
