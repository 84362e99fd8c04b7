//! Dispatchers that watch workers for each other, with faults between them: real keepers and dispatchers, stand-in
//! workers that record who probed them, clients that account for every job, and a proxy on every link from a
//! dispatcher to a worker.
//!
//! The rules, checked by the records of stand-ins, keepers and members alone:
//!
//! 1. no worker is probed more often than once a period, over all dispatchers;
//! 2. no worker goes unprobed for longer than stated, while somebody can reach it;
//! 3. nothing is held against a worker that was well all the time;
//! 4. a worker that fails for long is known as such everywhere;
//! 5. every job of the clients gets one whole answer, within its time;
//! 6. the rules of ownership, as in the drive `fleet`;
//! 7. a worker that drains gets no new job later than the grace after its drain was told;
//! 8. no cold worker is pushed over, by all dispatchers together;
//! 9. a job that may run once only reaches no second worker, and is not refused after it reached one.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use cluster_member::clock;
use dispatch_core::api::Idempotency;
use dispatch_core::settings::worker_id;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rustix::process::Signal;
use serde::Serialize;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, sleep_until, timeout, Instant, MissedTickBehavior};

use super::bearing::{Worker, MULTIPLE, SHARE, SPAN, WARM};
use super::checker::{self, Records};
use super::proxy::{stand_before, Net, Shared};
use super::standin_discovery::Discovery;
use super::together::{member, play_below, records, Binaries, Setup, Together};
use super::waits::ask;
use crate::checker::{Checker, Limits};
use crate::sockets::http::{self, chunk, CHUNKED, LAST_CHUNK};

/// The rules, in the order of the module's text.
pub const RULES: [&str; 9] = [
    "no worker is probed more often than once a period",
    "no worker goes unprobed for too long",
    "nothing is held against a worker that is well",
    "a worker that fails is known everywhere",
    "every job gets one whole answer in time",
    "ownership",
    "a worker that drains gets no new job",
    "no cold worker is pushed over",
    "what may run once is not sent twice",
];

const ZONES: [&str; 3] = ["north", "south", "west"];
/// The clients' patience, and by how much an answer may be later.
const DEADLINE: Duration = Duration::from_secs(3);
const LATE: Duration = Duration::from_millis(50);
/// How long a stand-in worker runs a job.
const RUN: Duration = Duration::from_millis(100);
/// Slots of each worker.
const SLOTS: usize = 4;
/// New work at a worker that drains ends this long after the drain was told.
const GRACE: Duration = Duration::from_millis(500);
/// The classes of jobs, in turn: one that may run as often as it likes, and one that may run once only.
const CLASSES: [(&str, Idempotency); 2] =
    [("lookup", Idempotency::Idempotent), ("book", Idempotency::NotIdempotent)];
/// An arrival is recorded by a busy process: two of them may seem to be closer by this, in microseconds.
const JITTER: u64 = 100_000;

/// What is played.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Keepers, three or five.
    pub keepers: usize,
    /// Dispatchers, in three zones in turn.
    pub dispatchers: usize,
    /// Workers, in three zones in turn.
    pub workers: usize,
    /// How long.
    pub length: Duration,
    /// How often a fault begins.
    pub every: Duration,
    /// Only SIGKILL of dispatchers, one after another, or all kinds.
    pub only_kills: bool,
    /// How often a worker is probed.
    pub period: Duration,
    /// The longest that a worker may go unprobed.
    pub unwatched: Duration,
    /// Jobs a second at each dispatcher.
    pub rate: f64,
    /// Whether workers are watched; without, the same faults for comparison.
    pub watch: bool,
    /// A flaw to put in.
    pub flaw: Option<String>,
    /// Draws the faults.
    pub seed: u64,
    /// Instead of drawing them: these, each with the dispatcher or worker and the zone. Named cases have them.
    pub script: &'static [(Fault, usize, usize)],
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            keepers: 3,
            dispatchers: 4,
            workers: 20,
            length: Duration::from_secs(30),
            every: Duration::from_secs(5),
            only_kills: false,
            period: Duration::from_secs(1),
            unwatched: Duration::from_secs(5),
            rate: 40.0,
            watch: true,
            flaw: None,
            seed: 1,
            script: &[],
        }
    }
}

/// What was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// SIGKILL to a dispatcher, started again later.
    Kill,
    /// SIGSTOP to a dispatcher, SIGCONT later.
    Stop,
    /// SIGTERM to a dispatcher, started again later.
    End,
    /// A dispatcher reaches no worker of one zone.
    CutZone,
    /// A worker takes connections and says nothing.
    Hang,
    /// The keepers' leader is killed and started again.
    KillLeader,
    /// A dispatcher reaches no keeper, and is not reached by them.
    CutKeepers,
    /// A dispatcher reaches the keepers and hears nothing of them.
    HearsNoKeeper,
    /// A dispatcher and the others do not reach each other; the keepers they do.
    CutMembers,
    /// Every link between members and keepers is 50 ms slower each way, and one connection in twenty is reset.
    SlowNet,
    /// The keepers' leader is stopped, and goes on later with what it had in mind.
    StopLeader,
    /// A keeper and the others do not reach each other; members reach all of them.
    CutKeeper,
    /// All keepers are killed at once and come back.
    KillAllKeepers,
    /// A worker drains, ends, and comes back cold.
    Drain,
    /// All dispatchers and keepers are started anew, one after another.
    Roll,
}

