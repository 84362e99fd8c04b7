//! The rules of a schedule, checked on what was observed and recorded.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dispatch_core::hashing::worker_id;

use super::{
    Fault, InjectedFault, Observations, Plan, ScheduleResult, ANSWER_SLACK, ARRIVAL_JITTER, CLASSES,
    DEADLINE, DRAIN_GRACE, RULES, ZONES,
};
use crate::checker::{RuleChecker, RuleLimits};
use crate::cluster::record_checker::{self, Records};
use crate::cluster::worker_model::WorkerModel;

pub(super) fn overlaps(done: &InjectedFault, from: u64, until: u64) -> bool {
    done.began_at <= until && from <= done.ended_at
}

pub(super) fn evaluate(
    plan: &Plan,
    observations: &Observations,
    records: &Records,
    done: &[InjectedFault],
    (begun, until): (u64, u64),
) -> ScheduleResult {
    let mut played = ScheduleResult::default();
    let mut found: BTreeMap<&str, Vec<String>> = BTreeMap::new();
    let micros = |time: Duration| time.as_micros() as u64;
    for fault in done {
        let name = serde_json::to_value(fault.fault).ok();
        let name = name.as_ref().and_then(|name| name.as_str()).unwrap_or_default().to_owned();
        *played.faults.entry(name).or_default() += 1;
    }
    if plan.share_health_checks {
        check_probes(plan, observations, done, (begun, until), &mut played, &mut found);
        check_verdicts(plan, records, done, &mut played, &mut found);
    }
    check_drains(observations, done, &mut found);
    check_cold_workers(observations, &mut played, &mut found);
    check_idempotency(observations, &mut found);
    for (dispatcher, from, at, status, _) in &observations.answers {
        played.jobs += 1;
        // A dispatcher that was not running or stopped owes nothing; one that begins takes a moment.
        let hurt = done.iter().any(|done| {
            (matches!(
                done.fault,
                Fault::KillDispatcher | Fault::PauseDispatcher | Fault::TerminateDispatcher
            ) && done.target == *dispatcher
                || done.fault == Fault::RollingRestart)
                && overlaps(
                    &InjectedFault { ended_at: done.ended_at + 1_500_000, ..done.clone() },
                    *from,
                    *at,
                )
        });
        *played.answers.entry(if hurt && *status == 0 { 1 } else { *status }).or_default() += 1;
        let took = at - from;
        if !hurt && (*status == 0 || took > micros(DEADLINE + ANSWER_SLACK)) {
            let text = format!("d{dispatcher}: status {status} after {took} us");
            found.entry(RULES[4]).or_default().push(text);
        }
    }
    for fault in done.iter().filter(|done| done.fault == Fault::HangWorker) {
        let late = observations.jobs[fault.target]
            .iter()
            .filter(|job| (fault.began_at..fault.ended_at).contains(&job.0));
        played.jobs_at_hung += late.count() as u64;
    }
    for (rule, texts) in record_checker::check(records) {
        found.entry(RULES[5]).or_default().extend(texts.iter().map(|text| format!("{rule}: {text}")));
    }
    played.lease_terms = record_checker::lease_terms(records);
    played.rules = found.into_iter().map(|(rule, texts)| (rule.to_owned(), texts)).collect();
    played
}

