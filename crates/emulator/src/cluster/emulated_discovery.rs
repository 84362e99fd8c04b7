//! An emulated discovery service for the dispatchers of a cluster, which counts their requests and watches.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use bytes::BytesMut;
use serde_json::{json, Value};
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::sockets::http::{self, chunk, CHUNKED};

/// Interval of empty lines on a watch while the list does not change.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// The service; clones share its state.
#[derive(Debug, Clone)]
pub struct EmulatedDiscovery {
    shared: Rc<RefCell<Shared>>,
    changed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Shared {
    revision: u64,
    /// By worker: the revision of its last change, and its entry.
    workers: BTreeMap<String, (u64, Value)>,
    /// Start times of workers in slow start, in Unix milliseconds.
    started_at: BTreeMap<usize, u64>,
    connections: u64,
    watches: u64,
    requests: u64,
    messages: u64,
    unresponsive: bool,
}

struct OpenWatch(Rc<RefCell<Shared>>);

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.0.borrow_mut().watches -= 1;
    }
}

impl EmulatedDiscovery {
    /// Returns a service that lists this number of workers as in service; none of them is reachable.
    pub fn new(workers: usize) -> EmulatedDiscovery {
        let discovery = EmulatedDiscovery { shared: Rc::default(), changed: watch::Sender::new(0) };
        (0..workers).for_each(|worker| discovery.set_unreachable(worker, "in_service"));
        discovery
    }

    /// Adds a reachable worker, or changes its address.
    pub fn add(&self, worker: usize, address: SocketAddr) {
        self.add_in("north", worker, address);
    }

    /// Adds a reachable worker in a zone, or changes its zone and address.
    pub fn add_in(&self, zone: &str, worker: usize, address: SocketAddr) {
        self.put(zone, worker, "in_service", &address.to_string());
    }

    /// Adds a reachable worker in a zone, with the present time as its start time, so that it is in slow start.
    pub fn add_in_slow_start(&self, zone: &str, worker: usize, address: SocketAddr) {
        self.record_start(worker);
        self.put(zone, worker, "in_service", &address.to_string());
    }

    /// Adds an unreachable worker, or changes its phase; its address has no listener.
    pub fn set_unreachable(&self, worker: usize, phase: &str) {
        self.put("north", worker, phase, &format!("127.0.0.1:{}", 9 + worker));
    }

    /// Changes the phase of a listed worker and keeps its address. The phase `in_service` also sets a new start time.
    pub fn set_phase(&self, worker: usize, phase: &str) {
        let entry = self.shared.borrow().workers.get(&format!("w-{worker:04}")).cloned();
        let Some((_, entry)) = entry else { return };
        if phase == "in_service" {
            self.record_start(worker);
        }
        let text = |key: &str| entry[key].as_str().unwrap_or_default().to_owned();
        self.put(&text("locality"), worker, phase, &text("host_port"));
    }

    fn record_start(&self, worker: usize) {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        self.shared.borrow_mut().started_at.insert(worker, unix.as_millis() as u64);
    }

    fn put(&self, zone: &str, worker: usize, phase: &str, address: &str) {
        let mut shared = self.shared.borrow_mut();
        shared.revision += 1;
        let id = format!("w-{worker:04}");
        let since = shared.started_at.get(&worker).copied().unwrap_or(0);
        let entry = json!({
            "id": id, "host_port": address, "locality": zone, "flavor": "small",
            "cell": 0, "phase": phase, "size": 1.0, "up_since_ms": since,
        });
        let revision = shared.revision;
        shared.workers.insert(id, (revision, entry));
        self.changed.send_replace(revision);
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.shared.borrow().connections
    }

    /// Returns the number of open watches.
    pub fn open_watches(&self) -> u64 {
        self.shared.borrow().watches
    }

    /// Returns the number of requests received so far.
    pub fn requests(&self) -> u64 {
        self.shared.borrow().requests
    }

    /// Returns the number of messages sent so far, including keepalives.
    pub fn messages(&self) -> u64 {
        self.shared.borrow().messages
    }

    /// Stops or resumes all sending, on open watches and in response to new requests.
    pub fn set_unresponsive(&self, unresponsive: bool) {
        self.shared.borrow_mut().unresponsive = unresponsive;
    }

    /// Returns the entries that changed after a revision; 0 stands for the full list, without terminated workers.
    fn list(&self, after: u64) -> Value {
        let shared = self.shared.borrow();
        let is_omitted = |entry: &Value| after == 0 && entry["phase"] == "terminated";
        let members =
            shared.workers.values().filter(|(revision, entry)| *revision > after && !is_omitted(entry));
        let members: Vec<&Value> = members.map(|(_, entry)| entry).collect();
        json!({"revision": shared.revision, "complete": after == 0, "members": members})
    }

    /// Serves all connections of a listener.
    pub async fn serve(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            self.shared.borrow_mut().connections += 1;
            let discovery = self.clone();
            spawn_local(async move {
                // Errors are expected: dispatchers close and reset connections, and faults interrupt them.
                let _ = discovery.connection(stream).await;
            });
        }
    }

    async fn wait_while_unresponsive(&self) {
        while self.shared.borrow().unresponsive {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn connection(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = BytesMut::new();
        loop {
            let Some(head) = http::head(&mut stream, &mut buffer, true, || {}).await? else { return Ok(()) };
            let _ = http::body(&mut stream, &mut buffer, &head).await?;
            self.shared.borrow_mut().requests += 1;
            self.wait_while_unresponsive().await;
            if head.path.contains("stream=1") {
                let index = head.path.rsplit_once("index=").and_then(|(_, index)| index.parse().ok());
                return self.watch(stream, index.unwrap_or(0)).await;
            }
            let list = self.list(0).to_string();
            let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            self.shared.borrow_mut().messages += 1;
            stream.write_all(response.as_bytes()).await?;
        }
    }

    async fn watch(&self, mut stream: TcpStream, mut revision: u64) -> io::Result<()> {
        self.shared.borrow_mut().watches += 1;
        let _open = OpenWatch(self.shared.clone());
        let mut changed = self.changed.subscribe();
        stream.write_all(CHUNKED).await?;
        let mut byte = [0];
        loop {
            self.wait_while_unresponsive().await;
            if self.shared.borrow().revision > revision {
                let line = self.list(revision).to_string();
                revision = self.shared.borrow().revision;
                self.shared.borrow_mut().messages += 1;
                stream.write_all(&chunk(&line)).await?;
            }
            tokio::select! {
                _ = changed.wait_for(|now| *now > revision) => {}
                () = tokio::time::sleep(KEEPALIVE_INTERVAL) => {
                    self.shared.borrow_mut().messages += 1;
                    stream.write_all(&chunk("")).await?;
                }
                // A dispatcher sends nothing after its request, so a readable socket means the end of the connection.
                _ = stream.peek(&mut byte) => return Ok(()),
            }
        }
    }
}
