//! Validation of services, tenants and the policy.

use smol_str::SmolStr;

use super::fields::ErrorList;
use crate::{
    config::ConfigView,
    resources::{BackendRole, PolicySpec, ResourceKind, ResourceSpec, ServiceSpec, TenantSpec},
};

const MAX_SHARE: u32 = 1_000_000;
const MAX_TARGET_MS: u64 = 24 * 3600 * 1000;
const KEY_DIGEST_CHARS: usize = 64;
const POLICY_NAME: &str = "default";
const METHODS: [&str; 7] = ["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"];

pub(super) fn check_policy(errors: &mut ErrorList, name: &str, policy: &PolicySpec) {
    errors.require(name == POLICY_NAME, "name", "the only policy is named default");
    let is_valid_price = policy.move_price.is_finite() && (0.0..=1e6).contains(&policy.move_price);
    errors.require(is_valid_price, "spec.move_price", "must be between 0 and 1000000");
    let rate = policy.store_loads_per_second;
    errors.require(
        rate.is_finite() && rate > 0.0 && rate <= 1e4,
        "spec.store_loads_per_second",
        "must be above 0 and at most 10000",
    );
    check_count(errors, "spec.store_concurrent_loads", policy.store_concurrent_loads);
    check_count(errors, "spec.adapter_loads_in_flight", policy.adapter_loads_in_flight);
}

fn check_count(errors: &mut ErrorList, field: &str, count: u32) {
    errors.require((1..=100_000).contains(&count), field, "must be between 1 and 100000");
}

pub(super) fn check_service(errors: &mut ErrorList, service: &ServiceSpec, view: &ConfigView) {
    check_share(errors, "spec.share", service.share);
    errors.require(
        (1..=MAX_TARGET_MS).contains(&service.target_ms),
        "spec.target_ms",
        "must be between 1 and 86400000",
    );
    errors.check_unique("spec.models", &service.models);
    let missing = service.models.iter().filter(|model| view.model(model).is_none());
    errors.extend(
        "spec.models",
        missing.map(|model| format!("model {model} does not exist")),
    );
    for (index, call) in service.idempotent_calls.iter().enumerate() {
        errors.require(
            is_method_and_path(call),
            format!("spec.idempotent_calls[{index}]"),
            "must be a method in upper case, a space and a path that starts with /",
        );
    }
}

pub(super) fn check_tenant(errors: &mut ErrorList, name: &str, tenant: &TenantSpec, view: &ConfigView) {
    check_share(errors, "spec.weight", tenant.weight);
    errors.check_unique("spec.key_digests", &tenant.key_digests);
    for (index, digest) in tenant.key_digests.iter().enumerate() {
        let field = format!("spec.key_digests[{index}]");
        errors.require(
            is_digest(digest),
            field.as_str(),
            "must be 64 lower-case hexadecimal digits",
        );
        let is_taken = view.tenants_by_digest(digest).any(|owner| owner != name);
        errors.require(!is_taken, field, "already belongs to another tenant");
    }
    errors.check_unique("spec.services", &tenant.services);
    let missing = tenant.services.iter().filter(|service| view.service(service).is_none());
    errors.extend(
        "spec.services",
        missing.map(|service| format!("service {service} does not exist")),
    );
}

/// Returns a message for each resource that refers to a service.
pub(super) fn users_of_service(service: &SmolStr, view: &ConfigView) -> Vec<String> {
    let tenants = view.list(ResourceKind::Tenant).filter(|resource| match &resource.spec {
        ResourceSpec::Tenant(tenant) => tenant.services.contains(service),
        _ => false,
    });
    let backends = view
        .list(ResourceKind::Backend)
        .filter(|resource| match &resource.spec {
            ResourceSpec::Backend(backend) => backend.role == BackendRole::Plain(service.clone()),
            _ => false,
        });
    let users = tenants.chain(backends);
    users
        .map(|resource| format!("{} uses the service", resource.key))
        .collect()
}

fn check_share(errors: &mut ErrorList, field: &str, share: u32) {
    errors.require((1..=MAX_SHARE).contains(&share), field, "must be between 1 and 1000000");
}

fn is_digest(digest: &str) -> bool {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    digest.len() == KEY_DIGEST_CHARS && digest.bytes().all(is_digit)
}

fn is_method_and_path(call: &str) -> bool {
    call.split_once(' ').is_some_and(|(method, path)| {
        METHODS.contains(&method) && path.starts_with('/') && !path.contains(char::is_whitespace)
    })
}
