//! Coordinators and real dispatchers as processes, with one discovery for all of them: what a fleet is set up as.

use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use coordination::REBALANCE_THRESHOLD;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, Instant};

use super::console::{call_console, ConsoleAnswer};
use super::emulated_discovery::EmulatedDiscovery;
use super::error::ClusterError;
use super::fault_proxy::{run_proxy, FaultyNetwork, NodeId, SharedNetwork};
use super::record_checker::{self, Records};

/// The programs.
#[derive(Debug, Clone)]
pub struct Binaries {
    /// `dispatcher`.
    pub dispatcher: PathBuf,
    /// `coordinator`.
    pub coordinator: PathBuf,
}

impl Binaries {
    /// Those that `cargo test --workspace` builds beside its tests, for a test that runs among them.
    ///
    /// # Errors
    /// They are not there.
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

/// A process that ends with this value.
#[derive(Debug)]
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A fleet. Its processes end with this value.
#[derive(Debug)]
pub struct ClusterHarness {
    dir: PathBuf,
    binaries: Binaries,
    /// The discovery that all ask.
    pub discovery: EmulatedDiscovery,
    coordinators: Vec<Option<Process>>,
    dispatchers: Vec<Option<Process>>,
    consoles: Vec<SocketAddr>,
    /// The links between coordinators and members, where they pass a proxy: coordinators by their number, dispatchers as
    /// [`member_node`].
    pub network: Option<SharedNetwork>,
    /// Where clients reach the dispatchers.
    pub listen: Vec<SocketAddr>,
}

/// What a fleet is made of.
#[derive(Debug, Clone, Copy)]
pub struct ClusterSpec<'a> {
    /// Three or five.
    pub coordinators: usize,
    /// Dispatchers.
    pub dispatchers: usize,
    /// What is added to their block `fleet`; none where they are members of none.
    pub cluster_settings: Option<&'a str>,
    /// One discovery for all, or one for each.
    pub discoveries: &'a [EmulatedDiscovery],
    /// Whether every link between coordinators and members passes a proxy, drawn by this seed.
    pub proxy_seed: Option<u64>,
}

