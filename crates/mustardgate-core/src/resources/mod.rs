//! Resources that operators declare, and their typed specifications.
//!
//! [`ResourceSpec`] and [`ResourceKind`] list all kinds of resource.

mod backend;
mod model;
mod policy;
mod service;
mod tenant;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

pub use self::{
    backend::{AcceleratorSpec, BackendRole, BackendSpec, FencingSupport},
    model::{AdapterSpec, ModelSpec, VersionSpec},
    policy::PolicySpec,
    service::{PriorityClass, ServiceSpec},
    tenant::TenantSpec,
};

/// Kinds of resource, in the order in which `mustardctl apply` creates them.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResourceKind {
    /// Prices and limits that apply to the whole deployment.
    #[display("policy")]
    Policy,
    /// A backend server: a runner with accelerators, or an instance of a plain service.
    #[display("backend")]
    Backend,
    /// A model with its versions.
    #[display("model")]
    Model,
    /// An adapter of a model.
    #[display("adapter")]
    Adapter,
    /// A service that callers address.
    #[display("service")]
    Service,
    /// A tenant with the digests of its keys.
    #[display("tenant")]
    Tenant,
}

impl ResourceKind {
    /// Every kind, in creation order.
    pub const ALL: [Self; 6] = [
        Self::Policy,
        Self::Backend,
        Self::Model,
        Self::Adapter,
        Self::Service,
        Self::Tenant,
    ];

    /// Parses the name used in paths and declaration files.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.to_string() == name)
    }
}

/// Identity of a resource: its kind and its name.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{kind}/{name}")]
pub struct ResourceKey {
    /// Kind of the resource.
    pub kind: ResourceKind,
    /// Name, unique within the kind.
    pub name: SmolStr,
}

/// Specification of a resource, one variant for each kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "spec", rename_all = "snake_case")]
pub enum ResourceSpec {
    /// Specification of the policy.
    Policy(PolicySpec),
    /// Specification of a backend server.
    Backend(BackendSpec),
    /// Specification of a model.
    Model(ModelSpec),
    /// Specification of an adapter.
    Adapter(AdapterSpec),
    /// Specification of a service.
    Service(ServiceSpec),
    /// Specification of a tenant.
    Tenant(TenantSpec),
}

impl ResourceSpec {
    /// Returns the kind of resource that the specification describes.
    pub fn kind(&self) -> ResourceKind {
        match self {
            Self::Policy(_) => ResourceKind::Policy,
            Self::Backend(_) => ResourceKind::Backend,
            Self::Model(_) => ResourceKind::Model,
            Self::Adapter(_) => ResourceKind::Adapter,
            Self::Service(_) => ResourceKind::Service,
            Self::Tenant(_) => ResourceKind::Tenant,
        }
    }
}
