//! Plan of the changes that make the configuration equal to the declarations.

use derive_more::Display;
use mustardgate_core::{
    ids::Offset,
    log::VersionedResource,
    resources::{ResourceKey, ResourceKind, ResourceSpec},
};
use mustardgate_protocol::operators::untagged_spec;
use serde_json::Value;

use super::files::DeclaredResource;

/// Action on a resource.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum PlannedAction {
    /// Create it.
    #[display("create")]
    Create,
    /// Replace its specification.
    #[display("update")]
    Update,
    /// Delete it.
    #[display("delete")]
    Delete,
}

/// A planned change of a resource.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedChange {
    /// Resource to change.
    pub key: ResourceKey,
    /// Action on the resource.
    pub action: PlannedAction,
    /// Version that the resource must have, or `None` when it must not exist.
    pub expected: Option<Offset>,
    /// Specification in force, or `None` when the resource is to be created.
    pub before: Option<ResourceSpec>,
    /// Specification declared, or `None` when the resource is to be deleted.
    pub after: Option<ResourceSpec>,
}

/// Changes in the order in which to make them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ApplyPlan {
    /// The changes.
    pub changes: Vec<PlannedChange>,
    /// Number of resources that are already as declared.
    pub unchanged: usize,
}

/// Compares declarations with the configuration in force; resources that are not declared are deleted only if
/// `is_pruning` is set.
pub fn plan_changes(declared: &[DeclaredResource], current: &[VersionedResource], is_pruning: bool) -> ApplyPlan {
    let mut plan = ApplyPlan::default();
    for resource in declared {
        let found = current.iter().find(|current| current.key == resource.key);
        let action = match found {
            Some(current) if current.spec == resource.spec => {
                plan.unchanged += 1;
                continue;
            }
            Some(_) => PlannedAction::Update,
            None => PlannedAction::Create,
        };
        plan.changes.push(PlannedChange {
            key: resource.key.clone(),
            action,
            expected: found.map(|current| current.version),
            before: found.map(|current| current.spec.clone()),
            after: Some(resource.spec.clone()),
        });
    }
    if is_pruning {
        plan.changes.extend(plan_deletions(declared, current));
    }
    plan
}

/// Plans the deletion of the resources that are not declared; a resource is deleted before those it refers to.
fn plan_deletions(declared: &[DeclaredResource], current: &[VersionedResource]) -> Vec<PlannedChange> {
    let is_declared = |key: &ResourceKey| declared.iter().any(|resource| resource.key == *key);
    let mut surplus: Vec<&VersionedResource> = current.iter().filter(|current| !is_declared(&current.key)).collect();
    surplus.sort_by(|first, second| second.key.cmp(&first.key));
    let deletions = surplus.into_iter().map(|current| PlannedChange {
        key: current.key.clone(),
        action: PlannedAction::Delete,
        expected: Some(current.version),
        before: Some(current.spec.clone()),
        after: None,
    });
    deletions.collect()
}

impl ApplyPlan {
    /// Returns the changes in groups of one kind, of either deletions or other changes; the resources of a group do not
    /// refer to each other.
    pub fn independent_groups(&self) -> impl Iterator<Item = &[PlannedChange]> {
        self.changes
            .chunk_by(|first, second| first.group_key() == second.group_key())
    }
}

impl PlannedChange {
    /// Returns what the changes of a group have in common; creations and updates of a kind belong to the same group.
    fn group_key(&self) -> (bool, ResourceKind) {
        (self.action == PlannedAction::Delete, self.key.kind)
    }

    /// Lists the fields that an update changes, each as `path: before -> after`.
    pub fn differences(&self) -> Vec<String> {
        let before = self.before.as_ref().map(untagged_spec).unwrap_or_default();
        let after = self.after.as_ref().map(untagged_spec).unwrap_or_default();
        let mut differences = Vec::new();
        if self.action == PlannedAction::Update {
            push_differences("spec", &before, &after, &mut differences);
        }
        differences
    }
}

fn push_differences(path: &str, before: &Value, after: &Value, differences: &mut Vec<String>) {
    if before == after {
        return;
    }
    let (Value::Object(old), Value::Object(new)) = (before, after) else {
        differences.push(format!("{path}: {before} -> {after}"));
        return;
    };
    let added = new.keys().filter(|name| !old.contains_key(*name));
    for name in old.keys().chain(added) {
        let field = format!("{path}.{name}");
        let before = old.get(name).unwrap_or(&Value::Null);
        push_differences(&field, before, new.get(name).unwrap_or(&Value::Null), differences);
    }
}