/// Plays something of processes and emulated parties below this folder, on a thread of its own runtime.
///
/// # Errors
/// The folder or the runtime cannot be made, or what is played says so.
pub fn run_in_folder<T>(
    dir: &Path,
    play: impl Future<Output = Result<T, ClusterError>>,
) -> Result<T, ClusterError> {
    std::fs::create_dir_all(dir).map_err(ClusterError::io(dir.display()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.map_err(ClusterError::io("a runtime"))?, play)
}

/// What so many coordinators and dispatchers recorded below a folder.
///
/// # Errors
/// A record cannot be read.
pub fn read_records(dir: &Path, coordinators: usize, dispatchers: usize) -> Result<Records, ClusterError> {
    let mut records = Records::default();
    for coordinator in 1..=coordinators as u64 {
        records
            .coordinators
            .insert(coordinator, record_checker::read(&dir.join(format!("k{coordinator}.jsonl")))?);
    }
    for n in 0..dispatchers {
        records.members.insert(format!("d{n}"), record_checker::read(&dir.join(format!("d{n}.jsonl")))?);
    }
    Ok(records)
}

/// Addresses for one fleet: a host of this machine that nobody else uses, and its ports one after another. A port that
/// was found free may be given to somebody else before it is used.
struct AddressAllocator(Ipv4Addr, u16);

impl AddressAllocator {
    fn new() -> AddressAllocator {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let next = NEXT.fetch_add(1, Ordering::Relaxed) % 250;
        AddressAllocator(Ipv4Addr::new(127, 100 + (std::process::id() % 150) as u8, next as u8, 1), 20_000)
    }

    /// The host that connections of this process come from.
    fn source_address(&self, name: NodeId) -> Ipv4Addr {
        let [a, b, c, _] = self.0.octets();
        Ipv4Addr::new(a, b, c, 10 + (name % 240) as u8)
    }

    fn next_address(&mut self) -> SocketAddr {
        self.1 += 1;
        SocketAddr::from((self.0, self.1))
    }
}

/// The name of a dispatcher to the proxies, after those of the coordinators.
#[must_use]
pub fn member_node(dispatcher: usize) -> NodeId {
    10 + dispatcher
}

/// A proxy before this address, where there are any, and where it is.
fn proxy_before(
    network: Option<&SharedNetwork>,
    name: NodeId,
    at: SocketAddr,
) -> Result<SocketAddr, ClusterError> {
    let Some(network) = network else { return Ok(at) };
    let listener = std::net::TcpListener::bind("127.0.0.1:0").map_err(ClusterError::io("a proxy"))?;
    listener.set_nonblocking(true).map_err(ClusterError::io("a proxy"))?;
    let door = listener.local_addr().map_err(ClusterError::io("a proxy"))?;
    let listener = TcpListener::from_std(listener).map_err(ClusterError::io("a proxy"))?;
    spawn_local(run_proxy(network.clone(), listener, name, at));
    Ok(door)
}

/// Sends a signal to a process of this name.
fn send_signal(name: String, process: Option<&Process>, signal: Signal) -> Result<(), ClusterError> {
    let id = process.and_then(|process| i32::try_from(process.0.id()).ok());
    let Some(pid) = id.and_then(Pid::from_raw) else {
        return Err(ClusterError::NotRunning { process: name });
    };
    kill_process(pid, signal).map_err(|source| ClusterError::Signal { process: name, source })
}

/// Returns the error of a command with this text on standard error.
fn command_error(stderr: &[u8]) -> ClusterError {
    ClusterError::Command { stderr: String::from_utf8_lossy(stderr).into_owned() }
}

/// Writes the configuration of a coordinator and has it make its store.
fn bootstrap(dir: &Path, binaries: &Binaries, number: usize, config: String) -> Result<(), ClusterError> {
    let file = dir.join(format!("k{number}.hcl"));
    write(&file, config)?;
    let output = Command::new(&binaries.coordinator).args(["bootstrap", "--config"]).arg(&file).output();
    let output = output.map_err(ClusterError::io(binaries.coordinator.display()))?;
    if !output.status.success() {
        return Err(command_error(&output.stderr));
    }
    Ok(())
}

/// The blocks of all coordinators, by where others reach them.
fn coordinator_blocks(addresses: &[SocketAddr]) -> String {
    let block = |(number, address): (usize, &SocketAddr)| {
        format!("keeper \"{number}\" {{\n  address = \"{address}\"\n}}\n")
    };
    (1..).zip(addresses).map(block).collect()
}

/// Serves the discoveries; where each listens.
async fn serve_discoveries(discoveries: &[EmulatedDiscovery]) -> Result<Vec<SocketAddr>, ClusterError> {
    let mut addresses = Vec::new();
    for discovery in discoveries {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(ClusterError::io("discovery"))?;
        addresses.push(listener.local_addr().map_err(ClusterError::io("discovery"))?);
        spawn_local(discovery.clone().serve(listener));
    }
    Ok(addresses)
}

/// The block `fleet` of a dispatcher's settings: where it listens, where others reach it and where its connections come
/// from, then its record, the coordinators, and what the experiment adds.
fn member_settings(
    (listen, address, bind): (SocketAddr, SocketAddr, Ipv4Addr),
    record: &Path,
    coordinators: &str,
    added: &str,
) -> String {
    format!(
        "fleet {{\ninstallation = \"test\"\nlisten = \"{listen}\"\naddress = \"{address}\"\nbind = \"{bind}\"\n\
         record = \"{}\"\n{coordinators}{added}}}\n",
        record.display(),
    )
}

/// The configuration of one dispatcher, out of what all of them have, with where it listens, its console and its
/// discovery.
fn dispatcher_config(
    config: &mut Value,
    dispatcher: usize,
    (listen, console, discovery): (SocketAddr, SocketAddr, SocketAddr),
) -> String {
    config["name"] = format!("d{dispatcher}").into();
    config["listen"] = listen.to_string().into();
    config["console"] = console.to_string().into();
    config["discovery"] = discovery.to_string().into();
    let share = config["settings"]["balancers"].as_u64().unwrap_or(1).max(1);
    config["settings"]["slot-no"] = (dispatcher as u64 % share).into();
    let zones = config["settings"]["azs"].as_array().map_or(1, Vec::len).max(1);
    config["settings"]["zone"] = (dispatcher % zones).into();
    config["seed"] = format!("{:016x}", dispatcher + 1).into();
    config.to_string()
}

fn write(path: &Path, text: String) -> Result<(), ClusterError> {
    std::fs::write(path, text).map_err(ClusterError::io(path.display()))
}

impl ClusterHarness {
    /// Sets coordinators and dispatchers up below a folder and starts them. `config` is a dispatcher's, without
    /// name and addresses.
    ///
    /// # Errors
    /// Something cannot be set up.
    pub async fn start(
        dir: &Path,
        binaries: Binaries,
        mut config: Value,
        setup: ClusterSpec<'_>,
    ) -> Result<ClusterHarness, ClusterError> {
        let ClusterSpec {
            coordinators: count,
            dispatchers,
            cluster_settings: together,
            discoveries,
            proxy_seed: proxied,
        } = setup;
        let mut addresses = AddressAllocator::new();
        let at = serve_discoveries(discoveries).await?;
        let discovery = discoveries.first().cloned().ok_or(ClusterError::NoDiscovery)?;
        let doors: Vec<SocketAddr> = (0..count).map(|_| addresses.next_address()).collect();
        let names = (1..=count).chain((0..dispatchers).map(member_node));
        let names = names.map(|name| (addresses.source_address(name).into(), name)).collect();
        let network = proxied.map(|seed| FaultyNetwork::new(names, seed));
        // What others are told of an address: the proxy before it, where there is one.
        let seen: Result<Vec<SocketAddr>, ClusterError> =
            (1..).zip(&doors).map(|(name, at)| proxy_before(network.as_ref(), name, *at)).collect();
        let coordinators = coordinator_blocks(&seen?);
        for number in 1..=count {
            let serve = format!(
                "serve {{\n  keeper = {number}\n  store = \"{}\"\n  listen = \"{}\"\n  bind = \"{}\"\n}}\n",
                dir.join(format!("k{number}")).display(),
                doors[number - 1],
                addresses.source_address(number),
            );
            bootstrap(dir, &binaries, number, format!("installation = \"test\"\n{coordinators}{serve}"))?;
        }
        config["known"] = json!({"revision": 0, "complete": true, "members": []});
        let (mut consoles, mut listen) = (Vec::new(), Vec::new());
        for n in 0..dispatchers {
            consoles.push(addresses.next_address());
            listen.push(addresses.next_address());
            let at = at[n % at.len()];
            let text = dispatcher_config(&mut config, n, (listen[n], consoles[n], at));
            write(&dir.join(format!("d{n}.json")), text)?;
            let at = addresses.next_address();
            let settings = together.map_or(Ok(String::new()), |settings| {
                let address = proxy_before(network.as_ref(), member_node(n), at)?;
                let record = dir.join(format!("d{n}.jsonl"));
                let bind = addresses.source_address(member_node(n));
                Ok::<_, ClusterError>(member_settings((at, address, bind), &record, &coordinators, settings))
            })?;
            write(&dir.join(format!("d{n}.hcl")), settings)?;
        }
        let mut fleet = ClusterHarness {
            dir: dir.to_owned(),
            binaries,
            discovery,
            coordinators: (0..count).map(|_| None).collect(),
            dispatchers: (0..dispatchers).map(|_| None).collect(),
            consoles,
            network,
            listen,
        };
        if together.is_some() {
            (1..=count).try_for_each(|n| fleet.start_coordinator(n))?;
        }
        (0..dispatchers).try_for_each(|n| fleet.start_dispatcher(n))?;
        Ok(fleet)
    }

    fn spawn(&self, program: &Path, name: &str, arguments: &[PathBuf]) -> Result<Process, ClusterError> {
        let log =
            std::fs::File::options().create(true).append(true).open(self.dir.join(format!("{name}.log")));
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.map_err(ClusterError::io("a log"))?)
            .spawn();
        child.map(Process).map_err(ClusterError::io(program.display()))
    }

    /// Starts coordinator `n`, from one.
    ///
    /// # Errors
    /// It cannot be started.
    pub fn start_coordinator(&mut self, n: usize) -> Result<(), ClusterError> {
        let file = |ending: &str| self.dir.join(format!("k{n}.{ending}"));
        let arguments = ["serve".into(), "--config".into(), file("hcl"), "--record".into(), file("jsonl")];
        self.coordinators[n - 1] =
            Some(self.spawn(&self.binaries.coordinator, &format!("k{n}"), &arguments)?);
        Ok(())
    }

    /// Starts dispatcher `n`, from nought.
    ///
    /// # Errors
    /// It cannot be started.
    pub fn start_dispatcher(&mut self, n: usize) -> Result<(), ClusterError> {
        let file = |ending: &str| self.dir.join(format!("d{n}.{ending}"));
        let arguments = ["--config".into(), file("json"), "--settings".into(), file("hcl")];
        self.dispatchers[n] = Some(self.spawn(&self.binaries.dispatcher, &format!("d{n}"), &arguments)?);
        Ok(())
    }

    /// Sets a key in the block `serve` of coordinator `n`, from one; it counts from its next start.
    ///
    /// # Errors
    /// The file cannot be changed.
    pub fn set_coordinator_setting(&self, n: usize, key: &str, value: &str) -> Result<(), ClusterError> {
        let file = self.dir.join(format!("k{n}.hcl"));
        let text = std::fs::read_to_string(&file).map_err(ClusterError::io(file.display()))?;
        let others = text.lines().filter(|line| !line.trim_start().starts_with(&format!("{key} =")));
        let text: String = others.map(|line| format!("{line}\n")).collect();
        write(&file, text.replacen("serve {\n", &format!("serve {{\n  {key} = {value}\n"), 1))
    }

    /// Kills coordinator `n`, from one, and removes its store.
    ///
    /// # Errors
    /// It cannot be removed.
    pub fn lose_disk(&mut self, n: usize) -> Result<(), ClusterError> {
        self.kill_coordinator(n);
        let store = self.dir.join(format!("k{n}"));
        std::fs::remove_dir_all(&store).map_err(ClusterError::io(store.display()))
    }

    /// The exit code of coordinator `n`, from one, where it ended by itself.
    pub fn coordinator_exit_code(&mut self, n: usize) -> Option<i32> {
        self.coordinators[n - 1].as_mut()?.0.try_wait().ok()?.and_then(|status| status.code())
    }

    /// The log of coordinator `n`, from one.
    pub fn coordinator_log(&self, n: usize) -> String {
        std::fs::read_to_string(self.dir.join(format!("k{n}.log"))).unwrap_or_default()
    }

    fn dispatcher_log(&self, n: usize) -> String {
        std::fs::read_to_string(self.dir.join(format!("d{n}.log"))).unwrap_or_default()
    }

    /// Calls the console of dispatcher `n`, from nought; returns `None` if it does not answer.
    pub async fn console(&self, n: usize, method: &str, path: &str) -> Option<ConsoleAnswer> {
        call_console(self.consoles[n], method, path).await
    }

    /// Where a dispatcher's console is, from nought.
    pub fn console_address(&self, n: usize) -> SocketAddr {
        self.consoles[n]
    }

    /// Runs `coordinator` with the configuration of coordinator `n`, from one, and returns what it says, or why it
    /// failed.
    ///
    /// # Errors
    /// It failed.
    pub async fn run_coordinator_command(
        &self,
        n: usize,
        arguments: &[&str],
    ) -> Result<String, ClusterError> {
        // Without blocking: the proxies that it passes run here.
        let made = tokio::process::Command::new(&self.binaries.coordinator)
            .args(arguments)
            .arg("--config")
            .arg(self.dir.join(format!("k{n}.hcl")))
            .output()
            .await
            .map_err(ClusterError::io(self.binaries.coordinator.display()))?;
        if made.status.success() {
            Ok(String::from_utf8_lossy(&made.stdout).into_owned())
        } else {
            Err(command_error(&made.stderr))
        }
    }

    /// Kills coordinator `lost` and removes its store; sets up and starts coordinator `new`, which is to take its place. Returns
    /// where the new one is.
    ///
    /// # Errors
    /// Something cannot be set up.
    pub async fn replace_coordinator(&mut self, lost: usize, new: usize) -> Result<SocketAddr, ClusterError> {
        self.lose_disk(lost)?;
        let store = self.dir.join(format!("k{lost}"));
        let file = self.dir.join(format!("k{lost}.hcl"));
        let text = std::fs::read_to_string(&file).map_err(ClusterError::io(file.display()))?;
        let at = SocketAddr::from((self.listen[0].ip(), 30_000 + new as u16));
        // The block of the lost one, and its `serve`, become the new one's.
        let block = text.split("keeper \"").find(|block| block.starts_with(&format!("{lost}\"")));
        let old = block.and_then(|block| block.split('"').nth(2));
        let old = old.ok_or(ClusterError::MissingReplicaBlock { replica: lost })?;
        let text = text
            .replace(&format!("keeper \"{lost}\""), &format!("keeper \"{new}\""))
            .replace(old, &at.to_string())
            .replace(&format!("keeper = {lost}\n"), &format!("keeper = {new}\n"))
            .replace(&store.display().to_string(), &self.dir.join(format!("k{new}")).display().to_string());
        write(&self.dir.join(format!("k{new}.hcl")), text)?;
        self.run_coordinator_command(new, &["bootstrap", "--joining"]).await?;
        self.coordinators.resize_with(new.max(self.coordinators.len()), || None);
        self.start_coordinator(new)?;
        Ok(at)
    }

    /// Kills coordinator `n`, from one.
    pub fn kill_coordinator(&mut self, n: usize) {
        self.coordinators[n - 1] = None;
    }

    /// Kills dispatcher `n`, from nought.
    pub fn kill_dispatcher(&mut self, n: usize) {
        self.dispatchers[n] = None;
    }

    /// How many coordinators were set up, those that were killed included.
    #[must_use]
    pub fn coordinator_count(&self) -> usize {
        self.coordinators.len()
    }

    /// How many dispatchers were set up, those that were killed included.
    #[must_use]
    pub fn dispatcher_count(&self) -> usize {
        self.dispatchers.len()
    }

    /// Whether dispatcher `n` was not killed.
    #[must_use]
    pub fn is_running(&self, n: usize) -> bool {
        self.dispatchers[n].is_some()
    }

    /// Sends a signal to dispatcher `n`.
    ///
    /// # Errors
    /// It does not run.
    pub fn signal_dispatcher(&self, n: usize, signal: Signal) -> Result<(), ClusterError> {
        send_signal(format!("dispatcher {n}"), self.dispatchers[n].as_ref(), signal)
    }

    /// Sends a signal to coordinator `n`, from one.
    ///
    /// # Errors
    /// It does not run.
    pub fn signal_coordinator(&self, n: usize, signal: Signal) -> Result<(), ClusterError> {
        send_signal(format!("replica {n}"), self.coordinators[n - 1].as_ref(), signal)
    }

    /// The numbers of the processes that run, of coordinators and of dispatchers.
    pub fn process_ids(&self) -> (Vec<u32>, Vec<u32>) {
        let ids = |all: &[Option<Process>]| all.iter().flatten().map(|process| process.0.id()).collect();
        (ids(&self.coordinators), ids(&self.dispatchers))
    }

    /// Names another discovery in the configuration of dispatcher `n` and tells it to read that again.
    ///
    /// # Errors
    /// The file cannot be changed.
    pub fn change_discovery_address(&self, n: usize, to: SocketAddr) -> Result<(), ClusterError> {
        let file = self.dir.join(format!("d{n}.json"));
        let text = std::fs::read(&file).map_err(ClusterError::io(file.display()))?;
        let mut config: Value = serde_json::from_slice(&text)
            .map_err(|source| ClusterError::Json { path: file.clone(), source })?;
        config["discovery"] = to.to_string().into();
        write(&file, config.to_string())?;
        self.signal_dispatcher(n, Signal::HUP)
    }

    /// The coordinator that said last that it leads, from one.
    ///
    /// # Errors
    /// None has said so yet.
    pub fn leader(&self) -> Result<usize, ClusterError> {
        let term = |n: usize| last_number(&self.coordinator_log(n), "became leader", "term=");
        let newest = (1..=self.coordinators.len()).filter_map(|n| Some((term(n)?, n))).max();
        newest.map(|(_, n)| n).ok_or_else(|| ClusterError::NoLeader { logs: self.logs() })
    }

    /// The dispatcher that said last that it asks for the fleet, from nought.
    pub fn discovery_leader(&self) -> Option<usize> {
        self.last_logged_by("holds the list lease")
    }

    /// The dispatcher that said last that it observes which dispatchers are available, from nought.
    pub fn observer(&self) -> Option<usize> {
        self.last_logged_by("holds the observer lease")
    }

    /// The dispatcher that said last that it grants slow-start quotas, from nought.
    pub fn slow_start_leader(&self) -> Option<usize> {
        self.last_logged_by("holds the slow-start lease")
    }

    /// The dispatcher whose log has these words with the highest token, from nought.
    fn last_logged_by(&self, words: &str) -> Option<usize> {
        let token = |n: usize| last_number(&self.dispatcher_log(n), words, "token=");
        (0..self.dispatchers.len()).filter_map(|n| Some((token(n)?, n))).max().map(|(_, n)| n)
    }

    /// The logs of coordinators and dispatchers, for whoever has to find out what went wrong.
    pub fn logs(&self) -> String {
        let coordinators =
            (1..=self.coordinators.len()).map(|n| format!("-- k{n}\n{}", self.coordinator_log(n)));
        let dispatchers = (0..self.dispatchers.len()).map(|n| format!("-- d{n}\n{}", self.dispatcher_log(n)));
        coordinators.chain(dispatchers).collect()
    }

    /// Returns the error for a state that was not reached in time, with the logs of all processes.
    pub(super) fn timeout(&self, awaited: String) -> ClusterError {
        ClusterError::Timeout { awaited, logs: self.logs() }
    }

    /// How many workers a dispatcher knows, by its console.
    pub async fn known_workers(&self, n: usize) -> Option<usize> {
        let answer = self.console(n, "GET", "/status/metrics").await?;
        let line = answer.body.lines().find(|line| line.starts_with("balancer_shop_workers_known "))?;
        line.rsplit_once(' ')?.1.parse().ok()
    }

    /// How long it takes until all dispatchers that run know so many workers.
    ///
    /// # Errors
    /// It takes longer than 20 s.
    pub async fn wait_for_workers(&self, workers: usize) -> Result<Duration, ClusterError> {
        let start = Instant::now();
        for n in (0..self.dispatchers.len()).filter(|n| self.dispatchers[*n].is_some()) {
            while self.known_workers(n).await != Some(workers) {
                if start.elapsed() > Duration::from_secs(20) {
                    return Err(self.timeout(format!("dispatcher {n} does not know {workers} workers")));
                }
                sleep(Duration::from_millis(10)).await;
            }
        }
        Ok(start.elapsed())
    }

    /// Waits until every set of workers has a holder and none is to move any more, since a holder that is new to a set
    /// knows nothing of its workers yet. The leading coordinator moves one set in each stability period.
    ///
    /// # Errors
    /// It takes longer than 20 s.
    pub async fn wait_for_balanced_sets(&self, sets: usize) -> Result<Duration, ClusterError> {
        let start = Instant::now();
        loop {
            let listed = self.run_coordinator_command(1, &["duties"]).await;
            if listed.as_ref().is_ok_and(|leases| sets_are_balanced(leases, sets, self.dispatchers.len())) {
                return Ok(start.elapsed());
            }
            if start.elapsed() > Duration::from_secs(20) {
                let leases = listed.unwrap_or_else(|error| error.to_string());
                return Err(self.timeout(format!("sets of workers are not balanced: {leases}")));
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// How long it takes until so many watches are open at discovery.
    ///
    /// # Errors
    /// It takes longer than 20 s.
    pub async fn wait_for_watches(&self, wanted: u64) -> Result<Duration, ClusterError> {
        let start = Instant::now();
        while self.discovery.connection_counts().1 != wanted {
            if start.elapsed() > Duration::from_secs(20) {
                let watches = self.discovery.connection_counts().1;
                return Err(self.timeout(format!("{watches} watches, not {wanted}")));
            }
            sleep(Duration::from_millis(10)).await;
        }
        Ok(start.elapsed())
    }
}

/// Whether all sets of workers are held, and no holder of one has clearly more leases than another dispatcher, by the
/// text of `duties`: a line `LEASE: HOLDER, token N` each.
fn sets_are_balanced(leases: &str, sets: usize, dispatchers: usize) -> bool {
    let held: Vec<(&str, &str)> = leases
        .lines()
        .filter_map(|line| line.split_once(": "))
        .filter_map(|(lease, holder)| Some((lease, holder.split_once(", token ")?.0)))
        .collect();
    let count = |member: &str| held.iter().filter(|(_, holder)| *holder == member).count();
    let fewest = (0..dispatchers).map(|n| count(&format!("d{n}"))).min().unwrap_or(0);
    let of_sets = held.iter().filter(|(lease, _)| lease.contains("@set/"));
    let most = of_sets.clone().map(|(_, holder)| count(holder)).max().unwrap_or(0);
    of_sets.count() == sets && most < fewest + REBALANCE_THRESHOLD
}

/// The number that follows `key` in the last line of a log that has these words.
fn last_number(log: &str, words: &str, key: &str) -> Option<u64> {
    let line = log.lines().rfind(|line| line.contains(words))?;
    line.rsplit_once(key)?.1.split_whitespace().next()?.parse().ok()
}
