//! Reads the logs, consoles and records of a cluster's processes, and waits until they show a state.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use coordination::REBALANCE_THRESHOLD;
use tokio::time::{sleep, Instant};

use super::ClusterHarness;
use crate::cluster::console::{call_console, ConsoleResponse};
use crate::cluster::error::ClusterError;
use crate::cluster::record_checker::{self, Records};

/// Timeout of the methods that wait for a state.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// Reads the records that the given numbers of coordinators and dispatchers wrote to a folder.
///
/// # Errors
/// Returns a [`ClusterError`] if a record cannot be read.
pub fn read_records(dir: &Path, coordinators: usize, dispatchers: usize) -> Result<Records, ClusterError> {
    let mut records = Records::default();
    for coordinator in 1..=coordinators as u64 {
        let lines = record_checker::read(&dir.join(format!("k{coordinator}.jsonl")))?;
        records.coordinators.insert(coordinator, lines);
    }
    for dispatcher in 0..dispatchers {
        let lines = record_checker::read(&dir.join(format!("d{dispatcher}.jsonl")))?;
        records.members.insert(format!("d{dispatcher}"), lines);
    }
    Ok(records)
}

impl ClusterHarness {
    /// Returns the log of coordinator `n`.
    #[must_use]
    pub fn coordinator_log(&self, n: usize) -> String {
        std::fs::read_to_string(self.dir.join(format!("k{n}.log"))).unwrap_or_default()
    }

    fn dispatcher_log(&self, n: usize) -> String {
        std::fs::read_to_string(self.dir.join(format!("d{n}.log"))).unwrap_or_default()
    }

    /// Returns the logs of all processes.
    #[must_use]
    pub fn logs(&self) -> String {
        let coordinators =
            (1..=self.coordinators.len()).map(|n| format!("-- k{n}\n{}", self.coordinator_log(n)));
        let dispatchers = (0..self.dispatchers.len()).map(|n| format!("-- d{n}\n{}", self.dispatcher_log(n)));
        coordinators.chain(dispatchers).collect()
    }

    /// Calls the console of dispatcher `n`; returns `None` if it does not answer.
    pub async fn console(&self, n: usize, method: &str, path: &str) -> Option<ConsoleResponse> {
        call_console(self.consoles[n], method, path).await
    }

    /// Returns the address of the console of dispatcher `n`.
    #[must_use]
    pub fn console_address(&self, n: usize) -> SocketAddr {
        self.consoles[n]
    }

    /// Returns the coordinator that became leader in the highest term, according to the logs.
    ///
    /// # Errors
    /// Returns [`ClusterError::NoLeader`] if none has become leader yet.
    pub fn leader(&self) -> Result<usize, ClusterError> {
        let term = |n: usize| last_number(&self.coordinator_log(n), "became leader", "term=");
        let latest = (1..=self.coordinators.len()).filter_map(|n| Some((term(n)?, n))).max();
        latest.map(|(_, n)| n).ok_or_else(|| ClusterError::NoLeader { logs: self.logs() })
    }

    /// Returns the dispatcher that was granted the endpoint list lease last.
    #[must_use]
    pub fn discovery_leader(&self) -> Option<usize> {
        self.last_logged_by("holds the list lease")
    }

    /// Returns the dispatcher that was granted the observer lease last.
    #[must_use]
    pub fn observer(&self) -> Option<usize> {
        self.last_logged_by("holds the observer lease")
    }

    /// Returns the dispatcher that was granted the slow-start lease last.
    #[must_use]
    pub fn slow_start_leader(&self) -> Option<usize> {
        self.last_logged_by("holds the slow-start lease")
    }

    /// Returns the dispatcher that logged a message with the highest token.
    fn last_logged_by(&self, message: &str) -> Option<usize> {
        let token = |n: usize| last_number(&self.dispatcher_log(n), message, "token=");
        (0..self.dispatchers.len()).filter_map(|n| Some((token(n)?, n))).max().map(|(_, n)| n)
    }

    /// Returns the error for a state that was not reached in time, with the logs of all processes.
    pub(in crate::cluster) fn timeout(&self, awaited: String) -> ClusterError {
        ClusterError::Timeout { awaited, logs: self.logs() }
    }

