//! Replies of the adapter, pinned by snapshots: to recorded batches with every kind of event, and in a long closed loop
//! with a small simulator whose lines are drawn from a seed.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

use fastrand::Rng;
use simulator_adapter::Host;

const SEED: u64 = 20_26;
const STEPS: u32 = 400;
const STEP_MICROS: u64 = 20_000;
const WORKERS: u64 = 12;

/// Outcomes of attempts and probes by their numbers in the protocol.
const OK: u32 = 0;
const CANCELLED: u32 = 1;
const TIMEOUT: u32 = 4;
const OVERLOADED: u32 = 8;
const NOT_SENT: u32 = 9;
const RESET: u32 = 10;
const ERROR: u32 = 13;
const CONNECT_FAILED: u32 = 14;
const INSTANCES: [&str; 2] = ["scheduler/0", "scheduler/1"];

const SETTINGS: &str = "azs=a,b,c balancers=2 profiles.count=3 profiles.0.promise-s=0.5 profiles.0.idempotency=free \
    profiles.1.promise-s=0.5 profiles.1.idempotency=guarded profiles.1.key-scope=zone profiles.1.window-s=5 \
    profiles.2.promise-s=1.0 profiles.2.idempotency=none family-info.class-stretch=2,2,3 projects.count=2 \
    projects.0.share=0.6 projects.0.quota-per-s=30 projects.1.share=0.4 projects.1.quota-per-s=20 caps.send-cap=3 \
    caps.retry-after=true caps.max-retry-after-s=2.0 caps.cancel=true caps.parallel-tries=true caps.probes=true \
    charges.probe=0.002 report.how=answers report.names=x0,inflight,queue family-info.report-x0=free_slots \
    family-info.tells-start=true family-info.progress-s=1 obligations.cold-share=0.3 obligations.warm-within-s=10 \
    obligations.fall-multiple=3 obligations.tip-after-s=1 resolution-s=0.004 caps.keepalive-s=5 charges.handshake=0.02";

#[test]
fn every_kind_of_event() {
    let mut replies = Vec::new();
    let input = include_str!("fixtures/every_event.txt");
    Host::default().serve(input.as_bytes(), &mut replies).expect("the batches are well formed");
    insta::assert_snapshot!("every_kind_of_event", String::from_utf8(replies).expect("replies are UTF-8"));
}

#[test]
fn a_long_closed_loop() {
    let transcript = Loop::new().run();
    let kinds: BTreeSet<&str> = transcript.lines().filter_map(|line| line.split(' ').nth(1)).collect();
    for kind in [
        "KNOCK",
        "STARTED",
        "UPDATE_OF",
        "RESPONSE",
        "CANCELLED_BY_CLIENT",
        "DEADLINE_HIT",
        "HEALTH_RESULT",
        "WHISPER",
        "FLEET",
        "REGISTER",
        "WORKER",
        "INIT",
        "KILL",
        "ON_BEHALF",
        "PLACE",
        "BUSY",
        "DROP_REQUEST",
        "ABANDON",
        "SOUND_OUT",
        "SET_TIMER",
        "OK",
    ] {
        assert!(kinds.contains(kind), "the transcript has no line {kind}");
    }
    insta::assert_snapshot!("a_long_closed_loop", transcript);
}

/// A request that an instance has received.
#[derive(Default)]
struct OpenRequest {
    /// Number of attempts so far.
    attempts: u32,
    /// Workers of the attempts in flight, by the attempt's number.
    in_flight: BTreeMap<u32, String>,
    answered: bool,
}

/// Identifies a request of an instance.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RequestKey {
    instance: usize,
    request: u64,
}

/// Time of a planned line; lines of the same time follow the order in which they were planned.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DueTime {
    at: u64,
    sequence: u64,
}

/// A line that is planned for an instance.
struct DueLine {
    instance: usize,
    line: PlannedLine,
}

/// A small simulator in a closed loop with the adapter: its lines depend on the replies.
struct Loop {
    host: Host,
    rng: Rng,
    now: u64,
    next_request: u64,
    transcript: String,
    /// Planned lines, ordered by time.
    due: BTreeMap<DueTime, DueLine>,
    sequence: u64,
    open: BTreeMap<RequestKey, OpenRequest>,
}

enum PlannedLine {
    StreamStarted { request: u64, attempt: u32 },
    Updates { request: u64, attempt: u32 },
    AttemptEnded { request: u64, attempt: u32, outcome: u32 },
    Timer { token: String },
    ProbeEnded { worker: String },
}

fn workers_of(rng: &mut Rng, now: u64, count: u64) -> String {
    let mut lines = String::new();
    for number in 0..count {
        let state = ["SERVING", "SERVING", "SERVING", "SERVING", "DRAINING", "DELETED"][rng.usize(..6)];
        let since = if rng.u32(..4) == 0 { seconds(now) } else { "-".to_owned() };
        let worker = if count == WORKERS { number } else { rng.u64(..WORKERS + 1) };
        let (kind, zone, cell) = (worker % 2, worker % 3, worker % 6);
        let _ = writeln!(lines, "WORKER worker.{worker} {kind} 4 {since} {zone} {cell} {state}");
    }
    lines
}

