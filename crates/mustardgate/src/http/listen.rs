//! Opens listeners whose connections hold a bounded number of unread bytes.

use std::{io, net::SocketAddr};

use metrics::counter;
use mustardgate_core::buffers::RECEIVE_BYTES;
use tokio::net::{TcpListener, TcpSocket};

/// Opens a listener for which at most `queued` connections wait to be accepted.
///
/// Accepted connections inherit the size of its receive buffer. Without one, the system sizes the buffer of each connection
/// by itself, to megabytes. See `docs/design/untrusted-callers.md`.
///
/// # Errors
/// The error of the system when the address cannot be listened on.
pub fn bind_listener(address: SocketAddr, queued: usize) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // The system doubles the figure, because it counts what it takes itself as well.
    if socket.set_recv_buffer_size(RECEIVE_BYTES as u32 / 2).is_err() {
        counter!("mustardgate_socket_options_failed_total").increment(1);
    }
    socket.bind(address)?;
    socket.listen(queued.try_into().unwrap_or(u32::MAX))
}
