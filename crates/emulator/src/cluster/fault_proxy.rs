//! Proxy between processes that injects faults by direction: delay, partition, a reset in the middle of a frame, a
//! second connection with the same bytes, a limited bandwidth.
//!
//! The process that connects is identified by its source address, because each process of a harness has its own.

#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};

/// Faults of one direction between two processes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LinkFault {
    /// Whether no bytes pass; bytes that are sent during the partition are delivered after its end.
    pub partitioned: bool,
    /// Additional delay of all bytes.
    pub delay: Duration,
    /// Bandwidth in bytes per second; 0 means no limit.
    pub bytes_per_second: u64,
    /// Fraction of new connections that are reset after a few bytes, in the middle of a frame.
    pub reset_probability: f64,
    /// Fraction of new connections whose bytes arrive a second time, on a second connection.
    pub duplicate_probability: f64,
}

/// Identifies a process to the proxies of a harness.
pub type NodeId = usize;

/// A direction between two processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Direction {
    /// The sender.
    pub from: NodeId,
    /// The receiver.
    pub to: NodeId,
}

impl Direction {
    fn reversed(self) -> Direction {
        Direction { from: self.to, to: self.from }
    }
}

/// Links between the processes of a harness, with their faults.
#[derive(Debug)]
pub struct FaultyNetwork {
    link_faults: BTreeMap<Direction, LinkFault>,
    nodes: BTreeMap<IpAddr, NodeId>,
    random: Pcg64,
    /// Number of connections that were reset.
    pub resets: u64,
    /// Number of connections whose bytes were duplicated.
    pub duplicates: u64,
    /// Number of bytes that were forwarded, in all directions.
    pub bytes: u64,
}

/// A network shared by all proxies of a harness.
pub type SharedNetwork = Rc<RefCell<FaultyNetwork>>;

impl FaultyNetwork {
    /// Returns a network without faults, whose processes connect from these addresses.
    pub fn new(nodes: BTreeMap<IpAddr, NodeId>, seed: u64) -> SharedNetwork {
        let random = Pcg64::seed_from_u64(seed);
        Rc::new(RefCell::new(FaultyNetwork {
            link_faults: BTreeMap::new(),
            nodes,
            random,
            resets: 0,
            duplicates: 0,
            bytes: 0,
        }))
    }

    /// Changes the faults of one direction.
    pub fn update_link(&mut self, direction: Direction, change: impl FnOnce(&mut LinkFault)) {
        change(self.link_faults.entry(direction).or_default());
    }

    /// Ends all faults but partitions.
    pub fn clear_all_but_partitions(&mut self) {
        for link in self.link_faults.values_mut() {
            *link = LinkFault { partitioned: link.partitioned, ..LinkFault::default() };
        }
    }

    /// Ends all faults.
    pub fn clear_faults(&mut self) {
        self.link_faults.clear();
    }

    fn link(&self, direction: Direction) -> LinkFault {
        self.link_faults.get(&direction).copied().unwrap_or_default()
    }

    /// Draws the faults of a new connection, and counts them.
    fn draw_connection_faults(&mut self, direction: Direction) -> ConnectionFaults {
        let link = self.link(direction);
        let is_reset = self.random.random_bool(link.reset_probability);
        let reset_after = is_reset.then(|| self.random.random_range(RESET_AFTER_BYTES));
        let is_duplicated = self.random.random_bool(link.duplicate_probability);
        self.resets += u64::from(reset_after.is_some());
        self.duplicates += u64::from(is_duplicated);
        ConnectionFaults { reset_after, is_duplicated }
    }
}

/// Range of the bytes after which a connection is reset.
const RESET_AFTER_BYTES: std::ops::Range<usize> = 1..200;
/// Maximum number of chunks that are queued in one direction of a connection.
const MAX_QUEUED_CHUNKS: usize = 64;
/// Maximum length of a chunk, in bytes.
const CHUNK_BYTES: usize = 16_384;
/// Interval at which a partitioned direction checks whether the partition has ended.
const PARTITION_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of pieces per second that a link with limited bandwidth forwards.
const PIECES_PER_SECOND: u64 = 50;

/// Faults of one connection.
struct ConnectionFaults {
    /// Number of bytes after which the connection is reset; `None` if it is not reset.
    reset_after: Option<usize>,
    /// Whether its bytes arrive a second time.
    is_duplicated: bool,
}

/// Forwards connections to a process until the task is aborted.
pub async fn run_proxy(network: SharedNetwork, listener: TcpListener, node: NodeId, target: SocketAddr) {
    loop {
        let Ok((stream, source)) = listener.accept().await else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        // A connection from an unknown address, such as that of an operator's tool, has no faults: it is treated as one
        // from the process to itself.
        let from = network.borrow().nodes.get(&source.ip()).copied().unwrap_or(node);
        spawn_local(relay(network.clone(), stream, Direction { from, to: node }, target));
    }
}

