//! Sockets with a small receive buffer, as callers on small devices have.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    os::fd::FromRawFd,
};

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
}

/// Connects with a receive buffer of so many bytes; it has to be set before the connection is made.
pub fn connect_with_buffer(address: SocketAddr, bytes: i32) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let mut raw = [0_u8; 16];
    raw[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    raw[2..4].copy_from_slice(&address.port().to_be_bytes());
    raw[4..8].copy_from_slice(&address.ip().octets());
    // SAFETY: the descriptor is new and owned by the stream from here on; the pointers outlive their calls.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        let is_set = setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, 4) == 0;
        if !is_set || connect(descriptor, raw.as_ptr(), 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}
