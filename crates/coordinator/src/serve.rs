//! A keeper with sockets and a clock: one task owns the node, all reaches it through one queue.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cluster_member::clock;
use cluster_member::record::Recorder;
use cluster_member::wire::{
    encode, handshake_rejection, validate_client_hello_for_version, ClientHello, ClientIdentity, Connection,
    CoordinatorMessage, HandshakeRejection, Request, ServerHello, StoreIdentity, IO_TIMEOUT,
};
use coordination::{Command, CommandOutcome, COMMAND_VERSION};
use futures_util::SinkExt;
use raft::eraftpb::{Message, MessageType};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};

use crate::config::{Config, Serve};
use crate::disk::Disk;
use crate::node::{self, Conn, Node, Out};
use crate::Stop;

/// What waits for the node, for a keeper, and for a member: at the most so many.
const QUEUE: usize = 4_096;
const TO_KEEPER: usize = 1_024;
const TO_MEMBER: usize = 64;
/// Connections beyond the bound that are told why they are turned away, at once.
const TOLD_FULL: usize = 32;

enum Event {
    Greeted(StoreIdentity, u16, oneshot::Sender<ServerHello>),
    Raft(u64, Message),
    Opened(Conn, mpsc::Sender<Bytes>),
    Closed(Conn),
    Ask(Conn, Request),
    TurnedAway(u64, HandshakeRejection),
    Unreachable(u64, bool),
}

/// Serves until it is told to end, or has to stop.
///
/// # Errors
/// Why it stopped.
pub async fn serve(config: &Config, serve: &Serve, record: Recorder) -> Result<(), Stop> {
    let speaks = serve.speaks;
    let (disk, found) = Disk::open(&serve.store, &config.installation, serve.keeper)?;
    let identity = found.identity;
    let tick = (config.times.heartbeat_interval / 2).clamp(5_000, 50_000);
    let mut node = Node::new(disk, found, config.times, tick, clock::random_id())?;
    node.digest(record.is_enabled());
    // Each version of the messages came with the entries of that version.
    node.know_up_to(speaks.min(COMMAND_VERSION));
    node.account_flaw(serve.flaw);
    let listener = TcpListener::bind(serve.listen).await;
    let listener =
        listener.map_err(|error| Stop::Start(format!("serve.listen: {}: {error}", serve.listen)))?;
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .map_err(|error| Stop::Start(error.to_string()))?;
    tracing::info!(keeper = serve.keeper, boots = identity.start_count, term = identity.raft_term, listen = %serve.listen, "keeps");
    record.record(
        clock::now(),
        "started",
        serde_json::json!({"keeper": serve.keeper, "boots": identity.start_count}),
    );
    let (events, mut queue) = mpsc::channel(QUEUE);
    let (said, term) = watch::channel(node.identity());
    let name = format!("keeper {}", serve.keeper);
    let (installation, room) =
        (Rc::new(config.installation.clone()), Arc::new(Semaphore::new(serve.connections)));
    spawn_local(listen(listener, (installation.clone(), speaks), Rc::new(name), room, events.clone()));
    let mut keepers = BTreeMap::new();
    for (number, address) in config.keepers.iter().filter(|(number, _)| **number != serve.keeper) {
        let (sender, messages) = mpsc::channel(TO_KEEPER);
        keepers.insert(*number, sender);
        let link = Outgoing {
            to: *number,
            address: *address,
            bind: serve.bind,
            installation: installation.clone(),
            speaks,
        };
        spawn_local(link.run(term.clone(), messages, events.clone()));
    }
    let outgoing = Outgoing { to: 0, address: serve.listen, bind: serve.bind, installation, speaks };
    let mut driver = Driver { keepers, conns: BTreeMap::new(), record, events, outgoing, term };
    let mut ticks = interval(Duration::from_micros(tick));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        driver.carry_out(&mut node);
        said.send_if_modified(|old| std::mem::replace(old, node.identity()) != node.identity());
        tokio::select! {
            biased;
            _ = terminate.recv() => break,
            _ = ticks.tick() => node.tick(clock::now())?,
            event = queue.recv() => {
                let Some(event) = event else { break };
                driver.take(&mut node, event)?;
                // What came meanwhile is taken in before anything is sent, up to a bound.
                for _ in 0..256 {
                    let Ok(event) = queue.try_recv() else { break };
                    driver.take(&mut node, event)?;
                }
            }
        }
    }
    tracing::info!("ends; hands the lead over");
    node.hand_over(clock::now())?;
    let end = tokio::time::Instant::now() + Duration::from_micros(config.times.election_timeout);
    while node.leads() && tokio::time::Instant::now() < end {
        driver.carry_out(&mut node);
        tokio::select! {
            _ = ticks.tick() => node.tick(clock::now())?,
            event = queue.recv() => {
                let Some(event) = event else { break };
                driver.take(&mut node, event)?;
            }
        }
    }
    driver.carry_out(&mut node);
    sleep(Duration::from_millis(20)).await;
    Ok(())
}

