//! Starts, signals and kills the processes of a cluster, runs the coordinator's commands, and replaces coordinators.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;

use super::setup::write;
use super::ClusterHarness;
use crate::cluster::error::ClusterError;

/// Base of the ports of replacement coordinators; coordinator `n` listens at this port plus `n`.
const REPLACEMENT_BASE_PORT: u16 = 30_000;

/// A child process, killed when this value is dropped.
#[derive(Debug)]
pub(super) struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Ids of the running processes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessIds {
    /// Process ids of the coordinators.
    pub coordinators: Vec<u32>,
    /// Process ids of the dispatchers.
    pub dispatchers: Vec<u32>,
}

/// Returns the error of a failed command with its standard error.
pub(super) fn command_error(stderr: &[u8]) -> ClusterError {
    ClusterError::Command { stderr: String::from_utf8_lossy(stderr).into_owned() }
}

/// Sends a signal to a process; `name` identifies it in errors.
fn send_signal(name: String, process: Option<&Process>, signal: Signal) -> Result<(), ClusterError> {
    let id = process.and_then(|process| i32::try_from(process.0.id()).ok());
    let Some(pid) = id.and_then(Pid::from_raw) else {
        return Err(ClusterError::NotRunning { process: name });
    };
    kill_process(pid, signal).map_err(|source| ClusterError::Signal { process: name, source })
}

fn running_ids(processes: &[Option<Process>]) -> Vec<u32> {
    processes.iter().flatten().map(|process| process.0.id()).collect()
}

