//! Case 9: two dispatchers that share the list of workers, each with addresses of its own for them.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::cases::{repeated, report_repeated, seconds, KEY_WINDOW, TENANTS, ZONES};
use crate::client::Clients;
use crate::http::Reader;
use crate::platform::{free, free_port, guarded_by_cell, write, Configuration, Dispatcher};
use crate::random::Random;
use crate::worker::{ended, started, Behavior, Job, Plan, Runs, Worker};
use crate::Setup;

/// Number of workers, two in each cell; also the number of ports of each machine's forwarder.
const WORKERS: usize = 6;
/// Number of ports by which the forwarder of the second machine is ahead of that of the first.
const SHIFT: usize = 3;

/// Returns the port of a worker in the forwarder of a dispatcher's machine; with [`SHIFT`] half of the ports, it is also
/// the worker behind a port.
fn across(index: usize, dispatcher: usize) -> usize {
    (index + dispatcher * SHIFT) % WORKERS
}

/// Discovery, as the agents of both machines know it: the revision at which the last worker began to drain, if it did.
#[derive(Clone, Default)]
struct Discovery(Arc<Mutex<Option<u64>>>);

const FIRST_REVISION: u64 = 41;

impl Discovery {
    fn revision(&self) -> u64 {
        self.0.lock().unwrap().unwrap_or(FIRST_REVISION)
    }

    fn entry(&self, worker: usize, dispatcher: usize, ports: &[u16]) -> String {
        let drains = worker == WORKERS - 1 && self.0.lock().unwrap().is_some();
        format!(
            r#"{{"id":"s-{worker:04}","host_port":"127.0.0.1:{}","locality":"{}","flavor":"gen2","cell":{},"phase":"{}","size":1.0,"up_since_ms":0}}"#,
            ports[across(worker, dispatcher)],
            ZONES[worker / 2],
            worker / 2,
            if drains { "terminating" } else { "in_service" }
        )
    }

    fn list(&self, dispatcher: usize, ports: &[u16]) -> String {
        let entries: Vec<String> = (0..WORKERS).map(|worker| self.entry(worker, dispatcher, ports)).collect();
        format!(r#"{{"revision":{},"complete":true,"members":[{}]}}"#, self.revision(), entries.join(","))
    }

    fn change(&self, dispatcher: usize, ports: &[u16]) -> String {
        let entry = self.entry(WORKERS - 1, dispatcher, ports);
        format!(r#"{{"revision":{},"complete":false,"members":[{entry}]}}"#, self.revision())
    }

    /// Starts the agent on the machine of a dispatcher.
    fn start_agent(&self, dispatcher: usize, ports: &[u16]) -> u16 {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| crate::cannot_run(&error.to_string()));
        let port = listener.local_addr().map(|address| address.port()).unwrap_or(0);
        let (discovery, ports) = (self.clone(), ports.to_vec());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (discovery, ports) = (discovery.clone(), ports.clone());
                thread::spawn(move || discovery.serve(stream, dispatcher, &ports));
            }
        });
        port
    }

    fn serve(&self, stream: TcpStream, dispatcher: usize, ports: &[u16]) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().ok()?;
        let mut reader = Reader::new(stream);
        loop {
            let request = reader.message().ok()?;
            let list = self.list(dispatcher, ports);
            if !request.start.contains("stream=1") {
                let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
                writer.write_all(answer.as_bytes()).ok()?;
                continue;
            }
            let mut told = self.revision();
            writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
            writer.write_all(chunk(&list).as_bytes()).ok()?;
            let mut last = Instant::now();
            loop {
                thread::sleep(Duration::from_millis(20));
                if self.revision() > told {
                    told = self.revision();
                    writer.write_all(chunk(&self.change(dispatcher, ports)).as_bytes()).ok()?;
                    last = Instant::now();
                } else if last.elapsed() > Duration::from_millis(1_900) {
                    writer.write_all(b"1\r\n\n\r\n").ok()?;
                    last = Instant::now();
                }
            }
        }
    }
}

fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

/// Starts three coordinators; returns them and their block in the settings.
fn start_coordinators(setup: &Setup) -> (Vec<Child>, String) {
    let program = "target/release/coordinator";
    if !Path::new(program).exists() {
        crate::cannot_run("there is no coordinator: see review/build-2.sh");
    }
    let ports: Vec<u16> = (0..3).map(|_| free_port()).collect();
    let block: String = ports
        .iter()
        .enumerate()
        .map(|(index, port)| format!("keeper \"{}\" {{ address = \"127.0.0.1:{port}\" }}\n", index + 1))
        .collect();
    let mut coordinators = Vec::new();
    for number in 1..=3 {
        let file = setup.work.join(format!("keeper{number}.hcl"));
        let store = setup.work.join(format!("store{number}"));
        let text = format!("installation = \"north\"\n{block}serve {{\n  keeper = {number}\n  store = \"{}\"\n}}\n", store.display());
        write(&file, &text);
        let config = file.display().to_string();
        let bootstrap = Command::new(program).args(["bootstrap", "--config", &config]).stdout(Stdio::null()).status();
        if !bootstrap.is_ok_and(|status| status.success()) {
            crate::cannot_run("a coordinator's store cannot be made");
        }
        let child = Command::new(program)
            .args(["serve", "--config", &config])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|error| crate::cannot_run(&error.to_string()));
        crate::started(child.id(), &setup.work);
        coordinators.push(child);
    }
    (coordinators, block)
}

