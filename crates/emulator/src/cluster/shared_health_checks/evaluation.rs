//! Rules of a schedule of shared health checks, checked on what was observed and recorded.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dispatch_core::api::Idempotency;
use dispatch_core::hashing::worker_id;

use super::{
    class_of, CountedSpan, Fault, HealthCheckRule, InjectedFault, JobAnswer, Observations, Plan,
    ProbeArrival, ScheduleResult, ANSWER_SLACK, ARRIVAL_JITTER, DRAIN_GRACE, JOB_TIMEOUT, ZONES,
};
use crate::checker::{Location, ObservedAttempt, RuleChecker, RuleLimits};
use crate::cluster::record_checker::{self, RecordLine, Records};
use crate::cluster::violations::Violations;
use crate::cluster::worker_model::WorkerModel;

/// Time after an outage in which a dispatcher need not answer yet, in microseconds.
const RESTART_TIME: u64 = 1_500_000;
/// Time before a hang within which another fault excuses that it is not known everywhere, in microseconds.
const FAULT_AFTERMATH: u64 = 8_000_000;
/// Shortest hang that has to be known everywhere, in probe periods: two failed probes and a takeover between them.
const MIN_KNOWN_HANG_PERIODS: u64 = 4;
/// Time for which a verdict may outlast a hang, in probe periods.
const VERDICT_VALIDITY_PERIODS: u64 = 6;

type HealthCheckViolations = Violations<HealthCheckRule>;

fn micros(duration: Duration) -> u64 {
    duration.as_micros() as u64
}

impl InjectedFault {
    /// Whether the fault lasted at some time from `from` to `until`.
    fn overlaps(&self, from: u64, until: u64) -> bool {
        self.overlaps_with_aftermath(0, from, until)
    }

    /// Whether the fault, taken to last longer by `aftermath`, lasted at some time from `from` to `until`.
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
    check_answers(observations, faults, &mut result, &mut violations);
    result.jobs_at_hung = jobs_at_hung_workers(observations, faults);
    for description in record_checker::check(records).descriptions() {
        violations.add(HealthCheckRule::Leases, description);
    }
    result.rules = violations.by_text();
    result
}

/// Checks that every job got its answer in time.
fn check_answers(
    observations: &Observations,
    faults: &[InjectedFault],
    result: &mut ScheduleResult,
    violations: &mut HealthCheckViolations,
) {
    for answer in &observations.answers {
        result.jobs += 1;
        let is_excused = faults.iter().any(|fault| excuses_answer(fault, answer));
        let counted_status = if is_excused && answer.status == 0 { 1 } else { answer.status };
        *result.answers.entry(counted_status).or_default() += 1;
        let duration = answer.answered_at - answer.submitted_at;
        if !is_excused && (answer.status == 0 || duration > micros(JOB_TIMEOUT + ANSWER_SLACK)) {
            let description =
                format!("dispatcher {}: status {} after {duration} us", answer.dispatcher, answer.status);
            violations.add(HealthCheckRule::JobAnsweredInTime, description);
        }
    }
}