struct Driver {
    keepers: BTreeMap<u64, mpsc::Sender<Bytes>>,
    conns: BTreeMap<Conn, mpsc::Sender<Bytes>>,
    record: Recorder,
    events: mpsc::Sender<Event>,
    /// What the link to a keeper that comes later is made of.
    outgoing: Outgoing,
    term: watch::Receiver<StoreIdentity>,
}

impl Driver {
    /// Links to keepers that were agreed on since the installation was set up.
    fn link_added(&mut self, node: &Node) {
        let own = node.identity().replica_id;
        for (number, address) in node.added().iter().filter(|(number, _)| **number != own) {
            if self.keepers.contains_key(number) {
                continue;
            }
            let Ok(address) = address.parse::<SocketAddr>() else { continue };
            tracing::info!(keeper = number, %address, "a keeper was added");
            let (sender, messages) = mpsc::channel(TO_KEEPER);
            self.keepers.insert(*number, sender);
            let link = Outgoing { to: *number, address, ..self.outgoing.clone() };
            spawn_local(link.run(self.term.clone(), messages, self.events.clone()));
        }
    }

    fn take(&mut self, node: &mut Node, event: Event) -> Result<(), Stop> {
        let now = clock::now();
        match event {
            Event::Greeted(by, schema, answer) => {
                let welcome = match node.greeted(by, schema)? {
                    Ok(()) => {
                        ServerHello::Accepted { name: format!("keeper {}", node.identity().replica_id) }
                    }
                    Err(why) => {
                        tracing::warn!(
                            keeper = by.replica_id,
                            boots = by.start_count,
                            term = by.raft_term,
                            ?why,
                            "a keeper is turned away"
                        );
                        ServerHello::Rejected(why)
                    }
                };
                let _ = answer.send(welcome);
            }
            Event::Raft(from, message) => node.message(from, message, now)?,
            Event::Opened(conn, sender) => {
                self.conns.insert(conn, sender);
            }
            Event::Closed(conn) => {
                self.conns.remove(&conn);
                node.closed(conn);
            }
            Event::Ask(conn, request) => node.ask(conn, request, now)?,
            Event::TurnedAway(
                by,
                why @ (HandshakeRejection::StaleStore { .. } | HandshakeRejection::StoreMismatch),
            ) => {
                return Err(Stop::OldDisk(format!("keeper {by} turned this one away: {why}")));
            }
            Event::TurnedAway(by, why) => tracing::error!(keeper = by, %why, "a keeper turned this one away"),
            Event::Unreachable(to, snapshot) => node.unreachable(to, snapshot),
        }
        Ok(())
    }

    fn carry_out(&mut self, node: &mut Node) {
        self.link_added(node);
        for out in node.take() {
            match out {
                Out::Raft(message) => {
                    let (to, snapshot) = (message.to, message.get_msg_type() == MessageType::MsgSnapshot);
                    let sent =
                        self.keepers.get(&to).map(|keeper| keeper.try_send(node::pack(&message).into()));
                    match sent {
                        Some(Ok(())) if snapshot => node.snapshot_sent(to),
                        Some(Ok(())) => {}
                        _ => node.unreachable(to, snapshot),
                    }
                }
                Out::Say(conn, message) => self.say(conn, &message),
                Out::News(view) => {
                    let told: Vec<(Conn, coordination::SessionId)> =
                        self.conns.keys().filter_map(|conn| Some((*conn, node.session_of(*conn)?))).collect();
                    for (conn, session) in told {
                        self.say(conn, &CoordinatorMessage::ViewChanged(session, view.clone()));
                    }
                }
                Out::Applied { index, command, outcome, digest } => {
                    let now = clock::now();
                    log(&command, &outcome);
                    let mut what = serde_json::json!({"index": index, "digest": digest});
                    match &outcome {
                        CommandOutcome::LeaseGranted(duty, owner) => {
                            what["granted"] = duty.to_string().into();
                            what["token"] = owner.token.0.into();
                            what["session"] = owner.session.0.into();
                        }
                        CommandOutcome::SessionEnded(session) => what["ended"] = session.0.into(),
                        CommandOutcome::SessionOpened(session, _) => {
                            what["joined"] = session.0.into();
                            if let Command::OpenSession { name, .. } = &command {
                                what["name"] = name.as_str().into();
                            }
                        }
                        CommandOutcome::Disruption(
                            disruption_budget::DisruptionOutcome::ObservationRecorded { granted, .. },
                        ) if !granted.is_empty() => {
                            what["permits"] = granted.clone().into();
                        }
                        _ => {}
                    }
                    self.record.record(now, "applied", what);
                }
                Out::Leads(term) => {
                    tracing::info!(?term, "{}", if term.is_some() { "leads" } else { "leads no longer" });
                    self.record.record(clock::now(), "leads", serde_json::json!({"term": term}));
                }
            }
        }
    }

