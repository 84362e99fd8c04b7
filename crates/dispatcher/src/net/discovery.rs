//! Follows discovery: a watch that is opened again from the last revision whenever it ends or falls silent,
//! and elsewhere once the configuration names another address.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cluster_member::endpoint_list::WatchEvent;
use rustc_hash::FxHashMap;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, AbortHandle, JoinSet};
use tokio::time::{sleep, timeout, timeout_at, Instant};

use super::cluster::SharedList;
use super::http::{Decoder, Head, Piece, Start};
use super::json_framing::{JsonStream, Token};
use super::{has_unread_bytes, read_more, write_all, ConfigReceiver};
use crate::config::{self, Config, Names};
use crate::engine::{micros, Handle, Input, ListedEndpoint, Micros};
use dispatch_core::api::{Seconds, WorkerId, WorkerState};
use dispatch_core::poll_schedule::{standby_watch_delay, PollSchedule};

/// An empty line comes every 2 s; a watch that is silent for longer is dead, whatever its connection says.
const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(2800);
/// The agent is on this machine: it takes a connection at once or not at all.
const DIAL_TIMEOUT: Duration = Duration::from_millis(500);
/// So many watches are opened beside each other at the most where an agent does not answer; the oldest goes first.
const MAX_STANDBY_WATCHES: usize = 8;
/// The longest list: some thousands of workers.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;
/// What has come of a watch by its end is read within this.
const FINAL_READ_TIMEOUT: Duration = Duration::from_millis(20);

/// What was told so far, by all watches together.
struct NotifiedState {
    /// The last revision of the place that is followed; none where all must be asked for.
    revision: Cell<Option<u64>>,
    /// The highest revision of all places.
    newest_revision: Cell<u64>,
    /// The start and state of each worker.
    states: RefCell<FxHashMap<WorkerId, (Seconds, WorkerState)>>,
}

impl NotifiedState {
    /// Takes note of a list. One that is older than what was told before comes of a place that lags behind: it
    /// must not bring back a worker of which this program knows that it drains or is gone.
    fn record(&self, revision: u64, members: &mut [ListedEndpoint]) {
        let older = revision < self.newest_revision.get();
        self.revision.set(Some(revision));
        self.newest_revision.set(self.newest_revision.get().max(revision));
        let mut states = self.states.borrow_mut();
        for ListedEndpoint { endpoint: member, .. } in members {
            let (since, state) = states.entry(member.worker).or_insert((member.started_at, member.state));
            if older && member.started_at <= *since && member.state == WorkerState::Serving {
                member.state = *state;
            }
            (*since, *state) = (since.max(member.started_at), member.state);
        }
    }
}

/// Watches for ever. `ready` turns true with the first list. In a fleet it pauses while another member's word is
/// relied on.
pub(super) async fn run_watch(
    mut configs: ConfigReceiver,
    handle: Handle,
    ready: watch::Sender<bool>,
    fleet: Option<(Rc<SharedList>, mpsc::Receiver<WatchEvent>)>,
) {
    let (known, mut members) = configs.borrow().saved_list.clone();
    let told = NotifiedState {
        revision: Cell::default(),
        newest_revision: Cell::default(),
        states: RefCell::default(),
    };
    told.record(known.unwrap_or(0), &mut members);
    // Where nothing was held before, all must be asked for. What was held may well be of revision 0: to ask for all
    // first would make two calls of one, of every dispatcher of a fleet at its start.
    told.revision.set(known);
    let told = Rc::new(told);
    let lists = fleet.map(|(lists, news)| {
        spawn_local(follow_cluster_list(
            lists.clone(),
            news,
            told.clone(),
            configs.clone(),
            handle.clone(),
            ready.clone(),
        ));
        lists
    });
    // Without a fleet the sender is gone, and it stays at asking.
    let mut asks = lists.as_ref().map_or_else(|| watch::channel(true).1, |lists| lists.polls_discovery());
    let mut failing = false;
    let calls = |config: &Config| PollSchedule::new(&config.settings, config.drain_grace, config.seed);
    let mut pauses = calls(&configs.borrow());
    loop {
        if !*asks.borrow() {
            let before = configs.borrow().clone();
            tokio::select! {
                _ = asks.wait_for(|asks| *asks) => {}
                _ = configs.wait_for(|now| source_changed(&before, now)) => {}
            }
            if source_changed(&before, &configs.borrow()) {
                told.revision.set(None);
                lists.iter().for_each(|lists| lists.source_changed(configs.borrow().discovery));
            }
            continue;
        }
        let config = configs.borrow_and_update().clone();
        let before = told.revision.get();
        let watch = Watch {
            config: config.clone(),
            handle: handle.clone(),
            notified: told.clone(),
            shared_list: lists.clone(),
        };
        // A task of its own: a panic ends this watch, not the following.
        let watch = spawn_local(watch.run(configs.clone(), ready.clone(), asks.clone()));
        let WatchEnded { reason: why, answered, retry_after: wanted, without_watch_since: deaf_since } =
            watch.await.unwrap_or_else(|panic| WatchEnded::now(panic.to_string()));
        if source_changed(&config, &configs.borrow()) {
            // Revisions are those of the place that told them: elsewhere the same number may stand for more.
            told.revision.set(None);
            failing = false;
            pauses = calls(&configs.borrow());
            lists.iter().for_each(|lists| lists.source_changed(configs.borrow().discovery));
            continue;
        }
        if !*asks.borrow() {
            failing = false;
            continue;
        }
        if told.revision.get() == before && !failing {
            tracing::warn!("discovery: {why}");
        }
        failing = told.revision.get() == before;
        if answered {
            pauses.record_success();
        }
        let deaf = deaf_since.elapsed().as_micros() as Micros;
        let pause = Duration::from_micros(pauses.next_delay(deaf, wanted));
        let _ = timeout(pause, configs.wait_for(|now| source_changed(&config, now))).await;
    }
}

