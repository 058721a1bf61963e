//! Checks declarations against each other, with the same checks that a node makes.

use std::collections::BTreeMap;

use mustardgate_core::{
    config::{ConfigReplica, ConfigSpan},
    ids::{ChangeId, Offset},
    log::{ChangeRecord, LogRecord},
    ports::LogEntry,
    resources::{ResourceKey, ResourceSpec},
    validation::check_spec,
};

use super::files::DeclaredResource;
use crate::cli::CommandError;

/// Checks declarations against each other and against the resources that stay beside them.
///
/// # Errors
/// [`CommandError::Invalid`] with everything that is wrong.
pub fn check_declarations(
    declared: &[DeclaredResource],
    others: &BTreeMap<ResourceKey, ResourceSpec>,
) -> Result<(), CommandError> {
    let mut wanted = others.clone();
    wanted.extend(
        declared
            .iter()
            .map(|resource| (resource.key.clone(), resource.spec.clone())),
    );
    let mut replica = ConfigReplica::new();
    replica.begin_at_origin();
    let span = span_of(wanted);
    replica.apply(&span).map_err(|error| CommandError::Failed {
        reason: error.to_string(),
    })?;
    let view = replica.view();
    let errors: Vec<String> = declared
        .iter()
        .flat_map(|resource| {
            let field_errors = check_spec(&resource.key, &resource.spec, &view);
            field_errors
                .into_iter()
                .map(|error| format!("{}: {}: {error}", resource.file.display(), resource.key))
        })
        .collect();
    if errors.is_empty() {
        Ok(())
    } else {
        Err(CommandError::Invalid { errors })
    }
}

/// Writes resources as the records that would create them.
fn span_of(wanted: BTreeMap<ResourceKey, ResourceSpec>) -> ConfigSpan {
    let entries: Vec<LogEntry> = (0..)
        .zip(wanted)
        .map(|(offset, (resource, spec)): (Offset, _)| LogEntry {
            offset,
            record: LogRecord::Change(ChangeRecord {
                change: ChangeId::from(resource.to_string()),
                resource,
                expected: None,
                spec: Some(spec),
            }),
        })
        .collect();
    ConfigSpan {
        from: 0,
        until: entries.len() as Offset,
        entries,
    }
}