async fn relay(network: SharedNetwork, client: TcpStream, direction: Direction, target: SocketAddr) {
    let faults = network.borrow_mut().draw_connection_faults(direction);
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let duplicate = if faults.is_duplicated { TcpStream::connect(target).await.ok() } else { None };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let (duplicate_read, duplicate_write) = duplicate.map(TcpStream::into_split).unzip();
    if let Some(read) = duplicate_read {
        spawn_local(discard(read));
    }
    let sink =
        Sink { write: server_write, duplicate: duplicate_write, bytes_until_reset: faults.reset_after };
    let forward = copy_one_way(network.clone(), direction, client_read, sink);
    let sink = Sink { write: client_write, duplicate: None, bytes_until_reset: None };
    let back = copy_one_way(network.clone(), direction.reversed(), server_read, sink);
    // The connection ends in both directions when either end closes it or it is reset.
    tokio::select! {
        () = forward => {}
        () = back => {}
    }
}

/// Reads and drops the responses to duplicated bytes, so that they do not block the other end.
async fn discard(mut read: OwnedReadHalf) {
    let mut buffer = [0; 4_096];
    while matches!(read.read(&mut buffer).await, Ok(count) if count > 0) {}
}

/// Bytes that arrived, with the time at which they are due to be forwarded.
struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
}

/// The receiving end of one direction of a connection.
struct Sink {
    write: OwnedWriteHalf,
    /// Second connection that receives the same bytes.
    duplicate: Option<OwnedWriteHalf>,
    /// Number of remaining bytes after which the connection is reset; `None` if it is not reset.
    bytes_until_reset: Option<usize>,
}

impl Sink {
    /// Counts the bytes of a chunk. If the reset of the connection is due within the chunk, forwards the bytes up to it
    /// and returns true.
    async fn reset_is_due(&mut self, bytes: &[u8]) -> bool {
        let Some(remaining) = &mut self.bytes_until_reset else { return false };
        if bytes.len() >= *remaining {
            let _ = self.write.write_all(&bytes[..*remaining]).await;
            return true;
        }
        *remaining -= bytes.len();
        false
    }

    /// Forwards a chunk with this bandwidth; 0 means no limit.
    async fn forward(&mut self, bytes: &[u8], bytes_per_second: u64) -> std::io::Result<()> {
        let is_limited = bytes_per_second != 0;
        let piece_length =
            if is_limited { (bytes_per_second / PIECES_PER_SECOND).max(1) as usize } else { bytes.len() };
        for piece in bytes.chunks(piece_length) {
            self.write.write_all(piece).await?;
            if is_limited {
                sleep(Duration::from_millis(1_000 / PIECES_PER_SECOND)).await;
            }
        }
        if let Some(duplicate) = &mut self.duplicate {
            let _ = duplicate.write_all(bytes).await;
        }
        Ok(())
    }
}

async fn copy_one_way(network: SharedNetwork, direction: Direction, read: OwnedReadHalf, mut sink: Sink) {
    let (sender, mut chunks) = mpsc::channel::<Chunk>(MAX_QUEUED_CHUNKS);
    let reader = read_chunks(network.clone(), direction, read, sender);
    let writer = async {
        while let Some(chunk) = chunks.recv().await {
            sleep_until(chunk.due).await;
            while network.borrow().link(direction).partitioned {
                sleep(PARTITION_POLL_INTERVAL).await;
            }
            if sink.reset_is_due(&chunk.bytes).await {
                return;
            }
            let bytes_per_second = network.borrow().link(direction).bytes_per_second;
            network.borrow_mut().bytes += chunk.bytes.len() as u64;
            if sink.forward(&chunk.bytes, bytes_per_second).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        // Bytes that were read before the end are still delivered.
        () = async { reader.await; std::future::pending::<()>().await } => {}
        () = writer => {}
    }
}

/// Reads chunks until the connection ends. The sender is dropped then, so that the writer ends too.
async fn read_chunks(
    network: SharedNetwork,
    direction: Direction,
    mut read: OwnedReadHalf,
    sender: mpsc::Sender<Chunk>,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let Ok(count) = read.read(&mut buffer).await else { return };
        if count == 0 {
            return;
        }
        let due = Instant::now() + network.borrow().link(direction).delay;
        if sender.send(Chunk { due, bytes: buffer[..count].to_vec() }).await.is_err() {
            return;
        }
    }
}
