//! Lists the models and adapters that a tenant may use.

use hyper::{HeaderMap, Response, StatusCode};
use mustardgate_core::resources::ResourceKind;
use serde::Serialize;
use smol_str::SmolStr;

use super::{errors::CallerError, tenants::authenticate};
use crate::{
    context::NodeContext,
    http::{AnswerBody, json_answer},
};

/// Answer to `GET /v1/models`.
#[derive(Debug, Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

/// One model or adapter.
#[derive(Debug, Serialize)]
struct ModelEntry {
    id: SmolStr,
    object: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    parent: Option<SmolStr>,
}

pub(super) fn list_models(context: &NodeContext, headers: &HeaderMap) -> Result<Response<AnswerBody>, CallerError> {
    let scope = authenticate(context, headers)?;
    let mut data = Vec::new();
    for model in scope.view.list(ResourceKind::Model) {
        let name = &model.key.name;
        if scope.service_of_model(name).is_err() {
            continue;
        }
        data.push(ModelEntry {
            id: name.clone(),
            object: "model",
            parent: None,
        });
        for adapter in scope.view.adapters_of(name) {
            data.push(ModelEntry {
                id: adapter.clone(),
                object: "model",
                parent: Some(name.clone()),
            });
        }
    }
    Ok(json_answer(StatusCode::OK, &ModelList { object: "list", data }))
}