/// Takes what an owner in the fleet says of the list. What is not newer than what is known here changes nothing, so
/// that neither a late word nor one that lags behind brings anything back.
async fn follow_cluster_list(
    lists: Rc<SharedList>,
    mut news: mpsc::Receiver<WatchEvent>,
    told: Rc<NotifiedState>,
    configs: ConfigReceiver,
    handle: Handle,
    ready: watch::Sender<bool>,
) {
    while let Some(news) = news.recv().await {
        if !lists.is_same_source(&news) {
            tracing::debug!(source = news.source, "shared list of another source ignored");
            continue;
        }
        if news.is_complete() && news.revision() > told.newest_revision.get() {
            let list = config::parse_endpoint_list(&news.list, &configs.borrow().names);
            match list {
                Ok(mut list) => {
                    told.record(list.revision, &mut list.endpoints);
                    handle.send(Input::EndpointList(list.scope, list.endpoints));
                    ready.send_replace(true);
                }
                Err(error) => {
                    tracing::warn!(%error, "shared list cannot be decoded");
                    continue;
                }
            }
        }
        // One that knows less than the owner goes on by itself until it is told the whole.
        if told.newest_revision.get() >= news.revision() && *ready.borrow() {
            lists.accept_event(&news);
        }
    }
}

/// What was told under one of them need not hold under the other: it comes of another place, or was read by
/// other names.
fn source_changed(old: &Config, new: &Config) -> bool {
    let names = |names: &Names| (names.zones.len(), names.kinds.len());
    old.discovery != new.discovery || names(&old.names) != names(&new.names)
}

/// How a watch ended.
struct WatchEnded {
    reason: String,
    /// Discovery had begun to tell something.
    answered: bool,
    /// When discovery wants to be asked again.
    retry_after: Option<Micros>,
    /// From when on nothing may have been heard.
    without_watch_since: Instant,
}

impl WatchEnded {
    fn now(why: impl Into<String>) -> WatchEnded {
        WatchEnded {
            reason: why.into(),
            answered: false,
            retry_after: None,
            without_watch_since: Instant::now(),
        }
    }
}

/// One watch.
struct Watch {
    config: Rc<Config>,
    handle: Handle,
    notified: Rc<NotifiedState>,
    shared_list: Option<Rc<SharedList>>,
}

