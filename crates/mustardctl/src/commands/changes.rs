//! Plans and sends changes; a change whose outcome is unknown is retried with the same identifier.

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
        ApplyPlan, DeclaredResource, PlannedAction, PlannedChange, check_declarations, plan_changes, read_folder,
    },
    output::TextStyle,
};

/// Maximum number of attempts to send a change while its outcome is unknown.
const MAX_ATTEMPTS: u32 = 5;
/// Delay between two attempts to send the same change.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Reads and checks the declarations in the folder of `--filename` and compares them with the node's configuration.
pub(super) async fn plan_folder(
    context: &CommandContext,
    client: &ApiClient,
    is_pruning: bool,
) -> Result<ApplyPlan, CommandError> {
    let declared = read_folder(Path::new(context.arguments.required("filename")?))?;
    let current = client.list_all().await?;
    check_after_apply(&declared, &current, is_pruning)?;
    Ok(plan_changes(&declared, &current, is_pruning))
}

/// Checks declarations against each other and against the resources that remain once they are applied.
fn check_after_apply(
    declared: &[DeclaredResource],
    current: &[VersionedResource],
    is_pruning: bool,
) -> Result<(), CommandError> {
    let remaining = current.iter().filter(|_| !is_pruning);
    let others = remaining.map(|resource| (resource.key.clone(), resource.spec.clone()));
    check_declarations(declared, &others.collect())
}

/// Sends a planned change and returns the new version.
pub(super) async fn send_change(client: &ApiClient, change: &PlannedChange) -> Result<Offset, CommandError> {
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
    let change = new_change_id();
    for _ in 0..MAX_ATTEMPTS {
        if let SendOutcome::Accepted(answer) = client.put(key, spec, expected, &change).await? {
            return Ok(answer.version);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    Err(outcome_unknown_error(key, change))
}

/// Deletes a resource that has the expected version, and returns the version of the deletion.
pub(super) async fn delete_resource(
    client: &ApiClient,
    key: &ResourceKey,
    expected: Offset,
) -> Result<Offset, CommandError> {
    let change = new_change_id();
    for _ in 0..MAX_ATTEMPTS {
        if let SendOutcome::Accepted(answer) = client.delete(key, expected, &change).await? {
            return Ok(answer.version);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    Err(outcome_unknown_error(key, change))
}

/// Prints a plan.
pub(super) fn print_plan(context: &CommandContext, plan: &ApplyPlan) {
    let printer = &context.printer;
    if printer.is_json() {
        let changes = plan.changes.iter().map(|change| {
            serde_json::json!({
                "resource": change.key.to_string(),
                "step": change.action.to_string(),
                "differences": change.differences(),
            })
        });
        let changes: Vec<serde_json::Value> = changes.collect();
        printer.print_json(&serde_json::json!({"changes": changes, "unchanged": plan.unchanged}));
        return;
    }
    for change in &plan.changes {
        let action = printer.styled(&change.action.to_string(), action_style(change.action));
        printer.print_line(&format!("{action} {}", change.key));
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

fn action_style(action: PlannedAction) -> TextStyle {
    match action {
        PlannedAction::Create => TextStyle::Success,
        PlannedAction::Update => TextStyle::Change,
        PlannedAction::Delete => TextStyle::Failure,
    }
}

fn new_change_id() -> ChangeId {
    format_smolstr!("ctl-{:032x}", rand::random::<u128>())
}

fn outcome_unknown_error(key: &ResourceKey, change: ChangeId) -> CommandError {
    let resource = key.to_string();
    CommandError::OutcomeUnknown { resource, change }
}
