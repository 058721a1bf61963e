//! Serves the handler of a stand-in on a free loopback port.

use std::{net::SocketAddr, sync::Arc};

use mustardgate_standins::http::{HttpHandler, bind_all, serve_forever};

/// Serves a handler in the background and returns its address.
pub async fn serve(handler: impl HttpHandler) -> SocketAddr {
    let loopback: SocketAddr = ([127, 0, 0, 1], 0).into();
    let listener = bind_all(&[loopback])
        .await
        .expect("loopback has a free port")
        .pop()
        .expect("one address gives one listener");
    let address = listener.local_addr().expect("a bound listener has an address");
    tokio::spawn(serve_forever(listener, Arc::new(handler)));
    address
}
