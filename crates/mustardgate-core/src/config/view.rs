//! Read-only view of the configuration: resources by key, with indexes derived from them.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use smol_str::SmolStr;

use crate::{
    ids::{AdapterId, BackendId, DomainId, ModelId, Offset, ServiceId, TenantId},
    log::VersionedResource,
    resources::{
        AdapterSpec, BackendSpec, ModelSpec, PolicySpec, ResourceKey, ResourceKind, ResourceSpec, ServiceSpec,
        TenantSpec,
    },
};

/// One state of the configuration; readers hold it in an `Arc` while the replica advances.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    resources: BTreeMap<ResourceKey, Arc<VersionedResource>>,
    lookups: BTreeMap<LookupKey, BTreeSet<SmolStr>>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum LookupKey {
    TenantByDigest(SmolStr),
    AdapterByModel(ModelId),
    ServiceByModel(ModelId),
    BackendByDomain(DomainId),
}

impl ConfigView {
    /// Returns a resource with its version and generation.
    pub fn get(&self, key: &ResourceKey) -> Option<&Arc<VersionedResource>> {
        self.resources.get(key)
    }

    /// Returns the version of a resource, or `None` when it does not exist.
    pub fn version_of(&self, key: &ResourceKey) -> Option<Offset> {
        self.get(key).map(|resource| resource.version)
    }

    /// Lists the resources of one kind in the order of their names.
    pub fn list(&self, kind: ResourceKind) -> impl Iterator<Item = &Arc<VersionedResource>> {
        let first = ResourceKey {
            kind,
            name: SmolStr::default(),
        };
        self.resources
            .range(first..)
            .take_while(move |(key, _)| key.kind == kind)
            .map(|(_, resource)| resource)
    }

    /// Lists every resource in the order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<VersionedResource>> {
        self.resources.values()
    }

    /// Returns the number of resources.
    pub fn len(&self) -> usize {
        self.resources.len()
    }

    /// Returns whether the view holds no resource. Only a loaded replica shows that none is declared; see
    /// [`super::ConfigReplica::load_state`].
    pub fn is_empty(&self) -> bool {
        self.resources.is_empty()
    }

    /// Returns the specification of a model.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        match self.spec(ResourceKind::Model, name)? {
            ResourceSpec::Model(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns the specification of an adapter.
    pub fn adapter(&self, name: &str) -> Option<&AdapterSpec> {
        match self.spec(ResourceKind::Adapter, name)? {
            ResourceSpec::Adapter(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns the specification of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        match self.spec(ResourceKind::Service, name)? {
            ResourceSpec::Service(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns the specification of a backend server.
    pub fn backend(&self, name: &str) -> Option<&BackendSpec> {
        match self.spec(ResourceKind::Backend, name)? {
            ResourceSpec::Backend(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns the specification of a tenant.
    pub fn tenant(&self, name: &str) -> Option<&TenantSpec> {
        match self.spec(ResourceKind::Tenant, name)? {
            ResourceSpec::Tenant(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns the policy in force, or the default one when none is declared.
    pub fn policy(&self) -> PolicySpec {
        match self.spec(ResourceKind::Policy, "default") {
            Some(ResourceSpec::Policy(spec)) => spec.clone(),
            _ => PolicySpec::default(),
        }
    }

    /// Returns the tenant that owns a key digest; a digest that two tenants claim belongs to neither.
    pub fn tenant_by_digest(&self, digest: &str) -> Option<&TenantId> {
        let mut owners = self.tenants_by_digest(digest);
        owners.next().filter(|_| owners.next().is_none())
    }

    /// Lists every tenant that claims a key digest.
    pub fn tenants_by_digest(&self, digest: &str) -> impl Iterator<Item = &TenantId> + use<'_> {
        self.lookup(&LookupKey::TenantByDigest(digest.into()))
    }

    /// Lists the adapters of a model.
    pub fn adapters_of(&self, model: &str) -> impl Iterator<Item = &AdapterId> + use<'_> {
        self.lookup(&LookupKey::AdapterByModel(model.into()))
    }

    /// Lists the services that use a model.
    pub fn services_of(&self, model: &str) -> impl Iterator<Item = &ServiceId> + use<'_> {
        self.lookup(&LookupKey::ServiceByModel(model.into()))
    }

    /// Lists the backend servers of a failure domain.
    pub fn backends_in(&self, domain: &str) -> impl Iterator<Item = &BackendId> + use<'_> {
        self.lookup(&LookupKey::BackendByDomain(domain.into()))
    }

    pub(super) fn insert(&mut self, resource: Arc<VersionedResource>) -> Option<Arc<VersionedResource>> {
        let previous = self.remove(&resource.key);
        for key in lookup_keys(&resource.spec) {
            self.lookups.entry(key).or_default().insert(resource.key.name.clone());
        }
        self.resources.insert(resource.key.clone(), resource);
        previous
    }

    pub(super) fn remove(&mut self, key: &ResourceKey) -> Option<Arc<VersionedResource>> {
        let resource = self.resources.remove(key)?;
        for lookup in lookup_keys(&resource.spec) {
            if let Some(names) = self.lookups.get_mut(&lookup) {
                names.remove(&key.name);
                if names.is_empty() {
                    self.lookups.remove(&lookup);
                }
            }
        }
        Some(resource)
    }

    fn spec(&self, kind: ResourceKind, name: &str) -> Option<&ResourceSpec> {
        let key = ResourceKey {
            kind,
            name: name.into(),
        };
        self.get(&key).map(|resource| &resource.spec)
    }

    fn lookup<'a>(&'a self, key: &LookupKey) -> impl Iterator<Item = &'a SmolStr> + use<'a> {
        self.lookups.get(key).into_iter().flatten()
    }
}

fn lookup_keys(spec: &ResourceSpec) -> Vec<LookupKey> {
    match spec {
        ResourceSpec::Tenant(tenant) => tenant
            .key_digests
            .iter()
            .cloned()
            .map(LookupKey::TenantByDigest)
            .collect(),
        ResourceSpec::Adapter(adapter) => vec![LookupKey::AdapterByModel(adapter.model.clone())],
        ResourceSpec::Service(service) => service.models.iter().cloned().map(LookupKey::ServiceByModel).collect(),
        ResourceSpec::Backend(backend) => vec![LookupKey::BackendByDomain(backend.domain.clone())],
        ResourceSpec::Model(_) | ResourceSpec::Policy(_) => Vec::new(),
    }
}
