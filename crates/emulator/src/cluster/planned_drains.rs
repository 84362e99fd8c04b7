//! Planned drains of dispatchers, agreed across the fleet, with faults: real coordinators and dispatchers, operators that ask
//! for standby at the consoles, and a proxy on every link between coordinators and members.
//!
//! The rules, checked by the records of dispatchers and coordinators and by what the harness did:
//!
//! 1. never more dispatchers in standby by plan than the budgets allow, by fleet and by zone;
//! 2. no permit is granted while what is lost, and known to be, has used the budget up;
//! 3. a call for standby is answered within its time, whatever the coordinators do;
//! 4. when all is healed everybody who asks gets its turn;
//! 5. the rules of leases.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use cluster_member::clock;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde::Serialize;
use serde_json::json;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};

use super::cluster_harness::{
    call_console, read_records, run_in_folder, Binaries, ClusterHarness, ClusterSpec,
};
use super::emulated_discovery::EmulatedDiscovery;
use super::fault_injection::{ClusterFault, LinkFaultKind};
use super::record_checker::{self, RecordLine, Records};

/// The rules, in the order of the module's text.
pub const RULES: [&str; 5] = [
    "never more in standby by plan than the budgets allow",
    "no permit while losses have used the budget up",
    "a call for standby is answered in time",
    "everybody gets its turn when all is healed",
    "ownership",
];

const ZONES: [&str; 3] = ["north", "south", "west"];
/// The most that may be out at once, of all and of each zone.
const MOST: (usize, usize) = (2, 1);
/// A call is decided within 0.8 s; the rest is the machine's.
const DECISION_TIMEOUT: u64 = 1_500_000;
/// A loss that lasts this long is known to the account: what a dispatcher said last holds 1 s, an holder may change.
const LOSS_KNOWN_AFTER: u64 = 6_000_000;

/// What is played.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Coordinators, three or five.
    pub coordinators: usize,
    /// Dispatchers, in three zones in turn.
    pub dispatchers: usize,
    /// How long faults go on.
    pub length: Duration,
    /// How often a fault begins, on the mean.
    pub fault_interval: Duration,
    /// After how long a worker is warm, in seconds.
    pub warm_up_s: f64,
    /// A bug in the coordinators' account.
    pub injected_bug: Option<String>,
    /// Draws the faults and the operators' calls.
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            coordinators: 3,
            dispatchers: 6,
            length: Duration::from_secs(20),
            fault_interval: Duration::from_secs(3),
            warm_up_s: 24.0,
            injected_bug: None,
            seed: 1,
        }
    }
}

/// What was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// SIGKILL to the observer, started again later.
    KillObserver,
    /// SIGSTOP to the observer, SIGCONT later.
    #[serde(rename = "stop-observer")]
    PauseObserver,
    /// SIGSTOP to a dispatcher right after its operator called, SIGCONT later.
    #[serde(rename = "stop-asker")]
    PauseRequester,
    /// What coordinators say to a dispatcher is late by 0.3 s, and it is called meanwhile.
    #[serde(rename = "slow-asker")]
    SlowRequester,
    /// SIGKILL to a dispatcher that stays away for long.
    #[serde(rename = "lose")]
    LoseDispatcher,
    /// A dispatcher reaches no coordinator and is not reached.
    #[serde(rename = "cut-keepers")]
    PartitionFromCoordinators,
    /// A dispatcher and the others do not reach each other.
    #[serde(rename = "cut-members")]
    PartitionFromMembers,
    /// The coordinators' leader is killed, and comes back.
    KillLeader,
    /// The coordinators' leader is stopped, and goes on.
    #[serde(rename = "stop-leader")]
    PauseLeader,
    /// All coordinators are killed at once, and come back.
    #[serde(rename = "kill-all-keepers")]
    KillAllCoordinators,
    /// Every link is 50 ms slower each way, and one connection in twenty is reset.
    #[serde(rename = "slow-net")]
    SlowNetwork,
}

const FAULT_KINDS: [Fault; 11] = [
    Fault::KillObserver,
    Fault::PauseObserver,
    Fault::PauseRequester,
    Fault::SlowRequester,
    Fault::LoseDispatcher,
    Fault::PartitionFromCoordinators,
    Fault::PartitionFromMembers,
    Fault::KillLeader,
    Fault::PauseLeader,
    Fault::KillAllCoordinators,
    Fault::SlowNetwork,
];

