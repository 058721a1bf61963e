//! The platform's list of VMs over HTTP.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use hyper::{Method, StatusCode};
use mustardgate_core::ports::{VmEntry, VmList, VmListError};
use mustardgate_protocol::platform::VMS_PATH;

use crate::http::{CallLimits, HttpClient, plain_request};

/// Maximum size of the list, in bytes.
const MAX_LIST_BYTES: usize = 8 << 20;

/// The platform's list of VMs over HTTP.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    client: HttpClient,
    address: SocketAddr,
    timeout: Duration,
}

impl HttpVmList {
    /// Creates the client; nothing is sent yet.
    pub fn new(client: HttpClient, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client,
            address,
            timeout,
        }
    }
}

#[async_trait]
impl VmList for HttpVmList {
    async fn fetch(&self) -> Result<Vec<VmEntry>, VmListError> {
        let request = plain_request(Method::GET, VMS_PATH);
        let limits = CallLimits {
            timeout: self.timeout,
            max_bytes: MAX_LIST_BYTES,
            pace: None,
        };
        let reply = self
            .client
            .call_counted("vm_list", self.address, request, limits)
            .await
            .map_err(|_error| VmListError)?;
        if reply.status != StatusCode::OK {
            return Err(VmListError);
        }
        serde_json::from_slice(&reply.body).map_err(|_error| VmListError)
    }
}