/// Whether the dispatcher of a job did not run meanwhile, or had just started.
fn excuses_answer(fault: &InjectedFault, answer: &JobAnswer) -> bool {
    let is_outage = match fault.fault {
        Fault::KillDispatcher | Fault::PauseDispatcher | Fault::TerminateDispatcher => {
            fault.target == answer.dispatcher
        }
        Fault::RollingRestart => true,
        _ => false,
    };
    is_outage && fault.overlaps_with_aftermath(RESTART_TIME, answer.submitted_at, answer.answered_at)
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
            if gap + ARRIVAL_JITTER < period {
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

/// Whether one of two probes may have arrived long after it was written: bytes wait in a partitioned link until it heals, and
/// in the socket of a process that is stopped.
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

/// Whether nobody may be able to probe a worker during a fault.
fn prevents_probes(fault: &InjectedFault, worker: usize) -> bool {
    match fault.fault {
        // The holder of its set may be the one that is partitioned.
        Fault::PartitionZone => fault.zone == worker % ZONES.len(),
        Fault::DrainWorker => fault.target == worker,
        // No lease is granted until the coordinators are back and sessions have begun anew.
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
    let grace = micros(DRAIN_GRACE) + ARRIVAL_JITTER;
    for drain in faults.iter().filter(|fault| fault.fault == Fault::DrainWorker) {
        let forbidden = drain.began_at + grace..drain.ended_at;
        for job in observations.jobs[drain.target].iter().filter(|job| forbidden.contains(&job.time)) {
            // A stopped dispatcher was not notified, and what waits in a partitioned link was written before.
            let is_excused = faults.iter().any(|fault| {
                matches!(fault.fault, Fault::PauseDispatcher | Fault::PartitionZone)
                    && fault.target == job.dispatcher
                    && fault.overlaps_with_aftermath(grace, drain.began_at, job.time)
            });
            if !is_excused {
                let description = format!(
                    "worker {}: a job of dispatcher {} {} us after its drain",
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

/// An arrival or an answer of a job, in the order in which the rule checker takes them.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct JobEvent {
    time: u64,
    job: u64,
    /// The worker of an arrival; none for an answer.
    worker: Option<usize>,
    /// Status of an answer; 0 without one, and for an arrival.
    status: u16,
}

/// Checks [`HealthCheckRule::NoRepeatedExecution`] by the rule checker of virtual time. A request that a worker has read
/// completely may have run.
pub(super) fn check_idempotency(observations: &Observations, violations: &mut HealthCheckViolations) {
    let mut checker = RuleChecker::new(RuleLimits { drain_grace: u64::MAX, response_slack: u64::MAX / 2 });
    for answer in &observations.answers {
        let is_idempotent = class_of(answer.job).is_idempotent;
        let idempotency = if is_idempotent { Idempotency::Idempotent } else { Idempotency::NotIdempotent };
        checker.record_accepted(answer.job, idempotency, u64::MAX / 2, answer.submitted_at);
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

/// Returns the arrivals and answers of all jobs in the order of time.
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
    let answers = observations.answers.iter().map(|answer| JobEvent {
        time: answer.answered_at,
        job: answer.job,
        worker: None,
        status: answer.status,
    });
    events.extend(answers);
    events.sort_unstable();
    events
}

/// An unhealthy verdict that a member recorded.
struct RecordedVerdict {
    time: u64,
    worker: usize,
}

/// Returns the verdict of a line of a record, if it is one that holds some time.
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

/// Checks [`HealthCheckRule::NoFalseVerdict`] and [`HealthCheckRule::FailureKnownEverywhere`].
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
    let mut known_at: BTreeSet<(usize, &str)> = BTreeSet::new();
    for (member, lines) in &records.members {
        for verdict in lines.iter().filter_map(|line| recorded_verdict(line, &workers)) {
            let is_cause = |hang: &InjectedFault| {
                hang.target == verdict.worker
                    && (hang.began_at..hang.ended_at + validity).contains(&verdict.time)
            };
            let Some(number) = hangs.iter().position(|hang| is_cause(hang)) else {
                let description =
                    format!("{member} has a verdict against worker {}, which is healthy", verdict.worker);
                violations.add(HealthCheckRule::NoFalseVerdict, description);
                continue;
            };
            if known_at.insert((number, member)) {
                result.detected_after_ms.push((verdict.time - hangs[number].began_at) as f64 / 1e3);
            }
        }
    }
    result.detected_after_ms.sort_by(f64::total_cmp);
    for (number, hang) in hangs.iter().enumerate() {
        let is_known = |member: &str| known_at.contains(&(number, member));
        check_hang_is_known(plan, hang, faults, is_known, violations);
    }
}

/// Checks that a hang that lasted long enough is known at every dispatcher, where no other fault excuses it.
fn check_hang_is_known(
    plan: &Plan,
    hang: &InjectedFault,
    faults: &[InjectedFault],
    is_known: impl Fn(&str) -> bool,
    violations: &mut HealthCheckViolations,
) {
    if hang.ended_at - hang.began_at < MIN_KNOWN_HANG_PERIODS * micros(plan.probe_period) {
        return;
    }
    let is_excused = faults.iter().any(|fault| {
        fault.fault != Fault::HangWorker
            && fault.overlaps(hang.began_at.saturating_sub(FAULT_AFTERMATH), hang.ended_at)
    });
    let names = (0..plan.dispatchers).map(|dispatcher| format!("d{dispatcher}"));
    let missing: Vec<String> = names.filter(|name| !is_known(name) && !is_excused).collect();
    if !missing.is_empty() {
        let description =
            format!("worker {} hung, which is not known at {}", hang.target, missing.join(", "));
        violations.add(HealthCheckRule::FailureKnownEverywhere, description);
    }
}
