//! Tests which declarations are rejected, and the field reported for each.

mod config_support;

use mustardgate_core::{
    config::ConfigReplica,
    log::{ChangeRecord, LogRecord},
    ports::LogEntry,
    resources::{
        AcceleratorSpec, BackendRole, BackendSpec, FencingSupport, ModelSpec, PolicySpec, PriorityClass, ResourceKey,
        ResourceKind, ResourceSpec, ServiceSpec, TenantSpec, VersionSpec,
    },
    validation::{check_delete, check_spec},
};

use crate::config_support::{adapter_spec, loaded_replica, model_spec};

const LARGEST_MIB: u64 = 24_000;

fn key(kind: ResourceKind, name: &str) -> ResourceKey {
    ResourceKey {
        kind,
        name: name.into(),
    }
}

fn backend() -> BackendSpec {
    BackendSpec {
        domain: "domain-1".into(),
        region: "region-1".into(),
        address: "127.0.0.1:9000".parse().expect("an address"),
        role: BackendRole::Engine,
        accelerators: vec![AcceleratorSpec {
            memory_mib: LARGEST_MIB,
        }],
        fencing: FencingSupport::Ignores,
        max_concurrency: 8,
    }
}

fn service() -> ServiceSpec {
    ServiceSpec {
        priority: PriorityClass::Standard,
        share: 1,
        models: vec!["menu".into()],
        idempotent_calls: vec!["GET /orders".into()],
        target_ms: 800,
    }
}

fn tenant(digit: &str) -> TenantSpec {
    TenantSpec {
        key_digests: vec![digit.repeat(64).into()],
        services: vec!["assistant".into()],
        weight: 1,
    }
}

/// Returns a replica with one resource of each kind except the policy.
fn declared_replica() -> ConfigReplica {
    let resources = [
        (key(ResourceKind::Backend, "runner-1"), ResourceSpec::Backend(backend())),
        (key(ResourceKind::Model, "menu"), model_spec(16_000)),
        (key(ResourceKind::Adapter, "islands"), adapter_spec("menu")),
        (
            key(ResourceKind::Service, "assistant"),
            ResourceSpec::Service(service()),
        ),
        (
            key(ResourceKind::Tenant, "kitchen-1"),
            ResourceSpec::Tenant(tenant("a")),
        ),
    ];
    let entries = (0..).zip(resources).map(|(offset, (resource, spec))| LogEntry {
        offset,
        record: LogRecord::Change(ChangeRecord {
            change: resource.to_string().into(),
            resource,
            expected: None,
            spec: Some(spec),
        }),
    });
    loaded_replica(&entries.collect::<Vec<_>>())
}

/// Returns the invalid fields of a declaration.
fn invalid_fields(name: &str, spec: &ResourceSpec) -> Vec<String> {
    let errors = check_spec(&key(spec.kind(), name), spec, &declared_replica().view());
    errors.into_iter().map(|error| error.field.to_string()).collect()
}

fn invalid_backend_fields(alter: impl FnOnce(&mut BackendSpec)) -> Vec<String> {
    let mut spec = backend();
    alter(&mut spec);
    invalid_fields("runner-1", &ResourceSpec::Backend(spec))
}

fn invalid_model_fields(alter: impl FnOnce(&mut ModelSpec)) -> Vec<String> {
    let version = VersionSpec {
        name: "v1.2".into(),
        memory_mib: 16_000,
    };
    let mut spec = ModelSpec {
        versions: vec![version],
        serving: "v1.2".into(),
        min_replicas: 1,
    };
    alter(&mut spec);
    invalid_fields("menu", &ResourceSpec::Model(spec))
}

fn invalid_service_fields(alter: impl FnOnce(&mut ServiceSpec)) -> Vec<String> {
    let mut spec = service();
    alter(&mut spec);
    invalid_fields("assistant", &ResourceSpec::Service(spec))
}

fn invalid_policy_fields(alter: impl FnOnce(&mut PolicySpec)) -> Vec<String> {
    let mut spec = PolicySpec::default();
    alter(&mut spec);
    invalid_fields("default", &ResourceSpec::Policy(spec))
}

