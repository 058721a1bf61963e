//! Quotas of tenants, which hold over all nodes together.
//!
//! Answers the load of a tenant that sends several times what its quota allows, evenly over all nodes or through one of
//! them, while nodes or the leader are cut off or restarted. The leader keeps one bucket for each tenant and grants parts
//! of it to nodes; a node admits only what it was granted. See `docs/design/quotas.md`.

mod account;
mod bounds;
mod bucket;
mod fixed_share;
mod ledger;
mod messages;
mod meter;
mod node_meter;

pub use self::{
    bounds::QuotaBounds,
    ledger::QuotaLedger,
    messages::{QuotaAnswer, QuotaGrant, QuotaReport, QuotaUse},
    meter::{QuotaMeter, QuotaPermit, QuotaRequest, QuotaVerdict},
    node_meter::{NodeMeter, NodePermit, NodeRefusal, QuotaSource},
};
