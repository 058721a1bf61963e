//! TCP proxies around one process, whose whole traffic shares one link of limited bandwidth.

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
    sync::mpsc::{UnboundedReceiver, unbounded_channel},
    task::JoinHandle,
    time::{self, Instant},
};

/// Maximum number of bytes queued at once.
const CHUNK_BYTES: usize = 16 << 10;

/// Time for which the link makes up when a timer fires late, so that it carries its whole bandwidth.
const TIMER_SLACK: Duration = Duration::from_millis(20);

/// An IPv4 address in a message is a CBOR list of four numbers; that of a translated one begins with these bytes, for 127
/// and 255.
const ADDRESS_START: [u8; 5] = [0x84, 0x18, 127, 0x18, 255];

/// Third number of the addresses 127.255.1.x, at which processes beyond the link find each other and the one behind it.
const OUTSIDE_NET: u8 = 1;
/// Third number of the addresses 127.255.2.x, at which the process behind the link listens and finds the others.
const INSIDE_NET: u8 = 2;

/// Which side of the link opens a proxy's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkSide {
    /// The process behind the link.
    Inside,
    /// The processes beyond it.
    Outside,
}

/// A link whose proxies stand between one process and all others.
///
/// Bytes wait in the order of their arrival, whatever connection they belong to. Both sides state their addresses in
/// messages, so the link translates those of either side; else the others would reach the process past the link.
#[derive(Debug)]
pub struct NarrowLink {
    /// Directions to the process and from it.
    directions: [Arc<LinkDirection>; 2],
    tasks: Vec<JoinHandle<()>>,
}

/// One direction of the link.
#[derive(Debug)]
struct LinkDirection {
    bytes_per_s: f64,
    free_at: Mutex<Instant>,
    from_net: u8,
    to_net: u8,
}

/// Translates addresses in a stream of bytes, which may be cut anywhere.
#[derive(Debug, Default)]
struct AddressRewriter {
    /// Number of bytes of an address that the stream ended with.
    matched: usize,
}

impl LinkSide {
    /// Returns the address of a numbered process as this side states it.
    #[must_use]
    pub fn address(self, number: u8, port: u16) -> SocketAddr {
        let net = match self {
            Self::Inside => INSIDE_NET,
            Self::Outside => OUTSIDE_NET,
        };
        SocketAddr::from(([127, 255, net, number], port))
    }
}

impl NarrowLink {
    /// Creates a link that carries `bytes_per_s` in each direction.
    #[must_use]
    pub fn new(bytes_per_s: f64) -> Self {
        let direction = |from_net, to_net| {
            Arc::new(LinkDirection {
                bytes_per_s,
                free_at: Mutex::new(Instant::now()),
                from_net,
                to_net,
            })
        };
        Self {
            directions: [direction(OUTSIDE_NET, INSIDE_NET), direction(INSIDE_NET, OUTSIDE_NET)],
            tasks: Vec::new(),
        }
    }

    /// Listens on an address and forwards connections, which come from the given side, to `target`; returns the address.
    ///
    /// # Errors
    /// [`io::Error`] when the proxy cannot listen.
    pub async fn forward(&mut self, address: SocketAddr, target: SocketAddr, side: LinkSide) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let [inward, outward] = self.directions.clone();
        let directions = match side {
            LinkSide::Inside => [outward, inward],
            LinkSide::Outside => [inward, outward],
        };
        self.tasks.push(tokio::spawn(accept_all(listener, target, directions)));
        Ok(address)
    }
}

impl Drop for NarrowLink {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl LinkDirection {
    /// Queues bytes and returns when the link will have carried them.
    fn queue(&self, bytes: usize) -> Instant {
        let mut free_at = self.free_at.lock().expect("no holder of the lock panics");
        let now = Instant::now();
        let earliest = now.checked_sub(TIMER_SLACK).unwrap_or(now);
        *free_at = (*free_at).max(earliest) + Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        *free_at
    }
}

impl AddressRewriter {
    fn rewrite(&mut self, bytes: &mut [u8], from_net: u8, to_net: u8) {
        for byte in bytes {
            if self.matched == ADDRESS_START.len() {
                self.matched = 0;
                if *byte == from_net {
                    *byte = to_net;
                    continue;
                }
            }
            self.matched = match *byte {
                next if next == ADDRESS_START[self.matched] => self.matched + 1,
                first if first == ADDRESS_START[0] => 1,
                _ => 0,
            };
        }
    }
}

async fn accept_all(listener: TcpListener, target: SocketAddr, directions: [Arc<LinkDirection>; 2]) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(forward_connection(stream, target, directions.clone()));
        }
    }
}

async fn forward_connection(client: TcpStream, target: SocketAddr, [up, down]: [Arc<LinkDirection>; 2]) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    drop(client.set_nodelay(true).and_then(|()| server.set_nodelay(true)));
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    tokio::join!(
        forward_direction(client_reader, server_writer, up),
        forward_direction(server_reader, client_writer, down),
    );
}

/// Forwards one direction until it ends, and then its end.
async fn forward_direction(mut reader: OwnedReadHalf, writer: OwnedWriteHalf, direction: Arc<LinkDirection>) {
    let (sender, receiver) = unbounded_channel();
    let writing = tokio::spawn(write_queued(receiver, writer));
    let mut rewriter = AddressRewriter::default();
    loop {
        let mut chunk = vec![0; CHUNK_BYTES];
        let count = reader.read(&mut chunk).await.unwrap_or(0);
        if count == 0 {
            break;
        }
        chunk.truncate(count);
        rewriter.rewrite(&mut chunk, direction.from_net, direction.to_net);
        if sender.send((direction.queue(count), chunk)).is_err() {
            break;
        }
    }
    drop(sender);
    drop(writing.await);
}

/// Writes chunks when the link has carried them.
async fn write_queued(mut receiver: UnboundedReceiver<(Instant, Vec<u8>)>, mut writer: OwnedWriteHalf) {
    while let Some((carried_at, chunk)) = receiver.recv().await {
        time::sleep_until(carried_at).await;
        if writer.write_all(&chunk).await.is_err() {
            return;
        }
    }
    drop(writer.shutdown().await);
}
