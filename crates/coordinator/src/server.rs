//! A keeper with sockets and a clock: one task owns the replica, all reaches it through one queue.

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

use crate::config::{Config, ServeConfig};
use crate::replica::{self, ConnectionId, Output, Replica};
use crate::store::Store;
use crate::CoordinatorError;

/// What waits for the replica, for a keeper, and for a member: at the most so many.
const EVENT_QUEUE_LENGTH: usize = 4_096;
const PEER_QUEUE_LENGTH: usize = 1_024;
const CLIENT_QUEUE_LENGTH: usize = 64;
/// Connections beyond the bound that are told why they are turned away, at once.
const MAX_REJECTED_AT_ONCE: usize = 32;

enum Event {
    PeerHandshake(StoreIdentity, u16, oneshot::Sender<ServerHello>),
    RaftMessage(u64, Message),
    ClientConnected(ConnectionId, mpsc::Sender<Bytes>),
    ConnectionClosed(ConnectionId),
    Request(ConnectionId, Request),
    RejectedByPeer(u64, HandshakeRejection),
    PeerUnreachable(u64, bool),
}

/// Serves until it is told to end, or has to stop.
///
/// # Errors
/// Why it stopped.
pub async fn serve(config: &Config, serve: &ServeConfig, record: Recorder) -> Result<(), CoordinatorError> {
    let protocol_version = serve.protocol_version;
    let (store, recovered) = Store::open(&serve.store_directory, &config.installation, serve.coordinator_id)?;
    let identity = recovered.identity;
    let tick = (config.times.heartbeat_interval / 2).clamp(5_000, 50_000);
    let mut replica = Replica::new(store, recovered, config.times, tick, clock::random_id())?;
    replica.enable_digests(record.is_enabled());
    // Each version of the messages came with the entries of that version.
    replica.set_supported_version(protocol_version.min(COMMAND_VERSION));
    replica.inject_disruption_bug(serve.injected_bug);
    let listener = TcpListener::bind(serve.listen).await;
    let listener = listener
        .map_err(|error| CoordinatorError::Startup(format!("serve.listen: {}: {error}", serve.listen)))?;
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .map_err(|error| CoordinatorError::Startup(error.to_string()))?;
    tracing::info!(coordinator = serve.coordinator_id, starts = identity.start_count, term = identity.raft_term, listen = %serve.listen, "coordinator started");
    record.record(
        clock::now(),
        "started",
        serde_json::json!({"keeper": serve.coordinator_id, "boots": identity.start_count}),
    );
    let (events, mut queue) = mpsc::channel(EVENT_QUEUE_LENGTH);
    let (identity_sender, identity_receiver) = watch::channel(replica.identity());
    let name = format!("keeper {}", serve.coordinator_id);
    let (installation, connection_permits) =
        (Rc::new(config.installation.clone()), Arc::new(Semaphore::new(serve.max_connections)));
    spawn_local(accept_connections(
        listener,
        (installation.clone(), protocol_version),
        Rc::new(name),
        connection_permits,
        events.clone(),
    ));
    let mut peers = BTreeMap::new();
    for (number, address) in config.coordinators.iter().filter(|(number, _)| **number != serve.coordinator_id)
    {
        let (sender, messages) = mpsc::channel(PEER_QUEUE_LENGTH);
        peers.insert(*number, sender);
        let link = PeerLink {
            peer_id: *number,
            address: *address,
            bind: serve.bind_address,
            installation: installation.clone(),
            protocol_version,
        };
        spawn_local(link.run(identity_receiver.clone(), messages, events.clone()));
    }
    let peer_link = PeerLink {
        peer_id: 0,
        address: serve.listen,
        bind: serve.bind_address,
        installation,
        protocol_version,
    };
    let mut event_loop =
        EventLoop { peers, clients: BTreeMap::new(), record, events, peer_link, identity: identity_receiver };
    let mut ticks = interval(Duration::from_micros(tick));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        event_loop.handle_outputs(&mut replica);
        identity_sender
            .send_if_modified(|old| std::mem::replace(old, replica.identity()) != replica.identity());
        tokio::select! {
            biased;
            _ = terminate.recv() => break,
            _ = ticks.tick() => replica.tick(clock::now())?,
            event = queue.recv() => {
                let Some(event) = event else { break };
                event_loop.handle_event(&mut replica, event)?;
                // What came meanwhile is taken in before anything is sent, up to a bound.
                for _ in 0..256 {
                    let Ok(event) = queue.try_recv() else { break };
                    event_loop.handle_event(&mut replica, event)?;
                }
            }
        }
    }
    tracing::info!("shutting down, transferring leadership");
    replica.transfer_leadership(clock::now())?;
    let end = tokio::time::Instant::now() + Duration::from_micros(config.times.election_timeout);
    while replica.is_leader() && tokio::time::Instant::now() < end {
        event_loop.handle_outputs(&mut replica);
        tokio::select! {
            _ = ticks.tick() => replica.tick(clock::now())?,
            event = queue.recv() => {
                let Some(event) = event else { break };
                event_loop.handle_event(&mut replica, event)?;
            }
        }
    }
    event_loop.handle_outputs(&mut replica);
    sleep(Duration::from_millis(20)).await;
    Ok(())
}

