//! Planned drains of dispatchers under faults: coordinator and dispatcher processes, emulated operators that request
//! standbys at the consoles, and a proxy on every link between coordinators and members. [`DrainRule`] lists the rules.
//! They are checked on the records of dispatchers and coordinators and on the actions and observations of the harness.

mod evaluation;
mod faults;
mod operator;
mod table;
#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use cluster_member::clock;
use serde::Serialize;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

use self::evaluation::evaluate;
use self::faults::inject_faults;
use self::operator::run_operator;
pub use self::table::table;
use super::cluster_harness::{read_records, run_in_folder, Binaries, ClusterHarness, ClusterSpec};
use super::dispatcher_settings::{DispatcherSettings, JobClass};
use super::emulated_discovery::EmulatedDiscovery;
use super::violations::{Rule, Violations};
use crate::cluster::error::ClusterError;

/// A rule of planned drains.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainRule {
    /// No more dispatchers are in standby under permits than the budgets allow, in the fleet and in each zone.
    WithinBudgets,
    /// No permit is granted while detected losses of dispatchers use up the budget.
    NoPermitBesideLosses,
    /// A standby call is answered within 1.5 s, whatever state the coordinators are in.
    CallAnsweredInTime,
    /// Every dispatcher is drained once more after the last fault has ended.
    EveryDispatcherDrained,
    /// The rules of leases, as the record checker checks them.
    Leases,
}

impl DrainRule {
    /// All rules.
    pub const ALL: [DrainRule; 5] = [
        DrainRule::WithinBudgets,
        DrainRule::NoPermitBesideLosses,
        DrainRule::CallAnsweredInTime,
        DrainRule::EveryDispatcherDrained,
        DrainRule::Leases,
    ];
}

impl Rule for DrainRule {
    fn text(self) -> &'static str {
        match self {
            DrainRule::WithinBudgets => "never more in standby by plan than the budgets allow",
            DrainRule::NoPermitBesideLosses => "no permit while losses have used the budget up",
            DrainRule::CallAnsweredInTime => "a call for standby is answered in time",
            DrainRule::EveryDispatcherDrained => "everybody gets its turn when all is healed",
            DrainRule::Leases => "ownership",
        }
    }
}

const ZONES: [&str; 3] = ["north", "south", "west"];
const CLASS: JobClass = JobClass {
    name: "lookup",
    is_idempotent: true,
    latency_objective: Duration::from_millis(500),
    timeout: Duration::from_secs(3),
};
/// Dispatchers of the fleet that may be unavailable at the same time.
const MAX_UNAVAILABLE: usize = 2;
/// Dispatchers of a zone that may be unavailable at the same time.
const MAX_UNAVAILABLE_IN_ZONE: usize = 1;
/// Longest time in which a standby call must be answered, in microseconds: 0.8 s for the decision, and a margin for a
/// loaded machine.
const MAX_CALL_TIME_US: u64 = 1_500_000;
/// Time within which the loss of a dispatcher is detected, in microseconds: its last readiness report expires after one
/// second, and the observer may change meanwhile.
const LOSS_DETECTION_TIME_US: u64 = 6_000_000;
/// Longest time after the last fault until every dispatcher has been drained once more.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(30);
/// Longest time until the coordinators have accepted the budgets and count all dispatchers as available.
const MAX_SETUP_TIME: Duration = Duration::from_secs(10);
/// Number of workers that discovery lists.
const WORKERS: usize = 4;

/// Parameters of a schedule.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Number of coordinators, three or five.
    pub coordinators: usize,
    /// Number of dispatchers, assigned to three zones in turn.
    pub dispatchers: usize,
    /// Time span in which faults begin.
    pub length: Duration,
    /// Mean time from the start of one fault to that of the next.
    pub fault_interval: Duration,
    /// Time until a started worker has its full capacity, in seconds.
    pub warm_up_s: f64,
    /// Bug to inject into the coordinators' disruption state.
    pub injected_bug: Option<String>,
    /// Seed of the faults and of the operators' calls.
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

/// Kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// SIGKILL to the observer, started again later.
    KillObserver,
    /// SIGSTOP to the observer, SIGCONT later.
    #[serde(rename = "stop-observer")]
    PauseObserver,
    /// SIGSTOP to a dispatcher right after its operator requested a standby, SIGCONT later.
    #[serde(rename = "stop-asker")]
    PauseRequester,
    /// Messages of the coordinators to a dispatcher are delayed by 0.3 s while its operator requests a standby.
    #[serde(rename = "slow-asker")]
    SlowRequester,
    /// SIGKILL to a dispatcher, started again 7 s to 9 s later, when its loss must have been detected.
    #[serde(rename = "lose")]
    LoseDispatcher,
    /// A dispatcher and the coordinators do not reach each other.
    #[serde(rename = "cut-keepers")]
    PartitionFromCoordinators,
    /// A dispatcher and the other members do not reach each other.
    #[serde(rename = "cut-members")]
    PartitionFromMembers,
    /// SIGKILL to the leading coordinator, started again later.
    KillLeader,
    /// SIGSTOP to the leading coordinator, SIGCONT later.
    #[serde(rename = "stop-leader")]
    PauseLeader,
    /// SIGKILL to all coordinators at once, started again later.
    #[serde(rename = "kill-all-keepers")]
    KillAllCoordinators,
    /// Every link has 50 ms of delay each way, and one connection in twenty is reset.
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

