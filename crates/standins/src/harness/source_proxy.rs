//! A TCP proxy that cuts off the connections of single clients, told apart by their source addresses.

use std::{
    collections::BTreeMap,
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

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

/// How a cut looks to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutLook {
    /// Bytes are held back in both directions, on new connections too.
    Silent,
    /// Open connections are reset, and new ones as well.
    Reset,
    /// Open connections live on, and new ones are reset.
    NewOnly,
}

/// Which clients are cut off, for all proxies together.
#[derive(Clone, Debug)]
pub struct LinkCuts {
    cuts: Arc<watch::Sender<BTreeMap<IpAddr, CutLook>>>,
}

impl Default for LinkCuts {
    fn default() -> Self {
        Self {
            cuts: Arc::new(watch::Sender::new(BTreeMap::new())),
        }
    }
}

impl LinkCuts {
    /// Cuts a client off.
    pub fn cut(&self, client: IpAddr, look: CutLook) {
        self.cuts.send_modify(|cuts| {
            cuts.insert(client, look);
        });
    }

    /// Heals the cut of one client.
    pub fn heal_one(&self, client: IpAddr) {
        self.cuts.send_modify(|cuts| {
            cuts.remove(&client);
        });
    }

    /// Heals all cuts.
    pub fn heal(&self) {
        self.cuts.send_modify(BTreeMap::clear);
    }

    fn look(&self, client: IpAddr) -> Option<CutLook> {
        self.cuts.borrow().get(&client).copied()
    }
}

/// A TCP proxy between an address of its own and a target.
#[derive(Debug)]
pub struct SourceProxy {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl SourceProxy {
    /// Listens on a free loopback port and forwards connections to `target`.
    ///
    /// # Errors
    /// [`io::Error`] when the proxy cannot listen.
    pub async fn start(target: SocketAddr, cuts: LinkCuts) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept_all(listener, target, cuts));
        Ok(Self { address, task })
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for SourceProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_all(listener: TcpListener, target: SocketAddr, cuts: LinkCuts) {
    loop {
        if let Ok((stream, source)) = listener.accept().await {
            tokio::spawn(forward_connection(stream, source.ip(), target, cuts.clone()));
        }
    }
}

async fn forward_connection(client: TcpStream, source: IpAddr, target: SocketAddr, cuts: LinkCuts) {
    // Without waiting for unsent bytes, dropping the socket resets the connection.
    drop(client.set_zero_linger());
    if matches!(cuts.look(source), Some(CutLook::Reset | CutLook::NewOnly)) {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    drop(client.set_nodelay(true).and_then(|()| server.set_nodelay(true)));
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    let mut changes = cuts.cuts.subscribe();
    let resets = changes.wait_for(|cuts| cuts.get(&source) == Some(&CutLook::Reset));
    tokio::select! {
        () = forward_direction(client_reader, server_writer, source, cuts.clone()) => {}
        () = forward_direction(server_reader, client_writer, source, cuts.clone()) => {}
        _ = resets => {}
    }
}

/// Forwards one direction until it ends.
async fn forward_direction(mut reader: OwnedReadHalf, mut writer: OwnedWriteHalf, source: IpAddr, cuts: LinkCuts) {
    let mut changes = cuts.cuts.subscribe();
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let count = reader.read(&mut chunk).await.unwrap_or(0);
        let open = changes.wait_for(|cuts| cuts.get(&source) != Some(&CutLook::Silent));
        if open.await.is_err() || count == 0 || writer.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