/// What a schedule gave.
#[derive(Debug, Default, Serialize)]
pub struct ScheduleResult {
    /// Violations by rule.
    pub rules: BTreeMap<String, Vec<String>>,
    /// Faults by kind.
    pub faults: BTreeMap<String, u64>,
    /// The budgets, of all and of a zone, and the most that were out by plan at once.
    pub budget: (usize, usize),
    /// See [`Drained::budget`].
    #[serde(rename = "out_by_plan_max")]
    pub max_planned_unavailable: (usize, usize),
    /// Calls for standby by answer: 200, 503, or 0 for none.
    pub calls: BTreeMap<u16, u64>,
    /// Drains that were done by permit.
    pub drains: u64,
    /// The longest that an answered call took, in ms, of dispatchers that ran.
    pub longest_call_ms: f64,
    /// Terms granted.
    #[serde(rename = "terms")]
    pub lease_terms: u64,
}

/// What the harness did and saw.
#[derive(Debug, Default)]
struct Observations {
    /// By dispatcher: from when to when it was killed, stopped, or cut off.
    killed: Vec<(usize, u64, u64)>,
    paused: Vec<(usize, u64, u64)>,
    /// Calls for standby: the dispatcher, from when to when, the status.
    calls: Vec<(usize, u64, u64, u16)>,
    /// Dispatchers that had their turn since this was emptied.
    had_turn: Vec<bool>,
    /// Dispatchers whose operators are to call now.
    call_now: Vec<bool>,
    /// Since when nobody is to ask any more.
    ended_at: Option<u64>,
}

type SharedObservations = Rc<RefCell<Observations>>;

/// Plays one schedule below this folder.
///
/// # Errors
/// Something could not be set up.
pub fn play(dir: &Path, binaries: &Binaries, plan: &Plan) -> Result<ScheduleResult, String> {
    run_in_folder(dir, run_schedule(dir, binaries.clone(), plan))
}

/// A fleet of dispatchers whose drains are agreed on, with these budgets, HCL.
///
/// # Errors
/// Something cannot be set up.
pub async fn start_cluster(
    dir: &Path,
    binaries: Binaries,
    plan: &Plan,
    budgets: &str,
) -> Result<ClusterHarness, String> {
    let setup = ClusterSpec {
        coordinators: plan.coordinators,
        dispatchers: plan.dispatchers,
        cluster_settings: Some("account {\n}\n"),
        discoveries: &[EmulatedDiscovery::new(4)],
        proxy_seed: Some(plan.seed),
    };
    let mut cluster = ClusterHarness::start(dir, binaries, settings(plan), setup).await?;
    if let Some(flaw) = &plan.injected_bug {
        for coordinator in 1..=plan.coordinators {
            cluster.set_coordinator_setting(coordinator, "flaw", &format!("\"{flaw}\""))?;
            cluster.kill_coordinator(coordinator);
            cluster.start_coordinator(coordinator)?;
        }
    }
    cluster.wait_for_workers(4).await?;
    let file = dir.join("budgets.hcl");
    std::fs::write(&file, budgets).map_err(|error| format!("{}: {error}", file.display()))?;
    let path = file.display().to_string();
    let until = Instant::now() + Duration::from_secs(10);
    while let Err(why) = cluster.run_coordinator_command(1, &["budgets", "--set", &path]).await {
        if Instant::now() > until {
            return Err(why);
        }
        sleep(Duration::from_millis(100)).await;
    }
    while available_dispatchers(&cluster).await != plan.dispatchers {
        if Instant::now() > until {
            return Err(format!("not all are in\n{}", cluster.logs()));
        }
        sleep(Duration::from_millis(50)).await;
    }
    Ok(cluster)
}

/// How many dispatchers the account has as in.
async fn available_dispatchers(cluster: &ClusterHarness) -> usize {
    let said = cluster.run_coordinator_command(1, &["account", "--json"]).await.unwrap_or_default();
    let all: serde_json::Value = serde_json::from_str(&said).unwrap_or_default();
    let targets = all["account"]["targets"].as_array();
    let inside = |target: &&serde_json::Value| {
        target["in"] == 1.0 && target["target"].as_str().is_some_and(|name| name.starts_with("dispatcher/"))
    };
    targets.map_or(0, |targets| targets.iter().filter(inside).count())
}

