//! Health checks by several lease holders: the rate of probes per worker, and the verdicts that reports lead to.

use std::collections::{BTreeMap, BTreeSet};

use cluster_member::health_check::{
    HealthCheckConfig, HealthCheckScheduler, HealthReport, HealthReports, InjectedBug, ZoneLiveness,
};
use coordination::{FencingToken, Micros};

const SECOND: Micros = 1_000_000;
const CONFIG: HealthCheckConfig = HealthCheckConfig {
    set_count: 2,
    zone_count: 1,
    probe_interval: SECOND,
    failure_threshold: 2,
    report_ttl: 4 * SECOND,
    injected_bug: None,
};

/// Workers 0 to 5, two in each of three zones.
fn workers() -> impl Iterator<Item = (u64, &'static str)> {
    (0..6).map(|worker| (worker, ["north", "south", "west"][worker as usize / 2]))
}

/// Probes and reports of one lease holder in its term.
struct Term {
    /// Times of the probes of each worker.
    probes: BTreeMap<u64, Vec<Micros>>,
    last_report: Option<HealthReport>,
}

/// Simulates a term of this length in steps of 10 ms. Each probe is sent a few milliseconds after it is due.
fn simulate_term(start: Micros, length: Micros, zone: &str, healthy: impl Fn(u64) -> bool) -> Term {
    let mut scheduler = HealthCheckScheduler::new(CONFIG, zone);
    let mut term = Term { probes: BTreeMap::new(), last_report: None };
    let mut zones = ZoneLiveness::default();
    scheduler.update_workers(start, workers());
    for now in (start..start + length).step_by(10_000) {
        for worker in scheduler.due_probes(now) {
            let sent_at = now + 3_000 * worker;
            scheduler.probe_sent(worker, sent_at);
            term.probes.entry(worker).or_default().push(sent_at);
            scheduler.probe_finished(worker, Some(healthy(worker)), now + 20_000, &mut zones);
        }
        term.last_report = scheduler.next_report(now, &zones).or(term.last_report);
    }
    term
}

/// Returns the last report of a term of three seconds.
fn last_report(zone: &str, healthy: impl Fn(u64) -> bool) -> HealthReport {
    simulate_term(0, 3 * SECOND, zone, healthy).last_report.unwrap()
}

#[test]
fn a_worker_is_probed_at_most_once_per_interval_by_all_lease_holders() {
    let mut probes: BTreeMap<u64, Vec<Micros>> = BTreeMap::new();
    // Two lease holders that are replaced immediately after they have sent probes, and a third one that stays.
    for (start, length) in [(0, 1_300_000), (1_300_000, 1_010_000), (2_310_000, 5 * SECOND)] {
        for (worker, at) in simulate_term(start, length, "north", |_| true).probes {
            probes.entry(worker).or_default().extend(at);
        }
    }
    for (worker, at) in probes {
        assert!(at.windows(2).all(|pair| pair[1] - pair[0] >= SECOND), "worker {worker}: {at:?}");
        assert!(at.len() >= 5, "worker {worker} was probed {} times", at.len());
        let longest_gap = at.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(0);
        assert!(longest_gap < 2 * SECOND + SECOND / 2, "worker {worker} was not probed for {longest_gap} us");
    }
}

#[test]
fn a_worker_that_is_added_again_is_probed_after_one_interval() {
    let mut scheduler = HealthCheckScheduler::new(CONFIG, "north");
    scheduler.update_workers(0, workers());
    assert!(scheduler.due_probes(999_999).is_empty());
    assert_eq!(scheduler.due_probes(2 * SECOND).len(), 6);
    assert!(scheduler.due_probes(9 * SECOND).is_empty(), "all probes are in flight");
    scheduler.update_workers(3 * SECOND, std::iter::empty());
    scheduler.update_workers(3 * SECOND, workers());
    assert!(scheduler.due_probes(3_900_000).is_empty());
}

