//! The platform's part: discovery's agent, the configuration, and the dispatcher's process by the deploy file.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Reader;
use crate::record::Record;
use crate::worker::Worker;

/// Starts an agent of discovery that knows these workers, and returns its port. It answers at once, and an open watch
/// gets an empty line every 2 s.
pub fn start_agent(workers: &[Arc<Worker>]) -> u16 {
    let list = list(workers);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| crate::cannot_run(&error.to_string()));
    let port = listener.local_addr().map(|address| address.port()).unwrap_or(0);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || serve_agent(stream, &list));
        }
    });
    port
}

fn serve_agent(stream: TcpStream, list: &str) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = Reader::new(stream);
    while let Ok(request) = reader.message() {
        if !request.start.contains("stream=1") {
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let first = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\n\r\n", list.len() + 1);
        if writer.write_all(first.as_bytes()).is_err() {
            return;
        }
        loop {
            thread::sleep(Duration::from_millis(1950));
            if writer.write_all(b"1\r\n\n\r\n").is_err() {
                return;
            }
        }
    }
}

/// Returns the complete list in discovery's form.
pub fn list(workers: &[Arc<Worker>]) -> String {
    let entries: Vec<String> = workers.iter().map(|worker| worker.entry()).collect();
    format!(r#"{{"revision":41,"complete":true,"members":[{}]}}"#, entries.join(","))
}

/// The parts of a configuration that the cases change; the rest is that of a small deployment.
#[derive(Clone)]
pub struct Configuration {
    pub name: String,
    /// Number of this dispatcher among all of them.
    pub number: u32,
    /// Number of dispatchers.
    pub dispatchers: u32,
    pub listen: u16,
    pub agent: u16,
    pub known: String,
    pub send_cap: u32,
    /// The classes, as JSON objects.
    pub profiles: Vec<String>,
}

impl Configuration {
    pub fn text(&self) -> String {
        let count = self.profiles.len();
        let same = |value: &str| vec![value; count].join(",");
        format!(
            r#"{{"name":"{}","listen":"127.0.0.1:{}","discovery":"127.0.0.1:{}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":64,"sockets":512}},
"known":{},
"settings":{{
 "azs":["aarhus-dc","odense-dc","aalborg-dc"],"zone":0,"balancers":{},"slot-no":{},"discovery":"push",
 "family":"jobs","flavors":["gen3","gen2","gen1"],"tier":0,"tiers":["shop-backend"],"weight-kind":"rough",
 "counted-by":"work","resolution-s":0.005,"over-share-worth":0.1,
 "caps":{{"cancel":true,"cpu-us-per-request":0.0,"cpu-us-per-s":1000000,"dial-timeout-s":0.25,"keepalive-s":5.0,
  "max-retry-after-s":2.0,"max-streams":1,"may-tell":false,"open-cap":33333,"parallel-tries":true,"probes":false,
  "retry-after":true,"send-cap":{}}},
 "charges":{{"connection":0.05,"cross-zone":0.025,"handshake":0.05,"late-fail":0.076,"waste":0.016}},
 "clients":{{"marks-retry":true}},
 "family-info":{{"class-kind":[{}],"class-priority":[{}],"class-stretch":[{}],"progress-s":1.0,"queue-order":"fifo",
  "tells-start":true}},
 "obligations":{{"answer-slack-s":0.02,"ask-within-s":10.0,"cold-share":0.14,"drain-grace-s":0.5,"fall-multiple":3.0,
  "tip-after-s":1.5,"warm-within-s":24.0}},
 "profiles":[{}],
 "projects":[{{"name":"havnegade","quota-per-s":38.0,"share":0.38}},{{"name":"skovvej","quota-per-s":33.0,"share":0.33}},
  {{"name":"moellebakken","quota-per-s":29.0,"share":0.29}}],
 "report":{{"how":"none","names":[]}},
 "score-parts":{{"whole":0.55,"worst-class":0.05,"worst-tenant":0.25,"worst-window":0.15}}
}}}}
"#,
            self.name,
            self.listen,
            self.agent,
            self.known,
            self.dispatchers,
            self.number,
            self.send_cap,
            same("-1"),
            same("0"),
            same("2.0"),
            self.profiles.join(","),
        )
    }
}

/// A class that may be repeated.
pub fn free(name: &str, deadline_s: f64) -> String {
    format!(
        r#"{{"name":"{name}","idempotency":"free","key-scope":"all","window-s":5.0,"promise-s":0.4,"deadline-s":{deadline_s:.1},"importance":5.0,"late-worth":0.2,"streamed":false}}"#
    )
}

