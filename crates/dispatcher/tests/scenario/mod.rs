//! The scenario language: one step a line, played in order against a dispatcher in this process.
//!
//! | step | meaning |
//! | --- | --- |
//! | `set PATH JSON` | a figure of the configuration, before the first other step |
//! | `workers N` | so many workers, the same way |
//! | `PARTY send raw TEXT` | these bytes; `\r`, `\n`, `\x` (a letter that is not ASCII) and `*N` (the byte before, N times) are understood |
//! | `PARTY send job ID [HEADER]...` | a job of class `safe`; `keyed` after the id: of class `keyed` |
//! | `PARTY send ok`, `line JSON`, `end` | a chunked 200, one line of it, its last chunk |
//! | `PARTY send done ID RESULT` | the three of these: a whole answer |
//! | `PARTY send whole REVISION whole [N=PHASE]...` | the whole list, as one message |
//! | `PARTY send indented REVISION whole|changes [N=PHASE]...` | the same, laid out over many lines |
//! | `PARTY send list REVISION whole|changes [N=PHASE]...` | a line of discovery on these workers |
//! | `PARTY expect` | one whole message, noted in the transcript |
//! | `PARTY expect close` | the end of the connection, with nothing before it |
//! | `workers expect ID alone` | the next request that any worker gets has this id; connections that come before it end with nothing sent |
//! | `PARTY expect nothing` | nothing has come so far: what was awaited by then came before it |
//! | `PARTY expect end` | the other side has ended its sending in good order, with nothing before it: no reset |
//! | `PARTY close [sending]` | close the connection, or one direction of it |
//! | `PARTY reset` | end the connection with a reset |
//! | `wait MS` | let time pass |
//! | `limit S` | each step from here on is done within so many seconds, or the scenario fails |
//! | `program send TERM`, `program expect` | the signal; the program's end |
//! | `file PATH JSON`, `file discovery elsewhere`, `file raw TEXT` | the configuration file is changed |
//! | `program send HUP` | the file is to be read again |
//! | `program send CLOSING` | the phase in which idle connections are closed, at once |
//! | `listener N close`, `jam`, `free` | worker N refuses connections; lets none come up; lets them again |
//!
//! `client...` connects at its first step; `worker...` is the next connection that any worker gets,
//! `discovery...` the next one that discovery gets and `elsewhere...` the next one at its other address. Each wait for something is bounded, far above what a slow
//! machine needs, so that only a real fault fails.

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

/// No wait for something that must come takes longer.
const LIMIT: Duration = Duration::from_secs(30);

/// Plays a script; returns the transcript.
pub fn play(script: &str) -> String {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let mut stage = Stage::set(script).await;
        let mut limit = LIMIT;
        for step in script.lines().map(str::trim).filter(|l| !l.is_empty() && !l.starts_with('#')) {
            if let Some(seconds) = step.strip_prefix("limit ") {
                limit = Duration::from_secs_f64(seconds.parse().expect("seconds"));
                continue;
            }
            match timeout(limit, stage.step(step)).await {
                Ok(()) => {}
                Err(_) => panic!("nothing came at '{step}'; so far:\n{}", stage.transcript),
            }
        }
        stage.transcript
    })
}

struct Stage {
    parties: HashMap<String, Party>,
    front: SocketAddr,
    at_workers: mpsc::UnboundedReceiver<TcpStream>,
    at_discovery: mpsc::UnboundedReceiver<TcpStream>,
    at_elsewhere: mpsc::UnboundedReceiver<TcpStream>,
    elsewhere: SocketAddr,
    file: Rc<RefCell<Value>>,
    hangup: mpsc::Sender<()>,
    listeners: Vec<WorkerListener>,
    jam: Vec<socket2::Socket>,
    jammed: Option<TcpStream>,
    phase: watch::Sender<shutdown::ShutdownPhase>,
    program: JoinHandle<std::io::Result<()>>,
    longest: u64,
    transcript: String,
}

/// A listener of a worker, with its address.
struct WorkerListener {
    task: JoinHandle<()>,
    address: SocketAddr,
}

/// A listener whose connections go to the queue.
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

