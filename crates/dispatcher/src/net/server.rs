//! Start of a dispatcher: creates its tasks, connects them by channels and runs them until the shutdown.

use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

use super::cluster::{self, ClusterHandle, JoinParameters};
use super::discovery::follow_endpoint_list;
use super::id_journal::IdJournal;
use super::memory::MemoryAccount;
use super::metrics::Metrics;
use super::mode::Mode;
use super::planned_drain::LocalStatus;
use super::reload::{apply_reloads, Reload, ReloadReceivers};
use super::shutdown::ShutdownPhase;
use super::worker::pool::Pool;
use super::{client, console, worker};
use crate::config::Config;
use crate::engine::{Clock, Command, Engine, Handle, Micros};

/// Parameters of [`serve`].
#[expect(missing_debug_implementations, reason = "contains a function")]
pub struct ServeParameters {
    /// Configuration at the start.
    pub config: Config,
    /// Listener for clients.
    pub listener: TcpListener,
    /// Receiver of the phase of the shutdown.
    pub phase: watch::Receiver<ShutdownPhase>,
    /// Requests to reload the configuration.
    pub reload: Reload,
}

/// Runs a dispatcher until it is shut down and all requests are answered. Requires a [`tokio::task::LocalSet`].
///
/// # Errors
/// Returns an error if a task ended that the dispatcher cannot serve without.
pub async fn serve(parameters: ServeParameters) -> std::io::Result<()> {
    let ServeParameters { config, listener, phase, reload } = parameters;
    let clock = Clock::start();
    let metrics = Rc::new(Metrics::new());
    metrics.register_classes(&config.names.classes);
    let console_address = config.console;
    let (handle, inputs) = Handle::channel();
    let (commands, command_receiver) = mpsc::unbounded_channel();
    let mut engine = create_engine(&config, clock, commands);
    let memory = Rc::new(MemoryAccount::new(&config));
    let (config_sender, configs) = watch::channel(Rc::new(config));
    let pool = Pool::new(configs.clone(), clock, handle.clone(), metrics.clone(), memory.clone());
    let (ready_sender, ready) = watch::channel(false);
    let (mode_sender, mode) = watch::channel(Mode::Active);
    // Must live until the end: if all senders are dropped, the receivers of the mode are woken as if it had changed.
    let status = LocalStatus { mode: mode_sender, ready: ready.clone(), phase: phase.clone() };
    let config = configs.borrow().clone();
    let cluster = join_cluster(&config, &pool, &mut engine, &metrics, &status).await;
    let (shared_list, planned_drain) = match cluster {
        Some(handle) => (Some(handle.shared_list), handle.planned_drain),
        None => (None, None),
    };
    let mut workers = spawn_local(worker::run(pool, command_receiver));
    let mut engine = spawn_local(engine.run(inputs));
    let discovery = follow_endpoint_list(configs.clone(), handle.clone(), ready_sender, shared_list);
    let mut discovery = spawn_local(discovery);
    let receivers =
        ReloadReceivers { configs: config_sender, handle: handle.clone(), memory: memory.clone() };
    let mut reloads = spawn_local(apply_reloads(reload, receivers, metrics.clone()));
    if let Some(address) = console_address {
        console::start(address, metrics.clone(), status.clone(), planned_drain).await;
    }
    let clients = client::ClientParameters {
        config: configs,
        handle,
        phase,
        list_received: ready,
        mode,
        metrics,
        memory,
    };
    tokio::select! {
        () = client::accept(clients, listener) => Ok(()),
        _ = &mut workers => task_ended("connects to workers"),
        _ = &mut engine => task_ended("runs the engine"),
        _ = &mut discovery => task_ended("follows discovery"),
        _ = &mut reloads => task_ended("reloads the configuration"),
    }
}

fn create_engine(config: &Config, clock: Clock, commands: mpsc::UnboundedSender<Command>) -> Engine {
    let saved_endpoints = config.saved_list.endpoints.clone();
    let mut engine = Engine::new(config.settings.clone(), config.seed, saved_endpoints, clock, commands);
    if let Some(path) = &config.id_journal {
        engine.share_ids(Box::new(IdJournal::open(path.clone())));
    }
    engine.set_memory_limit(config.memory_limit);
    if config.list_is_pushed {
        engine.await_initial_list(client::INITIAL_LIST_TIMEOUT.as_micros() as Micros);
    }
    engine
}

/// Joins the cluster that the local settings name, if any. If that fails, the dispatcher serves without the cluster.
async fn join_cluster(
    config: &Config,
    pool: &Rc<Pool>,
    engine: &mut Engine,
    metrics: &Metrics,
    status: &LocalStatus,
) -> Option<ClusterHandle> {
    let parameters = JoinParameters {
        settings: config.cluster.as_ref()?,
        config,
        pool: pool.clone(),
        mean_job_work: engine.mean_job_work(),
        metrics: metrics.register_cluster(),
        status: status.clone(),
    };
    match cluster::join(parameters).await {
        Ok(handle) => Some(handle),
        Err(error) => {
            tracing::error!(%error, "cannot join the cluster; continuing without it");
            None
        }
    }
}

fn task_ended(purpose: &str) -> std::io::Result<()> {
    Err(std::io::Error::other(format!("the task that {purpose} ended")))
}
