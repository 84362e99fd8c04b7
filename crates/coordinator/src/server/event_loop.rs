//! Event loop: the task that owns the replica, handles events in turn and executes the outputs.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use cluster_member::clock;
use cluster_member::record::Recorder;
use cluster_member::wire::{encode, CoordinatorMessage, HandshakeRejection, ServerHello, StoreIdentity};
use coordination::{ClusterView, SessionId};
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, Instant, Interval};

use super::peer_links::{report_unreachable, PeerLinks};
use super::{handshake_name, log, record, Event};
use crate::replica::{ConnectionId, HandshakeError, Output, Replica};
use crate::CoordinatorError;

/// Maximum number of events that are handled before outputs are executed.
const MAX_EVENTS_PER_BATCH: usize = 256;
/// Time to flush the last messages before the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(20);

/// Sources of events.
pub(super) struct Sources {
    pub(super) queue: mpsc::Receiver<Event>,
    pub(super) ticks: Interval,
    pub(super) terminate: Signal,
}

/// Event loop of a server. See the [module](self).
pub(super) struct EventLoop {
    replica: Replica,
    peers: PeerLinks,
    clients: BTreeMap<ConnectionId, mpsc::Sender<Bytes>>,
    recorder: Recorder,
    events: mpsc::Sender<Event>,
    identity: watch::Sender<StoreIdentity>,
}

impl EventLoop {
    pub(super) fn new(
        replica: Replica,
        peers: PeerLinks,
        recorder: Recorder,
        events: mpsc::Sender<Event>,
        identity: watch::Sender<StoreIdentity>,
    ) -> EventLoop {
        EventLoop { replica, peers, clients: BTreeMap::new(), recorder, events, identity }
    }

    /// Runs until SIGTERM.
    pub(super) async fn run(&mut self, sources: &mut Sources) -> Result<(), CoordinatorError> {
        loop {
            self.execute_outputs();
            self.publish_identity();
            tokio::select! {
                biased;
                _ = sources.terminate.recv() => return Ok(()),
                _ = sources.ticks.tick() => self.replica.tick(clock::now())?,
                event = sources.queue.recv() => {
                    let Some(event) = event else { return Ok(()) };
                    self.handle_event(event)?;
                    self.handle_queued_events(&mut sources.queue)?;
                }
            }
        }
    }

    /// Handles events that are queued already, before outputs are executed.
    fn handle_queued_events(&mut self, queue: &mut mpsc::Receiver<Event>) -> Result<(), CoordinatorError> {
        for _ in 0..MAX_EVENTS_PER_BATCH {
            let Ok(event) = queue.try_recv() else { break };
            self.handle_event(event)?;
        }
        Ok(())
    }

    /// Transfers the leadership, if this replica has it, and waits at most `timeout` for another leader.
    pub(super) async fn shut_down(
        &mut self,
        sources: &mut Sources,
        timeout: Duration,
    ) -> Result<(), CoordinatorError> {
        tracing::info!("shutting down, transferring leadership");
        self.replica.transfer_leadership(clock::now())?;
        let deadline = Instant::now() + timeout;
        while self.replica.is_leader() && Instant::now() < deadline {
            self.execute_outputs();
            tokio::select! {
                _ = sources.ticks.tick() => self.replica.tick(clock::now())?,
                event = sources.queue.recv() => {
                    let Some(event) = event else { break };
                    self.handle_event(event)?;
                }
            }
        }
        self.execute_outputs();
        sleep(FLUSH_TIMEOUT).await;
        Ok(())
    }

    /// Publishes a new Raft term to the links.
    fn publish_identity(&self) {
        let identity = self.replica.identity();
        self.identity.send_if_modified(|published| std::mem::replace(published, identity) != identity);
    }

