//! Runs in virtual time give exactly the numbers and decisions of the recorded snapshots.

use std::fmt::Write as _;
use std::sync::{Arc, Mutex};

use coordination::InjectedBug;
use dispatch_core::api::{Action, Event, ListScope, Outcome, Seconds, WorkerState};
use dispatch_core::Settings;
use emulator::cluster::lease_model::{search, Bounds};
use emulator::cluster::virtual_time_soak::run_soak;
use emulator::day::Day;
use emulator::report::{compare, Results};
use emulator::router::{router, OracleView, Router};
use emulator::run::run_virtual;
use emulator::spec::{self, Experiment, RouterKind};
use emulator::virtual_time;
use indicatif::ProgressBar;

const EVERY_KEY: &str = include_str!("stable/every_key.hcl");
const DAYS: &str = include_str!("../../../experiments/days.hcl");
/// Length of a day of [`DAYS`] in these tests, in seconds.
const DAYS_LENGTH_S: f64 = 20.0;
const SEEDS: [u64; 3] = [1, 2, 3];
/// Number of decisions of a dispatcher that the snapshot shows in full; the digest covers all of them.
const SHOWN_DECISIONS: usize = 40;

fn every_key() -> Experiment {
    spec::read("every_key.hcl", EVERY_KEY).expect("the experiment reads")
}

fn days() -> Experiment {
    let mut experiment = spec::read("days.hcl", DAYS).expect("the experiment reads");
    experiment.length = DAYS_LENGTH_S;
    experiment.arms.retain(|arm| matches!(arm.router, RouterKind::DecisionModule | RouterKind::PowerOfTwo));
    experiment
}

/// Returns the results as JSON, the metrics of each run on a line, and the table.
fn results(experiment: &Experiment) -> String {
    let runs = run_virtual(experiment, &SEEDS, &ProgressBar::hidden());
    let results = Results::summarize(experiment, "virtual", &SEEDS, &runs);
    let mut text = serde_json::to_string_pretty(&results).expect("JSON");
    text.push_str("\n\n");
    for run in &runs {
        let metrics = serde_json::to_string(&run.metrics).expect("JSON");
        let _ = writeln!(text, "arm {} case {} seed {}: {metrics}", run.arm, run.case, run.seed);
    }
    text + "\n" + &results.table()
}

#[test]
fn results_of_every_key() {
    insta::assert_snapshot!(results(&every_key()));
}

#[test]
fn results_of_days() {
    insta::assert_snapshot!(results(&days()));
}

#[test]
fn comparison_of_two_results() {
    let experiment = every_key();
    let results_of = |seeds: &[u64]| {
        let runs = run_virtual(&experiment, seeds, &ProgressBar::hidden());
        Results::summarize(&experiment, "virtual", seeds, &runs)
    };
    let mut fewer_arms = results_of(&[1, 2]);
    fewer_arms.arms.truncate(2);
    let same_seeds = compare(&results_of(&[1, 2]), &fewer_arms);
    insta::assert_snapshot!(same_seeds + "\n" + &compare(&results_of(&[1, 2]), &results_of(&[3, 4])));
}

/// Digest of lines of text: FNV-1a with 64 bits.
#[derive(Debug, Clone, Copy)]
struct Digest(u64);

