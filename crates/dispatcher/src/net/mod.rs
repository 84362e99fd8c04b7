//! All that touches sockets. Each part turns what it reads into an [`Input`] on the
//! engine's queue and carries out a [`Command`](crate::engine::Command) or an
//! [`Answer`](crate::engine::Answer); none of them decides anything.

pub mod client;

mod cluster;
pub mod console;
pub mod discovery;
pub mod http;
pub mod json_framing;
pub mod metrics;
pub mod mode;
pub mod planned_drain;
pub mod reload;
pub mod shutdown;
pub mod socket_activation;

pub mod worker;

use std::mem::MaybeUninit;
use std::rc::Rc;

use bytes::{Buf, BytesMut};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

use crate::config::Config;
use crate::engine::{Clock, Engine, Handle, Input, Micros};
use discovery::follow_endpoint_list;

/// What one read asks for; a buffer grows by this.
const READ_SIZE: usize = 8 * 1024;

/// The configuration as it holds now. One change of it reaches all parts at once.
pub(crate) type ConfigReceiver = watch::Receiver<Rc<Config>>;

/// Bytes wait to be read. It asks the socket itself: what the runtime knows of it may be older.
pub(crate) fn has_unread_bytes(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    peeked.is_ok_and(|count| count > 0)
}

/// Reads some more into the buffer; false where the other side has ended its sending.
pub(crate) async fn read_more(stream: &mut TcpStream, buf: &mut BytesMut) -> std::io::Result<bool> {
    buf.reserve(READ_SIZE);
    Ok(stream.read_buf(buf).await? > 0)
}

/// Reads the status and head of a response; none where the connection ends or makes no sense before.
pub(crate) async fn read_response_head(
    stream: &mut TcpStream,
    buf: &mut BytesMut,
) -> Option<(u16, http::Head)> {
    loop {
        match http::Head::response(buf).ok()? {
            Some(head) => match head.start {
                // An interim response says nothing of the outcome.
                http::Start::Response(100..=199) => {}
                http::Start::Response(status) => return Some((status, head)),
                http::Start::Request { .. } => return None,
            },
            None if read_more(stream, buf).await.ok()? => {}
            None => return None,
        }
    }
}

/// Writes a message whole; its parts leave together, in one call where the socket takes it.
pub(crate) async fn write_all(stream: &mut TcpStream, message: &mut impl Buf) -> std::io::Result<()> {
    stream.write_all_buf(message).await
}