    fn handle_event(&mut self, event: Event) -> Result<(), CoordinatorError> {
        match event {
            Event::PeerHandshake { identity, protocol_version, response } => {
                let server_hello = self.handle_handshake(identity, protocol_version)?;
                let _ = response.send(server_hello);
            }
            Event::RaftMessage { peer, message } => {
                self.replica.receive_raft_message(peer, message, clock::now())?;
            }
            Event::ClientConnected { connection, outgoing } => {
                self.clients.insert(connection, outgoing);
            }
            Event::ConnectionClosed { connection } => {
                self.clients.remove(&connection);
                self.replica.connection_closed(connection);
            }
            Event::Request { connection, request } => {
                self.replica.handle_request(connection, request, clock::now())?;
            }
            Event::RejectedByPeer { peer, rejection } => handle_rejection(peer, rejection)?,
            Event::PeerUnreachable { peer } => report_unreachable(&mut self.replica, peer, true),
        }
        Ok(())
    }

    fn handle_handshake(
        &mut self,
        identity: StoreIdentity,
        protocol_version: u16,
    ) -> Result<ServerHello, CoordinatorError> {
        match self.replica.accept_peer(identity, protocol_version) {
            Ok(()) => Ok(ServerHello::Accepted { name: handshake_name(self.replica.identity().replica_id) }),
            Err(HandshakeError::Rejected(reason)) => {
                let StoreIdentity { replica_id: replica, start_count: starts, raft_term: term, .. } =
                    identity;
                tracing::warn!(replica, starts, term, %reason, "peer handshake rejected");
                Ok(ServerHello::Rejected(reason))
            }
            Err(HandshakeError::Failed(error)) => Err(error),
        }
    }

    fn execute_outputs(&mut self) {
        self.peers.connect_added(&self.replica);
        for output in self.replica.take_outputs() {
            match output {
                Output::SendToPeer(message) => self.peers.send(&message, &mut self.replica),
                Output::SendToClient { connection, message } => self.send_to_client(connection, &message),
                Output::ViewChanged(view) => self.broadcast_view(&view),
                Output::Applied { index, command, outcome, digest } => {
                    log::applied(&command, &outcome);
                    record::applied(&self.recorder, index, digest, &command, &outcome);
                }
                Output::LeadershipChanged { leading_term } => {
                    log::leadership_changed(leading_term);
                    record::leadership_changed(&self.recorder, leading_term);
                }
            }
        }
    }

    /// Sends the view to every client with a session.
    fn broadcast_view(&mut self, view: &ClusterView) {
        let session = |connection: &ConnectionId| Some((*connection, self.replica.session_of(*connection)?));
        let members: Vec<(ConnectionId, SessionId)> = self.clients.keys().filter_map(session).collect();
        for (connection, session) in members {
            self.send_to_client(connection, &CoordinatorMessage::ViewChanged { session, view: view.clone() });
        }
    }

    fn send_to_client(&mut self, connection: ConnectionId, message: &CoordinatorMessage) {
        let Some(outgoing) = self.clients.get(&connection) else { return };
        let encoded = match encode(message) {
            Ok(encoded) => encoded,
            Err(error) => return tracing::error!(%error, "response cannot be encoded"),
        };
        // A client that does not read its messages is disconnected; it gets the present state when it reconnects.
        if outgoing.try_send(encoded).is_err() {
            self.clients.remove(&connection);
            let _ = self.events.try_send(Event::ConnectionClosed { connection });
        }
    }
}

/// Handles a rejection by a peer.
///
/// # Errors
/// Returns [`CoordinatorError::StaleStore`] if the store of this replica is another one or an old copy.
fn handle_rejection(peer: u64, rejection: HandshakeRejection) -> Result<(), CoordinatorError> {
    if matches!(rejection, HandshakeRejection::StaleStore { .. } | HandshakeRejection::StoreMismatch) {
        return Err(CoordinatorError::StaleStore { peer, rejection });
    }
    tracing::error!(replica = peer, reason = %rejection, "handshake rejected by peer");
    Ok(())
}