fn put(root: &mut Value, path: &str, value: Value) {
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

impl Stage {
    #[expect(clippy::too_many_lines, reason = "one configuration, read in one piece")]
    async fn set(script: &str) -> Stage {
        let (to_workers, at_workers) = mpsc::unbounded_channel();
        let (to_discovery, at_discovery) = mpsc::unbounded_channel();
        let (to_elsewhere, at_elsewhere) = mpsc::unbounded_channel();
        let discovery = listen(to_discovery).await.address.to_string();
        let mut config = json!({
            "name": "n1", "seed": "1", "listen": "127.0.0.1:0",
            "discovery": discovery,
            "known": {"revision": 5, "complete": true, "members": []},
            "settings": {
                "azs": ["north"], "flavors": ["m1"], "balancers": 1, "slot-no": 0, "zone": 0,
                "profiles": [
                    {"name": "safe", "idempotency": "free", "promise-s": 5.0, "deadline-s": 20.0},
                    {"name": "keyed", "idempotency": "guarded", "key-scope": "cell", "window-s": 15.0,
                     "promise-s": 5.0, "deadline-s": 20.0}],
                "projects": [{"name": "acme", "share": 1.0, "quota-per-s": 1000.0}],
                "caps": {"cancel": true, "send-cap": 4, "retry-after": true, "max-retry-after-s": 2.0,
                         "dial-timeout-s": 10.0, "keepalive-s": 60.0},
                // Long, so that no further watch is opened beside one that a script answers late.
                "obligations": {"drain-grace-s": 60.0},
                "family-info": {"tells-start": true}, "resolution-s": 0.005}});
        let mut workers = 1;
        for words in script.lines().map(|l| l.split_whitespace().collect::<Vec<_>>()) {
            match words[..] {
                ["set", path, value] => put(&mut config, path, value.parse().expect("JSON")),
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
        let (hangup, asked) = mpsc::channel(1);
        let changed = file.clone();
        let variable = move |name: &str| Some(discovery.clone()).filter(|_| name == "BALANCER_DISCOVERY");
        let read = Box::new(move |old: &Config| match &*changed.borrow() {
            Value::String(raw) => old.replace(raw, &variable),
            file => old.replace(&file.to_string(), &variable),
        });
        let longest = config.longest_timeout;
        let front = TcpListener::bind(config.listen).await.expect("a port");
        let address = front.local_addr().expect("an address");
        let (phase, phases) = watch::channel(shutdown::ShutdownPhase::Serving);
        let program = spawn_local(net::serve(net::ServeParameters {
            config,
            listener: front,
            phase: phases,
            reload: reload::Reload { requests: asked, read },
        }));
        Stage {
            parties: HashMap::new(),
            front: address,
            at_workers,
            at_discovery,
            at_elsewhere,
            elsewhere: listen(to_elsewhere).await.address,
            file,
            hangup,
            listeners,
            jam: Vec::new(),
            jammed: None,
            phase,
            program,
            longest,
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
                let (phase, longest) = (self.phase.clone(), self.longest);
                spawn_local(async move { shutdown::run_phases(&phase, longest).await });
            }
            ["program", "send", "CLOSING"] => drop(self.phase.send_replace(shutdown::ShutdownPhase::Closing)),
            ["program", "send", "HUP"] => {
                self.hangup.send(()).await.expect("a program");
                // The file is read in the same turn in which the wish is taken.
                while self.hangup.capacity() == 0 {
                    tokio::task::yield_now().await;
                }
            }
            ["file", "discovery", "elsewhere"] => {
                put(&mut self.file.borrow_mut(), "discovery", json!(self.elsewhere.to_string()));
            }
            ["file", "raw", text] => *self.file.borrow_mut() = json!(text),
            ["file", path, value] => put(&mut self.file.borrow_mut(), path, value.parse().expect("JSON")),
            ["workers", "expect", id, "alone"] => loop {
                let stream = self.at_workers.recv().await.expect("a connection");
                let mut party = Party::server(stream);
                let seen = party.message().await;
                if seen != ENDED {
                    assert!(seen.contains(&format!("Request-Id: {id},")), "found {seen:?}");
                    break;
                }
                assert!(party.buffer.is_empty(), "found {:?}", party.buffer);
            },
            ["program", "expect"] => (&mut self.program).await.expect("no panic").expect("an orderly end"),
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
                    "{name}: something has come\n{}",
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
            _ => panic!("no step of the language: {step}"),
        }
    }

    /// The party of this name, which may have to come first.
    async fn party(&mut self, name: &str) -> &mut Party {
        if !self.parties.contains_key(name) {
            let party = match name {
                _ if name.starts_with("client") => {
                    TcpStream::connect(self.front).await.ok().map(Party::client)
                }
                _ if name.starts_with("worker") => self.at_workers.recv().await.map(Party::server),
                _ if name.starts_with("discovery") => self.at_discovery.recv().await.map(Party::server),
                _ if name.starts_with("elsewhere") => self.at_elsewhere.recv().await.map(Party::server),
                _ => panic!("nobody is called {name}"),
            };
            self.parties.insert(name.to_owned(), party.expect("a connection"));
        }
        self.parties.get_mut(name).expect("a party")
    }

    /// Replaces a worker's listener by one that has no room for a connection.
    async fn jam(&mut self, number: usize) {
        let WorkerListener { task, address } = &mut self.listeners[number - 1];
        task.abort();
        let _ = task.await;
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.set_reuse_address(true).expect("a reusable address");
        socket.bind(&(*address).into()).expect("the same address");
        socket.listen(0).expect("a listener");
        self.jam = vec![socket];
        self.jammed = timeout(LIMIT, TcpStream::connect(*address)).await.ok().and_then(Result::ok);
        assert!(self.jammed.is_some(), "one connection fills it");
    }

    /// Makes room again: the next connection that comes up is a worker's.
    async fn free(&mut self) {
        self.jammed = None;
        let listener: std::net::TcpListener = self.jam.pop().expect("a jammed listener").into();
        listener.set_nonblocking(true).expect("a listener");
        let listener = TcpListener::from_std(listener).expect("a listener");
        let _ = listener.accept().await;
        let (queue, at_workers) = mpsc::unbounded_channel();
        self.at_workers = at_workers;
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = queue.send(stream);
            }
        });
    }
}
