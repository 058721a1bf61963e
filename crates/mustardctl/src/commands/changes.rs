//! Sends changes, and sends them again under the same identifier while their outcome is unknown.

use std::{path::Path, time::Duration};

use mustardgate_core::{
    ids::{ChangeId, Offset},
    log::VersionedResource,
    resources::{ResourceKey, ResourceSpec},
};
use smol_str::format_smolstr;

use crate::{
    cli::{CommandContext, CommandError},
    client::{ApiClient, SendOutcome},
    declarations::{
        ApplyPlan, DeclaredResource, PlannedChange, PlannedStep, check_declarations, plan_changes, read_folder,
    },
    output::WordTone,
};

/// Times that a change with an unknown outcome is sent.
const MAX_SENDS: u32 = 5;
/// Time between two sends of the same change.
const RESEND_DELAY: Duration = Duration::from_millis(500);

/// Reads and checks the folder of `--filename` and compares it with the configuration of the node.
pub(super) async fn plan_folder(
    context: &CommandContext,
    client: &ApiClient,
    is_pruning: bool,
) -> Result<ApplyPlan, CommandError> {
    let declared = read_folder(Path::new(context.arguments.required("filename")?))?;
    let current = client.list_all().await?;
    check_beside(&declared, &current, is_pruning)?;
    Ok(plan_changes(&declared, &current, is_pruning))
}

/// Checks declarations against what stays beside them once they are applied.
fn check_beside(
    declared: &[DeclaredResource],
    current: &[VersionedResource],
    is_pruning: bool,
) -> Result<(), CommandError> {
    let staying = current.iter().filter(|_| !is_pruning);
    let others = staying.map(|resource| (resource.key.clone(), resource.spec.clone()));
    check_declarations(declared, &others.collect())
}

/// Makes one planned change and returns the new version.
pub(super) async fn make_change(client: &ApiClient, change: &PlannedChange) -> Result<Offset, CommandError> {
    match &change.after {
        Some(spec) => put_resource(client, &change.key, spec, change.expected).await,
        None => delete_resource(client, &change.key, change.expected.unwrap_or_default()).await,
    }
}

async fn put_resource(
    client: &ApiClient,
    key: &ResourceKey,
    spec: &ResourceSpec,
    expected: Option<Offset>,
) -> Result<Offset, CommandError> {
    let change = new_change();
    for _ in 0..MAX_SENDS {
        if let SendOutcome::Accepted(answer) = client.put(key, spec, expected, &change).await? {
            return Ok(answer.version);
        }
        tokio::time::sleep(RESEND_DELAY).await;
    }
    Err(unknown(key, change))
}

/// Deletes a resource that has the expected version.
pub(super) async fn delete_resource(
    client: &ApiClient,
    key: &ResourceKey,
    expected: Offset,
) -> Result<Offset, CommandError> {
    let change = new_change();
    for _ in 0..MAX_SENDS {
        if let SendOutcome::Accepted(answer) = client.delete(key, expected, &change).await? {
            return Ok(answer.version);
        }
        tokio::time::sleep(RESEND_DELAY).await;
    }
    Err(unknown(key, change))
}

/// Prints a plan.
pub(super) fn print_plan(context: &CommandContext, plan: &ApplyPlan) {
    let printer = &context.printer;
    if printer.is_json() {
        let changes = plan.changes.iter().map(|change| {
            serde_json::json!({
                "resource": change.key.to_string(),
                "step": change.step.to_string(),
                "differences": change.differences(),
            })
        });
        let changes: Vec<serde_json::Value> = changes.collect();
        printer.print_json(&serde_json::json!({"changes": changes, "unchanged": plan.unchanged}));
        return;
    }
    for change in &plan.changes {
        let step = printer.tone(&change.step.to_string(), step_tone(change.step));
        printer.print_line(&format!("{step} {}", change.key));
        for difference in change.differences() {
            printer.print_line(&format!("    {difference}"));
        }
    }
    printer.print_line(&format!(
        "{} to change, {} as declared",
        plan.changes.len(),
        plan.unchanged
    ));
}

fn step_tone(step: PlannedStep) -> WordTone {
    match step {
        PlannedStep::Create => WordTone::Good,
        PlannedStep::Update => WordTone::Change,
        PlannedStep::Delete => WordTone::Bad,
    }
}

fn new_change() -> ChangeId {
    format_smolstr!("ctl-{:032x}", rand::random::<u128>())
}

fn unknown(key: &ResourceKey, change: ChangeId) -> CommandError {
    let resource = key.to_string();
    CommandError::OutcomeUnknown { resource, change }
}
