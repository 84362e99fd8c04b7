//! A proxy between processes that breaks what passes: delay, stall and cut by direction, reset in the middle of a
//! frame, a second connection that says the same again, a narrow line.
//!
//! Who connects is known by the address that it comes from, since each process of a harness has one of its own.

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

/// What is wrong with one direction between two processes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LinkFault {
    /// Nothing passes; what was sent waits.
    pub partitioned: bool,
    /// Everything is later by this.
    pub delay: Duration,
    /// Bytes a second, or 0 for as many as there are.
    pub bytes_per_second: u64,
    /// The part of new connections that are reset after a few bytes, in the middle of a frame.
    pub reset_probability: f64,
    /// The part of new connections whose bytes arrive a second time on a connection of their own.
    pub duplicate_probability: f64,
}

/// Who a process is to the proxies of a harness.
pub type NodeId = usize;

/// The directions that are in fault.
#[derive(Debug)]
pub struct FaultyNetwork {
    link_faults: BTreeMap<(NodeId, NodeId), LinkFault>,
    nodes: BTreeMap<IpAddr, NodeId>,
    random: Pcg64,
    /// Connections that were reset.
    pub resets: u64,
    /// Connections whose bytes were duplicated.
    pub duplicates: u64,
    /// Bytes that were carried, both ways.
    pub bytes: u64,
}

/// All proxies of a harness share it.
pub type SharedNetwork = Rc<RefCell<FaultyNetwork>>;

impl FaultyNetwork {
    /// A net without faults, where connections from these addresses are known.
    pub fn new(names: BTreeMap<IpAddr, NodeId>, seed: u64) -> SharedNetwork {
        let random = Pcg64::seed_from_u64(seed);
        Rc::new(RefCell::new(FaultyNetwork {
            link_faults: BTreeMap::new(),
            nodes: names,
            random,
            resets: 0,
            duplicates: 0,
            bytes: 0,
        }))
    }

    /// Changes one direction.
    pub fn update_link(&mut self, from: NodeId, to: NodeId, change: impl FnOnce(&mut LinkFault)) {
        change(self.link_faults.entry((from, to)).or_default());
    }

    /// Ends all faults but cuts.
    pub fn clear_all_but_partitions(&mut self) {
        for link in self.link_faults.values_mut() {
            *link = LinkFault { partitioned: link.partitioned, ..LinkFault::default() };
        }
    }

    /// Ends all faults.
    pub fn clear_faults(&mut self) {
        self.link_faults.clear();
    }

    fn link(&self, from: NodeId, to: NodeId) -> LinkFault {
        self.link_faults.get(&(from, to)).copied().unwrap_or_default()
    }
}

/// Stands before a process for as long as the listener lasts.
pub async fn run_proxy(network: SharedNetwork, listener: TcpListener, name: NodeId, target: SocketAddr) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        let from = network.borrow().nodes.get(&from.ip()).copied();
        // A stranger, such as an operator's tool, passes untouched, as from itself.
        spawn_local(relay(network.clone(), stream, from.unwrap_or(name), name, target));
    }
}

async fn relay(network: SharedNetwork, stream: TcpStream, from: NodeId, to: NodeId, target: SocketAddr) {
    let (reset, double) = {
        let mut network = network.borrow_mut();
        let link = network.link(from, to);
        let reset = network
            .random
            .random_bool(link.reset_probability)
            .then(|| network.random.random_range(1..200usize));
        let double = network.random.random_bool(link.duplicate_probability);
        network.resets += u64::from(reset.is_some());
        network.duplicates += u64::from(double);
        (reset, double)
    };
    let Ok(other) = TcpStream::connect(target).await else { return };
    let _ = (stream.set_nodelay(true), other.set_nodelay(true));
    let second = if double { TcpStream::connect(target).await.ok() } else { None };
    let (near_read, near_write) = stream.into_split();
    let (far_read, far_write) = other.into_split();
    let (second_read, second_write) = second.map(TcpStream::into_split).unzip();
    // What is said back to the doubled bytes is read and dropped, so that it does not block the other end.
    if let Some(mut read) = second_read {
        spawn_local(async move {
            let mut sink = [0; 4_096];
            while matches!(read.read(&mut sink).await, Ok(n) if n > 0) {}
        });
    }
    let there = copy_one_way(network.clone(), (from, to), near_read, far_write, second_write, reset);
    let back = copy_one_way(network.clone(), (to, from), far_read, near_write, None, None);
    // Either end closing ends both, as does the reset.
    tokio::select! {
        () = there => {}
        () = back => {}
    }
}

async fn copy_one_way(
    network: SharedNetwork,
    (from, to): (NodeId, NodeId),
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
    mut second: Option<OwnedWriteHalf>,
    reset: Option<usize>,
) {
    let (sender, mut chunks) = mpsc::channel::<(Instant, Vec<u8>)>(64);
    let delays = network.clone();
    // It owns the sender: with the end of what is read the writer ends too, and the connection closes.
    let reader = async move {
        let mut buffer = vec![0; 16_384];
        loop {
            let Ok(n) = read.read(&mut buffer).await else { return };
            if n == 0 {
                return;
            }
            let due = Instant::now() + delays.borrow().link(from, to).delay;
            if sender.send((due, buffer[..n].to_vec())).await.is_err() {
                return;
            }
        }
    };
    let mut left = reset;
    let writer = async {
        while let Some((due, mut chunk)) = chunks.recv().await {
            sleep_until(due).await;
            while network.borrow().link(from, to).partitioned {
                sleep(Duration::from_millis(5)).await;
            }
            if let Some(left) = &mut left {
                if chunk.len() >= *left {
                    chunk.truncate(*left);
                    let _ = write.write_all(&chunk).await;
                    return;
                }
                *left -= chunk.len();
            }
            let rate = network.borrow().link(from, to).bytes_per_second;
            network.borrow_mut().bytes += chunk.len() as u64;
            let piece = if rate == 0 { chunk.len() } else { (rate / 50).max(1) as usize };
            for piece in chunk.chunks(piece) {
                if write.write_all(piece).await.is_err() {
                    return;
                }
                if rate != 0 {
                    sleep(Duration::from_millis(20)).await;
                }
            }
            if let Some(second) = &mut second {
                let _ = second.write_all(&chunk).await;
            }
        }
    };
    tokio::select! {
        // What was read before the end is still delivered.
        () = async { reader.await; std::future::pending::<()>().await } => {}
        () = writer => {}
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