impl ClusterHarness {
    fn spawn(&self, program: &Path, name: &str, arguments: &[PathBuf]) -> Result<Process, ClusterError> {
        let log =
            std::fs::File::options().create(true).append(true).open(self.dir.join(format!("{name}.log")));
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.map_err(ClusterError::io("log file"))?)
            .spawn();
        child.map(Process).map_err(ClusterError::io(program.display()))
    }

    /// Starts coordinator `n`.
    ///
    /// # Errors
    /// Returns [`ClusterError::Io`] if the process cannot be started.
    pub fn start_coordinator(&mut self, n: usize) -> Result<(), ClusterError> {
        let file = |extension: &str| self.dir.join(format!("k{n}.{extension}"));
        let arguments = ["serve".into(), "--config".into(), file("hcl"), "--record".into(), file("jsonl")];
        let process = self.spawn(&self.binaries.coordinator, &format!("k{n}"), &arguments)?;
        self.coordinators[n - 1] = Some(process);
        Ok(())
    }

    /// Starts dispatcher `n`.
    ///
    /// # Errors
    /// Returns [`ClusterError::Io`] if the process cannot be started.
    pub fn start_dispatcher(&mut self, n: usize) -> Result<(), ClusterError> {
        let file = |extension: &str| self.dir.join(format!("d{n}.{extension}"));
        let arguments = ["--config".into(), file("json"), "--settings".into(), file("hcl")];
        let process = self.spawn(&self.binaries.dispatcher, &format!("d{n}"), &arguments)?;
        self.dispatchers[n] = Some(process);
        Ok(())
    }

    /// Kills coordinator `n`.
    pub fn kill_coordinator(&mut self, n: usize) {
        self.coordinators[n - 1] = None;
    }

    /// Kills dispatcher `n`.
    pub fn kill_dispatcher(&mut self, n: usize) {
        self.dispatchers[n] = None;
    }

    /// Sends a signal to coordinator `n`.
    ///
    /// # Errors
    /// Returns [`ClusterError::NotRunning`] if it was killed.
    pub fn signal_coordinator(&self, n: usize, signal: Signal) -> Result<(), ClusterError> {
        send_signal(format!("coordinator {n}"), self.coordinators[n - 1].as_ref(), signal)
    }

    /// Sends a signal to dispatcher `n`.
    ///
    /// # Errors
    /// Returns [`ClusterError::NotRunning`] if it was killed.
    pub fn signal_dispatcher(&self, n: usize, signal: Signal) -> Result<(), ClusterError> {
        send_signal(format!("dispatcher {n}"), self.dispatchers[n].as_ref(), signal)
    }

    /// Returns the number of coordinators that were set up, killed ones included.
    #[must_use]
    pub fn coordinator_count(&self) -> usize {
        self.coordinators.len()
    }

    /// Returns the number of dispatchers that were set up, killed ones included.
    #[must_use]
    pub fn dispatcher_count(&self) -> usize {
        self.dispatchers.len()
    }

    /// Whether dispatcher `n` was started and not killed.
    #[must_use]
    pub fn is_running(&self, n: usize) -> bool {
        self.dispatchers[n].is_some()
    }

    /// Returns the ids of the running processes.
    #[must_use]
    pub fn process_ids(&self) -> ProcessIds {
        ProcessIds {
            coordinators: running_ids(&self.coordinators),
            dispatchers: running_ids(&self.dispatchers),
        }
    }

    /// Returns the exit code of coordinator `n` if it exited by itself.
    pub fn coordinator_exit_code(&mut self, n: usize) -> Option<i32> {
        self.coordinators[n - 1].as_mut()?.0.try_wait().ok()?.and_then(|status| status.code())
    }

    /// Runs a command of `coordinator` with the configuration of coordinator `n`; returns its standard output.
    ///
    /// # Errors
    /// Returns [`ClusterError::Command`] with its standard error if it fails.
    pub async fn run_coordinator_command(
        &self,
        n: usize,
        arguments: &[&str],
    ) -> Result<String, ClusterError> {
        // Must not block, because the proxies that the command's connections pass through run in this thread.
        let output = tokio::process::Command::new(&self.binaries.coordinator)
            .args(arguments)
            .arg("--config")
            .arg(self.dir.join(format!("k{n}.hcl")))
            .output()
            .await
            .map_err(ClusterError::io(self.binaries.coordinator.display()))?;
        if output.status.success() {
            Ok(String::from_utf8_lossy(&output.stdout).into_owned())
        } else {
            Err(command_error(&output.stderr))
        }
    }

    /// Sets a key in the block `serve` of coordinator `n`; it takes effect at the coordinator's next start.
    ///
    /// # Errors
    /// Returns [`ClusterError::Io`] if the file cannot be changed.
    pub fn set_coordinator_setting(&self, n: usize, key: &str, value: &str) -> Result<(), ClusterError> {
        let file = self.dir.join(format!("k{n}.hcl"));
        let text = std::fs::read_to_string(&file).map_err(ClusterError::io(file.display()))?;
        let others = text.lines().filter(|line| !line.trim_start().starts_with(&format!("{key} =")));
        let text: String = others.map(|line| format!("{line}\n")).collect();
        write(&file, text.replacen("serve {\n", &format!("serve {{\n  {key} = {value}\n"), 1))
    }

    /// Changes the discovery address in the configuration of dispatcher `n` and makes the dispatcher reload it.
    ///
    /// # Errors
    /// Returns a [`ClusterError`] if the file cannot be changed or the dispatcher was killed.
    pub fn change_discovery_address(&self, n: usize, address: SocketAddr) -> Result<(), ClusterError> {
        let file = self.dir.join(format!("d{n}.json"));
        let text = std::fs::read(&file).map_err(ClusterError::io(file.display()))?;
        let mut config: Value = serde_json::from_slice(&text)
            .map_err(|source| ClusterError::Json { path: file.clone(), source })?;
        config["discovery"] = address.to_string().into();
        write(&file, config.to_string())?;
        self.signal_dispatcher(n, Signal::HUP)
    }

    /// Kills coordinator `n` and removes its store.
    ///
    /// # Errors
    /// Returns [`ClusterError::Io`] if the store cannot be removed.
    pub fn lose_disk(&mut self, n: usize) -> Result<(), ClusterError> {
        self.kill_coordinator(n);
        let store = self.dir.join(format!("k{n}"));
        std::fs::remove_dir_all(&store).map_err(ClusterError::io(store.display()))
    }

    /// Kills coordinator `lost` and removes its store; sets up and starts coordinator `new`, and returns its address.
    /// The caller completes the replacement with the command `replace`.
    ///
    /// # Errors
    /// Returns a [`ClusterError`] if a file or a process cannot be set up.
    pub async fn replace_coordinator(&mut self, lost: usize, new: usize) -> Result<SocketAddr, ClusterError> {
        self.lose_disk(lost)?;
        let file = self.dir.join(format!("k{lost}.hcl"));
        let text = std::fs::read_to_string(&file).map_err(ClusterError::io(file.display()))?;
        let address = SocketAddr::from((self.listen[0].ip(), REPLACEMENT_BASE_PORT + new as u16));
        let text = self.replacement_settings(&text, lost, new, address)?;
        write(&self.dir.join(format!("k{new}.hcl")), text)?;
        self.run_coordinator_command(new, &["bootstrap", "--joining"]).await?;
        self.coordinators.resize_with(new.max(self.coordinators.len()), || None);
        self.start_coordinator(new)?;
        Ok(address)
    }

    /// Returns the settings of the lost coordinator with its number, address and store replaced by those of the new
    /// one.
    fn replacement_settings(
        &self,
        text: &str,
        lost: usize,
        new: usize,
        address: SocketAddr,
    ) -> Result<String, ClusterError> {
        let block = text.split("keeper \"").find(|block| block.starts_with(&format!("{lost}\"")));
        let lost_address = block.and_then(|block| block.split('"').nth(2));
        let lost_address = lost_address.ok_or(ClusterError::MissingReplicaBlock { replica: lost })?;
        let lost_store = self.dir.join(format!("k{lost}")).display().to_string();
        let new_store = self.dir.join(format!("k{new}")).display().to_string();
        Ok(text
            .replace(&format!("keeper \"{lost}\""), &format!("keeper \"{new}\""))
            .replace(lost_address, &address.to_string())
            .replace(&format!("keeper = {lost}\n"), &format!("keeper = {new}\n"))
            .replace(&lost_store, &new_store))
    }
}