impl Watch {
    /// Follows it to its end, or until the configuration names another place or the fleet is relied on.
    async fn run(
        self,
        mut configs: ConfigReceiver,
        ready: watch::Sender<bool>,
        mut asks: watch::Receiver<bool>,
    ) -> WatchEnded {
        let config = self.config.clone();
        let moves = async {
            let moves = async {
                if configs.wait_for(|now| source_changed(&config, now)).await.is_err() {
                    std::future::pending().await
                }
            };
            let relied_on = async {
                if asks.wait_for(|asks| !asks).await.is_err() {
                    std::future::pending().await
                }
            };
            tokio::select! {
                () = moves => {}
                () = relied_on => {}
            }
        };
        tokio::pin!(moves);
        let begun = Instant::now();
        let mut talk = tokio::select! {
            biased;
            talk = self.connect() => match talk {
                Ok(talk) => talk,
                Err(why) => return WatchEnded { without_watch_since: begun, ..WatchEnded::now(why) },
            },
            () = &mut moves => return WatchEnded::now("moved"),
        };
        let why = tokio::select! {
            biased;
            () = &mut moves => "moved".to_owned(),
            ListenEnded { reason: why, timed_out: silent } = self.listen(&mut talk, &ready) => {
                // A call that was never answered may have begun just before discovery could be reached.
                let deaf_since = if silent || !talk.answered { talk.last_heard_at } else { Instant::now() };
                return WatchEnded { reason: why, answered: talk.answered, retry_after: talk.retry_after, without_watch_since: deaf_since };
            }
        };
        // What this place has written counts as told, also what nobody has read so far.
        let rest = async {
            while has_unread_bytes(&talk.stream) && read_more(&mut talk.stream, &mut talk.buf).await.is_ok() {
            }
        };
        let _ = timeout(FINAL_READ_TIMEOUT, rest).await;
        let _ = self.process_buffer(&mut talk, &ready);
        WatchEnded { answered: talk.answered, ..WatchEnded::now(why) }
    }

    /// Opens a watch, or asks for the whole list where all must be asked for. An agent has begun to answer then.
    async fn connect(&self) -> Result<DiscoveryConnection, String> {
        let (host, query) = (self.config.discovery, self.query());
        if self.config.settings.polls_endpoint_list {
            return DiscoveryConnection::open(host, &query).await;
        }
        let beside = Duration::from_micros(standby_watch_delay(self.config.drain_grace));
        let mut tries = JoinSet::new();
        let mut order = VecDeque::new();
        loop {
            if order.len() == MAX_STANDBY_WATCHES {
                order.pop_front().iter().for_each(AbortHandle::abort);
            }
            let query = query.clone();
            order.push_back(
                tries.spawn_local(async move { DiscoveryConnection::open_answered(host, &query).await }),
            );
            let mut next = pin!(sleep(beside));
            loop {
                tokio::select! {
                    biased;
                    tried = tries.join_next() => match tried {
                        Some(Ok(Ok(talk))) => return Ok(talk),
                        Some(Ok(Err(why))) if tries.is_empty() => return Err(why),
                        None => return Err("nothing was tried".to_owned()),
                        Some(_) => {}
                    },
                    () = &mut next => break,
                }
            }
        }
    }

    /// What is to be asked next: the whole list, or what comes after what is known.
    fn query(&self) -> String {
        let after = self.notified.revision.get().map(|revision| format!("?stream=1&index={revision}"));
        after.unwrap_or_default()
    }

    async fn listen(&self, talk: &mut DiscoveryConnection, ready: &watch::Sender<bool>) -> ListenEnded {
        loop {
            if let Err(why) = self.process_buffer(talk, ready) {
                return ListenEnded { reason: why, timed_out: false };
            }
            if talk.response_complete {
                // The whole list was asked for and is here; the watch goes on after it.
                if let Err(why) = talk.send_request(&self.query()).await {
                    return ListenEnded { reason: why, timed_out: false };
                }
            }
            // Not counted from the last byte: a list that never comes to its end tells nothing.
            let dead = talk.last_heard_at + WATCH_SILENCE_TIMEOUT;
            let (why, silent) = match timeout_at(dead, read_more(&mut talk.stream, &mut talk.buf)).await {
                Ok(Ok(true)) => continue,
                Ok(Ok(false)) => ("the connection ended".to_owned(), false),
                Ok(Err(error)) => (format!("the connection broke: {error}"), false),
                Err(_) => ("the watch fell silent".to_owned(), true),
            };
            return ListenEnded { reason: why, timed_out: silent };
        }
    }

    /// Takes what has been read.
    fn process_buffer(
        &self,
        talk: &mut DiscoveryConnection,
        ready: &watch::Sender<bool>,
    ) -> Result<(), String> {
        while !talk.response_complete {
            let piece = match &mut talk.body {
                None => match Head::response(&mut talk.buf).map_err(|error| error.to_string())? {
                    Some(head) if head.start == Start::Response(200) => {
                        talk.answered = true;
                        talk.keep_alive = head.keep_alive;
                        talk.body = Some(Decoder::new(head.framing));
                        continue;
                    }
                    Some(head) => {
                        let wait = head.header_text("Retry-After").and_then(|text| text.trim().parse().ok());
                        talk.retry_after = wait.map(micros);
                        return Err(format!("answered {:?}", head.start));
                    }
                    None => Piece::More,
                },
                Some(body) => body.next(&mut talk.buf).map_err(|error| error.to_string())?,
            };
            let end = match piece {
                Piece::More => return Ok(()),
                Piece::Data(data) => {
                    talk.json.push(&data, MAX_LIST_BYTES).map_err(|error| error.to_string())?;
                    None
                }
                Piece::End => Some(talk.json.take_rest()),
            };
            while let Some(token) = talk.json.next_token() {
                talk.last_heard_at = Instant::now();
                self.handle_token(token, ready)?;
            }
            if let Some(rest) = end {
                if !rest.is_empty() {
                    // A value without its end, which the parser tells.
                    self.handle_token(Token::Value(rest), ready)?;
                }
                talk.response_complete = true;
                if !talk.keep_alive || talk.is_watch {
                    return Err("the watch ended".to_owned());
                }
            }
        }
        Ok(())
    }