#[test]
fn two_failures_give_a_verdict_that_ends_with_a_healthy_probe() {
    let report = last_report("north", |worker| worker != 3);
    assert_eq!(report.failing.iter().map(|failing| failing.worker).collect::<Vec<_>>(), [3]);
    assert_eq!(HealthReport::decode(&report.encode()), Some(report.clone()));
    let mut reports = HealthReports::new(CONFIG);
    reports.record(0, FencingToken(7), report.clone(), 10 * SECOND);
    let verdict = reports.verdicts(10 * SECOND)[&3];
    assert!(verdict.last_failure <= 10 * SECOND && verdict.expires_at > 13 * SECOND);
    assert!(reports.verdicts(verdict.expires_at).is_empty(), "the verdict expires");
    let healthy = HealthReport { failing: Vec::new(), ..report };
    reports.record(0, FencingToken(7), healthy, 10 * SECOND + 1);
    assert!(reports.verdicts(10 * SECOND + 2).is_empty());
}

#[test]
fn the_delay_of_a_report_counts_toward_its_age() {
    let report = last_report("north", |worker| worker != 3);
    let mut reports = HealthReports::new(CONFIG);
    reports.record(0, FencingToken(7), report.clone(), 10 * SECOND);
    let later = HealthReport { sent_at: report.sent_at + SECOND, ..report };
    reports.record(0, FencingToken(7), later, 14 * SECOND);
    // The report was sent one second after the first one and received four seconds after it: its delay is three
    // seconds.
    assert!(reports.verdicts(14 * SECOND)[&3].last_failure <= 11 * SECOND);
    assert!(reports.verdicts(15 * SECOND).is_empty());
}

/// Guards against lost clock offsets: with more than 256 terms, the offset of the term with the lowest token was
/// dropped, even when a report of that very term had just arrived. A report with a delay of three seconds then counted
/// as fresh and prolonged a verdict.
#[test]
fn the_delay_counts_however_many_terms_other_sets_have_had() {
    let report = last_report("north", |worker| worker != 3);
    let mut reports = HealthReports::new(HealthCheckConfig { set_count: 400, ..CONFIG });
    reports.record(0, FencingToken(7), report.clone(), 10 * SECOND);
    for set in 1..400 {
        let healthy = HealthReport { failing: Vec::new(), ..report.clone() };
        reports.record(set, FencingToken(7 + u64::from(set)), healthy, 10 * SECOND);
    }
    let later = HealthReport { sent_at: report.sent_at + SECOND, ..report };
    reports.record(0, FencingToken(7), later, 14 * SECOND);
    assert!(reports.verdicts(14 * SECOND)[&3].last_failure <= 11 * SECOND);
    assert!(reports.verdicts(15 * SECOND).is_empty());
}

/// The clock of a new term is that of another process, so its reports are not compared with those of the previous term.
#[test]
fn the_age_of_a_report_is_measured_within_its_term() {
    let report = last_report("north", |worker| worker != 3);
    let mut reports = HealthReports::new(CONFIG);
    reports.record(0, FencingToken(7), report.clone(), 10 * SECOND);
    // An hour later a new lease holder sends a report with the same time, because its clock is an hour behind.
    reports.record(0, FencingToken(8), report, 3_610 * SECOND);
    assert!(reports.verdicts(3_610 * SECOND).contains_key(&3));
}

#[test]
fn an_observer_partitioned_from_a_zone_gives_no_verdict_there() {
    let now = 10 * SECOND;
    // This observer cannot reach the zone "north" but sees the other zones.
    let partitioned = last_report("south", |worker| worker >= 2);
    let sees_all = last_report("west", |_| true);
    let confirms = last_report("west", |worker| worker >= 2);
    let same_zone = last_report("south", |worker| worker >= 2);
    let unhealthy_with = |other: &HealthReport| {
        let mut reports = HealthReports::new(CONFIG);
        reports.record(0, FencingToken(1), partitioned.clone(), now);
        reports.record(1, FencingToken(2), other.clone(), now);
        reports.verdicts(now).into_keys().collect::<Vec<u64>>()
    };
    assert!(unhealthy_with(&sees_all).is_empty(), "another observer sees the zone healthy");
    assert!(unhealthy_with(&same_zone).is_empty(), "an observer in the same zone is no confirmation");
    assert_eq!(unhealthy_with(&confirms), [0, 1], "observers in two zones find the zone unreachable");
    let config = HealthCheckConfig { injected_bug: Some(InjectedBug::TrustEveryReport), ..CONFIG };
    let mut with_bug = HealthReports::new(config);
    with_bug.record(0, FencingToken(1), partitioned, now);
    assert_eq!(with_bug.verdicts(now).len(), 2, "the injected bug gives verdicts");
}