fn settings(plan: &Plan) -> serde_json::Value {
    json!({
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "azs": ZONES, "flavors": ["small"], "balancers": plan.dispatchers, "slot-no": 0, "zone": 0,
            "discovery": "push", "resolution-s": 0.001,
            "profiles": [{"name": "lookup", "idempotency": "free", "promise-s": 0.5, "deadline-s": 3.0, "late-worth": 0.2}],
            "projects": [{"name": "web", "share": 1.0, "quota-per-s": 100.0}],
            "caps": {"cancel": true, "dial-timeout-s": 0.25, "keepalive-s": 5.0, "max-retry-after-s": 2.0,
                     "parallel-tries": true, "probes": false, "retry-after": true, "send-cap": 4},
            "family-info": {"tells-start": true, "class-stretch": [2.0], "class-kind": [-1]},
            "obligations": {"cold-share": 0.14, "drain-grace-s": 0.5, "fall-multiple": 3.0, "tip-after-s": 1.5,
                            "warm-within-s": plan.warm_up_s},
            "charges": {"cross-zone": 0.025}
        }
    })
}

async fn run_schedule(dir: &Path, binaries: Binaries, plan: &Plan) -> Result<ScheduleResult, String> {
    let budgets = format!(
        "budget \"all\" {{\n  targets = \"dispatchers\"\n  most_out = {}\n}}\n\
         budget \"zones\" {{\n  targets = \"dispatchers\"\n  of = \"each-zone\"\n  most_out = {}\n}}\n",
        MOST.0, MOST.1
    );
    let mut cluster = start_cluster(dir, binaries, plan, &budgets).await?;
    let observations = SharedObservations::default();
    {
        let mut observations = observations.borrow_mut();
        (observations.had_turn, observations.call_now) =
            (vec![false; plan.dispatchers], vec![false; plan.dispatchers]);
    }
    for n in 0..plan.dispatchers {
        spawn_local(run_operator(observations.clone(), n, cluster.console_address(n), plan.seed));
    }
    let mut found: BTreeMap<&str, Vec<String>> = BTreeMap::new();
    let faults = inject_faults(&mut cluster, &observations, plan).await?;
    // All is healed: everybody gets its turn.
    observations.borrow_mut().had_turn.fill(false);
    let until = Instant::now() + Duration::from_secs(30);
    while Instant::now() < until && observations.borrow().had_turn.contains(&false) {
        sleep(Duration::from_millis(100)).await;
    }
    for (n, _) in observations.borrow().had_turn.iter().enumerate().filter(|(_, turn)| !**turn) {
        found.entry(RULES[3]).or_default().push(format!("d{n} did not within 30 s"));
    }
    observations.borrow_mut().ended_at = Some(clock::now());
    drop(cluster);
    let records = read_records(dir, plan.coordinators, plan.dispatchers)?;
    let observations = observations.borrow();
    let mut drained = evaluate(&records, &observations, found);
    for fault in faults {
        let name = serde_json::to_value(fault).ok();
        let name = name.as_ref().and_then(|name| name.as_str()).unwrap_or_default().to_owned();
        *drained.faults.entry(name).or_default() += 1;
    }
    Ok(drained)
}

/// Empties a dispatcher now and then: asks for standby until it is granted, waits, and makes it active again.
async fn run_operator(observations: SharedObservations, n: usize, console: std::net::SocketAddr, seed: u64) {
    let mut random = Pcg64::seed_from_u64(seed ^ (n as u64) << 24);
    let over = || observations.borrow().ended_at.is_some();
    while !over() {
        let pause = Duration::from_millis(random.random_range(200..1_500));
        let until = Instant::now() + pause;
        while Instant::now() < until && !observations.borrow().call_now[n] {
            sleep(Duration::from_millis(20)).await;
        }
        loop {
            let from = clock::now();
            let answer = call_console(console, "POST", "/standby").await;
            let status = answer.as_ref().map_or(0, |(status, ..)| *status);
            observations.borrow_mut().calls.push((n, from, clock::now(), status));
            if status == 200 || over() {
                break;
            }
            let after = answer.and_then(|(_, after, _)| after).unwrap_or(1);
            sleep(Duration::from_secs(after.into()).min(Duration::from_secs(2))).await;
        }
        sleep(Duration::from_millis(random.random_range(200..1_500))).await;
        // Until it is active again, or another process.
        while !over() && call_console(console, "POST", "/active").await.is_none_or(|(s, ..)| s != 200) {
            sleep(Duration::from_millis(100)).await;
        }
        observations.borrow_mut().had_turn[n] = true;
    }
}

