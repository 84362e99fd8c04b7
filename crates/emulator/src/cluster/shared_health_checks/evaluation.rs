//! Checks the rules of shared health checks on the harness's observations and the processes' records.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dispatch_core::api::Idempotency;
use dispatch_core::hashing::worker_id;

use super::{
    class_of, CountedSpan, Fault, HealthCheckRule, InjectedFault, JobOutcome, Observations, Plan,
    ProbeArrival, ScheduleResult, ARRIVAL_JITTER_US, DRAIN_GRACE, JOB_TIMEOUT, RESPONSE_SLACK, ZONES,
};
use crate::checker::{Location, ObservedAttempt, RuleChecker, RuleLimits};
use crate::cluster::record_checker::{self, RecordLine, Records};
use crate::cluster::violations::Violations;
use crate::cluster::worker_model::WorkerModel;

/// Time after an outage in which a dispatcher need not respond yet, in microseconds.
const RESTART_TIME_US: u64 = 1_500_000;
/// Time after another fault in which a new hang need not be detected everywhere, in microseconds.
const FAULT_AFTERMATH_US: u64 = 8_000_000;
/// Shortest hang that must be detected everywhere, in probe periods: enough for two failed probes with a lease takeover
/// between them.
const MIN_DETECTED_HANG_PERIODS: u64 = 4;
/// Longest time for which an unhealthy verdict may outlast a hang, in probe periods.
const VERDICT_VALIDITY_PERIODS: u64 = 6;

type HealthCheckViolations = Violations<HealthCheckRule>;

/// Returns a duration in microseconds.
fn micros(duration: Duration) -> u64 {
    duration.as_micros() as u64
}

impl InjectedFault {
    /// Whether the fault overlaps the time span from `from` to `until`.
    fn overlaps(&self, from: u64, until: u64) -> bool {
        self.overlaps_with_aftermath(0, from, until)
    }

    /// Whether the fault, extended by `aftermath`, overlaps the time span from `from` to `until`.
    fn overlaps_with_aftermath(&self, aftermath: u64, from: u64, until: u64) -> bool {
        self.began_at <= until && from <= self.ended_at + aftermath
    }
}

/// Checks all rules and collects the figures of a schedule.
pub(super) fn evaluate(
    plan: &Plan,
    observations: &Observations,
    records: &Records,
    faults: &[InjectedFault],
    span: CountedSpan,
) -> ScheduleResult {
    let mut result =
        ScheduleResult { lease_terms: record_checker::lease_terms(records), ..Default::default() };
    let mut violations = HealthCheckViolations::default();
    for fault in faults {
        *result.faults.entry(fault.fault.name()).or_default() += 1;
    }
    if plan.share_health_checks {
        check_probe_rate(plan, observations, faults, &mut result, &mut violations);
        check_probe_gaps(plan, observations, faults, span, &mut result, &mut violations);
        check_verdicts(plan, records, faults, &mut result, &mut violations);
    }
    check_drains(observations, faults, &mut violations);
    check_slow_start(observations, &mut result, &mut violations);
    check_idempotency(observations, &mut violations);
    check_responses(observations, faults, &mut result, &mut violations);
    result.jobs_at_hung = jobs_at_hung_workers(observations, faults);
    for description in record_checker::check(records).descriptions() {
        violations.add(HealthCheckRule::Leases, description);
    }
    result.rules = violations.by_text();
    result
}

/// Checks [`HealthCheckRule::JobAnsweredInTime`] and counts the responses.
fn check_responses(
    observations: &Observations,
    faults: &[InjectedFault],
    result: &mut ScheduleResult,
    violations: &mut HealthCheckViolations,
) {
    for outcome in &observations.outcomes {
        result.jobs += 1;
        let is_excused = faults.iter().any(|fault| excuses_outcome(fault, outcome));
        let counted_status = if is_excused && outcome.status == 0 { 1 } else { outcome.status };
        *result.responses.entry(counted_status).or_default() += 1;
        let duration = outcome.answered_at - outcome.submitted_at;
        if !is_excused && (outcome.status == 0 || duration > micros(JOB_TIMEOUT + RESPONSE_SLACK)) {
            let description =
                format!("dispatcher {}: status {} after {duration} us", outcome.dispatcher, outcome.status);
            violations.add(HealthCheckRule::JobAnsweredInTime, description);
        }
    }
}