    /// Takes a list; an empty line says that nothing changed.
    fn handle_token(&self, token: Token, ready: &watch::Sender<bool>) -> Result<(), String> {
        if let Token::Value(text) = &token {
            let list = serde_json::from_slice::<Value>(text).map_err(|error| error.to_string());
            let list = list.and_then(|value| {
                config::parse_endpoint_list(&value, &self.config.names).map_err(|error| error.to_string())
            });
            match list {
                Ok(mut list) => {
                    self.notified.record(list.revision, &mut list.endpoints);
                    if let Some(lists) = &self.shared_list {
                        lists.record_discovery(serde_json::from_slice(text).ok().as_ref());
                    }
                    self.handle.send(Input::EndpointList(list.scope, list.endpoints));
                }
                Err(error) => {
                    // The state is unknown from here on: ask for all of it.
                    self.notified.revision.set(None);
                    return Err(error);
                }
            }
        } else if let Some(lists) = &self.shared_list {
            lists.record_discovery(None);
        }
        ready.send_replace(true);
        Ok(())
    }
}

/// How listening ended.
struct ListenEnded {
    reason: String,
    /// The connection stands, and nothing comes.
    timed_out: bool,
}

/// A connection to discovery, and how much of an answer was read.
struct DiscoveryConnection {
    stream: TcpStream,
    host: SocketAddr,
    buf: BytesMut,
    body: Option<Decoder>,
    json: JsonStream,
    keep_alive: bool,
    is_watch: bool,
    answered: bool,
    retry_after: Option<Micros>,
    /// When something whole was heard last, or asked for.
    last_heard_at: Instant,
    /// All of the answer was taken: something is to be asked next.
    response_complete: bool,
}

impl DiscoveryConnection {
    /// Connects and asks.
    async fn open(host: SocketAddr, query: &str) -> Result<DiscoveryConnection, String> {
        let stream = match timeout(DIAL_TIMEOUT, TcpStream::connect(host)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(format!("cannot connect: {error}")),
            Err(_) => return Err("no connection in time".to_owned()),
        };
        let _ = stream.set_nodelay(true);
        let mut talk = DiscoveryConnection {
            stream,
            host,
            buf: BytesMut::new(),
            body: None,
            json: JsonStream::default(),
            keep_alive: false,
            is_watch: false,
            answered: false,
            retry_after: None,
            last_heard_at: Instant::now(),
            response_complete: true,
        };
        talk.send_request(query).await?;
        Ok(talk)
    }

    /// Connects, asks and waits until the answer begins.
    async fn open_answered(host: SocketAddr, query: &str) -> Result<DiscoveryConnection, String> {
        let mut talk = DiscoveryConnection::open(host, query).await?;
        match timeout_at(
            talk.last_heard_at + WATCH_SILENCE_TIMEOUT,
            read_more(&mut talk.stream, &mut talk.buf),
        )
        .await
        {
            Ok(Ok(true)) => {
                talk.last_heard_at = Instant::now();
                Ok(talk)
            }
            Ok(Ok(false)) => Err("the connection ended".to_owned()),
            Ok(Err(error)) => Err(format!("the connection broke: {error}")),
            Err(_) => Err("nothing was answered".to_owned()),
        }
    }

    async fn send_request(&mut self, query: &str) -> Result<(), String> {
        (self.response_complete, self.is_watch, self.body) = (false, !query.is_empty(), None);
        self.last_heard_at = Instant::now();
        let request = format!("GET /v1/servers{query} HTTP/1.1\r\nHost: {}\r\n\r\n", self.host);
        let written = write_all(&mut self.stream, &mut Bytes::from(request)).await;
        written.map_err(|error| format!("cannot ask: {error}"))
    }
}