/// Runs a dispatcher until it is told to end and all is answered. Belongs on a [`tokio::task::LocalSet`].
///
/// # Errors
/// A task that it cannot do without has ended.
pub async fn serve(
    config: Config,
    listener: tokio::net::TcpListener,
    phase: watch::Receiver<shutdown::ShutdownPhase>,
    reload: reload::Reload,
) -> std::io::Result<()> {
    let clock = Clock::start();
    let metrics = Rc::new(metrics::Metrics::new());
    config.names.classes.iter().for_each(|class| metrics.register_class(&class.name));
    let (mode, modes) = watch::channel(mode::Mode::Active);
    let (handle, inputs) = Handle::channel();
    let (commands, orders) = mpsc::unbounded_channel();
    let endpoints = config.saved_list.endpoints.clone();
    let mut engine = Engine::new(config.settings.clone(), config.seed, endpoints, clock, commands);
    if config.list_is_pushed {
        engine.await_initial_list(client::INITIAL_LIST_TIMEOUT.as_micros() as Micros);
    }
    let at = config.console;
    let (config, configs) = watch::channel(Rc::new(config));
    let pool = worker::pool::Pool::new(configs.clone(), clock, handle.clone(), metrics.clone());
    let first = configs.borrow().clone();
    let (ready, is_ready) = watch::channel(false);
    let fleet = match &first.cluster {
        Some(settings) => {
            let status = planned_drain::LocalStatus {
                mode: mode.clone(),
                ready: is_ready.clone(),
                phase: phase.clone(),
            };
            let parameters = cluster::JoinParameters {
                settings,
                config: &first,
                pool: pool.clone(),
                mean_job_work: engine.mean_job_work(),
                metrics: metrics.register_cluster(),
                status,
            };
            cluster::join(parameters).await.map(Some)
        }
        None => Ok(None),
    };
    // As with the console: the dispatcher serves without it.
    let fleet = fleet.unwrap_or_else(|error| {
        tracing::error!(%error, "cannot listen for the cluster; continuing without it");
        None
    });
    let mut pool = spawn_local(worker::run(pool, orders));
    let mut engine = spawn_local(engine.run(inputs));
    let (fleet, leave) = match fleet {
        Some(cluster::ClusterHandle { shared_list, planned_drain }) => (Some(shared_list), planned_drain),
        None => (None, None),
    };
    let mut follow = spawn_local(follow_endpoint_list(configs.clone(), handle.clone(), ready, fleet));
    let mut renew = spawn_local(reload_on_request(reload, config, handle.clone(), metrics.clone()));
    if let Some(at) = at {
        // The sender kept here outlives a console that cannot listen: without any the mode would count as left.
        let console = (metrics.clone(), mode.clone(), leave);
        start_console(at, console, is_ready.clone(), phase.clone()).await;
    }
    // None of the four ends while clients are served: without any of them the program must not go on as if.
    tokio::select! {
        () = client::accept(configs, listener, handle, phase, is_ready, modes, metrics) => Ok(()),
        _ = &mut pool => Err(std::io::Error::other("the task that reaches workers ended")),
        _ = &mut engine => Err(std::io::Error::other("the task that owns the module ended")),
        _ = &mut follow => Err(std::io::Error::other("the task that follows discovery ended")),
        _ = &mut renew => Err(std::io::Error::other("the task that reads the configuration again ended")),
    }
}

/// Listens for the operators' calls. Without its console the dispatcher still serves; the operators see the error in the
/// log.
async fn start_console(
    at: std::net::SocketAddr,
    (metrics, mode, planned_drain): (
        Rc<metrics::Metrics>,
        watch::Sender<mode::Mode>,
        Option<Rc<planned_drain::PlannedDrain>>,
    ),
    heard: watch::Receiver<bool>,
    phase: watch::Receiver<shutdown::ShutdownPhase>,
) {
    match tokio::net::TcpListener::bind(at).await {
        Ok(listener) => {
            let since = tokio::time::Instant::now();
            // Standby is told apart by the console itself, which names it in its answer.
            let ready = Box::new(move || {
                client::is_ready(*heard.borrow(), since, *phase.borrow(), mode::Mode::Active)
            });
            let console = console::Console { metrics, mode, ready, planned_drain };
            spawn_local(console::serve(listener, Rc::new(console)));
        }
        Err(error) => tracing::error!(%error, %at, "the console cannot listen"),
    }
}

/// Takes in each configuration that is to replace the one before. All parts have it before any of them runs
/// again, so that no job is read by the names of one and decided by the settings of the other.
async fn reload_on_request(
    mut reload: reload::Reload,
    config: watch::Sender<Rc<Config>>,
    handle: Handle,
    metrics: Rc<metrics::Metrics>,
) {
    while reload.requests.recv().await.is_some() {
        let old = config.borrow().clone();
        match (reload.read)(&old) {
            Ok(new) => {
                tracing::info!(discovery = %new.discovery, "configuration reloaded");
                metrics.reloads_ok.inc();
                new.names.classes.iter().for_each(|class| metrics.register_class(&class.name));
                handle.send(Input::Configure(Box::new(new.settings.clone())));
                config.send_replace(Rc::new(new));
            }
            Err(error) => {
                metrics.reloads_failed.inc();
                tracing::error!("configuration unchanged: {error}");
            }
        }
    }
    // Whoever could ask is gone.
    std::future::pending().await
}