/// Guards against a fault found by an experiment with processes (seed 2): after a partition had healed, the first
/// worker that was seen healthy counted as evidence that the other workers of its zone had failed on their own, until
/// they were probed again.
#[test]
fn failures_during_a_partition_give_no_verdict_after_it_heals() {
    let mut scheduler = HealthCheckScheduler::new(CONFIG, "south");
    let mut zones = ZoneLiveness::default();
    let mut reports = HealthReports::new(CONFIG);
    scheduler.update_workers(0, workers());
    for now in (0..12 * SECOND).step_by(10_000) {
        for worker in scheduler.due_probes(now) {
            scheduler.probe_sent(worker, now);
            // The zone "north" is unreachable for 4.1 s.
            let healthy = worker > 1 || !(3 * SECOND..7_100_000).contains(&now);
            scheduler.probe_finished(worker, Some(healthy), now, &mut zones);
        }
        if let Some(report) = scheduler.next_report(now, &zones) {
            reports.record(0, FencingToken(1), report, now);
        }
        assert!(reports.verdicts(now).is_empty(), "a worker is considered unhealthy at {now} us");
    }
}

#[test]
fn an_observer_that_sees_no_healthy_worker_gives_no_verdict_even_if_another_confirms() {
    let sees_none = last_report("south", |_| false);
    let other = last_report("west", |worker| worker >= 2);
    let mut reports = HealthReports::new(CONFIG);
    reports.record(0, FencingToken(1), sees_none, 10 * SECOND);
    reports.record(1, FencingToken(2), other, 10 * SECOND);
    assert!(reports.verdicts(10 * SECOND).is_empty());
    assert_eq!(reports.observed_sets(10 * SECOND).len(), 2);
    assert!(reports.observed_sets(15 * SECOND).is_empty());
}

#[test]
fn workers_are_spread_over_the_sets_and_leases_identify_their_set() {
    let config = HealthCheckConfig { set_count: 8, ..CONFIG };
    let mut counts = [0u32; 8];
    (0..4_000u64).for_each(|worker| counts[usize::from(config.set_of_worker(worker * 7 + 1, 0))] += 1);
    assert!(counts.iter().all(|count| (400..600).contains(count)), "{counts:?}");
    // Guards against a fault found by an experiment with processes (seed 208, 8 dispatchers): a worker was the only one
    // of its zone in its set, so that its observer could not distinguish its failure from an unreachable zone.
    for zone_count in [2, 3, 8, 20] {
        let config = HealthCheckConfig { zone_count, ..config };
        let sets_of = |zone: u16| (0..9u64).map(move |n| config.set_of_worker(n * 7 + 1, u32::from(zone)));
        let sets: Vec<BTreeSet<u16>> = (0..zone_count).map(|zone| sets_of(zone).collect()).collect();
        let max_sets = usize::from((8 / zone_count).max(1));
        assert!(sets.iter().all(|sets| sets.len() <= max_sets), "{zone_count}: {sets:?}");
        let used_sets: BTreeSet<u16> = sets.iter().flatten().copied().collect();
        assert!(used_sets.len() >= usize::from(zone_count.min(8)), "{zone_count}: {sets:?}");
    }
    assert_eq!(config.leases().len(), 8);
    assert!(config.leases().iter().all(|lease| config.set_of_lease(lease).is_some()));
    assert!(CONFIG.leases().iter().all(|lease| config.set_of_lease(lease).is_none()));
}
