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

mod evaluation;
mod faults;
mod table;
#[cfg(test)]
mod tests;

use crate::cluster::error::ClusterError;
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
use tokio::time::{sleep, Instant};

use self::evaluation::evaluate;
use self::faults::inject_faults;
pub use self::table::table;
use super::cluster_harness::{
    call_console, read_records, run_in_folder, Binaries, ClusterHarness, ClusterSpec,
};
use super::emulated_discovery::EmulatedDiscovery;

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
    /// The budgets, of all and of a zone.
    pub budget: (usize, usize),
    /// The most that were unavailable by plan at once, of all and of a zone.
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
pub fn play(dir: &Path, binaries: &Binaries, plan: &Plan) -> Result<ScheduleResult, ClusterError> {
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
) -> Result<ClusterHarness, ClusterError> {
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
    std::fs::write(&file, budgets).map_err(ClusterError::io(file.display()))?;
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
            return Err(cluster.timeout("not all targets are available".to_owned()));
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

async fn run_schedule(dir: &Path, binaries: Binaries, plan: &Plan) -> Result<ScheduleResult, ClusterError> {
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