#[test]
fn declared_resources_pass_validation_again() {
    let view = declared_replica().view();
    for resource in view.iter() {
        assert_eq!(check_spec(&resource.key, &resource.spec, &view), []);
    }
    assert!(invalid_policy_fields(|_| ()).is_empty());
}

#[test]
fn names_are_dns_labels() {
    let too_long = "a".repeat(64);
    for name in ["", "-a", "a-", "A", "a_b", "a.b", "a/b", "é", too_long.as_str()] {
        assert_eq!(invalid_fields(name, &model_spec(1)), ["name"], "{name:?}");
    }
    assert!(invalid_fields(&"a".repeat(63), &model_spec(1)).is_empty());
}

#[test]
fn specification_must_be_of_the_kind_of_its_key() {
    let errors = check_spec(
        &key(ResourceKind::Adapter, "menu"),
        &model_spec(1),
        &declared_replica().view(),
    );
    assert_eq!(errors.len(), 1);
    assert_eq!(errors[0].to_string(), "kind: the specification is of kind model");
}

#[test]
fn backend_fields_are_checked() {
    assert!(invalid_backend_fields(|_| ()).is_empty());
    assert_eq!(
        invalid_backend_fields(|spec| spec.domain = "Domain".into()),
        ["spec.domain"]
    );
    assert_eq!(
        invalid_backend_fields(|spec| spec.address.set_port(0)),
        ["spec.address"]
    );
    assert_eq!(
        invalid_backend_fields(|spec| spec.address.set_ip([0, 0, 0, 0].into())),
        ["spec.address"]
    );
    assert_eq!(
        invalid_backend_fields(|spec| spec.max_concurrency = 0),
        ["spec.max_concurrency"]
    );
    assert_eq!(
        invalid_backend_fields(|spec| spec.accelerators.clear()),
        ["spec.accelerators"]
    );
    assert_eq!(
        invalid_backend_fields(|spec| spec.accelerators[0].memory_mib = 0),
        ["spec.accelerators[0].memory_mib"]
    );
    assert_eq!(
        invalid_backend_fields(|spec| spec.role = BackendRole::Plain("orders".into())),
        ["spec.accelerators"]
    );
    let mut other = backend();
    other.region = "region-2".into();
    assert_eq!(
        invalid_fields("runner-2", &ResourceSpec::Backend(other)),
        ["spec.address", "spec.region"]
    );
}

#[test]
fn model_fields_are_checked() {
    assert!(invalid_model_fields(|_| ()).is_empty());
    assert_eq!(
        invalid_model_fields(|spec| spec.versions.clear()),
        ["spec.versions", "spec.serving"]
    );
    assert_eq!(
        invalid_model_fields(|spec| spec.serving = "v9".into()),
        ["spec.serving"]
    );
    assert_eq!(
        invalid_model_fields(|spec| spec.min_replicas = 0),
        ["spec.min_replicas"]
    );
    assert_eq!(
        invalid_model_fields(|spec| spec.versions.push(spec.versions[0].clone())),
        ["spec.versions"]
    );
    assert_eq!(
        invalid_model_fields(|spec| spec.versions[0].memory_mib = 0),
        ["spec.versions[0].memory_mib"]
    );
    assert!(invalid_model_fields(|spec| spec.versions[0].memory_mib = LARGEST_MIB).is_empty());
    assert_eq!(
        invalid_model_fields(|spec| spec.versions[0].memory_mib = LARGEST_MIB + 1),
        ["spec.versions[0].memory_mib"]
    );
}

#[test]
fn adapter_needs_an_existing_model_and_must_fit_with_it_on_one_accelerator() {
    assert!(invalid_fields("islands", &adapter_spec("menu")).is_empty());
    assert_eq!(invalid_fields("islands", &adapter_spec("none")), ["spec.model"]);
    let ResourceSpec::Adapter(mut adapter) = adapter_spec("menu") else {
        unreachable!("adapter_spec returns an adapter")
    };
    adapter.memory_mib = LARGEST_MIB - 16_000 + 1;
    assert_eq!(
        invalid_fields("islands", &ResourceSpec::Adapter(adapter)),
        ["spec.memory_mib"]
    );
}

