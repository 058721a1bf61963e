//! The listener for other nodes.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use mustardgate_protocol::peers::{PeerError, PeerHandler, serve_connection};
use slog::{Logger, o};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
    time,
};
use tokio_util::sync::CancellationToken;

use super::PeerHub;
use crate::events;

/// Maximum number of open connections from other nodes.
const MAX_PEER_CONNECTIONS: usize = 1_024;
/// Delay after a connection could not be accepted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Accepts and serves connections from other nodes until `shutdown`.
pub async fn serve_peers(
    listener: TcpListener,
    hub: Arc<PeerHub>,
    handler: Arc<dyn PeerHandler>,
    logger: Logger,
    shutdown: CancellationToken,
) {
    let slots = Arc::new(Semaphore::new(MAX_PEER_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            () = shutdown.cancelled() => return,
            accepted = accept(&listener, &slots) => accepted,
        };
        match accepted {
            Ok((stream, peer, slot)) => {
                let connection = PeerConnection {
                    hub: Arc::clone(&hub),
                    handler: Arc::clone(&handler),
                    logger: logger.clone(),
                    peer,
                };
                tokio::spawn(
                    shutdown
                        .clone()
                        .run_until_cancelled_owned(connection.serve(stream, slot)),
                );
            }
            Err(error) => {
                events::ACCEPT_FAILED.write(&logger, o!("error" => error.to_string()));
                time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn accept(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
) -> io::Result<(TcpStream, SocketAddr, OwnedSemaphorePermit)> {
    let slot = Arc::clone(slots)
        .acquire_owned()
        .await
        .expect("the semaphore is never closed");
    let (stream, peer) = listener.accept().await?;
    stream.set_nodelay(true)?;
    Ok((stream, peer, slot))
}

#[derive(Debug)]
struct PeerConnection {
    hub: Arc<PeerHub>,
    handler: Arc<dyn PeerHandler>,
    logger: Logger,
    peer: SocketAddr,
}

impl PeerConnection {
    async fn serve(self, stream: TcpStream, slot: OwnedSemaphorePermit) {
        let served = serve_connection(stream, self.hub.key(), self.handler, self.hub.meter()).await;
        if let Err(PeerError::WrongKey) = served {
            events::PEER_REFUSED.write(&self.logger, o!("peer" => self.peer.to_string()));
        }
        drop(slot);
    }
}