/// Rules 1 and 2.
pub(super) fn check_probes(
    plan: &Plan,
    observations: &Observations,
    done: &[InjectedFault],
    (begun, until): (u64, u64),
    played: &mut ScheduleResult,
    found: &mut BTreeMap<&str, Vec<String>>,
) {
    let (period, longest) = (plan.probe_period.as_micros() as u64, plan.max_unprobed.as_micros() as u64);
    let (mut closest, mut widest) = (u64::MAX, 0);
    for (worker, at) in observations.probes.iter().enumerate() {
        played.probes += at.len() as u64;
        for pair in at.windows(2) {
            let apart = pair[1].0 - pair[0].0;
            // What waited in a cut link arrives when that is healed, and what a stopped process had written when it
            // goes on; neither was written then.
            let held = done.iter().any(|done| {
                matches!(done.fault, Fault::PartitionZone | Fault::PauseDispatcher)
                    && (pair[0].1 == done.target || pair[1].1 == done.target)
                    && overlaps(
                        &InjectedFault { ended_at: done.ended_at + period, ..done.clone() },
                        pair[0].0,
                        pair[1].0,
                    )
            });
            if held {
                continue;
            }
            closest = closest.min(apart);
            if apart + ARRIVAL_JITTER < period {
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
                    Fault::PartitionZone => done.zone == worker % ZONES.len(),
                    // It is not there for a while.
                    Fault::DrainWorker => done.target == worker,
                    // Nobody can be given a lease until the coordinators are back, and then sessions begin anew.
                    Fault::KillAllCoordinators | Fault::RollingRestart => true,
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
    (played.min_probe_gap_ms, played.max_probe_gap_ms) = (closest as f64 / 1e3, widest as f64 / 1e3);
}

/// Rule 7.
pub(super) fn check_drains(
    observations: &Observations,
    done: &[InjectedFault],
    found: &mut BTreeMap<&str, Vec<String>>,
) {
    let grace = DRAIN_GRACE.as_micros() as u64 + ARRIVAL_JITTER;
    for drain in done.iter().filter(|done| done.fault == Fault::DrainWorker) {
        let late = observations.jobs[drain.target]
            .iter()
            .filter(|job| (drain.began_at + grace..drain.ended_at).contains(&job.0));
        for (at, dispatcher, _) in late {
            // One that was stopped had not heard of it, and what waits in a cut link was written before.
            let held = done.iter().any(|done| {
                matches!(done.fault, Fault::PauseDispatcher | Fault::PartitionZone)
                    && done.target == *dispatcher
                    && overlaps(
                        &InjectedFault { ended_at: done.ended_at + grace, ..done.clone() },
                        drain.began_at,
                        *at,
                    )
            });
            if !held {
                let text = format!(
                    "worker {}: a job of d{dispatcher} {} us after",
                    drain.target,
                    at - drain.began_at
                );
                found.entry(RULES[6]).or_default().push(text);
            }
        }
    }
}

/// Rule 8.
pub(super) fn check_cold_workers(
    observations: &Observations,
    played: &mut ScheduleResult,
    found: &mut BTreeMap<&str, Vec<String>>,
) {
    for (at, worker) in observations.workers.iter().chain(&observations.replaced_workers).enumerate() {
        if worker.started_at().is_none() {
            continue;
        }
        let sent = worker.arrivals();
        played.jobs_at_cold += sent.len() as u64;
        for n in 0..sent.len() {
            played.peak_cold_load = played
                .peak_cold_load
                .max(WorkerModel::arrivals_in_window(&sent[..=n]) / worker.capacity_in_window(sent[n]));
        }
        if worker.overloads() > 0 {
            let text = format!("worker {at} fell {} times", worker.overloads());
            found.entry(RULES[7]).or_default().push(text);
        }
    }
}

/// Rule 9, by the checker that the runs of experiments have. What a worker heard whole may have run.
pub(super) fn check_idempotency(observations: &Observations, found: &mut BTreeMap<&str, Vec<String>>) {
    let jobs = observations.jobs.iter().enumerate();
    let mut events: Vec<(u64, u64, Option<usize>, u16)> = jobs
        .flat_map(|(worker, jobs)| jobs.iter().map(move |(at, _, id)| (*at, *id, Some(worker), 0)))
        .chain(observations.answers.iter().map(|(_, _, at, status, id)| (*at, *id, None, *status)))
        .collect();
    events.sort_unstable();
    let mut checker = RuleChecker::new(RuleLimits { drain_grace: u64::MAX, answer_slack: u64::MAX / 2 });
    for (_, from, _, _, id) in &observations.answers {
        let repeat = CLASSES[*id as usize % CLASSES.len()].1;
        checker.record_accepted(*id, repeat, u64::MAX / 2, *from);
    }
    for (at, id, worker, status) in events {
        match worker {
            Some(worker) => {
                checker.record_attempt(0, id, worker as u64, (0, 0), at);
            }
            None if status != 0 => checker.record_answer(id, matches!(status, 429 | 503), at),
            None => checker.waive_answer(id),
        }
    }
    let dup = checker.finish().dup;
    if dup > 0 {
        found.entry(RULES[8]).or_default().push(format!("{dup} sends or refusals"));
    }
}

/// Rules 3 and 4.
pub(super) fn check_verdicts(
    plan: &Plan,
    records: &Records,
    done: &[InjectedFault],
    played: &mut ScheduleResult,
    found: &mut BTreeMap<&str, Vec<String>>,
) {
    let names: BTreeMap<u64, usize> =
        (0..plan.workers).map(|worker| (worker_id(&format!("w-{worker:04}")).0, worker)).collect();
    let hangs: Vec<&InjectedFault> = done.iter().filter(|done| done.fault == Fault::HangWorker).collect();
    let mut known: BTreeSet<(usize, &str)> = BTreeSet::new();
    for (member, lines) in &records.members {
        for line in lines.iter().filter(|line| line.kind == "against") {
            let number = |key: &str| line.fields.get(key).and_then(serde_json::Value::as_u64);
            let (Some(id), Some(holds)) = (number("worker"), number("holds")) else { continue };
            let Some(worker) = names.get(&id).copied().filter(|_| holds > 0) else { continue };
            // What it did may be told for as long as word of it holds.
            let longest = 6 * plan.probe_period.as_micros() as u64;
            let hang = hangs.iter().enumerate().find(|(_, hang)| {
                hang.target == worker && (hang.began_at..hang.ended_at + longest).contains(&line.time)
            });
            match hang {
                Some((n, hang)) => {
                    if known.insert((n, member)) {
                        played.detected_after_ms.push((line.time - hang.began_at) as f64 / 1e3);
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
        if hang.ended_at - hang.began_at < 4 * plan.probe_period.as_micros() as u64 {
            continue;
        }
        let missing = (0..plan.dispatchers).map(|n| format!("d{n}")).filter(|member| {
            !known.contains(&(n, member.as_str()))
                && !done.iter().any(|done| {
                    done.fault != Fault::HangWorker
                        && overlaps(done, hang.began_at.saturating_sub(8_000_000), hang.ended_at)
                })
        });
        let missing: Vec<String> = missing.collect();
        if !missing.is_empty() {
            let text = format!("worker {} hung and {} did not hear of it", hang.target, missing.join(", "));
            found.entry(RULES[3]).or_default().push(text);
        }
    }
    played.detected_after_ms.sort_by(f64::total_cmp);
}
