//! A TCP proxy that can be blocked in one direction or in both.

use std::{io, net::SocketAddr};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinHandle,
};

/// Maximum number of bytes forwarded at once.
const CHUNK_BYTES: usize = 16 << 10;

/// Directions in which a proxy forwards bytes. A blocked direction delays bytes and does not close the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyMode {
    /// Both directions.
    Open,
    /// Neither direction.
    Cut,
    /// Only from the client towards the target.
    TowardsTarget,
    /// Only from the target towards the client.
    FromTarget,
}

impl ProxyMode {
    fn allows(self, direction: ProxyMode) -> bool {
        self == Self::Open || self == direction
    }
}

/// A TCP proxy between an address of its own and a target.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    mode: watch::Sender<ProxyMode>,
    task: JoinHandle<()>,
}

impl FaultProxy {
    /// Listens on a free loopback port and forwards connections to `target`.
    ///
    /// # Errors
    /// [`io::Error`] when the proxy cannot listen.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (mode, receiver) = watch::channel(ProxyMode::Open);
        let task = tokio::spawn(accept_all(listener, target, receiver));
        Ok(Self { address, mode, task })
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the directions in which bytes are forwarded, also for open connections.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_all(listener: TcpListener, target: SocketAddr, mode: watch::Receiver<ProxyMode>) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(forward_connection(stream, target, mode.clone()));
        }
    }
}

async fn forward_connection(client: TcpStream, target: SocketAddr, mut mode: watch::Receiver<ProxyMode>) {
    if !wait_open(&mut mode, ProxyMode::TowardsTarget).await {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    drop(client.set_nodelay(true).and_then(|()| server.set_nodelay(true)));
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    tokio::join!(
        forward_direction(client_reader, server_writer, mode.clone(), ProxyMode::TowardsTarget),
        forward_direction(server_reader, client_writer, mode, ProxyMode::FromTarget),
    );
}

/// Forwards one direction until it ends. The end of the stream is held back by a blocked direction like bytes are.
async fn forward_direction(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    mut mode: watch::Receiver<ProxyMode>,
    direction: ProxyMode,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let count = reader.read(&mut chunk).await.unwrap_or(0);
        if !wait_open(&mut mode, direction).await || count == 0 {
            return;
        }
        if writer.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}

/// Waits until a direction is open; returns `false` when the proxy was dropped meanwhile.
async fn wait_open(mode: &mut watch::Receiver<ProxyMode>, direction: ProxyMode) -> bool {
    mode.wait_for(|mode| mode.allows(direction)).await.is_ok()
}