fn seconds(micros: u64) -> String {
    format!("{}.{:06}", micros / 1_000_000, micros % 1_000_000)
}

impl Loop {
    fn new() -> Loop {
        Loop {
            host: Host::default(),
            rng: Rng::with_seed(SEED),
            now: 100_000_000,
            next_request: 1,
            transcript: String::new(),
            due: BTreeMap::new(),
            sequence: 0,
            open: BTreeMap::new(),
        }
    }

    /// Runs the loop and returns the transcript of all batches and replies.
    fn run(mut self) -> String {
        let mut first = format!("SYNC {}\n", seconds(self.now));
        let _ = write!(first, "REGISTER 0 {WORKERS}\n{}", workers_of(&mut self.rng, 0, WORKERS));
        for (instance, name) in INSTANCES.iter().enumerate() {
            let _ = write!(first, "CONTEXT {name}\n{}FLEET SAVED 0 1\n", self.init(instance));
        }
        self.exchange_batch(first);
        for _ in 0..STEPS {
            self.now += STEP_MICROS;
            let mut text = format!("SYNC {}\n", seconds(self.now));
            for (instance, name) in INSTANCES.iter().enumerate() {
                let lines = self.lines(instance);
                if !lines.is_empty() {
                    let _ = write!(text, "CONTEXT {name}\n{lines}");
                }
            }
            self.exchange_batch(text);
        }
        self.transcript
    }

    fn init(&mut self, instance: usize) -> String {
        let discovery = if instance == 0 { "push" } else { "ask obligations.ask-within-s=4" };
        let seed = self.rng.u32(..1000);
        format!("INIT {seed} slot-no={instance} zone={instance} discovery={discovery} {SETTINGS}\n")
    }

    /// Sends a batch to the adapter, and plans the lines that follow from its reply.
    fn exchange_batch(&mut self, text: String) {
        let input = text + "EOF_BATCH\n";
        let mut reply = Vec::new();
        self.host.serve(input.as_bytes(), &mut reply).expect("a well formed batch");
        let reply = String::from_utf8(reply).expect("replies are UTF-8");
        input.lines().for_each(|line| self.transcript += &format!("> {line}\n"));
        reply.lines().for_each(|line| self.transcript += &format!("< {line}\n"));
        let mut instance = 0;
        for line in reply.lines() {
            let words: Vec<&str> = line.split(' ').collect();
            match words[0] {
                "ON_BEHALF" => {
                    instance = INSTANCES.iter().position(|name| *name == words[1]).expect("an instance")
                }
                "PLACE" => self.place(instance, words[1].parse().expect("a request"), words[2]),
                "BUSY" | "DROP_REQUEST" => {
                    let request = words[1].parse().expect("a request");
                    self.open.entry(RequestKey { instance, request }).or_default().answered = true;
                }
                "ABANDON" => {
                    let request = words[1].parse().expect("a request");
                    let attempt = words[2].parse().expect("an attempt");
                    let ended = PlannedLine::AttemptEnded { request, attempt, outcome: CANCELLED };
                    self.plan(instance, 1_000, ended);
                }
                "SOUND_OUT" => {
                    let worker = words[1].to_owned();
                    self.plan(instance, 4_000, PlannedLine::ProbeEnded { worker });
                }
                "SET_TIMER" => {
                    let after: f64 = words[1].parse().expect("a duration");
                    let token = words[2].to_owned();
                    self.plan(instance, (after * 1e6) as u64, PlannedLine::Timer { token });
                }
                _ => {}
            }
        }
    }

    fn plan(&mut self, instance: usize, after: u64, line: PlannedLine) {
        self.sequence += 1;
        let due = DueTime { at: self.now + after, sequence: self.sequence };
        self.due.insert(due, DueLine { instance, line });
    }

    /// Simulates an attempt: the worker accepts it, rejects it or fails.
    fn place(&mut self, instance: usize, request: u64, worker: &str) {
        let open = self.open.entry(RequestKey { instance, request }).or_default();
        let attempt = open.attempts;
        open.attempts += 1;
        open.in_flight.insert(attempt, worker.to_owned());
        let hangs = worker == "worker.5" && (103_000_000..108_000_000).contains(&self.now);
        let (outcome, after) = match self.rng.u32(..24) {
            _ if hangs => (TIMEOUT, 4_000_000),
            0 => (ERROR, 50_000),
            1 | 2 => (OVERLOADED, 4_000),
            3 => (CONNECT_FAILED, 200_000),
            4 => (RESET, 30_000),
            5 => (NOT_SENT, 1_000),
            _ => (OK, 30_000 + self.rng.u64(..400_000)),
        };
        if outcome == OK {
            let started = if self.rng.u32(..20) == 0 {
                PlannedLine::StreamStarted { request, attempt }
            } else {
                PlannedLine::Updates { request, attempt }
            };
            self.plan(instance, after / 4, started);
        }
        self.plan(instance, after, PlannedLine::AttemptEnded { request, attempt, outcome });
    }