    /// Returns the number of workers in the endpoint list of dispatcher `n`, from the metrics at its console.
    pub async fn worker_count(&self, n: usize) -> Option<usize> {
        let response = self.console(n, "GET", "/status/metrics").await?;
        let line = response.body.lines().find(|line| line.starts_with("balancer_shop_workers_known "))?;
        line.rsplit_once(' ')?.1.parse().ok()
    }

    /// Waits until every running dispatcher lists this number of workers; returns the time that it took.
    ///
    /// # Errors
    /// Returns [`ClusterError::Timeout`] after `MAX_WAIT`.
    pub async fn wait_for_workers(&self, workers: usize) -> Result<Duration, ClusterError> {
        let start = Instant::now();
        for n in (0..self.dispatchers.len()).filter(|n| self.dispatchers[*n].is_some()) {
            while self.worker_count(n).await != Some(workers) {
                if start.elapsed() > MAX_WAIT {
                    return Err(self.timeout(format!("dispatcher {n} does not list {workers} workers")));
                }
                sleep(Duration::from_millis(10)).await;
            }
        }
        Ok(start.elapsed())
    }

    /// Waits until every set of workers has a lease holder and no set will be moved any more; returns the time that it
    /// took. The leader moves one set per stability period. Failures of workers are detected late while sets are moved,
    /// because the new holder of a set starts without health check results for its workers.
    ///
    /// # Errors
    /// Returns [`ClusterError::Timeout`] after `MAX_WAIT`.
    pub async fn wait_for_balanced_sets(&self, sets: usize) -> Result<Duration, ClusterError> {
        let start = Instant::now();
        loop {
            let listed = self.run_coordinator_command(1, &["duties"]).await;
            if listed.as_ref().is_ok_and(|leases| sets_are_balanced(leases, sets, self.dispatchers.len())) {
                return Ok(start.elapsed());
            }
            if start.elapsed() > MAX_WAIT {
                let leases = listed.unwrap_or_else(|error| error.to_string());
                return Err(self.timeout(format!("the sets of workers are not balanced: {leases}")));
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until exactly `expected` watches are open at discovery; returns the time that it took.
    ///
    /// # Errors
    /// Returns [`ClusterError::Timeout`] after `MAX_WAIT`.
    pub async fn wait_for_watches(&self, expected: u64) -> Result<Duration, ClusterError> {
        let start = Instant::now();
        while self.discovery.open_watches() != expected {
            if start.elapsed() > MAX_WAIT {
                let watches = self.discovery.open_watches();
                return Err(
                    self.timeout(format!("{watches} watches are open at discovery, expected {expected}"))
                );
            }
            sleep(Duration::from_millis(10)).await;
        }
        Ok(start.elapsed())
    }
}

/// Whether every set of workers has a lease holder, and no such holder has [`REBALANCE_THRESHOLD`] leases more than the
/// dispatcher with the fewest. `output` is that of the command `duties`, a line `LEASE: HOLDER, token N` per lease.
fn sets_are_balanced(output: &str, sets: usize, dispatchers: usize) -> bool {
    let held: Vec<(&str, &str)> = output
        .lines()
        .filter_map(|line| line.split_once(": "))
        .filter_map(|(lease, holder)| Some((lease, holder.split_once(", token ")?.0)))
        .collect();
    let count = |member: &str| held.iter().filter(|(_, holder)| *holder == member).count();
    let fewest = (0..dispatchers).map(|n| count(&format!("d{n}"))).min().unwrap_or(0);
    let set_leases = held.iter().filter(|(lease, _)| lease.contains("@set/"));
    let most = set_leases.clone().map(|(_, holder)| count(holder)).max().unwrap_or(0);
    set_leases.count() == sets && most < fewest + REBALANCE_THRESHOLD
}

/// Returns the number that follows `key` in the last line of a log that contains a message.
fn last_number(log: &str, message: &str, key: &str) -> Option<u64> {
    let line = log.lines().rfind(|line| line.contains(message))?;
    line.rsplit_once(key)?.1.split_whitespace().next()?.parse().ok()
}
