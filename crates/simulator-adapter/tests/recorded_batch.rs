//! All answers of the adapter to recorded batches: one of every kind of event, and a long closed loop with a small
//! model of a simulator, whose every line follows from a seed.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

use fastrand::Rng;
use simulator_adapter::Host;

const SEED: u64 = 20_26;
const STEPS: u32 = 400;
const STEP_MICROS: u64 = 20_000;
const WORKERS: u64 = 12;
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
    let transcript = Loop::new().play();
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
        assert!(kinds.contains(kind), "the loop has no line of {kind}");
    }
    insta::assert_snapshot!("a_long_closed_loop", transcript);
}

/// A request that an instance holds: its last attempt's number, and the worker of each attempt that is out.
#[derive(Default)]
struct Open {
    attempts: u32,
    out: BTreeMap<u32, String>,
    answered: bool,
}

/// A model of the simulator's side of the wire.
struct Loop {
    host: Host,
    rng: Rng,
    now: u64,
    next_request: u64,
    transcript: String,
    /// Lines to come, by time, order and instance.
    due: BTreeMap<(u64, u64), (usize, Planned)>,
    sequence: u64,
    open: BTreeMap<(usize, u64), Open>,
}

enum Planned {
    Started(u64, u32),
    Note(u64, u32),
    Ended(u64, u32, u32),
    Timer(String),
    Probed(String),
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

    fn play(mut self) -> String {
        let mut first = format!("SYNC {}\n", seconds(self.now));
        let _ = write!(first, "REGISTER 0 {WORKERS}\n{}", workers_of(&mut self.rng, 0, WORKERS));
        for (instance, name) in INSTANCES.iter().enumerate() {
            let _ = write!(first, "CONTEXT {name}\n{}FLEET SAVED 0 1\n", self.init(instance));
        }
        self.batch(first);
        for _ in 0..STEPS {
            self.now += STEP_MICROS;
            let mut text = format!("SYNC {}\n", seconds(self.now));
            for (instance, name) in INSTANCES.iter().enumerate() {
                let lines = self.lines(instance);
                if !lines.is_empty() {
                    let _ = write!(text, "CONTEXT {name}\n{lines}");
                }
            }
            self.batch(text);
        }
        self.transcript
    }

    fn init(&mut self, instance: usize) -> String {
        let discovery = if instance == 0 { "push" } else { "ask obligations.ask-within-s=4" };
        let seed = self.rng.u32(..1000);
        format!("INIT {seed} slot-no={instance} zone={instance} discovery={discovery} {SETTINGS}\n")
    }

    /// Hands a batch to the adapter, and plans what its answers lead to.
    fn batch(&mut self, text: String) {
        let input = text + "EOF_BATCH\n";
        let mut reply = Vec::new();
        self.host.serve(input.as_bytes(), &mut reply).expect("a well formed batch");
        let reply = String::from_utf8(reply).expect("replies are UTF-8");
        input.lines().for_each(|line| self.transcript += &format!("> {line}\n"));
        reply.lines().for_each(|line| self.transcript += &format!("< {line}\n"));
        let mut speaker = 0;
        for line in reply.lines() {
            let words: Vec<&str> = line.split(' ').collect();
            match words[0] {
                "ON_BEHALF" => {
                    speaker = INSTANCES.iter().position(|name| *name == words[1]).expect("an instance")
                }
                "PLACE" => self.place(speaker, words[1].parse().expect("a request"), words[2]),
                "BUSY" | "DROP_REQUEST" => {
                    let request = words[1].parse().expect("a request");
                    self.open.entry((speaker, request)).or_default().answered = true;
                }
                "ABANDON" => {
                    let (request, attempt) = (words[1].parse(), words[2].parse());
                    let ended = Planned::Ended(request.expect("a request"), attempt.expect("an attempt"), 1);
                    self.plan(speaker, 1_000, ended);
                }
                "SOUND_OUT" => self.plan(speaker, 4_000, Planned::Probed(words[1].to_owned())),
                "SET_TIMER" => {
                    let after: f64 = words[1].parse().expect("a span");
                    self.plan(speaker, (after * 1e6) as u64, Planned::Timer(words[2].to_owned()));
                }
                _ => {}
            }
        }
    }

    fn plan(&mut self, instance: usize, after: u64, what: Planned) {
        self.sequence += 1;
        self.due.insert((self.now + after, self.sequence), (instance, what));
    }

