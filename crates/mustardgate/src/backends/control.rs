//! Control of engines over HTTP.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, RwLock},
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use mustardgate_core::{
    ids::{BackendId, FencingNumber},
    ports::{EngineControl, EngineOrder, EngineReport, OrderError},
};
use mustardgate_protocol::engine::{FENCING_PATH, FencedAnswer, ORDERS_PATH, REPORT_PATH, RaiseFencing};

use crate::http::{CallLimits, HttpClient, HttpReply, json_request, plain_request};

/// Largest report accepted, in bytes.
const MAX_REPORT_BYTES: usize = 4 << 20;

/// Addresses of backend servers, replaced whenever the configuration changes.
pub type AddressBook = Arc<RwLock<BTreeMap<BackendId, SocketAddr>>>;

/// Control of engines over HTTP.
#[derive(Clone, Debug)]
pub struct HttpEngineControl {
    client: HttpClient,
    addresses: AddressBook,
    timeout: Duration,
}

impl HttpEngineControl {
    /// Creates the control with a shared address book.
    pub fn new(client: HttpClient, addresses: AddressBook, timeout: Duration) -> Self {
        Self {
            client,
            addresses,
            timeout,
        }
    }

    async fn call(
        &self,
        kind: &'static str,
        backend: &BackendId,
        request: Request<Full<Bytes>>,
    ) -> Result<HttpReply, OrderError> {
        let address = self.addresses.read().expect("no holder panics").get(backend).copied();
        let address = address.ok_or(OrderError::Refused)?;
        let limits = CallLimits {
            timeout: self.timeout,
            max_bytes: MAX_REPORT_BYTES,
            pace: None,
        };
        self.client
            .call_counted(kind, address, request, limits)
            .await
            .map_err(|_error| OrderError::Unknown)
    }
}

fn order_error(reply: &HttpReply) -> OrderError {
    match reply.status {
        StatusCode::CONFLICT => serde_json::from_slice::<FencedAnswer>(&reply.body)
            .map_or(OrderError::Refused, |answer| OrderError::Fenced {
                newest: answer.newest,
            }),
        status if status.is_client_error() => OrderError::Refused,
        _ => OrderError::Unknown,
    }
}

fn parse_report(reply: &HttpReply) -> Result<EngineReport, OrderError> {
    if reply.status != StatusCode::OK {
        return Err(order_error(reply));
    }
    serde_json::from_slice(&reply.body).map_err(|_error| OrderError::Unknown)
}

#[async_trait]
impl EngineControl for HttpEngineControl {
    async fn raise_fencing(&self, backend: &BackendId, fencing: FencingNumber) -> Result<EngineReport, OrderError> {
        let request = json_request(Method::POST, FENCING_PATH, &RaiseFencing { fencing });
        parse_report(&self.call("engine_fencing", backend, request).await?)
    }

    async fn send_order(&self, backend: &BackendId, order: EngineOrder) -> Result<(), OrderError> {
        let request = json_request(Method::POST, ORDERS_PATH, &order);
        let reply = self.call("engine_order", backend, request).await?;
        if reply.status == StatusCode::ACCEPTED {
            Ok(())
        } else {
            Err(order_error(&reply))
        }
    }

    async fn report(&self, backend: &BackendId) -> Result<EngineReport, OrderError> {
        parse_report(
            &self
                .call("engine_report", backend, plain_request(Method::GET, REPORT_PATH))
                .await?,
        )
    }
}