/// Whether a fault excuses a missing or late response: the dispatcher was not running, or had just started.
fn excuses_outcome(fault: &InjectedFault, outcome: &JobOutcome) -> bool {
    let is_outage = match fault.fault {
        Fault::KillDispatcher | Fault::PauseDispatcher | Fault::TerminateDispatcher => {
            fault.target == outcome.dispatcher
        }
        Fault::RollingRestart => true,
        _ => false,
    };
    is_outage && fault.overlaps_with_aftermath(RESTART_TIME_US, outcome.submitted_at, outcome.answered_at)
}

/// Returns the number of jobs that reached workers while these hung.
fn jobs_at_hung_workers(observations: &Observations, faults: &[InjectedFault]) -> u64 {
    let hangs = faults.iter().filter(|fault| fault.fault == Fault::HangWorker);
    let jobs_at = |hang: &InjectedFault| {
        let span = hang.began_at..hang.ended_at;
        observations.jobs[hang.target].iter().filter(|job| span.contains(&job.time)).count() as u64
    };
    hangs.map(jobs_at).sum()
}

/// Checks [`HealthCheckRule::ProbeRate`].
fn check_probe_rate(
    plan: &Plan,
    observations: &Observations,
    faults: &[InjectedFault],
    result: &mut ScheduleResult,
    violations: &mut HealthCheckViolations,
) {
    let period = micros(plan.probe_period);
    let mut shortest = u64::MAX;
    for (worker, probes) in observations.probes.iter().enumerate() {
        result.probes += probes.len() as u64;
        for pair in probes.windows(2) {
            let [first, second] = [pair[0], pair[1]];
            if faults.iter().any(|fault| delays_probe(fault, first, second, period)) {
                continue;
            }
            let gap = second.time - first.time;
            shortest = shortest.min(gap);
            if gap + ARRIVAL_JITTER_US < period {
                let description = format!(
                    "worker {worker}: probes of dispatchers {} and {} {gap} us apart",
                    first.dispatcher, second.dispatcher
                );
                violations.add(HealthCheckRule::ProbeRate, description);
            }
        }
    }
    result.min_probe_gap_ms = shortest as f64 / 1e3;
}

/// Whether a fault may have delayed the arrival of one of two probes: data waits in a partitioned link until the
/// partition ends, and in the sockets of a paused process.
fn delays_probe(fault: &InjectedFault, first: ProbeArrival, second: ProbeArrival, period: u64) -> bool {
    matches!(fault.fault, Fault::PartitionZone | Fault::PauseDispatcher)
        && (first.dispatcher == fault.target || second.dispatcher == fault.target)
        && fault.overlaps_with_aftermath(period, first.time, second.time)
}

/// Checks [`HealthCheckRule::NoProbeGap`].
fn check_probe_gaps(
    plan: &Plan,
    observations: &Observations,
    faults: &[InjectedFault],
    span: CountedSpan,
    result: &mut ScheduleResult,
    violations: &mut HealthCheckViolations,
) {
    let CountedSpan { from, until } = span;
    let mut longest = 0;
    for (worker, probes) in observations.probes.iter().enumerate() {
        let counted = probes.iter().map(|probe| probe.time).filter(|time| (from..until).contains(time));
        let times: Vec<u64> = [from].into_iter().chain(counted).chain([until]).collect();
        for pair in times.windows(2) {
            let [start, end] = [pair[0], pair[1]];
            if faults.iter().any(|fault| prevents_probes(fault, worker) && fault.overlaps(start, end)) {
                continue;
            }
            let gap = end - start;
            longest = longest.max(gap);
            if gap > micros(plan.max_unprobed) {
                let description = format!("worker {worker}: unprobed for {gap} us");
                violations.add(HealthCheckRule::NoProbeGap, description);
            }
        }
    }
    result.probes_per_s = result.probes as f64 / ((until - from) as f64 / 1e6 + 5.0);
    result.max_probe_gap_ms = longest as f64 / 1e3;
}

/// Whether there may be no dispatcher that can probe a worker during a fault.
fn prevents_probes(fault: &InjectedFault, worker: usize) -> bool {
    match fault.fault {
        // The lease holder of the worker's set may be the partitioned dispatcher.
        Fault::PartitionZone => fault.zone == worker % ZONES.len(),
        Fault::DrainWorker => fault.target == worker,
        // No lease is granted until the coordinators are running again and new sessions are open.
        Fault::KillAllCoordinators | Fault::RollingRestart => true,
        _ => false,
    }
}

