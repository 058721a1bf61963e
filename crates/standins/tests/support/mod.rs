//! Starts a stand-in's handler on a free loopback port.

use std::{net::SocketAddr, sync::Arc};

use mustardgate_standins::http::{HttpHandler, bind_all, serve_forever};

/// Serves a handler and returns its address.
pub async fn serve(handler: impl HttpHandler) -> SocketAddr {
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    let listener = bind_all(&[any])
        .await
        .expect("loopback has a free port")
        .pop()
        .expect("one address gives one listener");
    let address = listener.local_addr().expect("a bound listener has an address");
    tokio::spawn(serve_forever(listener, Arc::new(handler)));
    address
}