/// A class that is unsafe to repeat.
pub fn single_shot(name: &str, deadline_s: f64) -> String {
    free(name, deadline_s).replace("\"free\"", "\"single_shot\"")
}

/// A class with a key, whose repeats the workers of one cell drop for 15 s.
pub fn guarded_by_cell(name: &str, deadline_s: f64) -> String {
    format!(
        r#"{{"name":"{name}","idempotency":"guarded","key-scope":"cell","window-s":15.0,"promise-s":0.25,"deadline-s":{deadline_s:.1},"importance":8.0,"late-worth":0.2,"streamed":false}}"#
    )
}

/// Returns a port that was free a moment ago.
pub fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| crate::cannot_run(&error.to_string()));
    listener.local_addr().map(|address| address.port()).unwrap_or(0)
}

/// A dispatcher's process.
pub struct Dispatcher {
    child: Child,
    record: Record,
    work: PathBuf,
    file: PathBuf,
}

impl Dispatcher {
    /// Starts `run` of the deploy file and waits until `GET /healthz` says yes.
    pub fn start(record: &Record, work: &Path, configuration: &Configuration) -> Dispatcher {
        Dispatcher::start_with(record, work, configuration, None)
    }

    /// Starts `run` of the deploy file, with this file of local settings if there is one, and waits until `GET /healthz`
    /// says yes.
    pub fn start_with(record: &Record, work: &Path, configuration: &Configuration, settings: Option<&Path>) -> Dispatcher {
        let name = &configuration.name;
        let file = work.join(format!("{name}.json"));
        write(&file, &configuration.text());
        let mut run = run_command();
        if let Some(settings) = settings {
            run = run.replace("deploy/cairncrank.hcl", &settings.display().to_string());
        }
        let log = File::create(work.join(format!("{name}.log"))).unwrap_or_else(|error| crate::cannot_run(&error.to_string()));
        let temporary = work.join(format!("{name}.tmp"));
        let _ = std::fs::create_dir_all(&temporary);
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("BALANCER_CONFIG", &file)
            .env("BALANCER_NAME", name)
            .env("BALANCER_LISTEN", format!("127.0.0.1:{}", configuration.listen))
            .env("BALANCER_DISCOVERY", format!("127.0.0.1:{}", configuration.agent))
            .env_remove("BALANCER_CONSOLE")
            .env_remove("BALANCER_ACCEPT_FD")
            .env_remove("CAIRNCRANK_SETTINGS")
            .env("TMPDIR", &temporary)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| crate::cannot_run(&error.to_string()));
        crate::started(child.id(), work);
        record.line(&format!("dispatcher {name} started: {run}"));
        let dispatcher = Dispatcher { child, record: record.clone(), work: work.to_owned(), file };
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if is_ready(configuration.listen) {
                record.line(&format!("dispatcher {name} is ready"));
                return dispatcher;
            }
            thread::sleep(Duration::from_millis(50));
        }
        crate::cannot_run("the dispatcher was not ready within 10 s");
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, configuration: &Configuration, what: &str) {
        let new = self.file.with_extension("new");
        write(&new, &configuration.text());
        if let Err(error) = std::fs::rename(&new, &self.file) {
            crate::cannot_run(&error.to_string());
        }
        self.record.line(&format!("new configuration, SIGHUP: {what}"));
        crate::signal("HUP", self.child.id());
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Ends the process: SIGTERM, then SIGKILL after 4 s.
    pub fn end(mut self) {
        crate::signal("TERM", self.child.id());
        let until = Instant::now() + Duration::from_secs(4);
        while Instant::now() < until && self.is_running() {
            thread::sleep(Duration::from_millis(20));
        }
        self.kill();
        self.record.line("dispatcher ended");
    }

    /// Ends the process with SIGKILL, unless it has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        crate::ended(self.child.id(), &self.work);
    }
}

/// Returns `run` of the deploy file.
fn run_command() -> String {
    let deploy = std::fs::read_to_string("deploy/balancer.toml")
        .unwrap_or_else(|error| crate::cannot_run(&format!("deploy/balancer.toml: {error}")));
    let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).and_then(|rest| rest.split('"').next());
    run.unwrap_or_else(|| crate::cannot_run("deploy/balancer.toml has no run")).to_owned()
}

pub fn write(file: &Path, text: &str) {
    if let Err(error) = std::fs::write(file, text) {
        crate::cannot_run(&format!("{}: {error}", file.display()));
    }
}

fn is_ready(port: u16) -> bool {
    let Ok(mut stream) = TcpStream::connect(("127.0.0.1", port)) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    if stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n").is_err() {
        return false;
    }
    let mut answer = [0; 64];
    matches!(stream.read(&mut answer), Ok(count) if answer[..count].starts_with(b"HTTP/1.1 200"))
}
