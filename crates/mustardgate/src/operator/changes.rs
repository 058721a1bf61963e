//! Creates, updates and deletes resources through the resource API.

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

/// Largest body of a `PUT`, in bytes.
const MAX_SPEC_BYTES: usize = 1 << 20;
/// Time within which the body of a `PUT` must arrive.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after its submission within which the outcome of a change must be known.
const CHANGE_DEADLINE: Duration = Duration::from_secs(10);

pub(super) async fn put_resource(
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
    submit_and_answer(node, record).await
}

pub(super) async fn delete_resource(
    node: &NodeContext,
    kind: ResourceKind,
    name: SmolStr,
    request: &Request<Incoming>,
) -> Result<Response<AnswerBody>, OperatorError> {
    let expected = read_precondition(request.headers())?;
    if expected.is_none() {
        return Err(OperatorError::BadRequest {
            reason: "If-Match is required".to_owned(),
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
    submit_and_answer(node, record).await
}

fn refuse_invalid(errors: Vec<validation::FieldError>) -> Result<(), OperatorError> {
    if errors.is_empty() {
        return Ok(());
    }
    let fields = errors.into_iter().map(|error| FieldError {
        field: error.field,
        reason: error.reason,
    });
    Err(OperatorError::Invalid {
        errors: fields.collect(),
    })
}

async fn submit_and_answer(node: &NodeContext, record: ChangeRecord) -> Result<Response<AnswerBody>, OperatorError> {
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

/// Reads the expected version of the resource: `If-Match` names it, `If-None-Match: *` means that it must not exist.
fn read_precondition(headers: &HeaderMap) -> Result<Option<Offset>, OperatorError> {
    let bad_request = |reason: &str| OperatorError::BadRequest {
        reason: reason.to_owned(),
    };
    if let Some(value) = headers.get(IF_MATCH) {
        let version = value.to_str().ok().and_then(|text| text.trim_matches('"').parse().ok());
        return version
            .map(Some)
            .ok_or_else(|| bad_request("If-Match must name a version"));
    }
    match headers.get(IF_NONE_MATCH) {
        Some(value) if value == "*" => Ok(None),
        _ => Err(bad_request("If-Match with a version, or If-None-Match: *, is required")),
    }
}

fn read_change(headers: &HeaderMap) -> Result<ChangeId, OperatorError> {
    let value = headers.get(CHANGE_HEADER).and_then(|value| value.to_str().ok());
    let change = value.filter(|text| !text.is_empty());
    change.map(ChangeId::from).ok_or_else(|| OperatorError::BadRequest {
        reason: format!("{CHANGE_HEADER} is needed"),
    })
}
