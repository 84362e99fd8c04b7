//! The rules of a schedule, checked on what was observed and recorded.

use std::collections::BTreeMap;

use super::{Observations, ScheduleResult, DECISION_TIMEOUT, LOSS_KNOWN_AFTER, MOST, RULES, ZONES};
use crate::cluster::record_checker::{self, RecordLine, Records};

/// From when to when dispatchers were in standby by permit, by their records: until they were active, or killed.
pub(super) fn planned_standbys(records: &Records, observations: &Observations) -> Vec<(usize, u64, u64)> {
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

pub(super) fn evaluate(
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
