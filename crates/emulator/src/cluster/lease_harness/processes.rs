//! Starts, signals and ends the processes of a schedule.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use rustix::process::{kill_process, Pid, Signal};
use tokio::process::{Child, Command};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::LeaseHarness;
use crate::cluster::error::ClusterError;
use crate::cluster::fault_proxy::NodeId;
use crate::cluster::lightweight_member::MemberConfig;

/// Time that a process has to end after SIGTERM before it is killed.
const TERMINATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Role of a process.
pub(super) enum Role {
    Coordinator { number: u64 },
    Member { config: Box<MemberConfig> },
}

/// A process of a schedule, running or not.
pub(super) struct Process {
    pub(super) role: Role,
    pub(super) listen: SocketAddr,
    pub(super) child: Option<Child>,
    /// Whether the process must not be started again, because it is a coordinator whose disk is lost or an old copy, or
    /// a duplicate of a member.
    pub(super) not_restartable: bool,
}

impl Process {
    /// Returns a process that has not been started yet.
    pub(super) fn new(role: Role, listen: SocketAddr) -> Process {
        Process { role, listen, child: None, not_restartable: false }
    }

    /// Removes the child if it has ended, so that the process can be started again.
    pub(super) fn reap(&mut self) {
        let has_ended = |child: &mut Child| matches!(child.try_wait(), Ok(Some(_)));
        if self.child.as_mut().is_some_and(has_ended) {
            self.child = None;
        }
    }
}

/// Resource limit that a shell sets for a coordinator.
#[derive(Debug, Clone, Copy)]
pub(super) enum ResourceLimit {
    /// Limits the size of files, so that writes fail as on a full disk.
    FileSize,
    /// Limits the number of open descriptors.
    Descriptors,
}

impl ResourceLimit {
    /// Returns the arguments of `ulimit`.
    fn arguments(self) -> &'static str {
        match self {
            ResourceLimit::FileSize => "-f 256",
            ResourceLimit::Descriptors => "-n 24",
        }
    }
}

impl LeaseHarness<'_> {
    /// Returns the path of a process's file with this extension.
    pub(super) fn path(&self, node: NodeId, extension: &str) -> PathBuf {
        match &self.processes[node].role {
            Role::Coordinator { number } => self.dir.join(format!("k{number}.{extension}")),
            Role::Member { config } => self.dir.join(format!("{}-{node}.{extension}", config.name)),
        }
    }

    pub(super) fn start(&mut self, node: NodeId) -> Result<(), ClusterError> {
        self.start_limited(node, None)
    }

    /// Starts a process unless it runs. The limit applies to coordinators only.
    pub(super) fn start_limited(
        &mut self,
        node: NodeId,
        limit: Option<ResourceLimit>,
    ) -> Result<(), ClusterError> {
        if self.processes[node].child.is_some() {
            return Ok(());
        }
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.path(node, "log"))
            .map_err(ClusterError::io("log file"))?;
        let mut command = match &self.processes[node].role {
            Role::Coordinator { number } => self.coordinator_command(node, *number, limit),
            Role::Member { config } => self.member_command(node, config)?,
        };
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).kill_on_drop(true).spawn();
        self.processes[node].child = Some(child.map_err(ClusterError::io("process"))?);
        Ok(())
    }

    fn coordinator_command(&self, node: NodeId, number: u64, limit: Option<ResourceLimit>) -> Command {
        let mut command = match limit {
            None => Command::new(&self.programs.coordinator),
            Some(limit) => {
                // The program inherits the limit and the ignored SIGXFSZ, so that a write beyond the limit fails as on
                // a full disk and does not end the process.
                let script = format!("trap '' XFSZ; ulimit {}; exec \"$0\" \"$@\"", limit.arguments());
                let mut shell = Command::new("/bin/sh");
                shell.arg("-c").arg(script).arg(&self.programs.coordinator);
                shell
            }
        };
        command.args(["serve", "--config"]).arg(self.path(node, "hcl"));
        // The record is subject to the limit on file sizes too. Lines that are missing in it are in the records of
        // other coordinators.
        command.arg("--record").arg(self.dir.join(format!("k{number}.jsonl")));
        command
    }

    fn member_command(&self, node: NodeId, config: &MemberConfig) -> Result<Command, ClusterError> {
        let path = self.path(node, "json");
        let text =
            serde_json::to_vec(config).map_err(|source| ClusterError::Json { path: path.clone(), source })?;
        fs::write(&path, text).map_err(ClusterError::io(path.display()))?;
        let mut command = Command::new(&self.programs.emulator);
        command.arg("light-member").arg(path);
        Ok(command)
    }

    /// Sends a signal to a process. Returns its id, or `None` if it does not run.
    pub(super) fn signal(&self, node: NodeId, signal: Signal) -> Option<u32> {
        let id = self.processes[node].child.as_ref()?.id()?;
        let pid = Pid::from_raw(i32::try_from(id).ok()?)?;
        kill_process(pid, signal).ok().map(|()| id)
    }

    /// Kills a process and waits for its end.
    pub(super) async fn kill(&mut self, node: NodeId) {
        if let Some(mut child) = self.processes[node].child.take() {
            let _ = child.kill().await;
        }
    }

    /// Ends a process by SIGTERM, and kills it if it still runs after [`TERMINATION_TIMEOUT`].
    async fn terminate(&mut self, node: NodeId) {
        self.signal(node, Signal::TERM);
        if let Some(mut child) = self.processes[node].child.take() {
            if timeout(TERMINATION_TIMEOUT, child.wait()).await.is_err() {
                let _ = child.kill().await;
            }
        }
    }

    /// Ends all processes, the coordinators last, and then the proxies.
    pub(super) async fn shut_down(&mut self) {
        let duplicates = self.members().end..self.processes.len();
        for node in self.members().chain(duplicates).chain(self.coordinators()) {
            self.signal(node, Signal::CONT);
            self.terminate(node).await;
        }
        self.proxies.iter().for_each(JoinHandle::abort);
    }
}
