//! Plays one schedule: real coordinators and members, every link between two of them through a proxy, faults as drawn.

mod faults;
mod recovery;

use std::collections::BTreeMap;
use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use cluster_member::clock;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rustix::process::{kill_process, Pid, Signal};
use tokio::net::TcpListener;
use tokio::process::{Child, Command};
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::{sleep, timeout, Instant};

use self::recovery::Recovery;
use super::error::ClusterError;
use super::fault_proxy::{self, FaultyNetwork, NodeId, SharedNetwork};
use super::lightweight_member::MemberConfig;
use super::record_checker::{self, InjectedFault, LeaseRule, LeaseViolations, Records};
use super::schedule::{Arm, ClusterExperiment, FaultKind};

/// The programs.
#[derive(Debug, Clone)]
pub struct Programs {
    /// `coordinator`.
    pub coordinator: PathBuf,
    /// This tool, which also is the lightweight member.
    pub emulator: PathBuf,
}

/// What came of a schedule.
#[derive(Debug)]
pub struct ScheduleResult {
    /// Its seed.
    pub seed: u64,
    /// Rules that were broken.
    pub violations: LeaseViolations,
    /// Faults by kind.
    pub faults: BTreeMap<FaultKind, u64>,
    /// Connections that the proxies reset and doubled.
    pub resets: u64,
    /// See `resets`.
    pub duplicates: u64,
    /// Takeover times by kind, in microseconds.
    pub takeovers: BTreeMap<FaultKind, Vec<u64>>,
    /// Effects taken and refused.
    pub effects_accepted: u64,
    /// See `taken`.
    pub effects_rejected: u64,
    /// Terms that were granted.
    pub lease_terms: u64,
}

/// Each schedule of this process gets addresses of its own.
static NEXT_ADDRESS_BLOCK: AtomicU8 = AtomicU8::new(0);

/// The installation's name in all harnesses.
const INSTALLATION: &str = "rig";
const LEASE: &str = "pulse";

enum Role {
    Coordinator { number: u64 },
    Member { config: Box<MemberConfig> },
}

struct Process {
    role: Role,
    listen: SocketAddr,
    child: Option<Child>,
    /// Not to be started again: its disk is an old copy, or gone.
    not_restartable: bool,
}

struct LeaseHarness<'a> {
    dir: PathBuf,
    programs: &'a Programs,
    plan: &'a ClusterExperiment,
    arm: &'a Arm,
    network: SharedNetwork,
    processes: Vec<Process>,
    injected_bug: Option<&'a str>,
    address_block: [u8; 2],
    injected: Vec<InjectedFault>,
    recoveries: Vec<(Instant, Recovery)>,
    tasks: Vec<JoinHandle<()>>,
    violations: LeaseViolations,
    random: Pcg64,
}

/// The two middle parts of the loopback addresses of one schedule.
fn address_block() -> [u8; 2] {
    [16 + (std::process::id() % 200) as u8, NEXT_ADDRESS_BLOCK.fetch_add(1, Ordering::Relaxed)]
}

/// An address of this host with a free port. The port stays free: nobody else has the host.
fn free_address(host: IpAddr) -> Result<SocketAddr, ClusterError> {
    let probe = std::net::TcpListener::bind((host, 0)).map_err(ClusterError::io("a free port"))?;
    probe.local_addr().map_err(ClusterError::io("a free port"))
}

/// Plays the schedule of a seed. What the processes leave is in a folder of its own below `out`.
///
/// # Errors
/// The harness itself could not do its work; a broken rule is no error here.
pub fn play(
    plan: &ClusterExperiment,
    arm: &Arm,
    seed: u64,
    programs: &Programs,
    out: &Path,
    bug: Option<&str>,
) -> Result<ScheduleResult, ClusterError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ClusterError::io("runtime"))?;
    LocalSet::new().block_on(&runtime, async {
        let mut harness = LeaseHarness::new(plan, arm, seed, programs, out, bug).await?;
        let played = harness.run_schedule(seed).await;
        harness.shut_down().await;
        played?;
        harness.evaluate(seed)
    })
}

