//! The duty "list" with processes: keepers, dispatchers and a discovery that counts who asks.

use std::net::TcpListener as Probe;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use cairncrank_lab::fleet::standin_discovery::Discovery;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout, Instant};

const DISPATCHERS: usize = 4;
const WORKERS: usize = 12;

/// A binary of this workspace: `cargo test --workspace` builds it beside the tests.
fn built(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the test's own path");
    let profile = test.parent().and_then(|deps| deps.parent()).expect("a folder of the profile");
    let program = profile.join(name);
    assert!(program.is_file(), "{} is missing: run the tests of the whole workspace", program.display());
    program
}

fn free() -> u16 {
    Probe::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

/// A process that ends with this value.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn spawn(command: &mut Command, log: &Path) -> Process {
    let log = std::fs::File::options().create(true).append(true).open(log).unwrap();
    Process(command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn().unwrap())
}

struct Fleet {
    dir: tempfile::TempDir,
    discovery: Discovery,
    keepers: Vec<Option<Process>>,
    dispatchers: Vec<Option<Process>>,
    consoles: Vec<u16>,
}

impl Fleet {
    /// Three keepers and some dispatchers, members of a fleet or each by itself.
    async fn start(together: bool) -> Fleet {
        let dir = tempfile::tempdir().unwrap();
        let discovery = Discovery::new(WORKERS);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        spawn_local(discovery.clone().serve(listener));
        let ports: Vec<u16> = (0..3).map(|_| free()).collect();
        let block = |(n, port): (usize, &u16)| {
            format!("keeper \"{}\" {{\n  address = \"127.0.0.1:{port}\"\n}}\n", n + 1)
        };
        let keepers: String = ports.iter().enumerate().map(block).collect();
        for n in 1..=3 {
            let store = dir.path().join(format!("k{n}"));
            let serve = format!("serve {{\n  keeper = {n}\n  store = \"{}\"\n}}\n", store.display());
            let file = dir.path().join(format!("k{n}.hcl"));
            std::fs::write(&file, format!("installation = \"test\"\n{keepers}{serve}")).unwrap();
            let made =
                Command::new(built("cairncrank-keeper")).args(["bootstrap", "--config"]).arg(&file).output();
            assert!(made.unwrap().status.success());
        }
        let toy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/config.json");
        let mut config: serde_json::Value = serde_json::from_slice(&std::fs::read(toy).unwrap()).unwrap();
        config["known"] = serde_json::json!({"revision": 0, "complete": true, "members": []});
        let mut consoles = Vec::new();
        for n in 0..DISPATCHERS {
            consoles.push(free());
            config["name"] = format!("d{n}").into();
            config["listen"] = format!("127.0.0.1:{}", free()).into();
            config["console"] = format!("127.0.0.1:{}", consoles[n]).into();
            config["discovery"] = at.to_string().into();
            config["seed"] = format!("{:016x}", n + 1).into();
            std::fs::write(dir.path().join(format!("d{n}.json")), config.to_string()).unwrap();
            let fleet = format!(
                "fleet {{\ninstallation = \"test\"\nlisten = \"127.0.0.1:{}\"\n{keepers}}}\n",
                free()
            );
            let own = if together { fleet } else { String::new() };
            std::fs::write(dir.path().join(format!("d{n}.hcl")), own).unwrap();
        }
        let none = || (0..DISPATCHERS).map(|_| None).collect();
        let mut fleet =
            Fleet { dir, discovery, keepers: vec![None, None, None], dispatchers: none(), consoles };
        (1..=3).for_each(|n| fleet.start_keeper(n));
        (0..DISPATCHERS).for_each(|n| fleet.start_dispatcher(n));
        fleet
    }

    fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    fn start_keeper(&mut self, n: usize) {
        let mut command = Command::new(built("cairncrank-keeper"));
        command.args(["serve", "--config"]).arg(self.path(&format!("k{n}.hcl")));
        self.keepers[n - 1] = Some(spawn(&mut command, &self.path(&format!("k{n}.log"))));
    }

    fn start_dispatcher(&mut self, n: usize) {
        let mut command = Command::new(built("cairncrank"));
        command.arg("--config").arg(self.path(&format!("d{n}.json")));
        command.arg("--settings").arg(self.path(&format!("d{n}.hcl")));
        self.dispatchers[n] = Some(spawn(&mut command, &self.path(&format!("d{n}.log"))));
    }

    /// The dispatcher that said last that it asks for the fleet.
    fn owner(&self) -> Option<usize> {
        let token = |n: usize| {
            let log = std::fs::read_to_string(self.path(&format!("d{n}.log"))).unwrap_or_default();
            let line = log.lines().rfind(|line| line.contains("asks discovery for the fleet"))?.to_owned();
            line.rsplit_once("token=")?.1.split_whitespace().next()?.parse::<u64>().ok()
        };
        (0..DISPATCHERS).filter_map(|n| Some((token(n)?, n))).max().map(|(_, n)| n)
    }