/// Hands in jobs with a key at both dispatchers for this time.
fn hand_in(clients: &[Clients], arrivals: &mut Random, time: Duration, when: &str) -> Vec<JoinHandle<()>> {
    let until = Instant::now() + time;
    let mut handed_in = Vec::new();
    let mut number = 0;
    while Instant::now() < until {
        for (dispatcher, clients) in clients.iter().enumerate() {
            number += 1;
            // The first letter tells the network of the stand-ins from which machine a request comes.
            let id = format!("{}{:08x}{when}{number:04}", if dispatcher == 0 { 'a' } else { 'b' }, arrivals.next() as u32);
            let key = format!("key-{id}");
            handed_in.push(clients.hand_in("reserve-item", &id, Some(&key), TENANTS[number % 3], 10_000, "run"));
        }
        thread::sleep(seconds(arrivals.gap(12.0)));
    }
    handed_in
}

/// Case 9: a worker begins to drain, and a dispatcher that relies on the shared list takes the addresses of another.
pub fn addresses_of_another(setup: &Setup) -> bool {
    let runs = Runs::new(&setup.record);
    // Each machine has a forwarder: its ports lead to the workers, in another order than those of the other machine.
    let behavior: Arc<Behavior> = {
        let runs = runs.clone();
        Arc::new(move |port: &Worker, job: &Job| -> Plan {
            let number: usize = port.name.parse().unwrap_or(0);
            let worker = across(number, usize::from(job.id.starts_with('b')));
            let worker = Worker {
                name: format!("s-{worker:04}"),
                zone: ZONES[worker / 2],
                cell: (worker / 2) as u32,
                port: port.port,
            };
            runs.begin(&worker, job, KEY_WINDOW);
            let start = job.read_at + Duration::from_millis(1);
            vec![(start, started(&worker, job)), (start + Duration::from_millis(100), ended(&worker, job, "done"))]
        })
    };
    let ports: Vec<u16> = (0..WORKERS).map(|number| Worker::start(&number.to_string(), ZONES[0], 0, behavior.clone()).port).collect();
    let discovery = Discovery::default();
    let (mut coordinators, block) = start_coordinators(setup);
    let mut dispatchers = Vec::new();
    let mut clients = Vec::new();
    for number in 0..2 {
        let settings = setup.work.join(format!("n{number}.hcl"));
        let deployed = std::fs::read_to_string("deploy/cairncrank.hcl").unwrap_or_default();
        let fleet = format!(
            "{deployed}\nfleet {{\n  installation = \"north\"\n  listen = \"127.0.0.1:{}\"\n  list = true\n  source = \"north-discovery\"\n{block}}}\n",
            free_port()
        );
        write(&settings, &fleet);
        let configuration = Configuration {
            name: format!("n{number}"),
            number: number as u32,
            dispatchers: 2,
            listen: free_port(),
            agent: discovery.start_agent(number, &ports),
            known: discovery.list(number, &ports),
            send_cap: 4,
            profiles: vec![free("stock-lookup", 5.0), guarded_by_cell("reserve-item", 10.0)],
        };
        dispatchers.push(Dispatcher::start_with(&setup.record, &setup.work, &configuration, Some(&settings)));
        clients.push(Clients::new(&setup.record, configuration.listen));
    }
    // By now one of them holds the lease of the list.
    thread::sleep(Duration::from_secs(8));
    let mut arrivals = Random::new(setup.seed);
    let mut handed_in = hand_in(&clients, &mut arrivals, Duration::from_secs(5), "before");
    if setup.trouble {
        *discovery.0.lock().unwrap() = Some(FIRST_REVISION + 1);
        setup.record.line("discovery tells both agents that s-0005 drains");
    }
    thread::sleep(Duration::from_secs(2));
    handed_in.extend(hand_in(&clients, &mut arrivals, Duration::from_secs(10), "after"));
    let count = handed_in.len();
    for client in handed_in {
        let _ = client.join();
    }
    for dispatcher in dispatchers {
        dispatcher.end();
    }
    for coordinator in &mut coordinators {
        let _ = coordinator.kill();
        let _ = coordinator.wait();
        crate::ended(coordinator.id(), &setup.work);
    }
    let in_two_cells = repeated(&runs.all(), |run| run.key.clone());
    report_repeated(setup, &in_two_cells);
    let unserved = clients.iter().flat_map(Clients::answers).filter(|answer| answer.status != Some(200)).count();
    setup.record.say(&format!("{count} jobs with a key, not served {unserved}; run in two cells: {}", in_two_cells.len()));
    !in_two_cells.is_empty()
}