/// One fault as it was done, by the clock of the records.
#[derive(Debug, Clone, Serialize)]
pub struct Done {
    fault: Fault,
    /// The dispatcher or the worker.
    at: usize,
    /// The zone that was cut off.
    zone: usize,
    from: u64,
    until: u64,
}

/// What a schedule gave.
#[derive(Debug, Default, Serialize)]
pub struct Watched {
    /// Violations by rule.
    pub rules: BTreeMap<String, Vec<String>>,
    /// Faults by kind.
    pub faults: BTreeMap<String, u64>,
    /// Probes at workers, and a second.
    pub probes: u64,
    /// See [`Watched::probes`].
    pub probes_per_s: f64,
    /// The smallest and the largest time between two probes of a worker that was listed and reachable, in ms.
    pub closest_ms: f64,
    /// See [`Watched::closest_ms`].
    pub longest_ms: f64,
    /// From a worker's first silence to its being held against it at each dispatcher, in ms, sorted.
    pub known_after_ms: Vec<f64>,
    /// Jobs handed in, and answers by status: 0 none at all, 1 from a dispatcher that was killed or stopped meanwhile.
    pub jobs: u64,
    /// See [`Watched::jobs`].
    pub answers: BTreeMap<u16, u64>,
    /// Jobs that came to cold workers, and the most in a span as a part of what was borne.
    pub jobs_at_cold: u64,
    /// See [`Watched::jobs_at_cold`].
    pub fullest: f64,
    /// Jobs that were sent to workers while these hung.
    pub jobs_at_hung: u64,
    /// Terms granted.
    pub terms: u64,
}

/// What stand-ins and clients recorded.
#[derive(Debug, Default)]
struct Notes {
    /// By worker: when a probe came, and of which dispatcher.
    probes: Vec<Vec<(u64, usize)>>,
    /// By worker: when a job came, of which dispatcher, and which.
    jobs: Vec<Vec<(u64, usize, u64)>>,
    /// By job: at which dispatcher, from when to when, the status, and which.
    answers: Vec<(usize, u64, u64, u16, u64)>,
    hung: Vec<bool>,
    /// The worker as it runs now; those before it are in `earlier`.
    workers: Vec<Rc<Worker>>,
    earlier: Vec<Rc<Worker>>,
}

type Record = Rc<RefCell<Notes>>;

/// Plays one schedule below this folder.
///
/// # Errors
/// Something could not be set up.
pub fn play(dir: &Path, binaries: &Binaries, plan: &Plan) -> Result<Watched, String> {
    play_below(dir, schedule(dir, binaries.clone(), plan))
}

async fn schedule(dir: &Path, binaries: Binaries, plan: &Plan) -> Result<Watched, String> {
    let io = |error: std::io::Error| error.to_string();
    let notes = Record::default();
    {
        let mut notes = notes.borrow_mut();
        notes.probes = vec![Vec::new(); plan.workers];
        notes.jobs = vec![Vec::new(); plan.workers];
        notes.hung = vec![false; plan.workers];
        let worker = |n: usize| Worker::new((SLOTS, RUN), false, plan.seed ^ n as u64);
        notes.workers = (0..plan.workers).map(worker).collect();
    }
    // A discovery for each dispatcher that names the same workers, each behind a proxy of that dispatcher's own.
    let mut discoveries = Vec::new();
    let mut nets: Vec<Shared> = Vec::new();
    for dispatcher in 0..plan.dispatchers {
        let (discovery, net) = (Discovery::new(0), Net::new(BTreeMap::new(), plan.seed));
        for worker in 0..plan.workers {
            let listener = TcpListener::bind("127.0.0.1:0").await.map_err(io)?;
            let target = listener.local_addr().map_err(io)?;
            spawn_local(work(notes.clone(), worker, dispatcher, listener));
            let door = TcpListener::bind("127.0.0.1:0").await.map_err(io)?;
            discovery.add_in(ZONES[worker % ZONES.len()], worker, door.local_addr().map_err(io)?);
            spawn_local(stand_before(net.clone(), door, worker, target));
        }
        discoveries.push(discovery);
        nets.push(net);
    }
    let block = format!(
        "list = false\ncold {{\nslots = {SLOTS}\n}}\nwatch {{\nevery_ms = {}\nsets = 6\n{}}}\n",
        plan.period.as_millis(),
        plan.flaw.as_ref().map_or(String::new(), |flaw| format!("flaw = \"{flaw}\"\n"))
    );
    let block = if plan.watch { block } else { "list = false\n".to_owned() };
    let setup = Setup {
        keepers: plan.keepers,
        dispatchers: plan.dispatchers,
        fleet: Some(&block),
        discoveries: &discoveries,
        proxied: Some(plan.seed),
    };
    let mut fleet = Together::start(dir, binaries, settings(plan), setup).await?;
    fleet.all_know(plan.workers).await?;
    let start = Instant::now();
    let end = start + plan.length;
    // Members settle, and sets are evened out, before anything counts.
    let begun = clock::now() + 5_000_000;
    for (dispatcher, address) in fleet.listen.iter().enumerate() {
        spawn_local(clients(notes.clone(), dispatcher, *address, plan.rate, end));
    }
    sleep(Duration::from_secs(5)).await;
    let done = faults(&mut fleet, (&nets, &discoveries), &notes, plan, end).await?;
    sleep_until(end).await;
    let until = clock::now();
    sleep(DEADLINE + LATE + Duration::from_millis(200)).await;
    // Ended in good order, so that nothing is cut in the middle of a record.
    drop(fleet);
    let records = records(dir, plan.keepers, plan.dispatchers)?;
    let notes = notes.borrow();
    Ok(check(plan, &notes, &records, &done, (begun, until)))
}

