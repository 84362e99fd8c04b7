//! The scenario language: one step per line, run in order against a dispatcher in the process of the test.
//!
//! | step | meaning |
//! | --- | --- |
//! | `set PATH JSON` | sets a value of the configuration; must come before all other steps |
//! | `workers N` | sets the number of workers; must come before all other steps |
//! | `PARTY send raw TEXT` | sends these bytes, with the escapes `\r`, `\n`, `\x` (a letter that is not ASCII) and `*N` (the byte before, N times) |
//! | `PARTY send job ID [HEADER]...` | sends a job of class `safe`, or of class `keyed` with `keyed` after the id |
//! | `PARTY send ok`, `line JSON`, `end` | sends the head of a chunked 200, one line of its body, its last chunk |
//! | `PARTY send done ID RESULT` | sends these three as one complete response |
//! | `PARTY send whole REVISION whole [N=PHASE]...` | sends the complete list as one response with a known length |
//! | `PARTY send indented REVISION whole|changes [N=PHASE]...` | sends a list as one chunk, indented over many lines |
//! | `PARTY send list REVISION whole|changes [N=PHASE]...` | sends a list of these workers as one line of a watch |
//! | `PARTY expect` | waits for one complete message and adds it to the transcript |
//! | `PARTY expect close` | waits for the end of the connection, of any kind, with no bytes before it |
//! | `workers expect ID alone` | waits for the next request that any worker receives, which must have this id; connections before it must end with nothing sent |
//! | `PARTY expect nothing` | checks that no byte has arrived yet |
//! | `PARTY expect end` | waits until the peer closes its sending direction without a reset, with no bytes before |
//! | `PARTY close [sending]` | closes the connection, or only its sending direction |
//! | `PARTY reset` | resets the connection |
//! | `wait MS` | waits for this time |
//! | `limit S` | sets the timeout of each further step; the scenario fails if a step exceeds it |
//! | `program send TERM`, `program expect` | starts a graceful shutdown of the dispatcher; waits for its end |
//! | `file PATH JSON`, `file discovery elsewhere`, `file raw TEXT` | changes the configuration file |
//! | `program send HUP` | lets the dispatcher reload the configuration file |
//! | `program send CLOSING` | starts the shutdown phase in which idle connections are closed |
//! | `listener N close`, `jam`, `free` | worker N refuses connections; lets connection attempts hang; accepts them again |
//!
//! `client...` connects at its first step. `worker...` is the next connection that any worker accepts, `discovery...`
//! the next one that discovery accepts, and `elsewhere...` the next one at discovery's other address. Each wait has a
//! timeout far above the needs of a slow machine, so that only a real fault fails a scenario.

mod messages;
mod party;

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dispatcher::config::Config;
use dispatcher::net::{self, reload, shutdown};
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::{sleep, timeout};

use messages::{encode, list_entry};
use party::{Party, ENDED};

/// Timeout of each step, unless `limit` sets another one.
const DEFAULT_STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a script and returns the transcript.
pub fn run(script: &str) -> String {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let mut harness = Harness::start(script).await;
        let mut limit = DEFAULT_STEP_TIMEOUT;
        for step in script.lines().map(str::trim).filter(|l| !l.is_empty() && !l.starts_with('#')) {
            if let Some(seconds) = step.strip_prefix("limit ") {
                limit = Duration::from_secs_f64(seconds.parse().expect("seconds"));
                continue;
            }
            match timeout(limit, harness.step(step)).await {
                Ok(()) => {}
                Err(_) => panic!("timeout at '{step}'; transcript so far:\n{}", harness.transcript),
            }
        }
        harness.transcript
    })
}