/// Checks [`HealthCheckRule::NoJobAtDrainingWorker`].
pub(super) fn check_drains(
    observations: &Observations,
    faults: &[InjectedFault],
    violations: &mut HealthCheckViolations,
) {
    let grace = micros(DRAIN_GRACE) + ARRIVAL_JITTER_US;
    for drain in faults.iter().filter(|fault| fault.fault == Fault::DrainWorker) {
        let forbidden = drain.began_at + grace..drain.ended_at;
        for job in observations.jobs[drain.target].iter().filter(|job| forbidden.contains(&job.time)) {
            // A late arrival is no violation if the dispatcher was paused and could not be notified of the drain, or if
            // the job was sent before the notification and waited in a partitioned link.
            let is_excused = faults.iter().any(|fault| {
                matches!(fault.fault, Fault::PauseDispatcher | Fault::PartitionZone)
                    && fault.target == job.dispatcher
                    && fault.overlaps_with_aftermath(grace, drain.began_at, job.time)
            });
            if !is_excused {
                let description = format!(
                    "worker {}: a job of dispatcher {} arrived {} us after the drain began",
                    drain.target,
                    job.dispatcher,
                    job.time - drain.began_at
                );
                violations.add(HealthCheckRule::NoJobAtDrainingWorker, description);
            }
        }
    }
}

/// Checks [`HealthCheckRule::NoOverloadInSlowStart`].
pub(super) fn check_slow_start(
    observations: &Observations,
    result: &mut ScheduleResult,
    violations: &mut HealthCheckViolations,
) {
    let processes = observations.workers.iter().chain(&observations.replaced_workers);
    for (number, worker) in processes.enumerate() {
        if worker.started_at().is_none() {
            continue;
        }
        let arrivals = worker.arrivals();
        result.jobs_at_cold += arrivals.len() as u64;
        for last in 0..arrivals.len() {
            let load = WorkerModel::arrivals_in_window(&arrivals[..=last])
                / worker.capacity_in_window(arrivals[last]);
            result.peak_cold_load = result.peak_cold_load.max(load);
        }
        if worker.overloads() > 0 {
            let description = format!("worker {number} was overloaded {} times", worker.overloads());
            violations.add(HealthCheckRule::NoOverloadInSlowStart, description);
        }
    }
}

/// An arrival of a job at a worker, or its response, in the order in which the rule checker expects them.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct JobEvent {
    time: u64,
    job: u64,
    /// Worker of an arrival; `None` for an outcome.
    worker: Option<usize>,
    /// Status of a response; 0 if there was none, and for an arrival.
    status: u16,
}

/// Checks [`HealthCheckRule::NoRepeatedExecution`] with the rule checker that virtual time uses too. A request that a
/// worker has read completely counts as possibly executed.
pub(super) fn check_idempotency(observations: &Observations, violations: &mut HealthCheckViolations) {
    let mut checker = RuleChecker::new(RuleLimits { drain_grace: u64::MAX, response_slack: u64::MAX / 2 });
    for outcome in &observations.outcomes {
        let is_idempotent = class_of(outcome.job).is_idempotent;
        let idempotency = if is_idempotent { Idempotency::Idempotent } else { Idempotency::NotIdempotent };
        checker.record_accepted(outcome.job, idempotency, u64::MAX / 2, outcome.submitted_at);
    }
    for event in job_events(observations) {
        match event.worker {
            Some(worker) => {
                checker.record_attempt(ObservedAttempt {
                    incarnation: 0,
                    request: event.job,
                    worker: worker as u64,
                    location: Location { zone: 0, rack: 0 },
                    sent_at: event.time,
                });
            }
            None if event.status != 0 => {
                let is_rejected = matches!(event.status, 429 | 503);
                checker.record_response(event.job, is_rejected, event.time);
            }
            None => checker.waive_response(event.job),
        }
    }
    let repeated = checker.finish().repeated;
    if repeated > 0 {
        let description = format!("{repeated} repeated sends, or rejections after a send");
        violations.add(HealthCheckRule::NoRepeatedExecution, description);
    }
}

