//! Closes a listener without the loss of connections that the system has accepted for it.

use std::io::ErrorKind;

use tokio::net::{TcpListener, TcpStream};

/// Most connections that are taken from the accept queue; the runtime's listeners have no longer one. Callers that connect
/// without end cannot keep the listener open.
const MAX_QUEUED_CONNECTIONS: usize = 1_024;

/// Closes a listener and returns the connections that wait in its accept queue.
///
/// Closing it would reset them, and their requests may already have been sent. The system is asked itself, since the
/// runtime learns of connections only when it polls the system. See `docs/incidents/2026-12-06-lost-pinto-ruam.md`.
pub fn close_listener(listener: TcpListener) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    let Ok(listener) = listener.into_std() else {
        return streams;
    };
    while streams.len() < MAX_QUEUED_CONNECTIONS {
        match listener.accept() {
            Ok((stream, _)) => {
                let watched = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                // Without descriptors to watch it by, a connection is closed as all were without this function.
                streams.extend(watched.ok());
            }
            Err(error) if matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
            // The queue is empty, or no descriptors are left.
            Err(_) => break,
        }
    }
    streams
}
