//! What has to change so that the configuration equals the declarations.

use derive_more::Display;
use mustardgate_core::{
    ids::Offset,
    log::VersionedResource,
    resources::{ResourceKey, ResourceKind, ResourceSpec},
};
use mustardgate_protocol::operators::untagged_spec;
use serde_json::Value;

use super::files::DeclaredResource;

/// What happens to one resource.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum PlannedStep {
    /// It is created.
    #[display("create")]
    Create,
    /// It is replaced.
    #[display("update")]
    Update,
    /// It is deleted.
    #[display("delete")]
    Delete,
}

/// One change.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedChange {
    /// Resource that changes.
    pub key: ResourceKey,
    /// What happens to it.
    pub step: PlannedStep,
    /// Version it has now.
    pub expected: Option<Offset>,
    /// Specification in force.
    pub before: Option<ResourceSpec>,
    /// Specification wanted.
    pub after: Option<ResourceSpec>,
}

/// Changes in the order in which they are made.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ApplyPlan {
    /// The changes.
    pub changes: Vec<PlannedChange>,
    /// Number of resources that are as declared.
    pub unchanged: usize,
}

/// Compares declarations with the configuration in force; what is not declared is deleted only if asked for.
pub fn plan_changes(declared: &[DeclaredResource], current: &[VersionedResource], is_pruning: bool) -> ApplyPlan {
    let mut plan = ApplyPlan::default();
    for resource in declared {
        let found = current.iter().find(|current| current.key == resource.key);
        let step = match found {
            Some(current) if current.spec == resource.spec => {
                plan.unchanged += 1;
                continue;
            }
            Some(_) => PlannedStep::Update,
            None => PlannedStep::Create,
        };
        plan.changes.push(PlannedChange {
            key: resource.key.clone(),
            step,
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

/// Deletes what refers to others before what it refers to.
fn plan_deletions(declared: &[DeclaredResource], current: &[VersionedResource]) -> Vec<PlannedChange> {
    let is_declared = |key: &ResourceKey| declared.iter().any(|resource| resource.key == *key);
    let mut surplus: Vec<&VersionedResource> = current.iter().filter(|current| !is_declared(&current.key)).collect();
    surplus.sort_by(|first, second| second.key.cmp(&first.key));
    let deletions = surplus.into_iter().map(|current| PlannedChange {
        key: current.key.clone(),
        step: PlannedStep::Delete,
        expected: Some(current.version),
        before: Some(current.spec.clone()),
        after: None,
    });
    deletions.collect()
}

impl ApplyPlan {
    /// Returns the changes in runs of one step and kind; those of a run don't refer to each other.
    pub fn independent_runs(&self) -> impl Iterator<Item = &[PlannedChange]> {
        self.changes
            .chunk_by(|first, second| first.step_class() == second.step_class())
    }
}

impl PlannedChange {
    /// Returns what the changes of a run have in common; creations and updates of a kind go together.
    fn step_class(&self) -> (bool, ResourceKind) {
        (self.step == PlannedStep::Delete, self.key.kind)
    }

    /// Lists the fields that differ, each as `path: before -> after`.
    pub fn differences(&self) -> Vec<String> {
        let before = self.before.as_ref().map(untagged_spec).unwrap_or_default();
        let after = self.after.as_ref().map(untagged_spec).unwrap_or_default();
        let mut differences = Vec::new();
        if self.step == PlannedStep::Update {
            compare("spec", &before, &after, &mut differences);
        }
        differences
    }
}

fn compare(path: &str, before: &Value, after: &Value, differences: &mut Vec<String>) {
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
        compare(&field, before, new.get(name).unwrap_or(&Value::Null), differences);
    }
}
