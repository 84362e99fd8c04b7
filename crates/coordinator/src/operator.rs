//! An operator's questions to the keepers.

use std::fmt::Write as _;
use std::time::Duration;

use cluster_member::coordinator_client::CoordinatorClient;
use cluster_member::wire::{
    ClientHello, ClientIdentity, Connection, CoordinatorMessage, Operation, ReplicaStatus, Request, Response,
    SCHEMA_VERSION,
};
use coordination::{FencingToken, LeaseId};
use disruption_budget::{
    Availability, BudgetUsage, DisruptionCommand, DisruptionOutcome, DisruptionState, Permit,
};
use tokio::time::timeout;

use crate::config::Config;

/// How long a keeper has for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

async fn call(config: &Config, keeper: u64, ask: Operation) -> Result<Response, String> {
    let address = config.coordinators.get(&keeper).ok_or_else(|| format!("there is no keeper {keeper}"))?;
    let hello = ClientHello {
        schema_version: SCHEMA_VERSION,
        installation: config.installation.clone(),
        identity: ClientIdentity::Operator,
    };
    let call = async {
        let (mut link, _) = Connection::connect(*address, None, &hello).await?;
        link.send(&Request { id: 1, operation: ask }).await?;
        loop {
            if let CoordinatorMessage::Response(1, answer) = link.receive().await? {
                return Ok::<_, std::io::Error>(answer);
            }
        }
    };
    match timeout(CALL_TIMEOUT, call).await {
        Ok(answer) => answer.map_err(|error| format!("keeper {keeper} at {address}: {error}")),
        Err(_) => Err(format!("keeper {keeper} at {address}: no answer within {} s", CALL_TIMEOUT.as_secs())),
    }
}

/// A response as operators have always been shown it, whatever its type is called.
fn response_text(response: &Response) -> String {
    match response {
        Response::NotLeader { leader, address } => {
            format!("NotLeading {{ leader: {leader:?}, address: {address:?} }}")
        }
        other => format!("{other:?}"),
    }
}

/// How things are at one keeper.
///
/// # Errors
/// It is not reached.
pub async fn status(config: &Config, keeper: u64) -> Result<ReplicaStatus, String> {
    match call(config, keeper, Operation::Status).await? {
        Response::Status(status) => Ok(*status),
        other => Err(format!("keeper {keeper}: an answer that was not asked for: {other:?}")),
    }
}

/// How things are at each keeper, or why it cannot be told.
pub async fn statuses(config: &Config) -> Vec<(u64, Result<ReplicaStatus, String>)> {
    let mut all = Vec::new();
    for keeper in config.coordinators.keys() {
        all.push((*keeper, status(config, *keeper).await));
    }
    all
}

/// The keeper that leads with the highest term, or why there is none.
///
/// # Errors
/// No keeper leads.
pub async fn leader_status(config: &Config) -> Result<ReplicaStatus, String> {
    let mut statuses = statuses(config).await;
    statuses.retain(|(_, status)| !matches!(status, Ok(status) if !status.is_leader));
    let best = statuses
        .iter()
        .filter_map(|(_, status)| status.as_ref().ok())
        .max_by_key(|status| status.raft_term)
        .cloned();
    best.ok_or_else(|| {
        let mut text = "no keeper leads: a majority has to be there and reach each other".to_owned();
        for (_, status) in statuses {
            if let Err(error) = status {
                let _ = write!(text, "\n  {error}");
            }
        }
        text
    })
}

