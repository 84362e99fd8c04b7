//! One dispatcher, started with the command `run` of the deploy file.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::case::{reason, Run};
use crate::client::is_ready;
use crate::settings::{config, Class};

/// Time within which a dispatcher must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// A dispatcher process with its configuration file. Dropping it ends the process.
pub struct Dispatcher {
    child: Child,
    pub address: SocketAddr,
    discovery: SocketAddr,
    config_file: PathBuf,
    /// Read by play.sh, which ends the process where this one cannot.
    pid_file: PathBuf,
}

impl Dispatcher {
    /// Starts a dispatcher from the root of the repository and waits until it is ready. Its files are in the temporary
    /// folder of the run.
    pub fn start(run: &Run, discovery: SocketAddr, classes: &[Class]) -> Result<Dispatcher, String> {
        let (root, folder) = (run.root.as_path(), run.folder.as_path());
        let address = free_address().map_err(reason)?;
        let config_file = folder.join("config.json");
        std::fs::write(&config_file, config(address, discovery, classes)).map_err(reason)?;
        let log = File::create(folder.join("dispatcher.log")).map_err(reason)?;
        let log_too = log.try_clone().map_err(reason)?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run_command(root)?)
            .current_dir(root)
            .env("BALANCER_CONFIG", &config_file)
            .env("BALANCER_NAME", "n1")
            .env("BALANCER_LISTEN", address.to_string())
            .env("BALANCER_DISCOVERY", discovery.to_string())
            .env("TMPDIR", folder)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(log_too)
            .spawn()
            .map_err(|error| format!("the dispatcher does not start: {error}"))?;
        let pid_file = folder.join("dispatcher.pid");
        std::fs::write(&pid_file, child.id().to_string()).map_err(reason)?;
        let mut dispatcher = Dispatcher { child, address, discovery, config_file, pid_file };
        let deadline = Instant::now() + READY_TIMEOUT;
        while !is_ready(address) {
            if let Some(status) = dispatcher.exit_status() {
                return Err(format!("the dispatcher ended at its start: {status}"));
            }
            if Instant::now() > deadline {
                return Err("the dispatcher is not ready after 30 s".to_owned());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(dispatcher)
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, classes: &[Class]) -> Result<(), String> {
        let text = config(self.address, self.discovery, classes);
        let new = self.config_file.with_extension("new");
        std::fs::write(&new, text).map_err(reason)?;
        std::fs::rename(&new, &self.config_file).map_err(reason)?;
        self.signal("HUP")
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) -> Result<(), String> {
        self.signal("TERM")
    }

    fn signal(&self, name: &str) -> Result<(), String> {
        let command = format!("kill -{name} {}", self.child.id());
        let status = Command::new("/bin/sh").arg("-c").arg(command).status();
        match status {
            Ok(status) if status.success() => Ok(()),
            _ => Err(format!("SIG{name} cannot be sent")),
        }
    }

    /// Returns how the process ended, if it has.
    pub fn exit_status(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Returns the number after a key of the status of the process, such as `VmRSS:`, the memory that it holds in kB.
    pub fn status_number(&self, key: &str) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with(key))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Checks that the process still runs, which it has to in every case.
    pub fn check_runs(&mut self) -> Result<(), String> {
        self.exit_status().map_or(Ok(()), |status| Err(format!("the dispatcher ended: {status}")))
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.pid_file);
    }
}

/// Returns a loopback address whose port is free now.
fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Returns the command `run` of the deploy file.
fn run_command(root: &Path) -> Result<String, String> {
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).map_err(reason)?;
    let line = deploy.lines().find(|line| line.starts_with("run ")).ok_or("the deploy file has no run")?;
    let command = line.split('"').nth(1).ok_or("run of the deploy file is no text")?;
    Ok(command.to_owned())
}