fn settings(plan: &Plan) -> serde_json::Value {
    json!({
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "azs": ZONES, "flavors": ["small"], "balancers": plan.dispatchers, "slot-no": 0, "zone": 0,
            "discovery": "push", "resolution-s": 0.001,
            "profiles": CLASSES.map(|(name, repeat)| json!({
                "name": name, "promise-s": 0.5, "deadline-s": DEADLINE.as_secs_f64(), "late-worth": 0.2,
                "idempotency": if repeat == Idempotency::Idempotent { "free" } else { "single_shot" },
            })),
            "projects": [{"name": "web", "share": 1.0, "quota-per-s": plan.rate * plan.dispatchers as f64}],
            "caps": {"cancel": true, "dial-timeout-s": 0.25, "keepalive-s": 5.0, "max-retry-after-s": 2.0,
                     "parallel-tries": true, "probes": false, "retry-after": true, "send-cap": 4},
            "family-info": {"tells-start": true, "class-stretch": [2.0, 2.0], "class-kind": [-1, -1]},
            "obligations": {"cold-share": SHARE, "drain-grace-s": GRACE.as_secs_f64(),
                            "fall-multiple": MULTIPLE, "tip-after-s": SPAN.as_secs_f64(),
                            "warm-within-s": WARM.as_secs_f64()},
            "charges": {"cross-zone": 0.025}
        }
    })
}