/// Replaces a keeper by a new one that was started with an empty store, and waits until that is done.
///
/// # Errors
/// Nobody leads, it is refused, or it is not done within a minute; it goes on then, and may be asked for again.
pub async fn replace(config: &Config, old: u64, new: u64, address: String) -> Result<(), String> {
    let until = tokio::time::Instant::now() + Duration::from_secs(60);
    let mut why = String::new();
    let mut asked = false;
    while tokio::time::Instant::now() < until {
        match leader_status(config).await {
            Ok(leader) if leader.voters.contains(&new) && !leader.voters.contains(&old) => return Ok(()),
            Ok(leader) if asked => {
                why = format!("it goes on: {:?} vote, {:?} learn", leader.voters, leader.learners)
            }
            Ok(leader) => {
                let wanted = Operation::ReplaceReplica { old, new, address: address.clone() };
                match call(config, leader.replica_id, wanted).await? {
                    Response::Done => asked = true,
                    Response::Rejected(reason) => return Err(reason.to_string()),
                    other => why = response_text(&other),
                }
            }
            Err(error) => why = error,
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    Err(format!("keeper {old} is not replaced after a minute: {why}"))
}

/// Asks the keeper that leads.
async fn call_leader(config: &Config, ask: Operation) -> Result<Response, String> {
    let mut keepers = CoordinatorClient::new(
        &config.installation,
        ClientIdentity::Operator,
        config.coordinators.clone(),
        None,
    );
    let answer = keepers.call(&ask, tokio::time::Instant::now() + CALL_TIMEOUT).await;
    answer.map_err(|why| format!("{why}: a majority of the keepers has to be there and reach each other"))
}

/// Who may be out, and the entry of the log as of which that is.
///
/// # Errors
/// Nobody leads.
pub async fn disruption_state(config: &Config) -> Result<(u64, DisruptionState), String> {
    // Nothing is known yet: an account that never changed is an empty one.
    match call_leader(config, Operation::DisruptionState { known_revision: 0 }).await? {
        Response::DisruptionState(revision, account) => {
            Ok((revision, account.map_or_else(DisruptionState::default, |all| *all)))
        }
        other => Err(format!("an answer that was not asked for: {other:?}")),
    }
}

/// Changes the account.
///
/// # Errors
/// Nobody leads, or it is refused.
pub async fn change_disruption_state(
    config: &Config,
    command: DisruptionCommand,
) -> Result<DisruptionOutcome, String> {
    match call_leader(config, Operation::ChangeDisruptionState(command)).await? {
        Response::DisruptionStateChanged(DisruptionOutcome::Rejected(why)) => Err(why.to_string()),
        Response::DisruptionStateChanged(outcome) => Ok(outcome),
        Response::Rejected(reason) => Err(reason.to_string()),
        other => Err(format!("an answer that was not asked for: {other:?}")),
    }
}

/// The account for programs.
pub fn disruption_state_json(state: &DisruptionState) -> serde_json::Value {
    let version = state.budgets_version();
    let budgets = state.budget_usage().into_iter().map(|BudgetUsage { budget, group, totals }| {
        serde_json::json!({
            "budget": budget.name, "place": group, "targets": totals.targets,
            "out_by_plan": totals.planned as f64 / 1e3, "out_otherwise": totals.unplanned as f64 / 1e3,
        })
    });
    let permits = state.permits().iter().map(|(id, permit)| {
        serde_json::json!({
            "permit": id, "target": permit.target.to_string(), "state": permit.state.to_string(),
            "asker": permit.requester, "reason": permit.reason, "done": permit.completed_at.is_some(), "forced": permit.forced,
            "held_by": state.blocking_budget(*id).map(|budget| budget.name.clone()),
        })
    });
    let targets = state.targets().map(|seen| {
        serde_json::json!({
            "target": seen.target.to_string(), "zone": seen.zone, "pool": seen.pool, "number": seen.incarnation,
            "in": match seen.availability {
                Availability::Available => 1.0,
                Availability::Unavailable => 0.0,
                Availability::WarmingUp(part) => f64::from(part) / 1e3,
            },
        })
    });
    serde_json::json!({
        "version": version, "forced": state.forced().count, "budgets": budgets.collect::<Vec<_>>(),
        "permits": permits.collect::<Vec<_>>(), "targets": targets.collect::<Vec<_>>(),
    })
}

/// The account for people.
pub fn disruption_state_text(state: &DisruptionState) -> String {
    let mut text = String::new();
    let (version, budgets) = (state.budgets_version(), state.budgets());
    let _ = writeln!(text, "budgets, version {version}:");
    let part = |thousandths: u64| thousandths as f64 / 1e3;
    for BudgetUsage { budget, group, totals } in state.budget_usage() {
        let group = if group.is_empty() { String::new() } else { format!(" {group}") };
        let (out, unplanned) = (part(totals.planned), part(totals.unplanned));
        let _ = writeln!(
            text,
            "  {}{group}: {out} out by plan, {unplanned} otherwise, of {}{}",
            budget.name,
            totals.targets,
            budget.validate_for(totals.targets).map_or_else(|fault| format!("; {fault}"), |()| String::new())
        );
    }
    if budgets.is_empty() {
        let _ = writeln!(text, "  none: every permit is granted while one other target is in");
    }
    for (id, permit) in state.permits() {
        let held = state
            .blocking_budget(*id)
            .map_or(String::new(), |budget| format!(", held by budget {}", budget.name));
        let done = if permit.completed_at.is_some() { ", done" } else { "" };
        let forced = if permit.forced { ", forced" } else { "" };
        let Permit { target, requester, reason, state, .. } = permit;
        let _ = writeln!(text, "permit {id}: {target}, {state}{done}{forced}{held}; {requester}: {reason}");
    }
    for seen in state.targets().filter(|seen| seen.availability != Availability::Available) {
        let availability = match seen.availability {
            Availability::WarmingUp(part) => format!("warming, {} %", f64::from(part) / 10.0),
            _ => "out".to_owned(),
        };
        let _ = writeln!(text, "{}: {availability}", seen.target);
    }
    let _ = writeln!(text, "forced so far: {}", state.forced().count);
    text
}

/// Ends the running term of a duty; another member gets it.
///
/// # Errors
/// Nobody leads, or the duty has no such term.
pub async fn release_lease(
    config: &Config,
    duty: LeaseId,
    token: Option<FencingToken>,
) -> Result<(), String> {
    let leader = leader_status(config).await?;
    match call(config, leader.replica_id, Operation::ReleaseLease { lease: duty.clone(), token }).await? {
        Response::Done => Ok(()),
        Response::Rejected(reason) => Err(format!("{duty}: {reason}")),
        other => Err(format!("{duty}: not done: {}; ask again", response_text(&other))),
    }
}

/// The figures of a keeper for Prometheus, in its text form.
pub fn metrics_text(status: &ReplicaStatus) -> String {
    let mut text = String::new();
    let mut metric = |name: &str, kind: &str, help: &str, rows: &[(String, u64)]| {
        let _ =
            writeln!(text, "# HELP cairncrank_keeper_{name} {help}\n# TYPE cairncrank_keeper_{name} {kind}");
        for (labels, value) in rows {
            let _ = writeln!(text, "cairncrank_keeper_{name}{labels} {value}");
        }
    };
    let one = |value: u64| vec![(String::new(), value)];
    metric("leads", "gauge", "Whether this keeper leads.", &one(status.is_leader.into()));
    metric("term", "gauge", "The term of Raft.", &one(status.raft_term));
    metric("applied_entries", "counter", "The last entry applied.", &one(status.applied_index));
    metric("elections_total", "counter", "Leaders seen since the start.", &one(status.election_count));
    metric("starts_total", "counter", "How often this disk was started.", &one(status.start_count));
    metric("members", "gauge", "Sessions of members.", &one(status.members.len() as u64));
    let quantiles =
        [("0.5", status.commit_latency.0), ("0.99", status.commit_latency.1), ("1", status.commit_latency.2)];
    let quantiles: Vec<_> = quantiles.map(|(q, us)| (format!("{{quantile=\"{q}\"}}"), us)).into();
    metric(
        "commit_microseconds",
        "gauge",
        "From a proposal to its being applied, since the start.",
        &quantiles,
    );
    let owners = status.leases.iter().map(|duty| {
        let (owner, token) = duty.holder.clone().unwrap_or((String::new(), FencingToken(0)));
        (format!("{{duty={:?},owner={owner:?}}}", duty.lease.to_string()), token.0)
    });
    metric(
        "duty_token",
        "gauge",
        "The token of a duty's running term, 0 without an owner.",
        &owners.collect::<Vec<_>>(),
    );
    text
}
