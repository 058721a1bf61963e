//! Lists and returns resources through the resource API.

use std::sync::Arc;

use hyper::{
    Response, StatusCode,
    header::{ETAG, HeaderValue},
};
use mustardgate_core::{
    config::{ConfigReplica, ConfigView},
    resources::{ResourceKey, ResourceKind},
};
use mustardgate_protocol::operators::{ResourceList, ResourceView};
use smol_str::SmolStr;

use super::{errors::OperatorError, status::resource_status};
use crate::{
    context::NodeContext,
    http::{AnswerBody, json_answer},
};

pub(super) fn current_view(node: &NodeContext) -> Result<Arc<ConfigView>, OperatorError> {
    node.directory
        .view()
        .map_err(|reason| OperatorError::NotReady { reason })
}

pub(super) fn list_resources(node: &NodeContext, kind: ResourceKind) -> Result<Response<AnswerBody>, OperatorError> {
    let view = current_view(node)?;
    let items = view
        .list(kind)
        .map(|resource| ResourceView {
            resource: (**resource).clone(),
            status: resource_status(node, resource),
        })
        .collect();
    let offset = node.directory.read(ConfigReplica::next_offset);
    Ok(json_answer(StatusCode::OK, &ResourceList { items, offset }))
}

pub(super) fn get_resource(
    node: &NodeContext,
    kind: ResourceKind,
    name: &SmolStr,
) -> Result<Response<AnswerBody>, OperatorError> {
    let view = current_view(node)?;
    let key = ResourceKey {
        kind,
        name: name.clone(),
    };
    let resource = view.get(&key).ok_or(OperatorError::UnknownResource)?;
    let resource_view = ResourceView {
        resource: (**resource).clone(),
        status: resource_status(node, resource),
    };
    let mut response = json_answer(StatusCode::OK, &resource_view);
    response.headers_mut().insert(ETAG, HeaderValue::from(resource.version));
    Ok(response)
}