/// Draws faults until shortly before the end and does them. At most one dispatcher and one worker are in trouble.
async fn faults(
    fleet: &mut Together,
    (nets, discoveries): (&[Shared], &[Discovery]),
    notes: &Record,
    plan: &Plan,
    end: Instant,
) -> Result<Vec<Done>, String> {
    let mut random = Pcg64::seed_from_u64(plan.seed);
    let mut done = Vec::new();
    let kinds = [
        Fault::Kill,
        Fault::Stop,
        Fault::End,
        Fault::CutZone,
        Fault::Hang,
        Fault::KillLeader,
        Fault::CutKeepers,
        Fault::HearsNoKeeper,
        Fault::CutMembers,
        Fault::SlowNet,
        Fault::StopLeader,
        Fault::CutKeeper,
        Fault::KillAllKeepers,
        Fault::Drain,
        Fault::Drain,
        Fault::Roll,
    ];
    // What is healed takes effect before the end.
    while Instant::now() + plan.every.max(Duration::from_secs(8)) < end {
        let next = Instant::now() + plan.every;
        let fault = if plan.only_kills { Fault::Kill } else { kinds[random.random_range(0..kinds.len())] };
        let zone = random.random_range(0..ZONES.len());
        let told = match plan.script {
            [] => None,
            script => match script.get(done.len()) {
                Some(told) => Some(*told),
                None => break,
            },
        };
        let (fault, zone) = told.map_or((fault, zone), |(fault, _, zone)| (fault, zone));
        let at = match fault {
            _ if told.is_some() => told.map_or(0, |(_, at, _)| at),
            // One that is in use: dispatchers keep to few workers while these suffice.
            Fault::Hang | Fault::Drain => busiest(&notes.borrow(), random.random_range(0..plan.workers)),
            _ => random.random_range(0..plan.dispatchers),
        };
        let longest = plan.every.as_secs_f64() * 0.9;
        let lasts = Duration::from_secs_f64(match fault {
            Fault::Kill | Fault::End => random.random_range(0.1..longest.min(4.0)),
            Fault::Hang | Fault::CutZone | Fault::SlowNet => longest,
            Fault::CutKeepers | Fault::HearsNoKeeper | Fault::CutMembers => longest,
            Fault::Stop => random.random_range(0.2..longest),
            Fault::KillLeader => 1.0,
            Fault::StopLeader | Fault::CutKeeper => random.random_range(0.2..longest),
            Fault::KillAllKeepers => random.random_range(0.1..1.0),
            Fault::Drain => random.random_range(1.0..longest.min(2.0)),
            // The time that the restarts take.
            Fault::Roll => 0.0,
        });
        let from = clock::now();
        let mut hurt = at;
        match fault {
            Fault::Kill => fleet.kill_dispatcher(at),
            Fault::End => fleet.signal(at, Signal::TERM)?,
            Fault::Stop => fleet.signal(at, Signal::STOP)?,
            Fault::Hang => notes.borrow_mut().hung[at] = true,
            Fault::CutZone => cut(&nets[at], plan.workers, zone, true),
            Fault::KillLeader => {
                hurt = fleet.leader();
                fleet.kill_keeper(hurt);
            }
            Fault::StopLeader => {
                hurt = fleet.leader();
                fleet.signal_keeper(hurt, Signal::STOP)?;
            }
            Fault::KillAllKeepers => (1..=plan.keepers).for_each(|n| fleet.kill_keeper(n)),
            Fault::Drain => discoveries.iter().for_each(|discovery| discovery.turn(at, "terminating")),
            Fault::Roll => {
                for n in 0..plan.dispatchers {
                    fleet.signal(n, Signal::TERM)?;
                    sleep(Duration::from_millis(150)).await;
                    fleet.kill_dispatcher(n);
                    fleet.start_dispatcher(n)?;
                    let keeper = 1 + n;
                    if keeper <= plan.keepers {
                        fleet.kill_keeper(keeper);
                        fleet.start_keeper(keeper)?;
                    }
                    sleep(Duration::from_millis(150)).await;
                }
            }
            Fault::CutKeeper
            | Fault::CutKeepers
            | Fault::HearsNoKeeper
            | Fault::CutMembers
            | Fault::SlowNet => {
                trouble(fleet, plan, fault, at);
            }
        }
        sleep(lasts).await;
        match fault {
            Fault::Kill => fleet.start_dispatcher(at)?,
            Fault::End => {
                fleet.kill_dispatcher(at);
                fleet.start_dispatcher(at)?;
            }
            Fault::Stop => fleet.signal(at, Signal::CONT)?,
            Fault::Hang => notes.borrow_mut().hung[at] = false,
            Fault::CutZone => cut(&nets[at], plan.workers, zone, false),
            Fault::KillLeader => fleet.start_keeper(hurt)?,
            Fault::StopLeader => fleet.signal_keeper(hurt, Signal::CONT)?,
            Fault::KillAllKeepers => (1..=plan.keepers).try_for_each(|n| fleet.start_keeper(n))?,
            Fault::Drain => {
                discoveries.iter().for_each(|discovery| discovery.turn(at, "terminated"));
                sleep(Duration::from_millis(500)).await;
                {
                    let mut notes = notes.borrow_mut();
                    let cold = Worker::new((SLOTS, RUN), true, plan.seed ^ clock::now());
                    let old = std::mem::replace(&mut notes.workers[at], cold);
                    notes.earlier.push(old);
                }
                discoveries.iter().for_each(|discovery| discovery.turn(at, "in_service"));
            }
            Fault::Roll => {}
            Fault::CutKeeper
            | Fault::CutKeepers
            | Fault::HearsNoKeeper
            | Fault::CutMembers
            | Fault::SlowNet => {
                fleet.net.iter().for_each(|net| net.borrow_mut().heal());
            }
        }
        done.push(Done { fault, at: hurt, zone, from, until: clock::now() });
        sleep_until(next).await;
    }
    Ok(done)
}

/// Begins a trouble of the links between members and keepers.
fn trouble(fleet: &Together, plan: &Plan, fault: Fault, at: usize) {
    let Some(net) = &fleet.net else { return };
    let mut net = net.borrow_mut();
    let members = (0..plan.dispatchers).map(member);
    let all: Vec<usize> = (1..=plan.keepers).chain(members).collect();
    for (from, to) in all.iter().flat_map(|from| all.iter().map(move |to| (*from, *to))) {
        let (of, other) = (from == member(at), to == member(at));
        let keeper = |name: usize| name <= plan.keepers;
        let one = 1 + at % plan.keepers;
        let hit = match fault {
            Fault::CutKeepers => (of && keeper(to)) || (other && keeper(from)),
            Fault::HearsNoKeeper => other && keeper(from),
            Fault::CutKeeper => (from == one && keeper(to)) || (to == one && keeper(from)),
            Fault::CutMembers => (of && !keeper(to)) || (other && !keeper(from)),
            _ => false,
        };
        if hit {
            net.set(from, to, |trouble| trouble.cut = true);
        }
        if fault == Fault::SlowNet {
            net.set(from, to, |trouble| {
                (trouble.delay, trouble.resets) = (Duration::from_millis(50), 0.05);
            });
        }
    }
}