/// Draws faults and injects them one after another, until the schedule's time is over.
async fn inject_faults(
    cluster: &mut ClusterHarness,
    observations: &SharedObservations,
    plan: &Plan,
) -> Result<Vec<Fault>, String> {
    let mut random = Pcg64::seed_from_u64(plan.seed);
    let mut injected = Vec::new();
    let end = Instant::now() + plan.length;
    while Instant::now() < end {
        let next = Instant::now() + plan.fault_interval.mul_f64(random.random_range(0.5..1.5));
        let fault = FAULT_KINDS[random.random_range(0..FAULT_KINDS.len())];
        let any = random.random_range(0..plan.dispatchers);
        let observer = cluster.last_logged_by("observes the fleet").unwrap_or(0);
        let duration = fault.sample_duration(&mut random);
        let target = if fault.is_for_observer() { observer } else { any };
        let began_at = clock::now();
        injected.push(fault);
        if fault == Fault::PauseRequester {
            observations.borrow_mut().call_now[target] = true;
            sleep(Duration::from_millis(random.random_range(20..60))).await;
            observations.borrow_mut().call_now[target] = false;
        }
        inject(cluster, observations, fault, (target, began_at), duration).await?;
        sleep_until(next).await;
    }
    Ok(injected)
}

/// Injects one fault for so long, and records when its dispatcher could not answer.
async fn inject(
    cluster: &mut ClusterHarness,
    observations: &SharedObservations,
    fault: Fault,
    (target, began_at): (usize, u64),
    duration: Duration,
) -> Result<(), String> {
    let active = fault.at(target).begin(cluster)?;
    let slow_requester = fault == Fault::SlowRequester;
    if slow_requester {
        observations.borrow_mut().call_now[target] = true;
    }
    sleep(duration).await;
    if slow_requester {
        observations.borrow_mut().call_now[target] = false;
    }
    active.end(cluster)?;
    let outage = (target, began_at, clock::now());
    match fault {
        Fault::KillObserver | Fault::LoseDispatcher => observations.borrow_mut().killed.push(outage),
        Fault::PauseObserver | Fault::PauseRequester => observations.borrow_mut().paused.push(outage),
        _ => {}
    }
    Ok(())
}

impl Fault {
    fn is_for_observer(self) -> bool {
        matches!(self, Fault::KillObserver | Fault::PauseObserver)
    }

    fn sample_duration(self, random: &mut Pcg64) -> Duration {
        Duration::from_secs_f64(match self {
            Fault::PauseObserver | Fault::PauseRequester | Fault::PauseLeader => {
                random.random_range(0.2..6.0)
            }
            Fault::LoseDispatcher => random.random_range(7.0..9.0),
            Fault::KillAllCoordinators | Fault::KillLeader => random.random_range(0.1..2.0),
            _ => random.random_range(1.0..4.0),
        })
    }

    /// The fault at a dispatcher, as the cluster harness knows it.
    fn at(self, dispatcher: usize) -> ClusterFault {
        match self {
            Fault::KillObserver | Fault::LoseDispatcher => ClusterFault::KillDispatcher(dispatcher),
            Fault::PauseObserver | Fault::PauseRequester => ClusterFault::PauseDispatcher(dispatcher),
            Fault::SlowRequester => ClusterFault::Links(LinkFaultKind::DelayedReplies(dispatcher)),
            Fault::PartitionFromCoordinators => {
                ClusterFault::Links(LinkFaultKind::PartitionFromCoordinators(dispatcher))
            }
            Fault::PartitionFromMembers => {
                ClusterFault::Links(LinkFaultKind::PartitionFromMembers(dispatcher))
            }
            Fault::SlowNetwork => ClusterFault::Links(LinkFaultKind::SlowNetwork),
            Fault::KillLeader => ClusterFault::KillLeader,
            Fault::PauseLeader => ClusterFault::PauseLeader,
            Fault::KillAllCoordinators => ClusterFault::KillAllCoordinators,
        }
    }
}