struct EventLoop {
    peers: BTreeMap<u64, mpsc::Sender<Bytes>>,
    clients: BTreeMap<ConnectionId, mpsc::Sender<Bytes>>,
    record: Recorder,
    events: mpsc::Sender<Event>,
    /// What the link to a keeper that comes later is made of.
    peer_link: PeerLink,
    identity: watch::Receiver<StoreIdentity>,
}

impl EventLoop {
    /// Links to keepers that were agreed on since the installation was set up.
    fn link_added_coordinators(&mut self, replica: &Replica) {
        let own = replica.identity().replica_id;
        for (number, address) in replica.added_coordinators().iter().filter(|(number, _)| **number != own) {
            if self.peers.contains_key(number) {
                continue;
            }
            let Ok(address) = address.parse::<SocketAddr>() else { continue };
            tracing::info!(coordinator = number, %address, "coordinator added");
            let (sender, messages) = mpsc::channel(PEER_QUEUE_LENGTH);
            self.peers.insert(*number, sender);
            let link = PeerLink { peer_id: *number, address, ..self.peer_link.clone() };
            spawn_local(link.run(self.identity.clone(), messages, self.events.clone()));
        }
    }

    fn handle_event(&mut self, replica: &mut Replica, event: Event) -> Result<(), CoordinatorError> {
        let now = clock::now();
        match event {
            Event::PeerHandshake(by, schema, answer) => {
                let welcome = match replica.accept_peer(by, schema)? {
                    Ok(()) => {
                        ServerHello::Accepted { name: format!("keeper {}", replica.identity().replica_id) }
                    }
                    Err(why) => {
                        tracing::warn!(
                            coordinator = by.replica_id,
                            starts = by.start_count,
                            term = by.raft_term,
                            reason = %why,
                            "peer handshake rejected"
                        );
                        ServerHello::Rejected(why)
                    }
                };
                let _ = answer.send(welcome);
            }
            Event::RaftMessage(from, message) => replica.receive_raft_message(from, message, now)?,
            Event::ClientConnected(connection, sender) => {
                self.clients.insert(connection, sender);
            }
            Event::ConnectionClosed(connection) => {
                self.clients.remove(&connection);
                replica.connection_closed(connection);
            }
            Event::Request(connection, request) => replica.handle_request(connection, request, now)?,
            Event::RejectedByPeer(
                by,
                why @ (HandshakeRejection::StaleStore { .. } | HandshakeRejection::StoreMismatch),
            ) => {
                return Err(CoordinatorError::StaleDisk(format!("keeper {by} turned this one away: {why}")));
            }
            Event::RejectedByPeer(by, why) => {
                tracing::error!(coordinator = by, reason = %why, "handshake rejected by peer")
            }
            Event::PeerUnreachable(to, snapshot) => replica.report_unreachable(to, snapshot),
        }
        Ok(())
    }

    fn handle_outputs(&mut self, replica: &mut Replica) {
        self.link_added_coordinators(replica);
        for output in replica.take_outputs() {
            match output {
                Output::SendToPeer(message) => {
                    let (to, snapshot) = (message.to, message.get_msg_type() == MessageType::MsgSnapshot);
                    let sent = self
                        .peers
                        .get(&to)
                        .map(|keeper| keeper.try_send(replica::encode_message(&message).into()));
                    match sent {
                        Some(Ok(())) if snapshot => replica.report_snapshot_sent(to),
                        Some(Ok(())) => {}
                        _ => replica.report_unreachable(to, snapshot),
                    }
                }
                Output::SendToClient(connection, message) => self.send_to_client(connection, &message),
                Output::ViewChanged(view) => {
                    let recipients: Vec<(ConnectionId, coordination::SessionId)> = self
                        .clients
                        .keys()
                        .filter_map(|connection| Some((*connection, replica.session_of(*connection)?)))
                        .collect();
                    for (connection, session) in recipients {
                        self.send_to_client(
                            connection,
                            &CoordinatorMessage::ViewChanged(session, view.clone()),
                        );
                    }
                }
                Output::Applied { index, command, outcome, digest } => {
                    let now = clock::now();
                    log_applied(&command, &outcome);
                    let mut entry = serde_json::json!({"index": index, "digest": digest});
                    match &outcome {
                        CommandOutcome::LeaseGranted { lease: duty, holder: owner } => {
                            entry["granted"] = duty.to_string().into();
                            entry["token"] = owner.token.0.into();
                            entry["session"] = owner.session.0.into();
                        }
                        CommandOutcome::SessionEnded(session) => entry["ended"] = session.0.into(),
                        CommandOutcome::SessionOpened { session, .. } => {
                            entry["joined"] = session.0.into();
                            if let Command::OpenSession { name, .. } = &command {
                                entry["name"] = name.as_str().into();
                            }
                        }
                        CommandOutcome::Disruption(
                            disruption_budget::DisruptionOutcome::ObservationRecorded { granted, .. },
                        ) if !granted.is_empty() => {
                            entry["permits"] = granted.clone().into();
                        }
                        _ => {}
                    }
                    self.record.record(now, "applied", entry);
                }
                Output::LeadershipChanged(term) => {
                    tracing::info!(
                        ?term,
                        "{}",
                        if term.is_some() { "became leader" } else { "lost leadership" }
                    );
                    self.record.record(clock::now(), "leads", serde_json::json!({"term": term}));
                }
            }
        }
    }

