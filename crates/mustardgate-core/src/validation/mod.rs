//! Checks of a declaration before it becomes a change, against itself and against the configuration in force.
//!
//! Two changes of different resources may still pass each other: the log checks only the version of the resource that
//! changes. Readers of the configuration therefore tolerate a reference to a resource that does not exist. See
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

/// One field of a declaration that is not valid.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{field}: {reason}")]
pub struct FieldError {
    /// Path of the field, such as `spec.versions[0].name`.
    pub field: SmolStr,
    /// What is wrong with it.
    pub reason: SmolStr,
}

/// Checks a resource that is to be created or replaced and lists everything that is wrong with it.
pub fn check_spec(key: &ResourceKey, spec: &ResourceSpec, view: &ConfigView) -> Vec<FieldError> {
    let mut errors = fields::ErrorList::default();
    errors.check_name("name", &key.name);
    if spec.kind() != key.kind {
        errors.push("kind", format!("the specification is one of a {}", spec.kind()));
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

/// Checks whether a resource may be deleted and lists what still needs it.
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