    fn say(&mut self, conn: Conn, message: &CoordinatorMessage) {
        let Some(sender) = self.conns.get(&conn) else { return };
        let packed = match encode(message) {
            Ok(packed) => packed,
            Err(error) => return tracing::error!(%error, "an answer is too long"),
        };
        // One that does not take what it asked for is let go; it comes again and learns all anew.
        if sender.try_send(packed).is_err() {
            self.conns.remove(&conn);
            let _ = self.events.try_send(Event::Closed(conn));
        }
    }
}

fn log(command: &Command, outcome: &CommandOutcome) {
    match outcome {
        CommandOutcome::LeaseGranted(duty, owner) => {
            tracing::info!(%duty, token = owner.token.0, session = owner.session.0, "a duty has an owner");
        }
        CommandOutcome::SessionOpened(session, incarnation) => {
            if let Command::OpenSession { name, .. } = command {
                tracing::info!(name, session = session.0, incarnation, "a member has a session");
            }
        }
        CommandOutcome::SessionEnded(session) => {
            let cause =
                if matches!(command, Command::CloseSession { .. }) { "left" } else { "not renewed in time" };
            tracing::info!(session = session.0, cause, "a session is over; its duties are free");
        }
        CommandOutcome::Disruption(outcome) => log_account(command, outcome),
        CommandOutcome::LeaseReleased(duty, token) => {
            tracing::info!(%duty, token = token.0, "a term was given back")
        }
        CommandOutcome::Rejected(reason) => tracing::debug!(%reason, ?command, "refused"),
        CommandOutcome::SessionStable(_) | CommandOutcome::Acknowledged => {}
    }
}

/// Who asked, forced, struck off, and what an observation led to; that nothing changed is said to nobody.
fn log_account(command: &Command, outcome: &disruption_budget::DisruptionOutcome) {
    use disruption_budget::{DisruptionCommand, DisruptionOutcome, PermitState};
    let Command::Disruption(change) = command else { return };
    match (change, outcome) {
        (
            DisruptionCommand::RequestPermit { target, reason, requester, force: true },
            DisruptionOutcome::PermitRequested(permit, _),
        ) => {
            tracing::warn!(%target, reason, requester, permit, "a permit was forced, beyond what budgets allow");
        }
        (
            DisruptionCommand::RequestPermit { target, reason, requester, .. },
            DisruptionOutcome::PermitRequested(permit, PermitState::Waiting),
        ) => {
            tracing::debug!(%target, reason, requester, permit, "a permit is asked for");
        }
        (DisruptionCommand::BeginPermit { .. }, DisruptionOutcome::PermitBegun(permit)) => {
            tracing::info!(permit, "a permit was begun")
        }
        (DisruptionCommand::CancelPermit { permit }, DisruptionOutcome::Applied) => {
            tracing::info!(permit, "a permit is void")
        }
        (DisruptionCommand::DeregisterTarget { target, operator }, DisruptionOutcome::Applied) => {
            tracing::warn!(%target, operator, "struck off")
        }
        (DisruptionCommand::SetBudgets { budgets, .. }, DisruptionOutcome::Applied) => {
            tracing::info!(budgets = budgets.len(), "other budgets");
        }
        (
            DisruptionCommand::RecordObservation { .. },
            DisruptionOutcome::ObservationRecorded { granted, revoked, closed },
        ) if !(granted.is_empty() && revoked.is_empty() && closed.is_empty()) => {
            tracing::info!(?granted, ?revoked, ?closed, "permits");
        }
        (_, DisruptionOutcome::Rejected(why)) => tracing::info!(%why, ?change, "the account refuses"),
        _ => {}
    }
}

async fn listen(
    listener: TcpListener,
    (installation, speaks): (Rc<String>, u16),
    name: Rc<String>,
    room: Arc<Semaphore>,
    events: mpsc::Sender<Event>,
) {
    let mut next: Conn = 0;
    let told = Arc::new(Semaphore::new(TOLD_FULL));
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        next += 1;
        let (conn, installation, name, events) = (next, installation.clone(), name.clone(), events.clone());
        // Beyond the bound a few are told so, and the rest are closed without a word.
        let taken = room.clone().try_acquire_owned();
        let full = taken.is_err();
        let Ok(taken) = taken.or_else(|_| told.clone().try_acquire_owned()) else { continue };
        spawn_local(async move {
            let _taken = taken;
            if let Err(error) = incoming(stream, conn, (&installation, speaks), &name, full, &events).await {
                tracing::debug!(%from, %error, "a connection ended");
            }
            let _ = events.send(Event::Closed(conn)).await;
        });
    }
}