/// The worker that got the most jobs in the last two seconds, or this one where none got any.
fn busiest(notes: &Notes, else_this: usize) -> usize {
    let since = clock::now().saturating_sub(2_000_000);
    let lately = |at: &Vec<(u64, usize, u64)>| at.iter().rev().take_while(|at| at.0 > since).count();
    let most = notes.jobs.iter().map(lately).enumerate().map(|(worker, jobs)| (jobs, worker)).max();
    most.filter(|(jobs, _)| *jobs > 0).map_or(else_this, |(_, worker)| worker)
}

fn cut(net: &Shared, workers: usize, zone: usize, cut: bool) {
    for worker in (0..workers).filter(|worker| worker % ZONES.len() == zone) {
        net.borrow_mut().set(worker, worker, |trouble| trouble.cut = cut);
    }
}

/// A stand-in worker's door for one dispatcher.
async fn work(notes: Record, worker: usize, dispatcher: usize, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let notes = notes.clone();
        spawn_local(async move {
            // A connection that breaks is the other side's matter.
            let _ = serve(&notes, worker, dispatcher, stream).await;
        });
    }
}

async fn serve(
    notes: &Record,
    worker: usize,
    dispatcher: usize,
    mut stream: TcpStream,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = BytesMut::new();
    while let Some(head) = http::head(&mut stream, &mut buffer, true, || {}).await? {
        let _ = http::body(&mut stream, &mut buffer, &head).await?;
        let now = clock::now();
        let probe = head.path.contains("/healthz");
        let id = head.get("request-id").unwrap_or_default().to_owned();
        let runs = {
            let mut notes = notes.borrow_mut();
            match probe {
                true => notes.probes[worker].push((now, dispatcher)),
                false => notes.jobs[worker].push((now, dispatcher, id.parse().unwrap_or(0))),
            }
            notes.workers[worker].clone()
        };
        // One that was pushed over closes what comes.
        if !probe && !runs.comes(Instant::now()) {
            return Ok(());
        }
        // One that hangs takes what comes and says nothing until the other side gives up.
        while notes.borrow().hung[worker] {
            sleep(Duration::from_millis(20)).await;
        }
        if probe {
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await?;
            continue;
        }
        let line = |state: &str| json!({"id": id, "state": state, "result": "ok"}).to_string();
        let Some(_slot) = runs.slot().await else { return Ok(()) };
        stream.write_all(&[CHUNKED, chunk(&line("started")).as_slice()].concat()).await?;
        sleep(runs.takes(Instant::now())).await;
        stream.write_all(&[chunk(&line("done")).as_slice(), LAST_CHUNK].concat()).await?;
    }
    Ok(())
}

/// Hands jobs to a dispatcher, each on a connection of its own, and notes what comes of them.
async fn clients(notes: Record, dispatcher: usize, address: SocketAddr, rate: f64, end: Instant) {
    let mut beats = interval(Duration::from_secs_f64(1.0 / rate));
    beats.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut count = 0u64;
    while Instant::now() < end {
        beats.tick().await;
        count += 1;
        let (notes, id) = (notes.clone(), (dispatcher as u64) << 32 | count);
        spawn_local(async move {
            let from = clock::now();
            let answer = timeout(DEADLINE + 10 * LATE, ask(&mut None, address, (class_of(id), id))).await;
            let status = answer.ok().and_then(Result::ok).unwrap_or(0);
            notes.borrow_mut().answers.push((dispatcher, from, clock::now(), status, id));
        });
    }
}

/// The class of a job.
fn class_of(id: u64) -> &'static str {
    CLASSES[id as usize % CLASSES.len()].0
}

fn overlaps(done: &Done, from: u64, until: u64) -> bool {
    done.from <= until && from <= done.until
}