/// A dispatcher that runs in this process, and everything that a script connects to it.
struct Harness {
    parties: HashMap<String, Party>,
    dispatcher_address: SocketAddr,
    worker_connections: mpsc::UnboundedReceiver<TcpStream>,
    discovery_connections: mpsc::UnboundedReceiver<TcpStream>,
    elsewhere_connections: mpsc::UnboundedReceiver<TcpStream>,
    /// Second address of discovery, which a reload can set.
    elsewhere: SocketAddr,
    config_file: Rc<RefCell<Value>>,
    reload_requests: mpsc::Sender<()>,
    listeners: Vec<WorkerListener>,
    /// Worker's listener whose queue is full, between `jam` and `free`; at most one.
    full_listener: Vec<socket2::Socket>,
    /// Connection that fills the queue of `full_listener`.
    queued_connection: Option<TcpStream>,
    phase: watch::Sender<shutdown::ShutdownPhase>,
    dispatcher: JoinHandle<std::io::Result<()>>,
    longest_timeout: u64,
    transcript: String,
}

/// A worker's listener, with its address.
struct WorkerListener {
    task: JoinHandle<()>,
    address: SocketAddr,
}

/// Starts a listener that passes its connections to the queue.
async fn listen(queue: mpsc::UnboundedSender<TcpStream>) -> WorkerListener {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let task = spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = queue.send(stream);
        }
    });
    WorkerListener { task, address }
}

/// Sets the value at a path of keys and indices, separated by dots.
fn set_path(root: &mut Value, path: &str, value: Value) {
    let place = path.split('.').fold(root, |at, key| match key.parse::<usize>() {
        Ok(index) => {
            let items = at.as_array_mut().expect("a list");
            items.resize(items.len().max(index + 1), Value::Null);
            &mut items[index]
        }
        Err(_) => &mut at[key],
    });
    *place = value;
}

impl Harness {
    #[expect(clippy::too_many_lines, reason = "one configuration, read in one piece")]
    async fn start(script: &str) -> Harness {
        let (to_workers, worker_connections) = mpsc::unbounded_channel();
        let (to_discovery, discovery_connections) = mpsc::unbounded_channel();
        let (to_elsewhere, elsewhere_connections) = mpsc::unbounded_channel();
        let discovery = listen(to_discovery).await.address.to_string();
        let mut config = json!({
            "name": "n1", "seed": "1", "listen": "127.0.0.1:0",
            "discovery": discovery,
            "limits": {"sockets": 1024, "memory_mb": 192},
            "known": {"revision": 5, "complete": true, "members": []},
            "settings": {
                "azs": ["north"], "flavors": ["m1"], "balancers": 1, "slot-no": 0, "zone": 0,
                "discovery": "watch",
                "profiles": [
                    {"name": "safe", "idempotency": "free", "promise-s": 5.0, "deadline-s": 20.0,
                     "late-worth": 0.0},
                    {"name": "keyed", "idempotency": "guarded", "key-scope": "cell", "window-s": 15.0,
                     "promise-s": 5.0, "deadline-s": 20.0, "late-worth": 0.0}],
                "clients": {"marks-retry": false},
                "projects": [{"name": "acme", "share": 1.0, "quota-per-s": 1000.0}],
                "caps": {"cancel": true, "send-cap": 4, "parallel-tries": false, "retry-after": true, "max-retry-after-s": 2.0,
                         "probes": false, "dial-timeout-s": 10.0, "keepalive-s": 60.0},
                // Long, so that no second watch is opened in parallel to one that a script answers late.
                "obligations": {"ask-within-s": 0.0, "drain-grace-s": 60.0, "cold-share": 0.1, "warm-within-s": 0.0,
                                "fall-multiple": 1.0, "tip-after-s": 1.0},
                "family-info": {"tells-start": true}, "resolution-s": 0.005}});
        let mut workers = 1;
        for words in script.lines().map(|l| l.split_whitespace().collect::<Vec<_>>()) {
            match words[..] {
                ["set", path, value] => set_path(&mut config, path, value.parse().expect("JSON")),
                ["workers", n] => workers = n.parse().expect("a number"),
                _ => {}
            }
        }
        let mut listeners = Vec::new();
        for number in 1..=workers {
            listeners.push(listen(to_workers.clone()).await);
            let entry = list_entry(number, listeners[number - 1].address, "in_service");
            config["known"]["members"].as_array_mut().expect("a list").push(entry);
        }
        let file = Rc::new(RefCell::new(config));
        let config = Config::parse(&file.borrow().to_string(), |_| None).expect("a configuration");
        let (reload_requests, reload_receiver) = mpsc::channel(1);
        let changed = file.clone();
        let variable = move |name: &str| Some(discovery.clone()).filter(|_| name == "BALANCER_DISCOVERY");
        let read = Box::new(move |old: &Config| match &*changed.borrow() {
            Value::String(raw) => old.replace(raw, &variable),
            file => old.replace(&file.to_string(), &variable),
        });
        let longest_timeout = config.longest_timeout;
        let listener = TcpListener::bind(config.listen).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (phase, phases) = watch::channel(shutdown::ShutdownPhase::Serving);
        let dispatcher = spawn_local(net::serve(net::ServeParameters {
            config,
            listener,
            phase: phases,
            reload: reload::Reload { requests: reload_receiver, read },
        }));
        Harness {
            parties: HashMap::new(),
            dispatcher_address: address,
            worker_connections,
            discovery_connections,
            elsewhere_connections,
            elsewhere: listen(to_elsewhere).await.address,
            config_file: file,
            reload_requests,
            listeners,
            full_listener: Vec::new(),
            queued_connection: None,
            phase,
            dispatcher,
            longest_timeout,
            transcript: String::new(),
        }
    }