/// Returns the arrivals and responses of all jobs, ordered by time.
fn job_events(observations: &Observations) -> Vec<JobEvent> {
    let mut events = Vec::new();
    for (worker, jobs) in observations.jobs.iter().enumerate() {
        let arrivals = jobs.iter().map(|arrival| JobEvent {
            time: arrival.time,
            job: arrival.job,
            worker: Some(worker),
            status: 0,
        });
        events.extend(arrivals);
    }
    let responses = observations.outcomes.iter().map(|outcome| JobEvent {
        time: outcome.answered_at,
        job: outcome.job,
        worker: None,
        status: outcome.status,
    });
    events.extend(responses);
    events.sort_unstable();
    events
}

/// An unhealthy verdict that a member recorded.
struct RecordedVerdict {
    time: u64,
    worker: usize,
}

/// Returns the unhealthy verdict that a line of a record holds, if its validity is not zero.
fn recorded_verdict(line: &RecordLine, workers: &BTreeMap<u64, usize>) -> Option<RecordedVerdict> {
    if line.kind != "against" {
        return None;
    }
    let number = |key: &str| line.fields.get(key).and_then(serde_json::Value::as_u64);
    let worker = number("worker")?;
    let valid_for = number("holds")?;
    let worker = workers.get(&worker).copied()?;
    (valid_for > 0).then_some(RecordedVerdict { time: line.time, worker })
}

/// Checks [`HealthCheckRule::NoFalseVerdict`] and [`HealthCheckRule::FailureDetectedEverywhere`].
fn check_verdicts(
    plan: &Plan,
    records: &Records,
    faults: &[InjectedFault],
    result: &mut ScheduleResult,
    violations: &mut HealthCheckViolations,
) {
    let worker_of_id = |worker: usize| (worker_id(&format!("w-{worker:04}")).0, worker);
    let workers: BTreeMap<u64, usize> = (0..plan.workers).map(worker_of_id).collect();
    let hangs: Vec<&InjectedFault> = faults.iter().filter(|fault| fault.fault == Fault::HangWorker).collect();
    let validity = VERDICT_VALIDITY_PERIODS * micros(plan.probe_period);
    let mut detected_by: BTreeSet<(usize, &str)> = BTreeSet::new();
    for (member, lines) in &records.members {
        for verdict in lines.iter().filter_map(|line| recorded_verdict(line, &workers)) {
            let is_cause = |hang: &InjectedFault| {
                hang.target == verdict.worker
                    && (hang.began_at..hang.ended_at + validity).contains(&verdict.time)
            };
            let Some(number) = hangs.iter().position(|hang| is_cause(hang)) else {
                let description = format!(
                    "{member} has an unhealthy verdict on worker {}, which is healthy",
                    verdict.worker
                );
                violations.add(HealthCheckRule::NoFalseVerdict, description);
                continue;
            };
            if detected_by.insert((number, member)) {
                result.detected_after_ms.push((verdict.time - hangs[number].began_at) as f64 / 1e3);
            }
        }
    }
    result.detected_after_ms.sort_by(f64::total_cmp);
    for (number, hang) in hangs.iter().enumerate() {
        let is_detected = |member: &str| detected_by.contains(&(number, member));
        check_hang_is_detected(plan, hang, faults, is_detected, violations);
    }
}

/// Checks that every dispatcher detected a hang, unless the hang was too short or another fault excuses it.
fn check_hang_is_detected(
    plan: &Plan,
    hang: &InjectedFault,
    faults: &[InjectedFault],
    is_detected: impl Fn(&str) -> bool,
    violations: &mut HealthCheckViolations,
) {
    if hang.ended_at - hang.began_at < MIN_DETECTED_HANG_PERIODS * micros(plan.probe_period) {
        return;
    }
    let is_excused = faults.iter().any(|fault| {
        fault.fault != Fault::HangWorker
            && fault.overlaps(hang.began_at.saturating_sub(FAULT_AFTERMATH_US), hang.ended_at)
    });
    let names = (0..plan.dispatchers).map(|dispatcher| format!("d{dispatcher}"));
    let missing: Vec<String> = names.filter(|name| !is_detected(name) && !is_excused).collect();
    if !missing.is_empty() {
        let description =
            format!("worker {} hung, which was not detected by {}", hang.target, missing.join(", "));
        violations.add(HealthCheckRule::FailureDetectedEverywhere, description);
    }
}