    fn send_to_client(&mut self, connection: ConnectionId, message: &CoordinatorMessage) {
        let Some(sender) = self.clients.get(&connection) else { return };
        let packed = match encode(message) {
            Ok(packed) => packed,
            Err(error) => return tracing::error!(%error, "response exceeds the longest frame"),
        };
        // One that does not take what it asked for is let go; it comes again and learns all anew.
        if sender.try_send(packed).is_err() {
            self.clients.remove(&connection);
            let _ = self.events.try_send(Event::ConnectionClosed(connection));
        }
    }
}

fn log_applied(command: &Command, outcome: &CommandOutcome) {
    match outcome {
        CommandOutcome::LeaseGranted { lease: duty, holder: owner } => {
            tracing::info!(lease = %duty, token = owner.token.0, session = owner.session.0, "lease granted");
        }
        CommandOutcome::SessionOpened { session, incarnation } => {
            if let Command::OpenSession { name, .. } = command {
                tracing::info!(name, session = session.0, incarnation, "session opened");
            }
        }
        CommandOutcome::SessionEnded(session) => {
            let cause = if matches!(command, Command::CloseSession { .. }) { "left" } else { "expired" };
            tracing::info!(session = session.0, cause, "session ended, its leases are free");
        }
        CommandOutcome::Disruption(outcome) => log_disruption_change(command, outcome),
        CommandOutcome::LeaseReleased { lease: duty, token } => {
            tracing::info!(lease = %duty, token = token.0, "lease released")
        }
        CommandOutcome::Rejected(reason) => tracing::debug!(%reason, ?command, "command rejected"),
        CommandOutcome::SessionStable(_) | CommandOutcome::Acknowledged => {}
    }
}

/// Who asked, forced, struck off, and what an observation led to; that nothing changed is said to nobody.
fn log_disruption_change(command: &Command, outcome: &disruption_budget::DisruptionOutcome) {
    use disruption_budget::{DisruptionCommand, DisruptionOutcome, PermitState};
    let Command::Disruption(change) = command else { return };
    match (change, outcome) {
        (
            DisruptionCommand::RequestPermit { target, reason, requester, force: true },
            DisruptionOutcome::PermitRequested(permit, _),
        ) => {
            tracing::warn!(%target, reason, requester, permit, "permit forced beyond the budgets");
        }
        (
            DisruptionCommand::RequestPermit { target, reason, requester, .. },
            DisruptionOutcome::PermitRequested(permit, PermitState::Waiting),
        ) => {
            tracing::debug!(%target, reason, requester, permit, "permit requested");
        }
        (DisruptionCommand::BeginPermit { .. }, DisruptionOutcome::PermitBegun(permit)) => {
            tracing::info!(permit, "permit begun")
        }
        (DisruptionCommand::CancelPermit { permit }, DisruptionOutcome::Applied) => {
            tracing::info!(permit, "permit cancelled")
        }
        (DisruptionCommand::DeregisterTarget { target, operator }, DisruptionOutcome::Applied) => {
            tracing::warn!(%target, operator, "target deregistered")
        }
        (DisruptionCommand::SetBudgets { budgets, .. }, DisruptionOutcome::Applied) => {
            tracing::info!(budgets = budgets.len(), "budgets replaced");
        }
        (
            DisruptionCommand::RecordObservation { .. },
            DisruptionOutcome::ObservationRecorded { granted, revoked, closed },
        ) if !(granted.is_empty() && revoked.is_empty() && closed.is_empty()) => {
            tracing::info!(?granted, ?revoked, ?closed, "permits changed");
        }
        (_, DisruptionOutcome::Rejected(why)) => tracing::info!(reason = %why, ?change, "change rejected"),
        _ => {}
    }
}