impl<'a> LeaseHarness<'a> {
    async fn new(
        plan: &'a ClusterExperiment,
        arm: &'a Arm,
        seed: u64,
        programs: &'a Programs,
        out: &Path,
        bug: Option<&'a str>,
    ) -> Result<LeaseHarness<'a>, ClusterError> {
        let dir = out.join(format!("{}-{seed}", arm.name));
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).map_err(ClusterError::io(dir.display()))?;
        let base = address_block();
        let count = arm.coordinators + arm.members;
        let ip = |last: usize| IpAddr::V4(Ipv4Addr::new(127, base[0], base[1], last as u8));
        let network = FaultyNetwork::new((0..count).map(|name| (ip(1 + name), name)).collect(), seed);
        let (mut targets, mut doors, mut tasks) = (Vec::new(), Vec::new(), Vec::new());
        for name in 0..count {
            let target = free_address(ip(1 + name))?;
            let door = TcpListener::bind((ip(101 + name), 0)).await.map_err(ClusterError::io("a proxy"))?;
            doors.push(door.local_addr().map_err(ClusterError::io("a proxy"))?);
            targets.push(target);
            tasks.push(spawn_local(fault_proxy::run_proxy(network.clone(), door, name, target)));
        }
        let coordinators: BTreeMap<u64, SocketAddr> =
            (0..arm.coordinators).map(|name| (name as u64 + 1, doors[name])).collect();
        let member = |name: NodeId| MemberConfig {
            installation: INSTALLATION.to_owned(),
            name: format!("m{}", name - arm.coordinators),
            listen: targets[name],
            address: doors[name],
            bind: Some(ip(1 + name)),
            coordinators: coordinators.clone(),
            leases: vec![LEASE.to_owned()],
            times: plan.times,
            record: Some(dir.join(format!("m{}.jsonl", name - arm.coordinators))),
            injected_bug: bug.map(str::to_owned),
            seed: seed ^ (name as u64) << 32,
        };
        let process = |(name, listen): (NodeId, &SocketAddr)| {
            let role = if name < arm.coordinators {
                Role::Coordinator { number: name as u64 + 1 }
            } else {
                Role::Member { config: Box::new(member(name)) }
            };
            Process { role, listen: *listen, child: None, not_restartable: false }
        };
        let processes = targets.iter().enumerate().map(process).collect();
        let random = Pcg64::seed_from_u64(seed ^ 0x5eed);
        let mut harness = LeaseHarness {
            dir,
            programs,
            plan,
            arm,
            network,
            processes,
            injected_bug: bug,
            address_block: base,
            injected: Vec::new(),
            recoveries: Vec::new(),
            tasks,
            violations: LeaseViolations::default(),
            random,
        };
        harness.start_all(&coordinators)?;
        Ok(harness)
    }

    /// Makes the coordinators' stores and starts all processes.
    fn start_all(&mut self, coordinators: &BTreeMap<u64, SocketAddr>) -> Result<(), ClusterError> {
        for name in self.coordinators() {
            self.write_coordinator_config(name, coordinators)?;
            self.bootstrap(name)?;
        }
        (0..self.processes.len()).try_for_each(|name| self.start(name))
    }

    /// Has a coordinator make its store.
    fn bootstrap(&self, name: NodeId) -> Result<(), ClusterError> {
        let status = std::process::Command::new(&self.programs.coordinator)
            .args(["bootstrap", "--config"])
            .arg(self.path(name, "hcl"))
            .stdout(Stdio::null())
            .status()
            .map_err(ClusterError::io(self.programs.coordinator.display()))?;
        if status.success() {
            Ok(())
        } else {
            Err(ClusterError::Bootstrap { replica: name + 1, status })
        }
    }

    fn path(&self, name: NodeId, ending: &str) -> PathBuf {
        match &self.processes[name].role {
            Role::Coordinator { number } => self.dir.join(format!("k{number}.{ending}")),
            Role::Member { config: light } => self.dir.join(format!("{}-{name}.{ending}", light.name)),
        }
    }

    fn write_coordinator_config(
        &self,
        name: NodeId,
        coordinators: &BTreeMap<u64, SocketAddr>,
    ) -> Result<(), ClusterError> {
        let process = &self.processes[name];
        let mut text = format!("installation = \"{INSTALLATION}\"\n");
        for (number, door) in coordinators {
            text += &format!("keeper \"{number}\" {{\n  address = \"{door}\"\n}}\n");
        }
        let times = &self.plan.times;
        text += &format!(
            "times {{\n  lease_ms = {}\n  renew_ms = {}\n  call_ms = {}\n  stay_ms = {}\n  short_ms = {}\n  \
             election_ms = {}\n  heartbeat_ms = {}\n  skew_ppm = {}\n}}\n",
            times.lease_duration / 1_000,
            times.renewal_interval / 1_000,
            times.call_timeout / 1_000,
            times.stability_period / 1_000,
            times.short_session_limit / 1_000,
            times.election_timeout / 1_000,
            times.heartbeat_interval / 1_000,
            times.max_clock_skew_ppm
        );
        text += &format!(
            "serve {{\n  keeper = {}\n  listen = \"{}\"\n  bind = \"{}\"\n  store = \"{}\"\n}}\n",
            name + 1,
            process.listen,
            process.listen.ip(),
            self.path(name, "store").display()
        );
        let path = self.path(name, "hcl");
        fs::write(&path, text).map_err(ClusterError::io(path.display()))
    }

    fn start(&mut self, name: NodeId) -> Result<(), ClusterError> {
        self.start_with(name, None)
    }

    /// Starts a process; a coordinator perhaps with a bound: on the size of its files, as if its disk were full, or on its
    /// descriptors.
    fn start_with(&mut self, name: NodeId, bound: Option<&str>) -> Result<(), ClusterError> {
        if self.processes[name].child.is_some() {
            return Ok(());
        }
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.path(name, "log"))
            .map_err(ClusterError::io("a log"))?;
        let mut command = match &self.processes[name].role {
            Role::Coordinator { number } => {
                let mut command = match bound {
                    None => Command::new(&self.programs.coordinator),
                    Some(bound) => {
                        // Ignored signals and limits go over to what is executed: a write then fails, as on a full disk.
                        let mut command = Command::new("/bin/sh");
                        command.arg("-c").arg(format!("trap '' XFSZ; ulimit {bound}; exec \"$0\" \"$@\""));
                        command.arg(&self.programs.coordinator);
                        command
                    }
                };
                command.args(["serve", "--config"]).arg(self.path(name, "hcl"));
                // The record is on the full disk too, where there is one: what it misses, other coordinators recorded.
                command.arg("--record").arg(self.dir.join(format!("k{number}.jsonl")));
                command
            }
            Role::Member { config: light } => {
                let path = self.path(name, "json");
                let text = serde_json::to_vec(light)
                    .map_err(|source| ClusterError::Json { path: path.clone(), source })?;
                fs::write(&path, text).map_err(ClusterError::io(path.display()))?;
                let mut command = Command::new(&self.programs.emulator);
                command.arg("light-member").arg(path);
                command
            }
        };
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).kill_on_drop(true).spawn();
        self.processes[name].child = Some(child.map_err(ClusterError::io("a process"))?);
        Ok(())
    }

    fn signal(&self, name: NodeId, signal: Signal) -> Option<u32> {
        let id = self.processes[name].child.as_ref()?.id()?;
        let pid = Pid::from_raw(i32::try_from(id).ok()?)?;
        kill_process(pid, signal).ok().map(|()| id)
    }

    /// Kills a process and waits until it is gone.
    async fn kill(&mut self, name: NodeId) {
        if let Some(mut child) = self.processes[name].child.take() {
            let _ = child.kill().await;
        }
    }

    /// Ends a process in good order, or kills it where it does not end.
    async fn terminate(&mut self, name: NodeId) {
        self.signal(name, Signal::TERM);
        if let Some(mut child) = self.processes[name].child.take() {
            if timeout(Duration::from_secs(3), child.wait()).await.is_err() {
                let _ = child.kill().await;
            }
        }
    }

    fn coordinators(&self) -> std::ops::Range<NodeId> {
        0..self.arm.coordinators
    }

    fn members(&self) -> std::ops::Range<NodeId> {
        self.arm.coordinators..self.arm.coordinators + self.arm.members
    }

    fn coordinator_records(&self) -> Result<Records, ClusterError> {
        let read =
            |number: u64| Ok((number, record_checker::read(&self.dir.join(format!("k{number}.jsonl")))?));
        let coordinators: Result<_, ClusterError> = (1..=self.arm.coordinators as u64).map(read).collect();
        Ok(Records { coordinators: coordinators?, members: BTreeMap::new() })
    }

    /// Who owned the lease last, by the coordinators' records, and in which term.
    fn lease_holder(&self) -> Result<Option<(NodeId, u64)>, ClusterError> {
        let records = self.coordinator_records()?;
        let Some((token, session)) = record_checker::newest_grant(&records) else { return Ok(None) };
        let Some(member) = record_checker::member_of_session(&records, session) else { return Ok(None) };
        let number = member.strip_prefix('m').and_then(|number| number.parse::<usize>().ok());
        Ok(number.map(|number| (number + self.arm.coordinators, token)))
    }

    fn leader(&self) -> Result<NodeId, ClusterError> {
        Ok(record_checker::leader(&self.coordinator_records()?).map_or(0, |number| number as usize - 1))
    }

    async fn run_schedule(&mut self, seed: u64) -> Result<(), ClusterError> {
        let start = Instant::now();
        for fault in self.plan.draw(self.arm, seed) {
            self.recover_until(start + Duration::from_secs_f64(fault.at)).await?;
            self.inject(fault).await?;
        }
        self.recover_until(start + Duration::from_secs_f64(self.plan.length)).await?;
        self.recover_all().await?;
        let calm = Duration::from_secs_f64(self.plan.recovery_time);
        sleep(calm).await;
        let records = self.records()?;
        if !record_checker::accepted_effect_after(&records, clock::now().saturating_sub(1_000_000)) {
            let text =
                format!("nothing was done in the last of {} s after all was healed", self.plan.recovery_time);
            self.violations.add(LeaseRule::Recovery, text);
        }
        self.check_coordinators_that_ended();
        Ok(())
    }

    /// Ends all faults at once and starts what may run; then the cluster has to be well again by itself.
    async fn recover_all(&mut self) -> Result<(), ClusterError> {
        self.network.borrow_mut().clear_faults();
        let recoveries: Vec<Recovery> =
            std::mem::take(&mut self.recoveries).into_iter().map(|(_, recovery)| recovery).collect();
        for recovery in recoveries {
            match recovery {
                Recovery::Resume(_) | Recovery::Kill(_) | Recovery::RestoreOldDisk(..) => {
                    self.recover(recovery).await?
                }
                _ => {}
            }
        }
        self.recoveries.clear();
        for name in 0..self.arm.coordinators + self.arm.members {
            let gone = self.processes[name]
                .child
                .as_mut()
                .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))));
            if gone && !self.processes[name].not_restartable {
                self.processes[name].child = None;
            }
            if !self.processes[name].not_restartable {
                self.start(name)?;
            }
        }
        Ok(())
    }

    /// A coordinator whose disk is good still runs; one with an old disk or none has ended and says so by its code.
    fn check_coordinators_that_ended(&mut self) {
        for name in self.coordinators() {
            let process = &mut self.processes[name];
            // Found by seed 3008: a store that a full disk had spoilt, unnoticed while the others were a majority.
            let ended = process.child.as_mut().filter(|_| !process.not_restartable).map(Child::try_wait);
            if let Some(Ok(Some(status))) = ended {
                let text = format!("keeper {}, whose disk is whole, ended with {status}", name + 1);
                self.violations.add(LeaseRule::Recovery, text);
            }
        }
        for name in self.coordinators() {
            let process = &mut self.processes[name];
            let state = process.child.as_mut().filter(|_| process.not_restartable).map(Child::try_wait);
            // One that another fault has killed is gone for good; one that ended by itself says why by its code.
            let text = match state {
                Some(Ok(None)) => format!("keeper {} goes on with an old disk or none", name + 1),
                Some(Ok(Some(status))) if !matches!(status.code(), Some(3 | 4)) => {
                    format!(
                        "keeper {} with an old disk or none ended with {status}, not with 3 or 4",
                        name + 1
                    )
                }
                _ => continue,
            };
            self.violations.add(LeaseRule::NoServiceWithoutStore, text);
        }
    }

    fn records(&self) -> Result<Records, ClusterError> {
        let mut records = self.coordinator_records()?;
        for entry in fs::read_dir(&self.dir).map_err(ClusterError::io(self.dir.display()))? {
            let path = entry.map_err(ClusterError::io(self.dir.display()))?.path();
            let stem = path.file_stem().and_then(|stem| stem.to_str()).unwrap_or_default().to_owned();
            if path.extension().is_some_and(|ending| ending == "jsonl") && stem.starts_with('m') {
                records.members.insert(stem, record_checker::read(&path)?);
            }
        }
        Ok(records)
    }

    async fn shut_down(&mut self) {
        for name in self.members().chain(self.arm.coordinators + self.arm.members..self.processes.len()) {
            self.signal(name, Signal::CONT);
            self.terminate(name).await;
        }
        for name in self.coordinators() {
            self.signal(name, Signal::CONT);
            self.terminate(name).await;
        }
        self.tasks.iter().for_each(JoinHandle::abort);
    }

    fn evaluate(mut self, seed: u64) -> Result<ScheduleResult, ClusterError> {
        let records = self.records()?;
        let mut violations = record_checker::check(&records);
        violations.merge(std::mem::take(&mut self.violations));
        let mut faults = BTreeMap::new();
        self.injected.iter().for_each(|done| *faults.entry(done.kind).or_default() += 1);
        let played = ScheduleResult {
            seed,
            faults,
            resets: self.network.borrow().resets,
            duplicates: self.network.borrow().duplicates,
            takeovers: record_checker::takeovers(&records, &self.injected, self.plan.times.lease_duration),
            effects_accepted: record_checker::effects_accepted(&records),
            effects_rejected: record_checker::effects_rejected(&records),
            lease_terms: record_checker::lease_terms(&records),
            violations,
        };
        let slow = played.takeovers.values().flatten().any(|takeover| *takeover > 3_000_000);
        let lines: String = self.injected.iter().map(|done| format!("{done:?}\n")).collect();
        let _ = fs::write(self.dir.join("faults.txt"), lines);
        // What a sound schedule left is of no more use; what a broken or slow one left is all there is.
        if played.violations.is_empty()
            && !slow
            && self.injected_bug.is_none()
            && self.random.random_range(0..20) != 0
        {
            let _ = fs::remove_dir_all(&self.dir);
        }
        Ok(played)
    }
}
