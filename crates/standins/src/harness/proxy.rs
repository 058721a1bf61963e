//! A TCP relay that can be cut in both directions or in one.

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

/// Bytes relayed at once.
const CHUNK_BYTES: usize = 16 << 10;

/// Which directions let bytes through; held bytes neither arrive nor break the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyMode {
    /// Both directions.
    Open,
    /// Neither direction.
    Cut,
    /// Only from whoever connected towards the target.
    TowardsTarget,
    /// Only from the target towards whoever connected.
    FromTarget,
}

impl ProxyMode {
    fn passes(self, direction: ProxyMode) -> bool {
        self == Self::Open || self == direction
    }
}

/// A relay between a fixed address and a target.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    mode: watch::Sender<ProxyMode>,
    task: JoinHandle<()>,
}

impl FaultProxy {
    /// Listens on a free loopback port and relays to `target`.
    ///
    /// # Errors
    /// The error of listening.
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

    /// Changes which directions let bytes through, for open connections, too.
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
            tokio::spawn(relay_connection(stream, target, mode.clone()));
        }
    }
}

async fn relay_connection(near: TcpStream, target: SocketAddr, mut mode: watch::Receiver<ProxyMode>) {
    if !wait_open(&mut mode, ProxyMode::TowardsTarget).await {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    drop(near.set_nodelay(true).and_then(|()| far.set_nodelay(true)));
    let (near_reader, near_writer) = near.into_split();
    let (far_reader, far_writer) = far.into_split();
    tokio::join!(
        pump(near_reader, far_writer, mode.clone(), ProxyMode::TowardsTarget),
        pump(far_reader, near_writer, mode, ProxyMode::FromTarget),
    );
}

/// Copies one direction until it ends; an end is passed on like bytes are.
async fn pump(
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

/// Waits until a direction is open; returns whether the relay still exists.
async fn wait_open(mode: &mut watch::Receiver<ProxyMode>, direction: ProxyMode) -> bool {
    mode.wait_for(|mode| mode.passes(direction)).await.is_ok()
}
