//! Validation of a declaration before it is submitted as a change: its own fields, and its references to the
//! configuration in force.
//!
//! Concurrent changes of different resources can still conflict, because the replay of the log checks only the version
//! of the changed resource. Readers of the configuration therefore tolerate references to missing resources. See
//! `docs/design/configuration.md`.

mod compute;
mod fields;
mod routing;

use derive_more::Display;
use smol_str::SmolStr;

use crate::{
    config::ConfigView,
    resources::{ResourceKey, ResourceKind, ResourceSpec},
};

/// An invalid field of a declaration.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{field}: {reason}")]
pub struct FieldError {
    /// Path of the field, such as `spec.versions[0].name`.
    pub field: SmolStr,
    /// Why the field is invalid.
    pub reason: SmolStr,
}

/// Validates a resource that is to be created or replaced, and returns all errors.
pub fn check_spec(key: &ResourceKey, spec: &ResourceSpec, view: &ConfigView) -> Vec<FieldError> {
    let mut errors = fields::ErrorList::default();
    errors.check_name("name", &key.name);
    if spec.kind() != key.kind {
        errors.push("kind", format!("the specification is of kind {}", spec.kind()));
        return errors.into_list();
    }
    match spec {
        ResourceSpec::Policy(policy) => routing::check_policy(&mut errors, &key.name, policy),
        ResourceSpec::Backend(backend) => compute::check_backend(&mut errors, &key.name, backend, view),
        ResourceSpec::Model(model) => compute::check_model(&mut errors, model, view),
        ResourceSpec::Adapter(adapter) => compute::check_adapter(&mut errors, adapter, view),
        ResourceSpec::Service(service) => routing::check_service(&mut errors, service, view),
        ResourceSpec::Tenant(tenant) => routing::check_tenant(&mut errors, &key.name, tenant, view),
    }
    errors.into_list()
}

/// Checks whether a resource may be deleted, and returns an error for each resource that still uses it.
pub fn check_delete(key: &ResourceKey, view: &ConfigView) -> Vec<FieldError> {
    let mut errors = fields::ErrorList::default();
    if view.get(key).is_none() {
        errors.push("name", format!("{key} does not exist"));
    }
    match key.kind {
        ResourceKind::Model => {
            errors.extend(
                "name",
                view.adapters_of(&key.name)
                    .map(|name| format!("adapter {name} uses the model")),
            );
            errors.extend(
                "name",
                view.services_of(&key.name)
                    .map(|name| format!("service {name} uses the model")),
            );
        }
        ResourceKind::Service => errors.extend("name", routing::users_of_service(&key.name, view)),
        _ => {}
    }
    errors.into_list()
}