#[test]
fn service_fields_are_checked() {
    assert_eq!(invalid_service_fields(|spec| spec.share = 0), ["spec.share"]);
    assert_eq!(invalid_service_fields(|spec| spec.target_ms = 0), ["spec.target_ms"]);
    assert_eq!(
        invalid_service_fields(|spec| spec.models.push("none".into())),
        ["spec.models"]
    );
    assert_eq!(
        invalid_service_fields(|spec| spec.models.push("menu".into())),
        ["spec.models"]
    );
    for call in ["GET", "get /orders", "GET orders", "GET /a b", "FETCH /a"] {
        let fields = invalid_service_fields(|spec| spec.idempotent_calls = vec![call.into()]);
        assert_eq!(fields, ["spec.idempotent_calls[0]"], "{call}");
    }
}

#[test]
fn tenant_fields_are_checked() {
    let invalid_tenant_fields = |name: &str, spec: TenantSpec| invalid_fields(name, &ResourceSpec::Tenant(spec));
    assert!(invalid_tenant_fields("kitchen-2", tenant("b")).is_empty());
    assert_eq!(invalid_tenant_fields("kitchen-2", tenant("a")), ["spec.key_digests[0]"]);
    assert_eq!(invalid_tenant_fields("kitchen-2", tenant("B")), ["spec.key_digests[0]"]);
    assert_eq!(
        invalid_tenant_fields("kitchen-2", tenant("bb")),
        ["spec.key_digests[0]"]
    );
    let mut spec = tenant("b");
    spec.services = vec!["none".into()];
    spec.weight = 0;
    assert_eq!(
        invalid_tenant_fields("kitchen-2", spec),
        ["spec.weight", "spec.services"]
    );
}

#[test]
fn policy_ranges_are_checked() {
    assert_eq!(
        invalid_fields("other", &ResourceSpec::Policy(PolicySpec::default())),
        ["name"]
    );
    for price in [f64::NAN, f64::INFINITY, -1.0] {
        assert_eq!(
            invalid_policy_fields(|spec| spec.move_price = price),
            ["spec.move_price"]
        );
    }
    assert_eq!(
        invalid_policy_fields(|spec| spec.store_loads_per_second = 0.0),
        ["spec.store_loads_per_second"]
    );
    assert_eq!(
        invalid_policy_fields(|spec| spec.store_concurrent_loads = 0),
        ["spec.store_concurrent_loads"]
    );
    assert_eq!(
        invalid_policy_fields(|spec| spec.adapter_loads_in_flight = 0),
        ["spec.adapter_loads_in_flight"]
    );
}

#[test]
fn resources_in_use_cannot_be_deleted() {
    let view = declared_replica().view();
    let reasons = |kind, name| {
        let errors = check_delete(&key(kind, name), &view);
        errors
            .into_iter()
            .map(|error| error.reason.to_string())
            .collect::<Vec<_>>()
    };
    let users = ["adapter islands uses the model", "service assistant uses the model"];
    assert_eq!(reasons(ResourceKind::Model, "menu"), users);
    assert_eq!(
        reasons(ResourceKind::Service, "assistant"),
        ["tenant/kitchen-1 uses the service"]
    );
    assert_eq!(reasons(ResourceKind::Model, "none"), ["model/none does not exist"]);
    assert!(reasons(ResourceKind::Adapter, "islands").is_empty());
}

#[test]
fn digest_claimed_by_two_tenants_belongs_to_neither() {
    let mut replica = declared_replica();
    let digest = "a".repeat(64);
    assert_eq!(
        replica.view().tenant_by_digest(&digest).map(smol_str::SmolStr::as_str),
        Some("kitchen-1")
    );
    let claim = ChangeRecord {
        change: "claim".into(),
        resource: key(ResourceKind::Tenant, "kitchen-2"),
        expected: None,
        spec: Some(ResourceSpec::Tenant(tenant("a"))),
    };
    let offset = replica.next_offset();
    replica
        .apply(&config_support::span(&[config_support::entry(offset, claim)]))
        .expect("no gap");
    assert_eq!(replica.view().tenant_by_digest(&digest), None);
}
