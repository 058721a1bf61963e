//! Authenticates callers by their bearer keys and authorises them by their tenants' services.

use std::{sync::Arc, time::Duration};

use hyper::HeaderMap;
use mustardgate_core::{
    config::ConfigView,
    ids::{ServiceId, TenantId},
    resources::ServiceSpec,
};

use smol_str::SmolStr;

use super::{errors::CallerError, request::bearer_digest};
use crate::context::NodeContext;

/// Time after which a caller may retry while the node has no configuration.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The configuration in force for one request, and the tenant of its caller.
#[derive(Clone, Debug)]
pub(super) struct CallerScope {
    /// The configuration in force.
    pub view: Arc<ConfigView>,
    /// Tenant of the caller.
    pub tenant: TenantId,
}

/// Finds the tenant that the bearer key belongs to.
pub(super) fn authenticate(context: &NodeContext, headers: &HeaderMap) -> Result<CallerScope, CallerError> {
    let view = context.directory.view().map_err(|reason| CallerError::NotReady {
        reason,
        retry_after: NOT_READY_RETRY_AFTER,
    })?;
    let digest = bearer_digest(headers).ok_or(CallerError::MissingKey)?;
    let tenant = view.tenant_by_digest(&digest).cloned().ok_or(CallerError::WrongKey)?;
    Ok(CallerScope { view, tenant })
}

impl CallerScope {
    /// Returns a declared service, or an error when the tenant may not call it.
    pub(super) fn service(&self, name: &str) -> Result<&ServiceSpec, CallerError> {
        let spec = self
            .view
            .service(name)
            .ok_or_else(|| CallerError::UnknownService { service: name.into() })?;
        if self.may_call(name) {
            Ok(spec)
        } else {
            Err(CallerError::ServiceForbidden { service: name.into() })
        }
    }

    /// Returns the first service that uses the model and that the tenant may call.
    pub(super) fn service_of_model(&self, model: &str) -> Result<ServiceId, CallerError> {
        let services: Vec<&ServiceId> = self.view.services_of(&SmolStr::from(model)).collect();
        if let Some(service) = services.iter().find(|service| self.may_call(service)) {
            return Ok((*service).clone());
        }
        match services.first() {
            Some(service) => Err(CallerError::ServiceForbidden {
                service: (*service).clone(),
            }),
            None => Err(CallerError::UnknownModel { model: model.into() }),
        }
    }

    /// Returns the weight of the tenant relative to other tenants of the same priority class.
    pub(super) fn weight(&self) -> u32 {
        self.view.tenant(&self.tenant).map_or(1, |tenant| tenant.weight)
    }

    fn may_call(&self, service: &str) -> bool {
        self.view
            .tenant(&self.tenant)
            .is_some_and(|tenant| tenant.services.is_empty() || tenant.services.iter().any(|name| name == service))
    }
}