impl Digest {
    fn add(&mut self, text: &str) {
        for byte in text.bytes().chain([b'\n']) {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

/// Digests of the events that one dispatcher handled and of the actions that it took.
#[derive(Debug)]
struct Transcript {
    instance: u32,
    events: u64,
    actions: u64,
    events_digest: Digest,
    actions_digest: Digest,
    first_actions: Vec<String>,
}

impl Transcript {
    fn new(instance: u32) -> Transcript {
        let empty = Digest(0xcbf2_9ce4_8422_2325);
        Transcript {
            instance,
            events: 0,
            actions: 0,
            events_digest: empty,
            actions_digest: empty,
            first_actions: Vec::new(),
        }
    }
}

/// Router that records the events and the actions of another one.
struct RecordingRouter {
    inner: Box<dyn Router>,
    transcript: Arc<Mutex<Transcript>>,
}

impl RecordingRouter {
    fn record(&self, now: Seconds, actions: &[Action]) {
        let mut transcript = self.transcript.lock().expect("one thread");
        for action in actions {
            let line = format!("{now:.6} {}", action_text(action));
            transcript.actions += 1;
            transcript.actions_digest.add(&line);
            if transcript.first_actions.len() < SHOWN_DECISIONS {
                transcript.first_actions.push(line);
            }
        }
    }
}

impl Router for RecordingRouter {
    fn start(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        let before = actions.len();
        self.inner.start(now, actions);
        self.record(now, &actions[before..]);
    }

    fn on_event(
        &mut self,
        now: Seconds,
        event: Event<'_>,
        actions: &mut Vec<Action>,
        oracle: &dyn OracleView,
    ) {
        {
            let mut transcript = self.transcript.lock().expect("one thread");
            transcript.events += 1;
            transcript.events_digest.add(&format!("{now:.6} {}", event_text(&event)));
        }
        let before = actions.len();
        self.inner.on_event(now, event, actions, oracle);
        self.record(now, &actions[before..]);
    }
}

/// Returns the line of an action. The words must not change, because digests in the snapshots are computed from them.
fn action_text(action: &Action) -> String {
    match action {
        Action::Send { request, worker, timeout } => {
            format!("send request {} to {:016x} within {timeout:?}", request.0, worker.0)
        }
        Action::Reject { request, retry_after } => format!("refuse {} until {retry_after:?}", request.0),
        Action::Fail { request } => format!("fail {}", request.0),
        Action::Cancel { request, attempt } => format!("cancel {} attempt {attempt}", request.0),
        Action::Probe(worker) => format!("probe {:016x}", worker.0),
        Action::SetTimer { after, token } => format!("timer {token:x} after {after}"),
        Action::Watch(on) => format!("watch {on}"),
        Action::FetchEndpointList => "fetch the list".to_owned(),
        Action::CloseIdle(worker) => format!("close idle {:016x}", worker.0),
        Action::SendToPeer { to, data } => format!("tell {to:?} {data:02x?}"),
        Action::Log(line) => format!("log {}", line.len()),
    }
}

fn outcome_text(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "ok",
        Outcome::Error => "error",
        Outcome::Overloaded => "full",
        Outcome::Timeout => "timeout",
        Outcome::ConnectFailed => "no connection",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "never sent",
        Outcome::StaleConnection => "stale connection",
        Outcome::InvalidRequest => "unusable",
    }
}

/// Returns the line of an event. The words must not change, because digests in the snapshots are computed from them.
fn event_text(event: &Event<'_>) -> String {
    match event {
        Event::Request { request, .. } => format!(
            "request {} class {} tenant {} slots {} patience {} retry {}",
            request.id.0, request.class, request.tenant, request.slots, request.timeout, request.is_retry
        ),
        Event::JobStarted { request, attempt } => format!("started {} attempt {attempt}", request.0),
        Event::Progress { request, attempt, done } => {
            format!("progress {} attempt {attempt} {done}", request.0)
        }
        Event::AttemptEnded { request, attempt, outcome, complete, .. } => {
            format!("ended {} attempt {attempt} {} {complete}", request.0, outcome_text(*outcome))
        }
        Event::ClientDisconnected(request) => format!("client of {} left", request.0),
        Event::Timer(token) => format!("timer {token:x}"),
        Event::EndpointList { scope, endpoints } => {
            let scope = match scope {
                ListScope::Full => "full",
                ListScope::Cached => "saved",
                ListScope::Incremental => "changes",
                ListScope::Failed => "failed",
            };
            let mut text = format!("list {scope}");
            for endpoint in *endpoints {
                let state = match endpoint.state {
                    WorkerState::Serving => "serving",
                    WorkerState::Draining => "draining",
                    WorkerState::Removed => "gone",
                };
                let _ = write!(
                    text,
                    "; {:016x} kind {} zone {} rack {} since {} {state}",
                    endpoint.worker.0, endpoint.kind, endpoint.zone, endpoint.cell, endpoint.started_at
                );
            }
            text
        }
        _ => "an event that the emulator has no use for".to_owned(),
    }
}

/// Returns the digests of all dispatchers on the days of a seed, and the first decisions of dispatcher 0.
fn decisions(experiment: &Experiment, arm: usize, seed: u64) -> String {
    let mut text = String::new();
    for case in &experiment.cases {
        let day = Day::draw(experiment, case, seed);
        let transcripts: Arc<Mutex<Vec<Arc<Mutex<Transcript>>>>> = Arc::default();
        let make_router = |settings: Settings, seed| -> Box<dyn Router> {
            let transcript = Arc::new(Mutex::new(Transcript::new(settings.instance)));
            transcripts.lock().expect("one thread").push(transcript.clone());
            Box::new(RecordingRouter {
                inner: router(RouterKind::DecisionModule, settings, seed),
                transcript,
            })
        };
        let record = virtual_time::run_day(experiment, &experiment.arms[arm], &day, &make_router);
        let _ = writeln!(
            text,
            "{} seed {seed}: {} workers, {} jobs, {} events, {} tries, {} sends, {} connections, {} runs",
            case.name,
            day.workers.len(),
            day.jobs.len(),
            record.events,
            record.submissions,
            record.sends,
            record.new_connections,
            record.runs.len()
        );
        for transcript in transcripts.lock().expect("one thread").iter() {
            let transcript = transcript.lock().expect("one thread");
            let _ = writeln!(
                text,
                "  dispatcher {}: {} events {:016x}, {} actions {:016x}",
                transcript.instance,
                transcript.events,
                transcript.events_digest.0,
                transcript.actions,
                transcript.actions_digest.0
            );
            if transcript.instance == 0 {
                transcript.first_actions.iter().for_each(|line| {
                    let _ = writeln!(text, "    {line}");
                });
            }
        }
    }
    text
}

#[test]
fn decisions_of_the_dispatchers() {
    let (days, every_key) = (days(), every_key());
    let mut text = String::new();
    for seed in SEEDS {
        text += &decisions(&days, 0, seed);
        text += &decisions(&every_key, 0, seed);
    }
    insta::assert_snapshot!(text);
}

/// Results of two hours of the virtual-time soak: with usual clocks, with clocks that drift too much, and with an
/// injected bug.
#[test]
fn hours_of_a_fleet() {
    let mut text = String::new();
    for (skew_ppm, bug_name) in [(1_000, None), (300_000, None), (1_000, Some("lease-from-answer"))] {
        let bug = InjectedBug::names().iter().find(|(name, _)| Some(*name) == bug_name).map(|(_, bug)| *bug);
        let result = run_soak(2, 7, skew_ppm, bug);
        let json = serde_json::to_string_pretty(&result).expect("JSON");
        let _ = writeln!(text, "{skew_ppm} ppm, {bug_name:?}: violated {}\n{json}", result.is_violated());
    }
    insta::assert_snapshot!(text);
}

/// Results of the state search of the lease model, without a bug and with each injected bug.
#[test]
fn states_of_the_ownership_protocol() {
    let mut text = String::new();
    let bounds = Bounds { messages: 1, ..Bounds::default() };
    let bugs = InjectedBug::names().iter().map(|(name, bug)| (*name, Some(*bug)));
    for (name, bug) in [("sound", None)].into_iter().chain(bugs) {
        let found = search(bug, bounds, 1);
        let _ = writeln!(
            text,
            "{name}: {} states, depth {}, violated {:?}, handed over {}",
            found.states, found.depth, found.violated, found.handed_over
        );
    }
    insta::assert_snapshot!(text);
}