    fn logs(&self) -> String {
        let one = |name: &str| std::fs::read_to_string(self.path(name)).unwrap_or_default();
        (0..DISPATCHERS).map(|n| format!("-- d{n}\n{}", one(&format!("d{n}.log")))).collect()
    }

    /// How many workers a dispatcher knows, by its console.
    async fn known(&self, n: usize) -> Option<usize> {
        let mut stream = TcpStream::connect(("127.0.0.1", self.consoles[n])).await.ok()?;
        stream
            .write_all(b"GET /status/metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            .await
            .ok()?;
        let mut text = String::new();
        timeout(Duration::from_secs(1), stream.read_to_string(&mut text)).await.ok()?.ok()?;
        let line = text.lines().find(|line| line.starts_with("balancer_shop_workers_known "))?;
        line.rsplit_once(' ')?.1.parse().ok()
    }

    /// How long it takes until all that run know so many workers.
    async fn all_know(&self, workers: usize) -> Duration {
        let start = Instant::now();
        for n in (0..DISPATCHERS).filter(|n| self.dispatchers[*n].is_some()) {
            while self.known(n).await != Some(workers) {
                assert!(
                    start.elapsed() < Duration::from_secs(20),
                    "d{n} does not know {workers}\n{}",
                    self.logs()
                );
                sleep(Duration::from_millis(10)).await;
            }
        }
        start.elapsed()
    }

    /// How long it takes until so many watches are open.
    async fn watches(&self, wanted: u64) -> Duration {
        let start = Instant::now();
        while self.discovery.asked().1 != wanted {
            let open = self.discovery.asked().1;
            assert!(
                start.elapsed() < Duration::from_secs(20),
                "{open} watches, not {wanted}\n{}",
                self.logs()
            );
            sleep(Duration::from_millis(10)).await;
        }
        start.elapsed()
    }
}

fn play(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn one_dispatcher_asks_for_all_and_its_place_is_taken_when_it_dies() {
    play(async {
        let mut fleet = Fleet::start(true).await;
        fleet.all_know(WORKERS).await;
        fleet.watches(1).await;
        fleet.discovery.change(0, "terminated");
        let told = fleet.all_know(WORKERS - 1).await;
        println!("a change told by the owner is known everywhere after {told:?}");
        let owner = fleet.owner().expect("an owner");
        fleet.dispatchers[owner] = None;
        let start = Instant::now();
        while fleet.owner() == Some(owner) {
            assert!(start.elapsed() < Duration::from_secs(10), "nobody took over\n{}", fleet.logs());
            sleep(Duration::from_millis(10)).await;
        }
        fleet.watches(1).await;
        println!("another one asks {:?} after the owner was killed", start.elapsed());
        fleet.discovery.change(1, "terminated");
        fleet.all_know(WORKERS - 2).await;
        // Back again, it relies on the new owner.
        fleet.start_dispatcher(owner);
        fleet.all_know(WORKERS - 2).await;
        fleet.watches(1).await;
    });
}

#[test]
fn without_keepers_each_asks_for_itself_again_and_jobs_never_wait() {
    play(async {
        let mut fleet = Fleet::start(true).await;
        fleet.all_know(WORKERS).await;
        fleet.watches(1).await;
        fleet.keepers.iter_mut().for_each(|keeper| *keeper = None);
        let alone = fleet.watches(DISPATCHERS as u64).await;
        println!("each asks for itself {alone:?} after the last keeper was killed");
        fleet.discovery.change(3, "terminated");
        fleet.all_know(WORKERS - 1).await;
        (1..=3).for_each(|n| fleet.start_keeper(n));
        let again = fleet.watches(1).await;
        println!("one asks for all {again:?} after the keepers were started");
        fleet.discovery.change(4, "terminated");
        fleet.all_know(WORKERS - 2).await;
    });
}

#[test]
fn a_silent_discovery_is_noticed_by_those_who_rely_on_the_owner() {
    play(async {
        let fleet = Fleet::start(true).await;
        fleet.all_know(WORKERS).await;
        fleet.watches(1).await;
        let before = fleet.discovery.asked().0;
        fleet.discovery.silent(true);
        let start = Instant::now();
        while fleet.discovery.asked().0 < before + DISPATCHERS as u64 {
            assert!(start.elapsed() < Duration::from_secs(10), "not everybody asks\n{}", fleet.logs());
            sleep(Duration::from_millis(10)).await;
        }
        println!("each asks for itself {:?} after discovery fell silent", start.elapsed());
        fleet.discovery.silent(false);
        fleet.discovery.change(5, "terminated");
        fleet.all_know(WORKERS - 1).await;
        fleet.watches(1).await;
    });
}

#[test]
fn without_a_fleet_each_asks_for_itself() {
    play(async {
        let fleet = Fleet::start(false).await;
        fleet.all_know(WORKERS).await;
        fleet.watches(DISPATCHERS as u64).await;
        sleep(Duration::from_secs(4)).await;
        assert_eq!(fleet.discovery.asked().1, DISPATCHERS as u64);
    });
}
