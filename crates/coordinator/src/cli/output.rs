//! Output of subcommands: text for operators, JSON for programs.

use cluster_member::wire::{CommitLatency, LeaseStatus, MemberStatus, ReplicaStatus};
use coordinator::operator_client::DisruptionSnapshot;
use disruption_budget::{Availability, BudgetUsage, DisruptionState, Permit, PermitId, TargetStatus};
use serde::Serialize;
use serde_json::{json, Value};

/// Weight of one target; weights are counted in thousandths.
const WEIGHT_UNIT: f64 = 1e3;
/// Thousandths in one percent.
const PER_PERCENT: f64 = 10.0;

/// Formats a value as one line of JSON.
pub(super) fn json_line<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default() + "\n"
}

/// Formats the status of one replica, for `status`.
pub(super) fn status_line(replica: u64, status: &ReplicaStatus) -> String {
    let role = if status.is_leader { "leader" } else { "follower" };
    let CommitLatency { p50_us, p99_us, .. } = status.commit_latency;
    format!(
        "replica {replica}: {role}, term {}, applied {} of {}, {} members, commit p50 {p50_us} us p99 \
         {p99_us} us\n",
        status.raft_term,
        status.applied_index,
        status.committed_index,
        status.members.len(),
    )
}

/// Formats one session, for `members`.
pub(super) fn member_line(member: &MemberStatus) -> String {
    let state = match (member.superseded, member.stable) {
        (true, _) => "superseded",
        (false, true) => "stable",
        (false, false) => "new",
    };
    let peer = &member.peer;
    format!(
        "{} incarnation {} session {} at {} {state}\n",
        peer.name, peer.incarnation, member.session.0, peer.address
    )
}

/// Formats one lease, for `duties`.
pub(super) fn lease_line(lease: &LeaseStatus) -> String {
    match &lease.holder {
        Some(holder) => format!("{}: {}, token {}\n", lease.lease, holder.member, holder.token.0),
        None => format!("{}: no holder, minimum token {}\n", lease.lease, lease.minimum_token.0),
    }
}

/// Formats the disruption state as JSON. The keys are a stable format.
pub(super) fn disruption_state_json(snapshot: &DisruptionSnapshot) -> String {
    let state = &snapshot.state;
    let version = state.budgets_version();
    let budgets: Vec<Value> = state.budget_usage().into_iter().map(|usage| budget_json(&usage)).collect();
    let permits: Vec<Value> =
        state.permits().iter().map(|(id, permit)| permit_json(state, *id, permit)).collect();
    let targets: Vec<Value> = state.targets().map(|target| target_json(&target)).collect();
    let disruption_state = json!({
        "version": version,
        "forced": state.forced().count,
        "budgets": budgets,
        "permits": permits,
        "targets": targets,
    });
    json!({"revision": snapshot.revision, "account": disruption_state}).to_string() + "\n"
}

fn budget_json(usage: &BudgetUsage<'_>) -> Value {
    json!({
        "budget": usage.budget.name,
        "place": usage.group,
        "targets": usage.totals.targets,
        "out_by_plan": usage.totals.planned as f64 / WEIGHT_UNIT,
        "out_otherwise": usage.totals.unplanned as f64 / WEIGHT_UNIT,
    })
}

fn permit_json(state: &DisruptionState, id: PermitId, permit: &Permit) -> Value {
    json!({
        "permit": id,
        "target": permit.target.to_string(),
        "state": permit.state.to_string(),
        "asker": permit.requester,
        "reason": permit.reason,
        "done": permit.completed_at.is_some(),
        "forced": permit.forced,
        "held_by": state.blocking_budget(id).map(|budget| budget.name.clone()),
    })
}

fn target_json(target: &TargetStatus) -> Value {
    let available = match target.availability {
        Availability::Available => 1.0,
        Availability::Unavailable => 0.0,
        Availability::WarmingUp(part) => f64::from(part) / WEIGHT_UNIT,
    };
    json!({
        "target": target.target.to_string(),
        "zone": target.zone,
        "pool": target.pool,
        "number": target.incarnation,
        "in": available,
    })
}

/// Formats the disruption state as text.
pub(super) fn disruption_state_text(state: &DisruptionState) -> String {
    let mut text = String::new();
    text += &format!("budgets, version {}:\n", state.budgets_version());
    for usage in state.budget_usage() {
        text += &budget_line(&usage);
    }
    if state.budgets().is_empty() {
        text += "  none: every permit is granted while another target is available\n";
    }
    for (id, permit) in state.permits() {
        text += &permit_line(state, *id, permit);
    }
    for target in state.targets() {
        text += &target_line(&target);
    }
    text += &format!("forced permits: {}\n", state.forced().count);
    text
}

fn budget_line(usage: &BudgetUsage<'_>) -> String {
    let BudgetUsage { budget, group, totals } = usage;
    let group = if group.is_empty() { String::new() } else { format!(" {group}") };
    let by_plan = totals.planned as f64 / WEIGHT_UNIT;
    let unplanned = totals.unplanned as f64 / WEIGHT_UNIT;
    let fault =
        budget.validate_for(totals.targets).map_or_else(|fault| format!("; {fault}"), |()| String::new());
    format!(
        "  {}{group}: {by_plan} unavailable by plan, {unplanned} otherwise, of {}{fault}\n",
        budget.name, totals.targets
    )
}

fn permit_line(state: &DisruptionState, id: PermitId, permit: &Permit) -> String {
    let blocking_budget =
        state.blocking_budget(id).map(|budget| format!(", blocked by budget {}", budget.name));
    format!(
        "permit {id}: {}, {}{}{}{}; {}: {}\n",
        permit.target,
        permit.state,
        if permit.completed_at.is_some() { ", done" } else { "" },
        if permit.forced { ", forced" } else { "" },
        blocking_budget.unwrap_or_default(),
        permit.requester,
        permit.reason
    )
}

/// Formats a target that is not available; returns an empty text for an available one.
fn target_line(target: &TargetStatus) -> String {
    match target.availability {
        Availability::Available => String::new(),
        Availability::Unavailable => format!("{}: unavailable\n", target.target),
        Availability::WarmingUp(part) => {
            format!("{}: warming up, {} %\n", target.target, f64::from(part) / PER_PERCENT)
        }
    }
}