async fn incoming(
    stream: TcpStream,
    conn: Conn,
    (installation, speaks): (&str, u16),
    name: &str,
    full: bool,
    events: &mpsc::Sender<Event>,
) -> std::io::Result<()> {
    let (mut link, hello) = Connection::accept(stream).await?;
    let verdict = validate_client_hello_for_version(speaks, &hello, installation);
    let verdict = if full { Err(HandshakeRejection::TooManyConnections) } else { verdict };
    if let Err(why) = verdict {
        tracing::warn!(?hello, ?why, "turned away");
        return link.send_server_hello(&ServerHello::Rejected(why)).await;
    }
    match hello.identity {
        ClientIdentity::Replica(identity) => {
            let (answer, welcome) = oneshot::channel();
            let _ = events.send(Event::Greeted(identity, hello.schema_version, answer)).await;
            let Ok(welcome) = welcome.await else { return Ok(()) };
            link.send_server_hello(&welcome).await?;
            if matches!(welcome, ServerHello::Rejected(_)) {
                return Ok(());
            }
            loop {
                let frame = link.receive_encoded().await?;
                let Some(message) = node::unpack(&frame) else { return Ok(()) };
                if events.send(Event::Raft(identity.replica_id, message)).await.is_err() {
                    return Ok(());
                }
            }
        }
        ClientIdentity::Member { .. } | ClientIdentity::Operator => {
            link.send_server_hello(&ServerHello::Accepted { name: name.to_owned() }).await?;
            let (sender, mut outgoing) = mpsc::channel::<Bytes>(TO_MEMBER);
            let (mut sink, mut frames) = link.split();
            let _ = events.send(Event::Opened(conn, sender)).await;
            let reads = async {
                loop {
                    let Ok(request) = frames.receive::<Request>().await else { return };
                    if events.send(Event::Ask(conn, request)).await.is_err() {
                        return;
                    }
                }
            };
            let writes = async {
                while let Some(message) = outgoing.recv().await {
                    if !matches!(timeout(IO_TIMEOUT, sink.send(message)).await, Ok(Ok(()))) {
                        return;
                    }
                }
            };
            tokio::select! {
                () = reads => {}
                () = writes => {}
            }
            Ok(())
        }
        ClientIdentity::LeaseHolder { .. } => {
            link.send_server_hello(&ServerHello::Rejected(HandshakeRejection::WrongService)).await
        }
    }
}

/// The connection to another keeper.
#[derive(Clone)]
struct Outgoing {
    to: u64,
    address: SocketAddr,
    bind: Option<IpAddr>,
    installation: Rc<String>,
    speaks: u16,
}

impl Outgoing {
    async fn run(
        self,
        identity: watch::Receiver<StoreIdentity>,
        mut messages: mpsc::Receiver<Bytes>,
        events: mpsc::Sender<Event>,
    ) {
        loop {
            let who = ClientIdentity::Replica(*identity.borrow());
            let hello = ClientHello {
                schema_version: self.speaks,
                installation: (*self.installation).clone(),
                identity: who,
            };
            match Connection::connect(self.address, self.bind, &hello).await {
                Ok((link, _)) => {
                    // What waited while there was no connection is of yesterday; Raft sends again what is needed.
                    while messages.try_recv().is_ok() {}
                    self.carry(link, &mut messages).await;
                    let _ = events.send(Event::Unreachable(self.to, true)).await;
                }
                Err(error) => match handshake_rejection(&error) {
                    Some(why) => {
                        let _ = events.send(Event::TurnedAway(self.to, why.clone())).await;
                        sleep(Duration::from_secs(1)).await;
                    }
                    None => tracing::debug!(to = self.to, %error, "a keeper is not reached"),
                },
            }
            sleep(Duration::from_millis(fastrand::u64(20..=100))).await;
        }
    }

    async fn carry(&self, link: Connection, messages: &mut mpsc::Receiver<Bytes>) {
        let (mut sink, mut frames) = link.split();
        loop {
            tokio::select! {
                message = messages.recv() => {
                    let Some(message) = message else { return };
                    if !matches!(timeout(IO_TIMEOUT, sink.send(message)).await, Ok(Ok(()))) {
                        return;
                    }
                }
                // Nothing is said back here: the other end only closes it.
                _ = frames.receive::<()>() => return,
            }
        }
    }
}