/// From when to when dispatchers were in standby by permit, by their records: until they were active, or killed.
fn planned_standbys(records: &Records, observations: &Observations) -> Vec<(usize, u64, u64)> {
    let mut standbys = Vec::new();
    for (name, lines) in &records.members {
        let Some(n) = name.strip_prefix('d').and_then(|n| n.parse::<usize>().ok()) else { continue };
        let mut began: Option<u64> = None;
        let mut end = |began: &mut Option<u64>, at: u64| {
            if let Some(from) = began.take() {
                // Killed in the middle: it was out from then on as well, but not by plan.
                let killed = observations.killed.iter().filter(|(whom, at, _)| *whom == n && *at > from);
                let until = killed.map(|(_, at, _)| *at).fold(at, u64::min);
                standbys.push((n, from, until));
            }
        };
        for line in lines {
            let by_permit =
                |line: &RecordLine| line.fields.get("permit").is_some_and(|permit| !permit.is_null());
            match line.kind.as_str() {
                "standby" if by_permit(line) => began = Some(line.time),
                "active" | "started" => end(&mut began, line.time),
                _ => {}
            }
        }
        end(&mut began, u64::MAX);
    }
    standbys
}

fn evaluate(
    records: &Records,
    observations: &Observations,
    mut found: BTreeMap<&'static str, Vec<String>>,
) -> ScheduleResult {
    let mut drained = ScheduleResult { budget: MOST, ..ScheduleResult::default() };
    let standbys = planned_standbys(records, observations);
    drained.drains = standbys.len() as u64;
    for (n, from, _) in &standbys {
        let at_once = standbys.iter().filter(|(_, start, end)| (*start..*end).contains(from));
        let in_zone = at_once.clone().filter(|(m, ..)| m % ZONES.len() == n % ZONES.len());
        let (all, zone) = (at_once.clone().count(), in_zone.count());
        drained.max_planned_unavailable =
            (drained.max_planned_unavailable.0.max(all), drained.max_planned_unavailable.1.max(zone));
        if all > MOST.0 || zone > MOST.1 {
            let who: Vec<String> = at_once.map(|(n, ..)| format!("d{n}")).collect();
            found.entry(RULES[0]).or_default().push(format!("{} at {from}", who.join(", ")));
        }
    }
    // A permit, once, by the first coordinator that recorded it.
    let mut granted: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
    for line in records.coordinators.values().flatten().filter(|line| line.kind == "applied") {
        let Some(index) = line.fields.get("index").and_then(serde_json::Value::as_u64) else { continue };
        if let Some(permits) = line.fields.get("permits").and_then(|permits| permits.as_array()) {
            let entry = granted.entry(index).or_insert((line.time, permits.len() as u64));
            entry.0 = entry.0.min(line.time);
        }
    }
    for (at, count) in granted.values() {
        // Lost for so long that the account knows, and still.
        let lost =
            observations.killed.iter().filter(|(_, from, until)| from + LOSS_KNOWN_AFTER < *at && at < until);
        let lost: Vec<usize> = lost.map(|(n, ..)| *n).collect();
        let out =
            standbys.iter().filter(|(n, from, until)| (*from..*until).contains(at) && !lost.contains(n));
        let all = lost.len() + out.count() + *count as usize;
        if all > MOST.0 {
            let text = format!("{count} permits at {at} while d{lost:?} were lost, {all} in all");
            found.entry(RULES[1]).or_default().push(text);
        }
    }
    for (n, from, at, status) in &observations.calls {
        *drained.calls.entry(*status).or_default() += 1;
        let hurt =
            observations.killed.iter().chain(&observations.paused).any(|(whom, start, end)| {
                whom == n && *start <= *at && *from <= end.saturating_add(2_000_000)
            });
        // What was under way when all was ended is nobody's.
        if hurt || observations.ended_at.is_some_and(|over| *at >= over) {
            continue;
        }
        drained.longest_call_ms = drained.longest_call_ms.max((at - from) as f64 / 1e3);
        if *status == 0 || at - from > DECISION_TIMEOUT {
            let text = format!("d{n}: status {status} after {} us at {from}", at - from);
            found.entry(RULES[2]).or_default().push(text);
        }
    }
    for (rule, texts) in record_checker::check(records) {
        found.entry(RULES[4]).or_default().extend(texts.iter().map(|text| format!("{rule}: {text}")));
    }
    drained.lease_terms = record_checker::lease_terms(records);
    drained.rules = found.into_iter().map(|(rule, texts)| (rule.to_owned(), texts)).collect();
    drained
}

