//! Runs a cluster of coordinator and dispatcher processes with emulated discovery services.
//!
//! `setup` writes configurations and allocates addresses; `processes` starts, stops and signals processes;
//! `observation` reads their logs, consoles and records. Coordinators are numbered from 1, dispatchers from 0.

mod observation;
mod processes;
mod setup;

use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use tokio::task::LocalSet;

use self::processes::Process;
use super::emulated_discovery::EmulatedDiscovery;
use super::error::ClusterError;
use super::fault_proxy::{NodeId, SharedNetwork};

pub use self::observation::read_records;
pub use self::processes::ProcessIds;

/// Proxy node id of the first dispatcher; coordinators have lower ids.
const FIRST_MEMBER_NODE: NodeId = 10;

/// Programs that the processes run.
#[derive(Debug, Clone)]
pub struct Binaries {
    /// Path of the program `dispatcher`.
    pub dispatcher: PathBuf,
    /// Path of the program `coordinator`.
    pub coordinator: PathBuf,
}

impl Binaries {
    /// Returns the programs in the build profile's folder of the running test, where `cargo test --workspace` puts
    /// them.
    ///
    /// # Errors
    /// Returns [`ClusterError::MissingProgram`] if a program was not built.
    pub fn beside_tests() -> Result<Binaries, ClusterError> {
        let test = std::env::current_exe().map_err(ClusterError::io("path of the test program"))?;
        let profile = test.parent().and_then(Path::parent);
        let profile = profile.ok_or_else(|| ClusterError::NoProfileFolder(test.clone()))?;
        let built = |name: &str| {
            let program = profile.join(name);
            if program.is_file() {
                Ok(program)
            } else {
                Err(ClusterError::MissingProgram(program))
            }
        };
        Ok(Binaries { dispatcher: built("dispatcher")?, coordinator: built("coordinator")? })
    }
}

/// Size and links of a cluster.
#[derive(Debug, Clone, Copy)]
pub struct ClusterSpec<'a> {
    /// Number of coordinators, three or five.
    pub coordinators: usize,
    /// Number of dispatchers.
    pub dispatchers: usize,
    /// Text to add to the block `fleet` of the dispatchers' settings; `None` omits the block, so that the dispatchers
    /// join no cluster.
    pub cluster_settings: Option<&'a str>,
    /// Discovery services, assigned to the dispatchers in turn; at least one.
    pub discoveries: &'a [EmulatedDiscovery],
    /// Seed of the proxies on the links between coordinators and members; `None` connects them directly.
    pub proxy_seed: Option<u64>,
}

/// A running cluster. Its processes are killed when it is dropped.
#[derive(Debug)]
pub struct ClusterHarness {
    dir: PathBuf,
    binaries: Binaries,
    /// Discovery of the first dispatcher.
    pub discovery: EmulatedDiscovery,
    coordinators: Vec<Option<Process>>,
    dispatchers: Vec<Option<Process>>,
    consoles: Vec<SocketAddr>,
    /// Links between coordinators and members, if they pass through proxies. A coordinator's node id is its number, a
    /// dispatcher's is [`member_node`].
    pub network: Option<SharedNetwork>,
    /// Addresses at which clients reach the dispatchers.
    pub listen: Vec<SocketAddr>,
}

/// Returns the proxy node id of a dispatcher.
#[must_use]
pub fn member_node(dispatcher: usize) -> NodeId {
    FIRST_MEMBER_NODE + dispatcher
}

/// Creates a folder and runs an experiment in it, on a new async runtime in the current thread.
///
/// # Errors
/// Returns the error of the experiment, or [`ClusterError::Io`] if the folder or the runtime cannot be
/// created.
pub fn run_in_folder<T>(
    dir: &Path,
    experiment: impl Future<Output = Result<T, ClusterError>>,
) -> Result<T, ClusterError> {
    std::fs::create_dir_all(dir).map_err(ClusterError::io(dir.display()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.map_err(ClusterError::io("async runtime"))?, experiment)
}