fn check(
    plan: &Plan,
    notes: &Notes,
    records: &Records,
    done: &[Done],
    (begun, until): (u64, u64),
) -> Watched {
    let mut played = Watched::default();
    let mut found: BTreeMap<&str, Vec<String>> = BTreeMap::new();
    let micros = |time: Duration| time.as_micros() as u64;
    for fault in done {
        let name = serde_json::to_value(fault.fault).ok();
        let name = name.as_ref().and_then(|name| name.as_str()).unwrap_or_default().to_owned();
        *played.faults.entry(name).or_default() += 1;
    }
    if plan.watch {
        probes(plan, notes, done, (begun, until), &mut played, &mut found);
        against(plan, records, done, &mut played, &mut found);
    }
    drains(notes, done, &mut found);
    cold(notes, &mut played, &mut found);
    once(notes, &mut found);
    for (dispatcher, from, at, status, _) in &notes.answers {
        played.jobs += 1;
        // A dispatcher that was not running or stopped owes nothing; one that begins takes a moment.
        let hurt = done.iter().any(|done| {
            (matches!(done.fault, Fault::Kill | Fault::Stop | Fault::End) && done.at == *dispatcher
                || done.fault == Fault::Roll)
                && overlaps(&Done { until: done.until + 1_500_000, ..done.clone() }, *from, *at)
        });
        *played.answers.entry(if hurt && *status == 0 { 1 } else { *status }).or_default() += 1;
        let took = at - from;
        if !hurt && (*status == 0 || took > micros(DEADLINE + LATE)) {
            let text = format!("d{dispatcher}: status {status} after {took} us");
            found.entry(RULES[4]).or_default().push(text);
        }
    }
    for fault in done.iter().filter(|done| done.fault == Fault::Hang) {
        let late = notes.jobs[fault.at].iter().filter(|job| (fault.from..fault.until).contains(&job.0));
        played.jobs_at_hung += late.count() as u64;
    }
    for (rule, texts) in checker::check(records) {
        found.entry(RULES[5]).or_default().extend(texts.iter().map(|text| format!("{rule}: {text}")));
    }
    played.terms = checker::terms(records);
    played.rules = found.into_iter().map(|(rule, texts)| (rule.to_owned(), texts)).collect();
    played
}

/// Rules 1 and 2.
fn probes(
    plan: &Plan,
    notes: &Notes,
    done: &[Done],
    (begun, until): (u64, u64),
    played: &mut Watched,
    found: &mut BTreeMap<&str, Vec<String>>,
) {
    let (period, longest) = (plan.period.as_micros() as u64, plan.unwatched.as_micros() as u64);
    let (mut closest, mut widest) = (u64::MAX, 0);
    for (worker, at) in notes.probes.iter().enumerate() {
        played.probes += at.len() as u64;
        for pair in at.windows(2) {
            let apart = pair[1].0 - pair[0].0;
            // What waited in a cut link arrives when that is healed, and what a stopped process had written when it
            // goes on; neither was written then.
            let held = done.iter().any(|done| {
                matches!(done.fault, Fault::CutZone | Fault::Stop)
                    && (pair[0].1 == done.at || pair[1].1 == done.at)
                    && overlaps(&Done { until: done.until + period, ..done.clone() }, pair[0].0, pair[1].0)
            });
            if held {
                continue;
            }
            closest = closest.min(apart);
            if apart + JITTER < period {
                let text = format!("worker {worker}: d{} and d{} {apart} us apart", pair[0].1, pair[1].1);
                found.entry(RULES[0]).or_default().push(text);
            }
        }
        let times: Vec<u64> = [begun]
            .into_iter()
            .chain(at.iter().map(|(at, _)| *at).filter(|at| (begun..until).contains(at)))
            .chain([until])
            .collect();
        for pair in times.windows(2) {
            // Of a zone that its watcher cannot reach nobody is asked to say anything.
            let cut = done.iter().any(|done| {
                let of_it = match done.fault {
                    Fault::CutZone => done.zone == worker % ZONES.len(),
                    // It is not there for a while.
                    Fault::Drain => done.at == worker,
                    // Nobody can be given a duty until the keepers are back, and then sessions begin anew.
                    Fault::KillAllKeepers | Fault::Roll => true,
                    _ => false,
                };
                of_it && overlaps(done, pair[0], pair[1])
            });
            if cut {
                continue;
            }
            widest = widest.max(pair[1] - pair[0]);
            if pair[1] - pair[0] > longest {
                let text = format!("worker {worker}: unprobed for {} us", pair[1] - pair[0]);
                found.entry(RULES[1]).or_default().push(text);
            }
        }
    }
    played.probes_per_s = played.probes as f64 / ((until - begun) as f64 / 1e6 + 5.0);
    (played.closest_ms, played.longest_ms) = (closest as f64 / 1e3, widest as f64 / 1e3);
}

/// Rule 7.
fn drains(notes: &Notes, done: &[Done], found: &mut BTreeMap<&str, Vec<String>>) {
    let grace = GRACE.as_micros() as u64 + JITTER;
    for drain in done.iter().filter(|done| done.fault == Fault::Drain) {
        let late =
            notes.jobs[drain.at].iter().filter(|job| (drain.from + grace..drain.until).contains(&job.0));
        for (at, dispatcher, _) in late {
            // One that was stopped had not heard of it, and what waits in a cut link was written before.
            let held = done.iter().any(|done| {
                matches!(done.fault, Fault::Stop | Fault::CutZone)
                    && done.at == *dispatcher
                    && overlaps(&Done { until: done.until + grace, ..done.clone() }, drain.from, *at)
            });
            if !held {
                let text =
                    format!("worker {}: a job of d{dispatcher} {} us after", drain.at, at - drain.from);
                found.entry(RULES[6]).or_default().push(text);
            }
        }
    }
}

