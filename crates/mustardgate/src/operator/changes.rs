//! Changes through the resource API.

use std::time::Duration;

use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{IF_MATCH, IF_NONE_MATCH},
};
use mustardgate_core::{
    clock,
    config::{ChangeOutcome, ChangeSubmission},
    ids::{ChangeId, Offset},
    log::ChangeRecord,
    resources::{ResourceKey, ResourceKind},
    validation::{self, check_delete, check_spec},
};
use mustardgate_protocol::operators::{CHANGE_HEADER, ChangeAnswer, FieldError, PutRequest};
use smol_str::SmolStr;

use super::{errors::OperatorError, resources::current_view};
use crate::{
    configuration::submit_change,
    context::NodeContext,
    http::{AnswerBody, collect_body, json_answer},
};

/// Largest specification, in bytes.
const MAX_SPEC_BYTES: usize = 1 << 20;
/// Time for a specification to arrive.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which an operator hears what became of a change.
const CHANGE_DEADLINE: Duration = Duration::from_secs(10);

pub(super) async fn put_one(
    node: &NodeContext,
    kind: ResourceKind,
    name: SmolStr,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, OperatorError> {
    let (head, body) = request.into_parts();
    let expected = read_precondition(&head.headers)?;
    let body = collect_body(body, MAX_SPEC_BYTES, RECEIVE_TIMEOUT)
        .await
        .map_err(|error| OperatorError::BadRequest {
            reason: error.to_string(),
        })?;
    let put: PutRequest = serde_json::from_slice(&body).map_err(|error| OperatorError::BadRequest {
        reason: error.to_string(),
    })?;
    let spec = put
        .typed_spec(kind)
        .map_err(|error| OperatorError::Invalid { errors: vec![error] })?;
    let resource = ResourceKey { kind, name };
    refuse_invalid(check_spec(&resource, &spec, &*current_view(node)?))?;
    let record = ChangeRecord {
        change: put.change,
        resource,
        expected,
        spec: Some(spec),
    };
    finish_change(node, record).await
}

pub(super) async fn delete_one(
    node: &NodeContext,
    kind: ResourceKind,
    name: SmolStr,
    request: &Request<Incoming>,
) -> Result<Response<AnswerBody>, OperatorError> {
    let expected = read_precondition(request.headers())?;
    if expected.is_none() {
        return Err(OperatorError::BadRequest {
            reason: "If-Match is needed".to_owned(),
        });
    }
    let change = read_change(request.headers())?;
    let resource = ResourceKey { kind, name };
    let view = current_view(node)?;
    if view.get(&resource).is_some() {
        refuse_invalid(check_delete(&resource, &view))?;
    }
    let record = ChangeRecord {
        change,
        resource,
        expected,
        spec: None,
    };
    finish_change(node, record).await
}

fn refuse_invalid(errors: Vec<validation::FieldError>) -> Result<(), OperatorError> {
    if errors.is_empty() {
        return Ok(());
    }
    let shown = errors.into_iter().map(|error| FieldError {
        field: error.field,
        reason: error.reason,
    });
    Err(OperatorError::Invalid {
        errors: shown.collect(),
    })
}

async fn finish_change(node: &NodeContext, record: ChangeRecord) -> Result<Response<AnswerBody>, OperatorError> {
    current_view(node)?;
    let resource = record.resource.clone();
    let deadline = clock::now() + CHANGE_DEADLINE;
    // The operator may have sent the change before, through this node or another one.
    let submission = ChangeSubmission::resume(record, deadline);
    match submit_change(node, submission).await {
        ChangeOutcome::Accepted { version } => {
            let view = current_view(node)?;
            let generation = view.get(&resource).map_or(0, |resource| resource.generation);
            Ok(json_answer(StatusCode::OK, &ChangeAnswer { version, generation }))
        }
        ChangeOutcome::Conflict { current } => Err(OperatorError::Conflict { current }),
        ChangeOutcome::Unknown { change } => Err(OperatorError::OutcomeUnknown { change }),
        ChangeOutcome::NotApplied => Err(OperatorError::NotApplied),
    }
}

/// Reads the expected version: `If-Match` names it, `If-None-Match: *` expects that there is none.
fn read_precondition(headers: &HeaderMap) -> Result<Option<Offset>, OperatorError> {
    let bad = |reason: &str| OperatorError::BadRequest {
        reason: reason.to_owned(),
    };
    if let Some(value) = headers.get(IF_MATCH) {
        let version = value.to_str().ok().and_then(|text| text.trim_matches('"').parse().ok());
        return version.map(Some).ok_or_else(|| bad("If-Match must name a version"));
    }
    match headers.get(IF_NONE_MATCH) {
        Some(value) if value == "*" => Ok(None),
        _ => Err(bad("If-Match with a version, or If-None-Match: *, is needed")),
    }
}

fn read_change(headers: &HeaderMap) -> Result<ChangeId, OperatorError> {
    let value = headers.get(CHANGE_HEADER).and_then(|value| value.to_str().ok());
    let change = value.filter(|text| !text.is_empty());
    change.map(ChangeId::from).ok_or_else(|| OperatorError::BadRequest {
        reason: format!("{CHANGE_HEADER} is needed"),
    })
}