async fn accept_connections(
    listener: TcpListener,
    (installation, protocol_version): (Rc<String>, u16),
    name: Rc<String>,
    connection_permits: Arc<Semaphore>,
    events: mpsc::Sender<Event>,
) {
    let mut next: ConnectionId = 0;
    let rejection_permits = Arc::new(Semaphore::new(MAX_REJECTED_AT_ONCE));
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        next += 1;
        let (connection, installation, name, events) =
            (next, installation.clone(), name.clone(), events.clone());
        // Beyond the bound a few are told so, and the rest are closed without a word.
        let permit = connection_permits.clone().try_acquire_owned();
        let full = permit.is_err();
        let Ok(permit) = permit.or_else(|_| rejection_permits.clone().try_acquire_owned()) else { continue };
        spawn_local(async move {
            let _permit = permit;
            if let Err(error) =
                serve_connection(stream, connection, (&installation, protocol_version), &name, full, &events)
                    .await
            {
                tracing::debug!(remote = %from, %error, "connection ended");
            }
            let _ = events.send(Event::ConnectionClosed(connection)).await;
        });
    }
}

async fn serve_connection(
    stream: TcpStream,
    connection: ConnectionId,
    (installation, protocol_version): (&str, u16),
    name: &str,
    full: bool,
    events: &mpsc::Sender<Event>,
) -> std::io::Result<()> {
    let (mut link, hello) = Connection::accept(stream).await?;
    let checked = validate_client_hello_for_version(protocol_version, &hello, installation);
    let checked = if full { Err(HandshakeRejection::TooManyConnections) } else { checked };
    if let Err(why) = checked {
        tracing::warn!(?hello, reason = %why, "connection rejected");
        return link.send_server_hello(&ServerHello::Rejected(why)).await;
    }
    match hello.identity {
        ClientIdentity::Replica(identity) => {
            let (answer, welcome) = oneshot::channel();
            let _ = events.send(Event::PeerHandshake(identity, hello.schema_version, answer)).await;
            let Ok(welcome) = welcome.await else { return Ok(()) };
            link.send_server_hello(&welcome).await?;
            if matches!(welcome, ServerHello::Rejected(_)) {
                return Ok(());
            }
            loop {
                let frame = link.receive_encoded().await?;
                let Some(message) = replica::decode_message(&frame) else { return Ok(()) };
                if events.send(Event::RaftMessage(identity.replica_id, message)).await.is_err() {
                    return Ok(());
                }
            }
        }
        ClientIdentity::Member { .. } | ClientIdentity::Operator => {
            link.send_server_hello(&ServerHello::Accepted { name: name.to_owned() }).await?;
            let (sender, mut outgoing) = mpsc::channel::<Bytes>(CLIENT_QUEUE_LENGTH);
            let (mut sink, mut frames) = link.split();
            let _ = events.send(Event::ClientConnected(connection, sender)).await;
            let reads = async {
                loop {
                    let Ok(request) = frames.receive::<Request>().await else { return };
                    if events.send(Event::Request(connection, request)).await.is_err() {
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
struct PeerLink {
    peer_id: u64,
    address: SocketAddr,
    bind: Option<IpAddr>,
    installation: Rc<String>,
    protocol_version: u16,
}

impl PeerLink {
    async fn run(
        self,
        identity: watch::Receiver<StoreIdentity>,
        mut messages: mpsc::Receiver<Bytes>,
        events: mpsc::Sender<Event>,
    ) {
        loop {
            let who = ClientIdentity::Replica(*identity.borrow());
            let hello = ClientHello {
                schema_version: self.protocol_version,
                installation: (*self.installation).clone(),
                identity: who,
            };
            match Connection::connect(self.address, self.bind, &hello).await {
                Ok((link, _)) => {
                    // What waited while there was no connection is of yesterday; Raft sends again what is needed.
                    while messages.try_recv().is_ok() {}
                    self.forward_messages(link, &mut messages).await;
                    let _ = events.send(Event::PeerUnreachable(self.peer_id, true)).await;
                }
                Err(error) => match handshake_rejection(&error) {
                    Some(why) => {
                        let _ = events.send(Event::RejectedByPeer(self.peer_id, why.clone())).await;
                        sleep(Duration::from_secs(1)).await;
                    }
                    None => tracing::debug!(coordinator = self.peer_id, %error, "peer unreachable"),
                },
            }
            sleep(Duration::from_millis(fastrand::u64(20..=100))).await;
        }
    }

    async fn forward_messages(&self, link: Connection, messages: &mut mpsc::Receiver<Bytes>) {
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
