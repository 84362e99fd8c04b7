//! Checks the rules of planned drains on the harness's observations and the processes' records.

use std::collections::BTreeMap;

use super::{
    DrainRule, Observations, Outage, ScheduleResult, StandbyCall, UnavailableCounts, BUDGET,
    LOSS_DETECTION_TIME_US, MAX_CALL_TIME_US, ZONES,
};
use crate::cluster::record_checker::{self, RecordLine, Records};
use crate::cluster::violations::Violations;

/// Time after an outage in which a dispatcher need not respond yet, in microseconds.
const RESTART_TIME_US: u64 = 2_000_000;

/// Figures and violations of a schedule.
pub(super) struct Evaluation {
    /// Figures of the schedule; its field `rules` is empty.
    pub result: ScheduleResult,
    pub violations: Violations<DrainRule>,
}

/// Standby of a dispatcher under a permit. Times are by the records' clock, in microseconds.
#[derive(Debug, Clone, Copy)]
struct PlannedStandby {
    dispatcher: usize,
    from: u64,
    until: u64,
}

impl PlannedStandby {
    fn lasts_at(&self, time: u64) -> bool {
        (self.from..self.until).contains(&time)
    }
}

/// Checks all rules except [`DrainRule::EveryDispatcherDrained`], which is checked at the end of a schedule.
pub(super) fn evaluate(records: &Records, observations: &Observations) -> Evaluation {
    let standbys = planned_standbys(records, observations);
    let mut evaluation = Evaluation {
        result: ScheduleResult {
            budget: BUDGET,
            drains: standbys.len() as u64,
            lease_terms: record_checker::lease_terms(records),
            ..ScheduleResult::default()
        },
        violations: Violations::default(),
    };
    evaluation.check_budgets(&standbys);
    evaluation.check_permits(records, observations, &standbys);
    evaluation.check_calls(observations);
    evaluation.check_leases(records);
    evaluation
}

/// Returns the standbys under a permit from the dispatchers' records. Each ends when the dispatcher becomes active,
/// starts again or is killed.
fn planned_standbys(records: &Records, observations: &Observations) -> Vec<PlannedStandby> {
    let mut standbys = Vec::new();
    for (name, lines) in &records.members {
        let Some(dispatcher) = name.strip_prefix('d').and_then(|number| number.parse::<usize>().ok()) else {
            continue;
        };
        let mut began: Option<u64> = None;
        let mut end = |from: Option<u64>, recorded_end: u64| {
            if let Some(from) = from {
                let until = end_of_standby(observations, dispatcher, from, recorded_end);
                standbys.push(PlannedStandby { dispatcher, from, until });
            }
        };
        for line in lines {
            match line.kind.as_str() {
                "standby" if has_permit(line) => began = Some(line.time),
                "active" | "started" => end(began.take(), line.time),
                _ => {}
            }
        }
        end(began, u64::MAX);
    }
    standbys
}

fn has_permit(line: &RecordLine) -> bool {
    line.fields.get("permit").is_some_and(|permit| !permit.is_null())
}

/// Returns the end of a standby. A dispatcher that is killed during it stays unavailable, but no longer under its
/// permit.
fn end_of_standby(observations: &Observations, dispatcher: usize, from: u64, recorded_end: u64) -> u64 {
    let kills = observations.killed.iter().filter(|kill| kill.dispatcher == dispatcher && kill.from > from);
    kills.map(|kill| kill.from).fold(recorded_end, u64::min)
}

/// Permits granted by one log entry.
#[derive(Debug, Clone, Copy)]
struct GrantedPermits {
    /// Time at which the first replica recorded the entry.
    time: u64,
    count: usize,
}