/// Result of a schedule.
#[derive(Debug, Default, Serialize)]
pub struct ScheduleResult {
    /// Violations by rule.
    pub rules: BTreeMap<String, Vec<String>>,
    /// Faults by kind.
    pub faults: BTreeMap<String, u64>,
    /// The disruption budgets: dispatchers that may be unavailable at the same time.
    pub budget: UnavailableCounts,
    /// The most dispatchers that were unavailable at the same time under permits.
    #[serde(rename = "out_by_plan_max")]
    pub max_planned_unavailable: UnavailableCounts,
    /// Number of standby calls by the status of the response: 200, 503, or 0 if there was none.
    pub calls: BTreeMap<u16, u64>,
    /// Drains under permits.
    pub drains: u64,
    /// Longest time of a call to a running dispatcher, in milliseconds.
    pub longest_call_ms: f64,
    /// Lease terms granted.
    #[serde(rename = "terms")]
    pub lease_terms: u64,
}

/// Numbers of unavailable dispatchers, serialized as a pair.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(into = "(usize, usize)")]
pub struct UnavailableCounts {
    /// In the fleet.
    pub fleet: usize,
    /// In one zone.
    pub zone: usize,
}

impl From<UnavailableCounts> for (usize, usize) {
    fn from(counts: UnavailableCounts) -> (usize, usize) {
        (counts.fleet, counts.zone)
    }
}

/// Budgets of all schedules.
const BUDGET: UnavailableCounts = UnavailableCounts { fleet: MAX_UNAVAILABLE, zone: MAX_UNAVAILABLE_IN_ZONE };

/// Time span in which a dispatcher did not run, by the records' clock, in microseconds.
#[derive(Debug, Clone, Copy)]
struct Outage {
    dispatcher: usize,
    from: u64,
    until: u64,
}

/// A request for standby at a dispatcher's console. Times are by the records' clock, in microseconds.
#[derive(Debug, Clone, Copy)]
struct StandbyCall {
    dispatcher: usize,
    started_at: u64,
    ended_at: u64,
    /// Status of the response; 0 if there was none.
    status: u16,
}

/// Actions and observations of the harness.
#[derive(Debug, Default)]
struct Observations {
    killed: Vec<Outage>,
    paused: Vec<Outage>,
    calls: Vec<StandbyCall>,
    /// By dispatcher: whether it was drained and became active again since the last reset of this field.
    was_drained: Vec<bool>,
    /// By dispatcher: whether its operator must request a standby without waiting.
    call_now: Vec<bool>,
    /// Time at which the operators stop, once it is set.
    ended_at: Option<u64>,
}

impl Observations {
    fn new(dispatchers: usize) -> Observations {
        Observations {
            was_drained: vec![false; dispatchers],
            call_now: vec![false; dispatchers],
            ..Observations::default()
        }
    }
}

type SharedObservations = Rc<RefCell<Observations>>;

/// Runs one schedule in a folder.
///
/// # Errors
/// Returns a [`ClusterError`] if the harness fails; violations of rules are part of the result.
pub fn run(dir: &Path, binaries: &Binaries, plan: &Plan) -> Result<ScheduleResult, ClusterError> {
    run_in_folder(dir, run_schedule(dir, binaries.clone(), plan))
}