    #[expect(clippy::too_many_lines, reason = "one arm for each step of the language")]
    async fn step(&mut self, step: &str) {
        let _ = writeln!(self.transcript, "{step}");
        let words: Vec<&str> = step.split_whitespace().collect();
        match words[..] {
            ["set", ..] | ["workers", _] => {}
            ["wait", ms] => sleep(Duration::from_millis(ms.parse().expect("milliseconds"))).await,
            ["program", "send", "TERM"] => {
                let (phase, longest_timeout) = (self.phase.clone(), self.longest_timeout);
                spawn_local(async move { shutdown::run_phases(&phase, longest_timeout).await });
            }
            ["program", "send", "CLOSING"] => drop(self.phase.send_replace(shutdown::ShutdownPhase::Closing)),
            ["program", "send", "HUP"] => {
                self.reload_requests.send(()).await.expect("a dispatcher");
                // The file is read in the same turn in which the reload request is received.
                while self.reload_requests.capacity() == 0 {
                    tokio::task::yield_now().await;
                }
            }
            ["file", "discovery", "elsewhere"] => {
                set_path(&mut self.config_file.borrow_mut(), "discovery", json!(self.elsewhere.to_string()));
            }
            ["file", "raw", text] => *self.config_file.borrow_mut() = json!(text),
            ["file", path, value] => {
                set_path(&mut self.config_file.borrow_mut(), path, value.parse().expect("JSON"))
            }
            ["workers", "expect", id, "alone"] => loop {
                let stream = self.worker_connections.recv().await.expect("a connection");
                let mut party = Party::server(stream);
                let seen = party.message().await;
                if seen != ENDED {
                    assert!(seen.contains(&format!("Request-Id: {id},")), "found {seen:?}");
                    break;
                }
                assert!(party.buffer.is_empty(), "found {:?}", party.buffer);
            },
            ["program", "expect"] => (&mut self.dispatcher).await.expect("no panic").expect("a regular end"),
            ["listener", n, "close"] => {
                let listener = &mut self.listeners[n.parse::<usize>().expect("a number") - 1];
                listener.task.abort();
                let _ = (&mut listener.task).await;
            }
            ["listener", n, "jam"] => self.jam(n.parse().expect("a number")).await,
            ["listener", _, "free"] => self.free().await,
            [name, "send", what, ..] => {
                let rest = step.splitn(4, ' ').nth(3).unwrap_or("");
                let workers: Vec<SocketAddr> =
                    self.listeners.iter().map(|listener| listener.address).collect();
                let bytes = encode(what, rest, &workers);
                let _ = self.party(name).await.stream.write_all(&bytes).await;
            }
            [name, "expect"] => {
                let seen = self.party(name).await.message().await;
                let _ = writeln!(self.transcript, "{seen}");
            }
            [name, "expect", "end"] => {
                let party = self.party(name).await;
                let read = party.stream.read_buf(&mut party.buffer).await;
                let error = party.stream.take_error().expect("the state of a socket");
                let good = matches!(read, Ok(0)) && error.is_none();
                assert!(good, "{name}: expected the end, found {read:?}, {error:?}\n{}", self.transcript);
            }
            [name, "expect", "nothing"] => {
                let party = self.party(name).await;
                let read = party.stream.try_read_buf(&mut party.buffer);
                let nothing = read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
                assert!(
                    nothing && party.buffer.is_empty(),
                    "{name}: unexpected bytes or end of the connection\n{}",
                    self.transcript
                );
            }
            [name, "expect", "close"] => {
                let party = self.party(name).await;
                while matches!(party.stream.read_buf(&mut party.buffer).await, Ok(1..)) {}
                let seen = String::from_utf8_lossy(&party.buffer).into_owned();
                assert!(seen.is_empty(), "{name}: expected the end, found {seen:?}\n{}", self.transcript);
            }
            [name, "close"] => drop(self.parties.remove(name)),
            [name, "reset"] => {
                self.party(name).await;
                let party = self.parties.remove(name).expect("a party");
                socket2::SockRef::from(&party.stream).set_linger(Some(Duration::ZERO)).expect("a socket");
            }
            [name, "close", "sending"] => {
                let _ = self.party(name).await.stream.shutdown().await;
            }
            _ => panic!("unknown step: {step}"),
        }
    }

