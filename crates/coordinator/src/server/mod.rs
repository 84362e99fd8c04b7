//! Server: a replica with sockets and a clock. One task owns the replica and receives all events through one queue.
//!
//! | module | concern |
//! | --- | --- |
//! | `event_loop` | the task that owns the replica: handles events, executes outputs |
//! | `listener` | incoming connections of peers, members and operators |
//! | `peer_link` | connection to another replica |
//! | `peer_links` | all links, with their queues of Raft messages |
//! | `log` | log lines of applied commands |
//! | `record` | records for the checkers of the emulator |

mod event_loop;
mod listener;
mod log;
mod peer_link;
mod peer_links;
mod record;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cluster_member::clock;
use cluster_member::record::Recorder;
use cluster_member::wire::{HandshakeRejection, Request, ServerHello, StoreIdentity};
use coordination::{Micros, COMMAND_VERSION};
use raft::eraftpb::Message;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, oneshot, watch, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{interval, MissedTickBehavior};

use crate::config::{Config, ServeConfig};
use crate::replica::{ConnectionId, Replica};
use crate::store::Store;
use crate::CoordinatorError;

use event_loop::EventLoop;
use listener::Listener;
use peer_link::LinkSettings;
use peer_links::PeerLinks;

/// Length of the event queue.
const EVENT_QUEUE_LENGTH: usize = 4_096;
/// Bounds of the tick interval of the replica, in microseconds.
const MIN_TICK: Micros = 5_000;
const MAX_TICK: Micros = 50_000;

/// Event for the task that owns the replica.
enum Event {
    /// A peer has sent its hello and waits for the response.
    PeerHandshake { identity: StoreIdentity, protocol_version: u16, response: oneshot::Sender<ServerHello> },
    /// An accepted peer has sent a Raft message.
    RaftMessage { peer: u64, message: Message },
    /// A member or an operator has connected.
    ClientConnected { connection: ConnectionId, outgoing: mpsc::Sender<Bytes> },
    /// A connection was closed.
    ConnectionClosed { connection: ConnectionId },
    /// A member or an operator has sent a request.
    Request { connection: ConnectionId, request: Request },
    /// A peer has rejected the handshake of this replica.
    RejectedByPeer { peer: u64, rejection: HandshakeRejection },
    /// The connection to a peer was lost, with the messages in flight.
    PeerUnreachable { peer: u64 },
}

/// Serves until SIGTERM.
///
/// # Errors
/// Returns an error if the replica cannot start or must stop.
pub async fn serve(config: &Config, serve: &ServeConfig, recorder: Recorder) -> Result<(), CoordinatorError> {
    let tick = (config.timing.heartbeat_interval / 2).clamp(MIN_TICK, MAX_TICK);
    let replica = open_replica(config, serve, &recorder, tick)?;
    let listener = TcpListener::bind(serve.listen)
        .await
        .map_err(|source| CoordinatorError::Listen { address: serve.listen, source })?;
    let terminate = signal(SignalKind::terminate()).map_err(CoordinatorError::SignalHandler)?;
    record_start(serve, &replica, &recorder);
    let (events, queue) = mpsc::channel(EVENT_QUEUE_LENGTH);
    let (identity_sender, identity_receiver) = watch::channel(replica.identity());
    spawn_local(connection_listener(config, serve, events.clone()).accept_connections(listener));
    let peers = connect_peers(config, serve, identity_receiver, events.clone());
    let mut ticks = interval(Duration::from_micros(tick));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut event_loop = EventLoop::new(replica, peers, recorder, events, identity_sender);
    let mut sources = event_loop::Sources { queue, ticks, terminate };
    event_loop.run(&mut sources).await?;
    event_loop.shut_down(&mut sources, Duration::from_micros(config.timing.election_timeout)).await
}

/// Returns the name of a replica in handshakes, which is a part of the protocol.
fn handshake_name(replica_id: u64) -> String {
    format!("keeper {replica_id}")
}

fn open_replica(
    config: &Config,
    serve: &ServeConfig,
    recorder: &Recorder,
    tick: Micros,
) -> Result<Replica, CoordinatorError> {
    let (store, recovered) = Store::open(&serve.store_directory, &config.installation, serve.replica_id)?;
    let mut replica = Replica::new(store, recovered, config.timing, tick, clock::random_id())?;
    replica.enable_digests(recorder.is_enabled());
    // Messages and commands have the same versions.
    replica.set_supported_version(serve.protocol_version.min(COMMAND_VERSION));
    replica.inject_disruption_bug(serve.injected_bug);
    Ok(replica)
}

fn connection_listener(config: &Config, serve: &ServeConfig, events: mpsc::Sender<Event>) -> Listener {
    Listener {
        installation: config.installation.as_str().into(),
        protocol_version: serve.protocol_version,
        name: handshake_name(serve.replica_id).into(),
        connection_permits: Arc::new(Semaphore::new(serve.max_connections)),
        events,
    }
}

/// Starts the links to all other replicas that are configured.
fn connect_peers(
    config: &Config,
    serve: &ServeConfig,
    identity: watch::Receiver<StoreIdentity>,
    events: mpsc::Sender<Event>,
) -> PeerLinks {
    let settings = LinkSettings {
        bind_address: serve.bind_address,
        installation: config.installation.as_str().into(),
        protocol_version: serve.protocol_version,
    };
    let mut peers = PeerLinks::new(settings, identity, events);
    for (peer, address) in config.replicas.iter().filter(|(peer, _)| **peer != serve.replica_id) {
        peers.connect(*peer, *address);
    }
    peers
}

fn record_start(serve: &ServeConfig, replica: &Replica, recorder: &Recorder) {
    let StoreIdentity { start_count, raft_term, .. } = replica.identity();
    tracing::info!(
        replica = serve.replica_id,
        starts = start_count,
        term = raft_term,
        listen = %serve.listen,
        "replica started"
    );
    record::started(recorder, serve.replica_id, start_count);
}