    /// Returns the lines for one instance in this step.
    fn lines(&mut self, instance: usize) -> String {
        let mut lines = String::new();
        let until = DueTime { at: self.now, sequence: u64::MAX };
        let of_instance = self.due.range(..=until).filter(|(_, due)| due.instance == instance);
        let times: Vec<DueTime> = of_instance.map(|(time, _)| *time).collect();
        for time in times {
            let due = self.due.remove(&time).expect("a planned line");
            self.write_planned_line(instance, due.line, &mut lines);
        }
        if self.rng.u32(..3) > 0 {
            self.write_request(instance, &mut lines);
        }
        self.write_rare_event(instance, &mut lines);
        lines
    }

    /// Returns the worker of an attempt that is in flight.
    fn worker_of(&self, instance: usize, request: u64, attempt: u32) -> Option<String> {
        self.open.get(&RequestKey { instance, request })?.in_flight.get(&attempt).cloned()
    }

    fn write_planned_line(&mut self, instance: usize, line: PlannedLine, lines: &mut String) {
        let _ = match line {
            PlannedLine::Timer { token } => writeln!(lines, "DEADLINE_HIT {token}"),
            PlannedLine::ProbeEnded { worker } => {
                let free = self.rng.u32(..5);
                let in_flight = self.rng.u32(..6);
                let outcome = if free == 4 { TIMEOUT } else { OK };
                writeln!(lines, "HEALTH_RESULT {outcome} {worker} 0.004 {free},{in_flight},0")
            }
            PlannedLine::StreamStarted { request, attempt } => {
                match self.worker_of(instance, request, attempt) {
                    Some(worker) => writeln!(lines, "STARTED {request} {attempt} {worker}"),
                    None => Ok(()),
                }
            }
            PlannedLine::Updates { request, attempt } => match self.worker_of(instance, request, attempt) {
                Some(worker) => {
                    let _ = writeln!(lines, "UPDATE_OF {request} {worker} 1 {attempt}");
                    writeln!(lines, "UPDATE_OF {request} {worker} 2 {attempt} 0.5")
                }
                None => Ok(()),
            },
            PlannedLine::AttemptEnded { request, attempt, outcome } => {
                match self.worker_of(instance, request, attempt) {
                    Some(worker) => {
                        let key = RequestKey { instance, request };
                        let open = self.open.get_mut(&key).expect("an open request");
                        open.in_flight.remove(&attempt);
                        open.answered |= outcome == OK;
                        let complete = u32::from(open.answered);
                        let load = format!("{},{},-", self.rng.u32(..5), self.rng.u32(..6));
                        writeln!(
                            lines,
                            "RESPONSE {request} 0.1 {worker} {attempt} - {complete} {outcome} {load}"
                        )
                    }
                    None => Ok(()),
                }
            }
        };
    }

    fn write_request(&mut self, instance: usize, lines: &mut String) {
        let request = self.next_request;
        self.next_request += 1;
        self.open.insert(RequestKey { instance, request }, OpenRequest::default());
        let slots = 1 + self.rng.u32(..3);
        let tenant = self.rng.u32(..2);
        let timeout = ["0.5", "2.0", "4.5"][self.rng.usize(..3)];
        let memory = self.rng.u32(..2);
        let flags = self.rng.u32(..4);
        let work = ["0.1", "0.2", "0.4"][self.rng.usize(..3)];
        let class = self.rng.u32(..4);
        let key = ["-", "-", "3", "4", "5"][self.rng.usize(..5)];
        let _ = writeln!(
            lines,
            "KNOCK {request} {slots} {timeout} {tenant} {flags} {memory} {work} {class} {key}"
        );
    }

    /// Writes the line of a rare event with a low probability.
    fn write_rare_event(&mut self, instance: usize, lines: &mut String) {
        let _ = match self.rng.u32(..60) {
            0 => {
                let entries = workers_of(&mut self.rng, self.now, 3);
                write!(lines, "REGISTER {} 3\n{entries}FLEET INCREMENTAL {} 2\n", 1 + instance, 1 + instance)
            }
            1 => {
                let entries = workers_of(&mut self.rng, self.now, WORKERS);
                write!(lines, "REGISTER 9 {WORKERS}\n{entries}FLEET FULL 9 3\n")
            }
            2 => writeln!(lines, "FLEET FAILED"),
            3 => writeln!(lines, "WHISPER {} aGVsbG8=", 1 - instance),
            4 | 5 => writeln!(lines, "CANCELLED_BY_CLIENT {}", self.next_request.saturating_sub(1)),
            6 if self.rng.u32(..4) == 0 => {
                self.open.retain(|key, _| key.instance != instance);
                self.due.retain(|_, due| due.instance != instance);
                let init = self.init(instance);
                write!(lines, "KILL\n{init}FLEET SAVED 0 1\n")
            }
            _ => Ok(()),
        };
    }
}