/// Starts a cluster whose dispatchers need permits to drain; `budgets` is the text of the budget file, in HCL.
///
/// # Errors
/// Returns a [`ClusterError`] if a process cannot be set up, or if the coordinators reject the budgets or do
/// not count all dispatchers as available within 10 s.
pub async fn start_cluster(
    dir: &Path,
    binaries: Binaries,
    plan: &Plan,
    budgets: &str,
) -> Result<ClusterHarness, ClusterError> {
    let settings = DispatcherSettings {
        dispatchers: plan.dispatchers,
        zones: &ZONES,
        classes: &[CLASS],
        warm_up_s: plan.warm_up_s,
        ..DispatcherSettings::default()
    };
    let setup = ClusterSpec {
        coordinators: plan.coordinators,
        dispatchers: plan.dispatchers,
        cluster_settings: Some("account {\n}\n"),
        discoveries: &[EmulatedDiscovery::new(WORKERS)],
        proxy_seed: Some(plan.seed),
    };
    let mut cluster = ClusterHarness::start(dir, binaries, settings.to_json(), setup).await?;
    if let Some(bug) = &plan.injected_bug {
        inject_bug(&mut cluster, bug)?;
    }
    cluster.wait_for_workers(WORKERS).await?;
    let file = dir.join("budgets.hcl");
    std::fs::write(&file, budgets).map_err(ClusterError::io(file.display()))?;
    let deadline = Instant::now() + MAX_SETUP_TIME;
    set_budgets(&cluster, &file, deadline).await?;
    while available_dispatchers(&cluster).await != plan.dispatchers {
        if Instant::now() > deadline {
            return Err(
                cluster.timeout("the coordinators do not count all dispatchers as available".to_owned())
            );
        }
        sleep(Duration::from_millis(50)).await;
    }
    Ok(cluster)
}

/// Restarts all coordinators with an injected bug.
fn inject_bug(cluster: &mut ClusterHarness, bug: &str) -> Result<(), ClusterError> {
    for coordinator in 1..=cluster.coordinator_count() {
        cluster.set_coordinator_setting(coordinator, "flaw", &format!("\"{bug}\""))?;
        cluster.kill_coordinator(coordinator);
        cluster.start_coordinator(coordinator)?;
    }
    Ok(())
}

/// Sets the budgets in a file; retries until the deadline.
async fn set_budgets(cluster: &ClusterHarness, file: &Path, deadline: Instant) -> Result<(), ClusterError> {
    let path = file.display().to_string();
    while let Err(error) = cluster.run_coordinator_command(1, &["budgets", "--set", &path]).await {
        if Instant::now() > deadline {
            return Err(error);
        }
        sleep(Duration::from_millis(100)).await;
    }
    Ok(())
}

/// Returns the number of dispatchers that are available in the disruption state.
async fn available_dispatchers(cluster: &ClusterHarness) -> usize {
    let output = cluster.run_coordinator_command(1, &["account", "--json"]).await.unwrap_or_default();
    let disruption_state: serde_json::Value = serde_json::from_str(&output).unwrap_or_default();
    let is_available_dispatcher = |target: &&serde_json::Value| {
        target["in"] == 1.0 && target["target"].as_str().is_some_and(|name| name.starts_with("dispatcher/"))
    };
    let targets = disruption_state["account"]["targets"].as_array();
    targets.map_or(0, |targets| targets.iter().filter(is_available_dispatcher).count())
}

async fn run_schedule(dir: &Path, binaries: Binaries, plan: &Plan) -> Result<ScheduleResult, ClusterError> {
    let budgets = format!(
        "budget \"all\" {{\n  targets = \"dispatchers\"\n  most_out = {}\n}}\n\
         budget \"zones\" {{\n  targets = \"dispatchers\"\n  of = \"each-zone\"\n  most_out = {}\n}}\n",
        BUDGET.fleet, BUDGET.zone
    );
    let mut cluster = start_cluster(dir, binaries, plan, &budgets).await?;
    let observations: SharedObservations = Rc::new(RefCell::new(Observations::new(plan.dispatchers)));
    for dispatcher in 0..plan.dispatchers {
        let console = cluster.console_address(dispatcher);
        spawn_local(run_operator(observations.clone(), dispatcher, console, plan.seed));
    }
    let faults = inject_faults(&mut cluster, &observations, plan).await?;
    let mut violations = check_recovery(&observations).await;
    observations.borrow_mut().ended_at = Some(clock::now());
    drop(cluster);
    let records = read_records(dir, plan.coordinators, plan.dispatchers)?;
    let observations = observations.borrow();
    let evaluation = evaluate(&records, &observations);
    violations.merge(evaluation.violations);
    let mut result = ScheduleResult { rules: violations.by_text(), ..evaluation.result };
    for fault in faults {
        *result.faults.entry(fault.name()).or_default() += 1;
    }
    Ok(result)
}

/// Checks that every dispatcher is drained once more after the last fault has ended.
async fn check_recovery(observations: &SharedObservations) -> Violations<DrainRule> {
    observations.borrow_mut().was_drained.fill(false);
    let deadline = Instant::now() + MAX_RECOVERY_TIME;
    while Instant::now() < deadline && observations.borrow().was_drained.contains(&false) {
        sleep(Duration::from_millis(100)).await;
    }
    let mut violations = Violations::default();
    for (dispatcher, was_drained) in observations.borrow().was_drained.iter().enumerate() {
        if !was_drained {
            let description =
                format!("dispatcher {dispatcher} was not drained within {} s", MAX_RECOVERY_TIME.as_secs());
            violations.add(DrainRule::EveryDispatcherDrained, description);
        }
    }
    violations
}
