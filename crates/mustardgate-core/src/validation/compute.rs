//! Validation of backend servers, models and adapters.

use super::fields::ErrorList;
use crate::{
    config::ConfigView,
    ids::MemoryMib,
    resources::{AdapterSpec, BackendRole, BackendSpec, ModelSpec, ResourceKind, ResourceSpec},
};

const MAX_ACCELERATORS: usize = 64;
const MAX_CONCURRENCY: u32 = 4096;
const MAX_VERSIONS: usize = 16;
const MAX_REPLICAS: u32 = 1024;

pub(super) fn check_backend(errors: &mut ErrorList, name: &str, backend: &BackendSpec, view: &ConfigView) {
    errors.check_name("spec.domain", &backend.domain);
    errors.check_name("spec.region", &backend.region);
    check_address(errors, name, backend, view);
    check_region(errors, name, backend, view);
    check_role(errors, backend);
    errors.require(
        (1..=MAX_CONCURRENCY).contains(&backend.max_concurrency),
        "spec.max_concurrency",
        "must be between 1 and 4096",
    );
}

fn check_address(errors: &mut ErrorList, name: &str, backend: &BackendSpec, view: &ConfigView) {
    let address = backend.address;
    errors.require(address.port() != 0, "spec.address", "must have a port");
    let is_one_host = !address.ip().is_unspecified() && !address.ip().is_multicast();
    errors.require(is_one_host, "spec.address", "must be the address of one host");
    for (other, _) in other_backends(name, view).filter(|(_, spec)| spec.address == address) {
        errors.push("spec.address", format!("is already the address of backend {other}"));
    }
}

fn check_region(errors: &mut ErrorList, name: &str, backend: &BackendSpec, view: &ConfigView) {
    let mut domain_backends = other_backends(name, view).filter(|(_, spec)| spec.domain == backend.domain);
    if let Some((other, spec)) = domain_backends.find(|(_, spec)| spec.region != backend.region) {
        let reason = format!(
            "domain {} belongs to region {} according to backend {other}",
            spec.domain, spec.region
        );
        errors.push("spec.region", reason);
    }
}

fn check_role(errors: &mut ErrorList, backend: &BackendSpec) {
    let count = backend.accelerators.len();
    match &backend.role {
        BackendRole::Engine => {
            errors.require(
                (1..=MAX_ACCELERATORS).contains(&count),
                "spec.accelerators",
                "must list between 1 and 64 accelerators for an engine",
            );
        }
        BackendRole::Plain(service) => {
            errors.check_name("spec.role.plain", service);
            errors.require(count == 0, "spec.accelerators", "must be empty for a plain service");
        }
    }
    for (index, accelerator) in backend.accelerators.iter().enumerate() {
        let field = format!("spec.accelerators[{index}].memory_mib");
        errors.require(accelerator.memory_mib > 0, field, "must be above 0");
    }
}

pub(super) fn check_model(errors: &mut ErrorList, model: &ModelSpec, view: &ConfigView) {
    errors.require(
        (1..=MAX_VERSIONS).contains(&model.versions.len()),
        "spec.versions",
        "must list between 1 and 16 versions",
    );
    errors.check_unique("spec.versions", model.versions.iter().map(|version| &version.name));
    errors.require(
        model.serving_version().is_some(),
        "spec.serving",
        "must be one of the versions",
    );
    errors.require(
        (1..=MAX_REPLICAS).contains(&model.min_replicas),
        "spec.min_replicas",
        "must be between 1 and 1024",
    );
    for (index, version) in model.versions.iter().enumerate() {
        errors.check_version(format!("spec.versions[{index}].name"), &version.name);
        check_memory(
            errors,
            &format!("spec.versions[{index}].memory_mib"),
            version.memory_mib,
            0,
            view,
        );
    }
}

pub(super) fn check_adapter(errors: &mut ErrorList, adapter: &AdapterSpec, view: &ConfigView) {
    errors.check_version("spec.version", &adapter.version);
    let Some(model) = view.model(&adapter.model) else {
        errors.push("spec.model", format!("model {} does not exist", adapter.model));
        return;
    };
    let model_memory = model.serving_version().map_or(0, |version| version.memory_mib);
    check_memory(errors, "spec.memory_mib", adapter.memory_mib, model_memory, view);
}

/// Checks that weights fit on the largest declared accelerator together with the weights that must share it, which take
/// `other_memory`; the size is not checked when no accelerator is declared.
fn check_memory(errors: &mut ErrorList, field: &str, memory: MemoryMib, other_memory: MemoryMib, view: &ConfigView) {
    errors.require(memory > 0, field, "must be above 0");
    let accelerators = all_backends(view).flat_map(|(_, spec)| &spec.accelerators);
    let Some(largest) = accelerators.map(|accelerator| accelerator.memory_mib).max() else {
        return;
    };
    let needed = memory.saturating_add(other_memory);
    if needed > largest {
        errors.push(
            field,
            format!("needs {needed} MiB on one accelerator, the largest has {largest} MiB"),
        );
    }
}

fn other_backends<'a>(name: &'a str, view: &'a ConfigView) -> impl Iterator<Item = (&'a str, &'a BackendSpec)> {
    all_backends(view).filter(move |(other, _)| *other != name)
}

fn all_backends(view: &ConfigView) -> impl Iterator<Item = (&str, &BackendSpec)> {
    view.list(ResourceKind::Backend)
        .filter_map(|resource| match &resource.spec {
            ResourceSpec::Backend(spec) => Some((resource.key.name.as_str(), spec)),
            _ => None,
        })
}
