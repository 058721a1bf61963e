//! A TCP proxy whose connections share a limited bandwidth, one in each direction.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    task::JoinHandle,
    time::{self, Instant},
};

/// Maximum number of bytes forwarded at once, small enough that connections take turns.
const CHUNK_BYTES: usize = 4 << 10;

/// Time for which the link makes up when a timer fires late, so that it carries its whole bandwidth.
const TIMER_SLACK: Duration = Duration::from_millis(20);

/// A TCP proxy between an address of its own and a target, whose connections share one link.
#[derive(Debug)]
pub struct ThinLink {
    address: SocketAddr,
    task: JoinHandle<()>,
}

/// Bandwidth of one direction.
#[derive(Debug)]
struct LinkPacer {
    bytes_per_s: f64,
    free_at: Mutex<Instant>,
}

impl ThinLink {
    /// Listens on a free loopback port and forwards connections to `target`, with `bytes_per_s` in each direction.
    ///
    /// # Errors
    /// [`io::Error`] when the proxy cannot listen.
    pub async fn start(target: SocketAddr, bytes_per_s: f64) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let pacers = [LinkPacer::new(bytes_per_s), LinkPacer::new(bytes_per_s)].map(Arc::new);
        let task = tokio::spawn(accept_all(listener, target, pacers));
        Ok(Self { address, task })
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for ThinLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl LinkPacer {
    fn new(bytes_per_s: f64) -> Self {
        Self {
            bytes_per_s,
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Waits until the link has carried `bytes` after what was passed to it before.
    async fn carry(&self, bytes: usize) {
        let carried_at = {
            let mut free_at = self.free_at.lock().expect("no holder of the lock panics");
            let now = Instant::now();
            let earliest = now.checked_sub(TIMER_SLACK).unwrap_or(now);
            *free_at = (*free_at).max(earliest) + Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
            *free_at
        };
        time::sleep_until(carried_at).await;
    }
}

async fn accept_all(listener: TcpListener, target: SocketAddr, pacers: [Arc<LinkPacer>; 2]) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(forward_connection(stream, target, pacers.clone()));
        }
    }
}

async fn forward_connection(client: TcpStream, target: SocketAddr, [up, down]: [Arc<LinkPacer>; 2]) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    drop(client.set_nodelay(true).and_then(|()| server.set_nodelay(true)));
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    tokio::select! {
        () = forward_direction(client_reader, server_writer, &up) => {}
        () = forward_direction(server_reader, client_writer, &down) => {}
    }
}

/// Forwards one direction until it ends.
async fn forward_direction(mut reader: OwnedReadHalf, mut writer: OwnedWriteHalf, pacer: &LinkPacer) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let count = reader.read(&mut chunk).await.unwrap_or(0);
        pacer.carry(count).await;
        if count == 0 || writer.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
