//! Identities of a received request by which nodes recognise it when it is sent again.

use hyper::{
    header::{AUTHORIZATION, HOST, HeaderValue},
    http::request,
};
use mustardgate_core::relay::{InputId, RelayTenant, RequestContent, RequestDigest};

use super::listener::CallerAddress;

/// Identities of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestDigests {
    /// The same for every caller that sends this content with the same account.
    pub(super) content: RequestDigest,
    /// The same only for callers at one address. It separates callers without an account whose requests look alike.
    pub(super) from_caller: RequestDigest,
}

impl RequestDigests {
    /// Returns the digests as inputs.
    pub(super) fn inputs(&self) -> [InputId; 2] {
        [InputId::Request(self.content), InputId::Request(self.from_caller)]
    }

    /// Computes the digests of a request that was completely received. A tenant is one account, whichever key it uses.
    pub(super) fn of(head: &request::Parts, tenant: Option<&RelayTenant>, body: &[u8]) -> Self {
        let field = |name| head.headers.get(name).map(HeaderValue::as_bytes);
        let host = field(HOST).and_then(|host| str::from_utf8(host).ok());
        let target = head
            .uri
            .path_and_query()
            .map_or(head.uri.path(), |target| target.as_str());
        let content = RequestContent {
            method: head.method.as_str(),
            host: host.or_else(|| head.uri.host()).unwrap_or_default(),
            target,
            account: tenant.map_or_else(
                || field(AUTHORIZATION).unwrap_or_default(),
                |tenant| tenant.name.as_bytes(),
            ),
            body,
        };
        let address = head.extensions.get::<CallerAddress>().map(|address| address.0);
        Self {
            content: content.digest(None),
            from_caller: content.digest(address),
        }
    }
}