    /// A worker takes an attempt, turns it away or fails.
    fn place(&mut self, instance: usize, request: u64, worker: &str) {
        let open = self.open.entry((instance, request)).or_default();
        let attempt = open.attempts;
        open.attempts += 1;
        open.out.insert(attempt, worker.to_owned());
        let hangs = worker == "worker.5" && (103_000_000..108_000_000).contains(&self.now);
        let (code, after) = match self.rng.u32(..24) {
            _ if hangs => (4, 4_000_000),
            0 => (13, 50_000),
            1 | 2 => (8, 4_000),
            3 => (14, 200_000),
            4 => (10, 30_000),
            5 => (9, 1_000),
            _ => (0, 30_000 + self.rng.u64(..400_000)),
        };
        if code == 0 {
            let started = if self.rng.u32(..20) == 0 {
                Planned::Started(request, attempt)
            } else {
                Planned::Note(request, attempt)
            };
            self.plan(instance, after / 4, started);
        }
        self.plan(instance, after, Planned::Ended(request, attempt, code));
    }

    /// The lines of one instance in this step.
    fn lines(&mut self, instance: usize) -> String {
        let mut lines = String::new();
        let due: Vec<(u64, u64)> = self
            .due
            .range(..=(self.now, u64::MAX))
            .filter(|(_, (to, _))| *to == instance)
            .map(|(at, _)| *at)
            .collect();
        for at in due {
            let (_, what) = self.due.remove(&at).expect("a planned line");
            self.planned_line(instance, what, &mut lines);
        }
        if self.rng.u32(..3) > 0 {
            self.knock(instance, &mut lines);
        }
        self.odd_line(instance, &mut lines);
        lines
    }

    fn planned_line(&mut self, instance: usize, what: Planned, lines: &mut String) {
        let open = &mut self.open;
        let worker = |open: &mut BTreeMap<(usize, u64), Open>, request: u64, attempt: u32| {
            open.get(&(instance, request)).and_then(|known| known.out.get(&attempt).cloned())
        };
        let _ = match what {
            Planned::Timer(token) => writeln!(lines, "DEADLINE_HIT {token}"),
            Planned::Probed(name) => {
                let (free, held) = (self.rng.u32(..5), self.rng.u32(..6));
                writeln!(lines, "HEALTH_RESULT {} {name} 0.004 {free},{held},0", u32::from(free == 4) * 4)
            }
            Planned::Started(request, attempt) => match worker(open, request, attempt) {
                Some(name) => writeln!(lines, "STARTED {request} {attempt} {name}"),
                None => Ok(()),
            },
            Planned::Note(request, attempt) => {
                match worker(open, request, attempt) {
                    Some(name) => {
                        writeln!(lines, "UPDATE_OF {request} {name} 1 {attempt}\nUPDATE_OF {request} {name} 2 {attempt} 0.5")
                    }
                    None => Ok(()),
                }
            }
            Planned::Ended(request, attempt, code) => match worker(open, request, attempt) {
                Some(name) => {
                    let known = open.get_mut(&(instance, request)).expect("a known request");
                    known.out.remove(&attempt);
                    known.answered |= code == 0;
                    let complete = u32::from(known.answered);
                    let load = format!("{},{},-", self.rng.u32(..5), self.rng.u32(..6));
                    writeln!(lines, "RESPONSE {request} 0.1 {name} {attempt} - {complete} {code} {load}")
                }
                None => Ok(()),
            },
        };
    }

    fn knock(&mut self, instance: usize, lines: &mut String) {
        let request = self.next_request;
        self.next_request += 1;
        self.open.insert((instance, request), Open::default());
        let (slots, tenant) = (1 + self.rng.u32(..3), self.rng.u32(..2));
        let (patience, memory) = (["0.5", "2.0", "4.5"][self.rng.usize(..3)], self.rng.u32(..2));
        let flags = self.rng.u32(..4);
        let work = ["0.1", "0.2", "0.4"][self.rng.usize(..3)];
        let (class, key) = (self.rng.u32(..4), ["-", "-", "3", "4", "5"][self.rng.usize(..5)]);
        let _ = writeln!(
            lines,
            "KNOCK {request} {slots} {patience} {tenant} {flags} {memory} {work} {class} {key}"
        );
    }

    /// What happens now and then.
    fn odd_line(&mut self, instance: usize, lines: &mut String) {
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
                self.open.retain(|(of, _), _| *of != instance);
                self.due.retain(|_, (of, _)| *of != instance);
                let init = self.init(instance);
                write!(lines, "KILL\n{init}FLEET SAVED 0 1\n")
            }
            _ => Ok(()),
        };
    }
}