/// Rule 8.
fn cold(notes: &Notes, played: &mut Watched, found: &mut BTreeMap<&str, Vec<String>>) {
    for (at, worker) in notes.workers.iter().chain(&notes.earlier).enumerate() {
        if worker.since().is_none() {
            continue;
        }
        let sent = worker.sent();
        played.jobs_at_cold += sent.len() as u64;
        for n in 0..sent.len() {
            played.fullest = played.fullest.max(Worker::in_span(&sent[..=n]) / worker.bears(sent[n]));
        }
        if worker.falls() > 0 {
            let text = format!("worker {at} fell {} times", worker.falls());
            found.entry(RULES[7]).or_default().push(text);
        }
    }
}

/// Rule 9, by the checker that the other drives have. What a worker heard whole may have run.
fn once(notes: &Notes, found: &mut BTreeMap<&str, Vec<String>>) {
    let jobs = notes.jobs.iter().enumerate();
    let mut events: Vec<(u64, u64, Option<usize>, u16)> = jobs
        .flat_map(|(worker, jobs)| jobs.iter().map(move |(at, _, id)| (*at, *id, Some(worker), 0)))
        .chain(notes.answers.iter().map(|(_, _, at, status, id)| (*at, *id, None, *status)))
        .collect();
    events.sort_unstable();
    let mut checker = Checker::new(Limits { drain_grace: u64::MAX, answer_slack: u64::MAX / 2 });
    for (_, from, _, _, id) in &notes.answers {
        let repeat = CLASSES[*id as usize % CLASSES.len()].1;
        checker.took(*id, repeat, u64::MAX / 2, *from);
    }
    for (at, id, worker, status) in events {
        match worker {
            Some(worker) => {
                checker.sent(0, id, worker as u64, (0, 0), at);
            }
            None if status != 0 => checker.answered(id, matches!(status, 429 | 503), at),
            None => checker.excuse(id),
        }
    }
    let dup = checker.finish().dup;
    if dup > 0 {
        found.entry(RULES[8]).or_default().push(format!("{dup} sends or refusals"));
    }
}

/// Rules 3 and 4.
fn against(
    plan: &Plan,
    records: &Records,
    done: &[Done],
    played: &mut Watched,
    found: &mut BTreeMap<&str, Vec<String>>,
) {
    let names: BTreeMap<u64, usize> =
        (0..plan.workers).map(|worker| (worker_id(&format!("w-{worker:04}")).0, worker)).collect();
    let hangs: Vec<&Done> = done.iter().filter(|done| done.fault == Fault::Hang).collect();
    let mut known: BTreeSet<(usize, &str)> = BTreeSet::new();
    for (member, lines) in &records.members {
        for line in lines.iter().filter(|line| line.kind == "against") {
            let number = |key: &str| line.rest.get(key).and_then(serde_json::Value::as_u64);
            let (Some(id), Some(holds)) = (number("worker"), number("holds")) else { continue };
            let Some(worker) = names.get(&id).copied().filter(|_| holds > 0) else { continue };
            // What it did may be told for as long as word of it holds.
            let longest = 6 * plan.period.as_micros() as u64;
            let hang = hangs
                .iter()
                .enumerate()
                .find(|(_, hang)| hang.at == worker && (hang.from..hang.until + longest).contains(&line.t));
            match hang {
                Some((n, hang)) => {
                    if known.insert((n, member)) {
                        played.known_after_ms.push((line.t - hang.from) as f64 / 1e3);
                    }
                }
                None => {
                    let text = format!("{member} holds something against worker {worker}, which is well");
                    found.entry(RULES[2]).or_default().push(text);
                }
            }
        }
    }
    for (n, hang) in hangs.iter().enumerate() {
        // Long enough for the probes and for a takeover in between.
        if hang.until - hang.from < 4 * plan.period.as_micros() as u64 {
            continue;
        }
        let missing = (0..plan.dispatchers).map(|n| format!("d{n}")).filter(|member| {
            !known.contains(&(n, member.as_str()))
                && !done.iter().any(|done| {
                    done.fault != Fault::Hang
                        && overlaps(done, hang.from.saturating_sub(8_000_000), hang.until)
                })
        });
        let missing: Vec<String> = missing.collect();
        if !missing.is_empty() {
            let text = format!("worker {} hung and {} did not hear of it", hang.at, missing.join(", "));
            found.entry(RULES[3]).or_default().push(text);
        }
    }
    played.known_after_ms.sort_by(f64::total_cmp);
}

