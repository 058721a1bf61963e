//! Checks declarations together, with the same validation as a node.

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

/// Checks declarations; they may refer to each other and to other resources that remain beside them.
///
/// # Errors
/// [`CommandError::Invalid`] with all errors.
pub fn check_declarations(
    declared: &[DeclaredResource],
    others: &BTreeMap<ResourceKey, ResourceSpec>,
) -> Result<(), CommandError> {
    let mut resources = others.clone();
    resources.extend(
        declared
            .iter()
            .map(|resource| (resource.key.clone(), resource.spec.clone())),
    );
    let mut replica = ConfigReplica::new();
    replica.begin_at_origin();
    let span = creation_span(resources);
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

/// Returns the span of log records that would create the resources.
fn creation_span(resources: BTreeMap<ResourceKey, ResourceSpec>) -> ConfigSpan {
    let entries: Vec<LogEntry> = (0..)
        .zip(resources)
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