    /// Returns the party of this name, and connects or accepts it at its first use.
    async fn party(&mut self, name: &str) -> &mut Party {
        if !self.parties.contains_key(name) {
            let party = match name {
                _ if name.starts_with("client") => {
                    TcpStream::connect(self.dispatcher_address).await.ok().map(Party::client)
                }
                _ if name.starts_with("worker") => self.worker_connections.recv().await.map(Party::server),
                _ if name.starts_with("discovery") => {
                    self.discovery_connections.recv().await.map(Party::server)
                }
                _ if name.starts_with("elsewhere") => {
                    self.elsewhere_connections.recv().await.map(Party::server)
                }
                _ => panic!("unknown party: {name}"),
            };
            self.parties.insert(name.to_owned(), party.expect("a connection"));
        }
        self.parties.get_mut(name).expect("a party")
    }

    /// Replaces a worker's listener by one whose queue is full, so that further connection attempts hang.
    async fn jam(&mut self, number: usize) {
        let WorkerListener { task, address } = &mut self.listeners[number - 1];
        task.abort();
        let _ = task.await;
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.set_reuse_address(true).expect("a reusable address");
        socket.bind(&(*address).into()).expect("the same address");
        socket.listen(0).expect("a listener");
        self.full_listener = vec![socket];
        self.queued_connection =
            timeout(DEFAULT_STEP_TIMEOUT, TcpStream::connect(*address)).await.ok().and_then(Result::ok);
        assert!(self.queued_connection.is_some(), "one connection fills the queue");
    }

    /// Accepts connections again; later connections are passed on as those of a worker.
    async fn free(&mut self) {
        self.queued_connection = None;
        let listener: std::net::TcpListener = self.full_listener.pop().expect("a full listener").into();
        listener.set_nonblocking(true).expect("a listener");
        let listener = TcpListener::from_std(listener).expect("a listener");
        let _ = listener.accept().await;
        let (queue, worker_connections) = mpsc::unbounded_channel();
        self.worker_connections = worker_connections;
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = queue.send(stream);
            }
        });
    }
}