/// The sums over all schedules, as text.
#[must_use]
pub fn table(played: &BTreeMap<u64, Watched>) -> String {
    let mut text = String::new();
    let mut line = |words: String| text.push_str(&(words + "\n"));
    let sum = |of: fn(&Watched) -> u64| played.values().map(of).sum::<u64>();
    line(format!(
        "{} schedules, {} terms, {} probes, {:.1} a second each",
        played.len(),
        sum(|one| one.terms),
        sum(|one| one.probes),
        played.values().map(|one| one.probes_per_s).sum::<f64>() / played.len().max(1) as f64
    ));
    let mut faults: BTreeMap<&str, u64> = BTreeMap::new();
    let mut answers: BTreeMap<u16, u64> = BTreeMap::new();
    for one in played.values() {
        one.faults.iter().for_each(|(kind, count)| *faults.entry(kind).or_default() += count);
        one.answers.iter().for_each(|(status, count)| *answers.entry(*status).or_default() += count);
    }
    line(format!("faults: {faults:?}"));
    let closest = played.values().map(|one| one.closest_ms).fold(f64::INFINITY, f64::min);
    let longest = played.values().map(|one| one.longest_ms).fold(0.0, f64::max);
    line(format!("between two probes of a worker: {closest:.0} to {longest:.0} ms"));
    let mut known: Vec<f64> = played.values().flat_map(|one| one.known_after_ms.iter().copied()).collect();
    known.sort_by(f64::total_cmp);
    if let (Some(half), Some(last)) = (known.get(known.len() / 2), known.last()) {
        let count = known.len();
        line(format!("a silent worker is known after: half {half:.0} ms, longest {last:.0} ms ({count})"));
    }
    line(format!(
        "jobs {}, answers {answers:?}, sent to hung workers {}",
        sum(|one| one.jobs),
        sum(|one| one.jobs_at_hung)
    ));
    let fullest = played.values().map(|one| one.fullest).fold(0.0, f64::max);
    line(format!("jobs at cold workers {}, fullest span {fullest:.2}", sum(|one| one.jobs_at_cold)));
    for (seed, one) in played {
        for (rule, texts) in &one.rules {
            line(format!("seed {seed}: {rule}: {} times, first: {}", texts.len(), texts[0]));
        }
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    const DRAIN: Done = Done { fault: Fault::Drain, at: 0, zone: 0, from: 1_000_000, until: 4_000_000 };

    fn notes(jobs: &[(u64, usize, u64)]) -> Notes {
        Notes { jobs: vec![jobs.to_vec()], ..Notes::default() }
    }

    #[test]
    fn a_job_at_a_worker_that_drains_is_found_unless_its_sender_was_held() {
        let found = |jobs: &[(u64, usize, u64)], others: &[Done]| {
            let (mut found, done) = (BTreeMap::new(), [&[DRAIN], others].concat());
            drains(&notes(jobs), &done, &mut found);
            found.contains_key(RULES[6])
        };
        assert!(!found(&[(1_590_000, 1, 1), (4_100_000, 1, 2)], &[]));
        assert!(found(&[(1_610_000, 1, 1)], &[]));
        let stop = Done { fault: Fault::Stop, at: 1, zone: 0, from: 900_000, until: 1_500_000 };
        assert!(!found(&[(1_610_000, 1, 1)], std::slice::from_ref(&stop)));
        assert!(found(&[(1_610_000, 2, 1)], &[stop]), "another one was stopped");
    }

    #[test]
    fn a_cold_worker_that_falls_is_found_and_a_warm_one_is_not_counted() {
        for (since, sends, broken) in [(true, 60, true), (true, 20, false), (false, 60, false)] {
            let worker = Worker::new((SLOTS, RUN), since, 1);
            let now = Instant::now();
            (0..sends).for_each(|_| {
                worker.comes(now);
            });
            let (mut found, mut played) = (BTreeMap::new(), Watched::default());
            let notes = Notes { workers: vec![worker], ..Notes::default() };
            cold(&notes, &mut played, &mut found);
            assert_eq!(found.contains_key(RULES[7]), broken, "{since} {sends}");
        }
    }

    #[test]
    fn a_job_that_may_run_once_at_two_workers_or_refused_after_one_is_found() {
        let found = |id: u64, sends: &[u64], status: u16| {
            let mut notes = Notes { jobs: vec![Vec::new(); 2], ..Notes::default() };
            for (worker, at) in sends.iter().enumerate() {
                notes.jobs[worker].push((*at, 0, id));
            }
            notes.answers.push((0, 1, 900, status, id));
            let mut found = BTreeMap::new();
            once(&notes, &mut found);
            found.contains_key(RULES[8])
        };
        assert!(!found(1, &[100], 200) && !found(1, &[100], 502) && !found(1, &[], 503));
        assert!(found(1, &[100, 200], 200) && found(1, &[100], 503));
        assert!(!found(2, &[100, 200], 200), "one of the class that may run twice");
    }
}