/// Returns the grants of permits in the order of their log entries.
fn granted_permits(records: &Records) -> Vec<GrantedPermits> {
    let mut by_entry: BTreeMap<u64, GrantedPermits> = BTreeMap::new();
    for line in records.coordinators.values().flatten().filter(|line| line.kind == "applied") {
        let Some(index) = line.fields.get("index").and_then(serde_json::Value::as_u64) else { continue };
        let Some(permits) = line.fields.get("permits").and_then(|permits| permits.as_array()) else {
            continue;
        };
        let new = GrantedPermits { time: line.time, count: permits.len() };
        let earliest = by_entry.entry(index).or_insert(new);
        earliest.time = earliest.time.min(line.time);
    }
    by_entry.into_values().collect()
}

impl Evaluation {
    fn check_budgets(&mut self, standbys: &[PlannedStandby]) {
        for standby in standbys {
            let simultaneous: Vec<&PlannedStandby> =
                standbys.iter().filter(|other| other.lasts_at(standby.from)).collect();
            let zone = standby.dispatcher % ZONES.len();
            let in_zone = simultaneous.iter().filter(|other| other.dispatcher % ZONES.len() == zone).count();
            let unavailable = UnavailableCounts { fleet: simultaneous.len(), zone: in_zone };
            let max = &mut self.result.max_planned_unavailable;
            max.fleet = max.fleet.max(unavailable.fleet);
            max.zone = max.zone.max(unavailable.zone);
            if unavailable.fleet > BUDGET.fleet || unavailable.zone > BUDGET.zone {
                let names: Vec<String> =
                    simultaneous.iter().map(|other| format!("d{}", other.dispatcher)).collect();
                let description = format!("{} in standby at {}", names.join(", "), standby.from);
                self.violations.add(DrainRule::WithinBudgets, description);
            }
        }
    }

    fn check_permits(&mut self, records: &Records, observations: &Observations, standbys: &[PlannedStandby]) {
        for granted in granted_permits(records) {
            let is_detected = |kill: &&Outage| {
                kill.from + LOSS_DETECTION_TIME_US < granted.time && granted.time < kill.until
            };
            let lost: Vec<usize> =
                observations.killed.iter().filter(is_detected).map(|kill| kill.dispatcher).collect();
            let planned = standbys
                .iter()
                .filter(|standby| standby.lasts_at(granted.time) && !lost.contains(&standby.dispatcher));
            let unavailable = lost.len() + planned.count() + granted.count;
            if unavailable > BUDGET.fleet {
                let description = format!(
                    "{} permits granted at {} while dispatchers {lost:?} were lost, {unavailable} unavailable",
                    granted.count, granted.time
                );
                self.violations.add(DrainRule::NoPermitBesideLosses, description);
            }
        }
    }

    fn check_calls(&mut self, observations: &Observations) {
        for call in &observations.calls {
            *self.result.calls.entry(call.status).or_default() += 1;
            if is_excused(observations, call) {
                continue;
            }
            let duration = call.ended_at - call.started_at;
            self.result.longest_call_ms = self.result.longest_call_ms.max(duration as f64 / 1e3);
            if call.status == 0 || duration > MAX_CALL_TIME_US {
                let description = format!(
                    "dispatcher {}: status {} after {duration} us at {}",
                    call.dispatcher, call.status, call.started_at
                );
                self.violations.add(DrainRule::CallAnsweredInTime, description);
            }
        }
    }

    fn check_leases(&mut self, records: &Records) {
        for description in record_checker::check(records).descriptions() {
            self.violations.add(DrainRule::Leases, description);
        }
    }
}

/// Whether a call need not be answered: its dispatcher was not running or had just restarted, or the schedule ended
/// before the call did.
fn is_excused(observations: &Observations, call: &StandbyCall) -> bool {
    let overlaps = |outage: &Outage| {
        outage.dispatcher == call.dispatcher
            && outage.from <= call.ended_at
            && call.started_at <= outage.until.saturating_add(RESTART_TIME_US)
    };
    let had_outage = observations.killed.iter().chain(&observations.paused).any(overlaps);
    had_outage || observations.ended_at.is_some_and(|end| call.ended_at >= end)
}
