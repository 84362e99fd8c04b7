//! A proxy between processes that injects faults by direction: delay, partition, a reset in the middle of a frame, a second
//! connection with the same bytes, a narrow bandwidth.
//!
//! The process that connects is known by its source address, since each process of a harness has one of its own.

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
    /// Whether nothing passes; bytes that were sent wait.
    pub partitioned: bool,
    /// Additional delay of all bytes.
    pub delay: Duration,
    /// Bandwidth in bytes a second, or 0 without a limit.
    pub bytes_per_second: u64,
    /// Part of new connections that are reset after a few bytes, in the middle of a frame.
    pub reset_probability: f64,
    /// Part of new connections whose bytes arrive a second time on a connection of their own.
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
    /// Connections that were reset.
    pub resets: u64,
    /// Connections whose bytes were duplicated.
    pub duplicates: u64,
    /// Bytes that were carried, both ways.
    pub bytes: u64,
}

/// A network that all proxies of a harness share.
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
/// Chunks that wait in one direction of a connection, at most.
const MAX_QUEUED_CHUNKS: usize = 64;
/// Longest chunk that is read at once, in bytes.
const CHUNK_BYTES: usize = 16_384;
/// Time from one look whether a partition is over to the next.
const PARTITION_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Pieces a second into which a narrow link cuts its chunks.
const PIECES_PER_SECOND: u64 = 50;

/// Faults of one connection.
struct ConnectionFaults {
    /// Bytes after which the connection is reset.
    reset_after: Option<usize>,
    /// Whether its bytes arrive a second time.
    is_duplicated: bool,
}

/// Relays connections to a process until the task is aborted.
pub async fn run_proxy(network: SharedNetwork, listener: TcpListener, node: NodeId, target: SocketAddr) {
    loop {
        let Ok((stream, source)) = listener.accept().await else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        // Other programs, such as an operator's tool, pass without faults, as if the process connected to itself.
        let from = network.borrow().nodes.get(&source.ip()).copied().unwrap_or(node);
        spawn_local(relay(network.clone(), stream, Direction { from, to: node }, target));
    }
}

async fn relay(network: SharedNetwork, near: TcpStream, direction: Direction, target: SocketAddr) {
    let faults = network.borrow_mut().draw_connection_faults(direction);
    let Ok(far) = TcpStream::connect(target).await else { return };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let duplicate = if faults.is_duplicated { TcpStream::connect(target).await.ok() } else { None };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let (duplicate_read, duplicate_write) = duplicate.map(TcpStream::into_split).unzip();
    if let Some(read) = duplicate_read {
        spawn_local(discard(read));
    }
    let sink = Sink { write: far_write, duplicate: duplicate_write, bytes_until_reset: faults.reset_after };
    let forward = copy_one_way(network.clone(), direction, near_read, sink);
    let sink = Sink { write: near_write, duplicate: None, bytes_until_reset: None };
    let back = copy_one_way(network.clone(), direction.reversed(), far_read, sink);
    // Either end closing ends both, as does the reset.
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

/// Bytes that arrived, with the time at which they are to be forwarded.
struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
}

/// The receiving end of one direction of a connection.
struct Sink {
    write: OwnedWriteHalf,
    /// Second connection that gets the same bytes.
    duplicate: Option<OwnedWriteHalf>,
    /// Bytes after which the connection is reset.
    bytes_until_reset: Option<usize>,
}

impl Sink {
    /// Counts a chunk towards the reset of the connection. If it is due, forwards the bytes up to it and returns true.
    async fn reset_is_due(&mut self, bytes: &[u8]) -> bool {
        let Some(left) = &mut self.bytes_until_reset else { return false };
        if bytes.len() >= *left {
            let _ = self.write.write_all(&bytes[..*left]).await;
            return true;
        }
        *left -= bytes.len();
        false
    }

    /// Forwards a chunk at a bandwidth in bytes a second, 0 without a limit.
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

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::task::LocalSet;
    use tokio::time::timeout;

    /// Found by schedules that ran out of descriptors: what one end closed stayed open at the other for ever.
    #[test]
    fn a_connection_that_one_end_closes_closes_at_the_other_after_what_was_said() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async {
            let (target, door) = (
                TcpListener::bind("127.0.0.1:0").await.unwrap(),
                TcpListener::bind("127.0.0.1:0").await.unwrap(),
            );
            let at = door.local_addr().unwrap();
            spawn_local(run_proxy(
                FaultyNetwork::new(BTreeMap::new(), 1),
                door,
                0,
                target.local_addr().unwrap(),
            ));
            let mut near = TcpStream::connect(at).await.unwrap();
            let (mut far, _) = target.accept().await.unwrap();
            near.write_all(b"the last word").await.unwrap();
            drop(near);
            let mut heard = Vec::new();
            let read = timeout(Duration::from_secs(5), far.read_to_end(&mut heard)).await;
            assert!(read.is_ok(), "it stays open");
            assert_eq!(heard, b"the last word");
        });
    }
}
