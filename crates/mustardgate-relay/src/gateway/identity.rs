//! For whom a request is sent, where the configuration declares tenants.

use std::sync::Arc;

use hyper::{HeaderMap, http::request};
use metrics::counter;
use mustardgate_core::relay::{ConfigAge, CredentialFault, KeyVerdict, RefusalCause, RelayRoute, RelayTenant};
use smol_str::SmolStr;

use super::{answer::LocalAnswer, exchange::refusal};
use crate::context::{ActiveRoutes, RelayContext};

/// Takes the credentials out of the head of a request, so that no runner gets them, and returns the tenant whose key they
/// hold. Without declared tenants the head stays as it is.
///
/// `age` must be read before `active`, so that the configuration is at least as new as the age says.
///
/// # Errors
/// The refusal of a request that needs a key and has none that is accepted.
pub(super) fn identify_caller(
    context: &RelayContext,
    active: &ActiveRoutes,
    route: &RelayRoute,
    head: &mut request::Parts,
    age: ConfigAge,
) -> Result<Option<Arc<RelayTenant>>, LocalAnswer> {
    let Some(tenants) = &active.tenants else {
        return Ok(None);
    };
    let credentials = context.ports.dialect.take_credentials(&mut head.headers);
    let identity = tenants.identify(credentials, route.allow_anonymous);
    let bounds = context.settings.bounds.key_bounds();
    let verdict = bounds.judge(identity, route.allow_anonymous, age);
    context.record_key_verdict(&verdict, age);
    match verdict {
        KeyVerdict::Accepted(tenant) => {
            let name = tenant.as_ref().map_or("", |tenant| tenant.name.as_str());
            counter!("mustardgate_tenant_requests_total", "tenant" => name.to_owned()).increment(1);
            Ok(tenant)
        }
        KeyVerdict::Unauthorized(fault) => {
            count_fault(fault);
            Err(LocalAnswer::Unauthorized)
        }
        KeyVerdict::Unconfirmed(fault) => {
            count_fault(fault);
            Err(refusal(context, RefusalCause::KeyUnconfirmed))
        }
        KeyVerdict::Outdated => Err(refusal(context, RefusalCause::KeysOutdated)),
    }
}

fn count_fault(fault: CredentialFault) {
    counter!("mustardgate_credentials_refused_total", "reason" => fault.to_string()).increment(1);
}

/// Takes the credentials out of a request that another node passes on, and returns the tenant whose key they hold.
///
/// A node that knows the tenants has taken them out already. They are still there if the other node is of an earlier build,
/// or its configuration declares no tenants yet.
pub(crate) fn take_passed_credentials(context: &RelayContext, headers: &mut HeaderMap) -> Option<SmolStr> {
    let active = context.routes.current()?;
    let tenants = active.tenants.as_ref()?;
    if !context.ports.dialect.has_credentials(headers) {
        return None;
    }
    let credentials = context.ports.dialect.take_credentials(headers);
    tenants.holder(credentials.ok()?).map(|tenant| tenant.name.clone())
}