/// The sums over all schedules, as text.
#[must_use]
pub fn table(played: &BTreeMap<u64, ScheduleResult>) -> String {
    let mut text = String::new();
    let mut line = |words: String| text.push_str(&(words + "\n"));
    let sum = |of: fn(&ScheduleResult) -> u64| played.values().map(of).sum::<u64>();
    line(format!(
        "{} schedules, {} drains, {} terms",
        played.len(),
        sum(|one| one.drains),
        sum(|one| one.lease_terms)
    ));
    let (mut faults, mut calls) = (BTreeMap::<&str, u64>::new(), BTreeMap::<u16, u64>::new());
    for one in played.values() {
        one.faults.iter().for_each(|(kind, count)| *faults.entry(kind).or_default() += count);
        one.calls.iter().for_each(|(status, count)| *calls.entry(*status).or_default() += count);
    }
    line(format!("faults: {faults:?}"));
    line(format!("calls: {calls:?}"));
    let most = |of: fn(&ScheduleResult) -> usize| played.values().map(of).max().unwrap_or(0);
    line(format!(
        "out by plan at most: {} of {} in the fleet, {} of {} in a zone",
        most(|one| one.max_planned_unavailable.0),
        MOST.0,
        most(|one| one.max_planned_unavailable.1),
        MOST.1
    ));
    let longest = played.values().map(|one| one.longest_call_ms).fold(0.0, f64::max);
    line(format!("the longest call: {longest:.0} ms"));
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

    fn rules(observations: &Observations, coordinator: &str, members: &[(&str, &str)]) -> Vec<String> {
        let lines = |text: &str| text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
        let records = Records {
            coordinators: [(1, lines(coordinator))].into(),
            members: members.iter().map(|(name, text)| ((*name).to_owned(), lines(text))).collect(),
        };
        evaluate(&records, observations, BTreeMap::new()).rules.into_keys().collect()
    }

    /// d0 and d3 are of one zone.
    #[test]
    fn two_of_a_zone_by_permit_are_found_and_one_after_another_or_by_force_are_not() {
        let out = r#"{"t":100,"kind":"standby","permit":5}
{"t":900,"kind":"active","number":1}"#;
        let found = |of: &str, other: &str, observations: &Observations| {
            rules(observations, "", &[("d0", out), (of, other)])
        };
        let during = r#"{"t":500,"kind":"standby","permit":7}"#;
        assert_eq!(found("d3", during, &Observations::default()), [RULES[0]]);
        assert!(found("d1", during, &Observations::default()).is_empty(), "another zone, and two in all");
        assert!(found("d3", &during.replace("500", "901"), &Observations::default()).is_empty());
        assert!(found("d3", &during.replace('7', "null"), &Observations::default()).is_empty());
        let killed = Observations { killed: vec![(0, 400, 2_000)], ..Observations::default() };
        assert!(found("d3", during, &killed).is_empty(), "out, but not by plan any more");
    }

    #[test]
    fn a_permit_beside_known_losses_is_found() {
        let granted = format!(
            r#"{{"t":{},"kind":"applied","index":9,"digest":1,"permits":[4]}}"#,
            2 * LOSS_KNOWN_AFTER
        );
        let lost = |from: u64| Observations {
            killed: vec![(1, from, 3 * LOSS_KNOWN_AFTER), (2, from, 3 * LOSS_KNOWN_AFTER)],
            ..Observations::default()
        };
        assert_eq!(rules(&lost(10), &granted, &[]), [RULES[1]]);
        assert!(rules(&lost(2 * LOSS_KNOWN_AFTER - 10), &granted, &[]).is_empty(), "nobody could know yet");
    }

    /// Every call without an answer was excused once, since the schedule was over when it was checked.
    #[test]
    fn a_call_that_is_not_answered_or_late_is_found() {
        let calls = |status: u16, took: u64, at: u64| Observations {
            calls: vec![(0, at, at + took, status)],
            paused: vec![(0, 10_000_000, 11_000_000)],
            ended_at: Some(90_000_000),
            ..Observations::default()
        };
        assert!(rules(&calls(503, 900_000, 1_000_000), "", &[]).is_empty());
        assert_eq!(rules(&calls(0, 900_000, 1_000_000), "", &[]), [RULES[2]]);
        assert_eq!(rules(&calls(503, DECISION_TIMEOUT + 1, 1_000_000), "", &[]), [RULES[2]]);
        assert!(rules(&calls(0, 900_000, 10_500_000), "", &[]).is_empty(), "it was stopped");
        assert!(rules(&calls(0, 900_000, 89_900_000), "", &[]).is_empty(), "all was ended");
    }
}
