//! Health checks over several lease holders: how often a worker is probed, and which reports count against it.

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

/// What one lease holder did in its term.
struct Term {
    /// When each worker was probed.
    probes: BTreeMap<u64, Vec<Micros>>,
    last_report: Option<HealthReport>,
}

/// Plays one term of this length, in steps of 10 ms; each probe is sent some time after it was due.
fn play_term(start: Micros, length: Micros, zone: &str, healthy: impl Fn(u64) -> bool) -> Term {
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

/// The last report of a term of three seconds.
fn last_report(zone: &str, healthy: impl Fn(u64) -> bool) -> HealthReport {
    play_term(0, 3 * SECOND, zone, healthy).last_report.unwrap()
}

#[test]
fn a_worker_is_probed_at_most_once_an_interval_over_all_lease_holders() {
    let mut all: BTreeMap<u64, Vec<Micros>> = BTreeMap::new();
    // A holder that is replaced the moment it has probed, again and again, and one that stays.
    for (start, length) in [(0, 1_300_000), (1_300_000, 1_010_000), (2_310_000, 5 * SECOND)] {
        for (worker, at) in play_term(start, length, "north", |_| true).probes {
            all.entry(worker).or_default().extend(at);
        }
    }
    for (worker, at) in all {
        assert!(at.windows(2).all(|pair| pair[1] - pair[0] >= SECOND), "worker {worker}: {at:?}");
        assert!(at.len() >= 5, "worker {worker} was probed {} times", at.len());
        let longest = at.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(0);
        assert!(longest < 2 * SECOND + SECOND / 2, "worker {worker} waited {longest}");
    }
}

#[test]
fn a_worker_that_returns_to_the_list_waits_for_an_interval() {
    let mut scheduler = HealthCheckScheduler::new(CONFIG, "north");
    scheduler.update_workers(0, workers());
    assert!(scheduler.due_probes(999_999).is_empty());
    assert_eq!(scheduler.due_probes(2 * SECOND).len(), 6);
    assert!(scheduler.due_probes(9 * SECOND).is_empty(), "they are in flight");
    scheduler.update_workers(3 * SECOND, std::iter::empty());
    scheduler.update_workers(3 * SECOND, workers());
    assert!(scheduler.due_probes(3_900_000).is_empty());
}

#[test]
fn two_failures_give_a_verdict_and_one_healthy_probe_withdraws_it() {
    let report = last_report("north", |worker| worker != 3);
    assert_eq!(report.failing.iter().map(|failing| failing.worker).collect::<Vec<_>>(), [3]);
    assert_eq!(HealthReport::decode(&report.encode()), Some(report.clone()));
    let mut reports = HealthReports::new(CONFIG);
    reports.record(0, FencingToken(7), report.clone(), 10 * SECOND);
    let verdict = reports.verdicts(10 * SECOND)[&3];
    assert!(verdict.last_failure <= 10 * SECOND && verdict.expires_at > 13 * SECOND);
    assert!(reports.verdicts(verdict.expires_at).is_empty(), "it expires");
    let healthy = HealthReport { failing: Vec::new(), ..report };
    reports.record(0, FencingToken(7), healthy, 10 * SECOND + 1);
    assert!(reports.verdicts(10 * SECOND + 2).is_empty());
}

#[test]
fn a_delayed_report_is_as_old_as_its_delay() {
    let report = last_report("north", |worker| worker != 3);
    let mut reports = HealthReports::new(CONFIG);
    reports.record(0, FencingToken(7), report.clone(), 10 * SECOND);
    let later = HealthReport { sent_at: report.sent_at + SECOND, ..report };
    reports.record(0, FencingToken(7), later, 14 * SECOND);
    // Three of these four seconds it was on its way.
    assert!(reports.verdicts(14 * SECOND)[&3].last_failure <= 11 * SECOND);
    assert!(reports.verdicts(15 * SECOND).is_empty());
}

/// What happened: of more than 256 terms the one with the lowest token was forgotten, also where it was the very term
/// whose report had come. A report that was three seconds on its way then counted as fresh, and kept a verdict alive.
#[test]
fn a_delayed_report_is_as_old_as_its_delay_however_many_terms_other_sets_have_had() {
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

/// A new term's clock is another process's: nothing of the term before is compared with it.
#[test]
fn a_new_term_of_a_set_is_measured_by_its_own_reports() {
    let report = last_report("north", |worker| worker != 3);
    let mut reports = HealthReports::new(CONFIG);
    reports.record(0, FencingToken(7), report.clone(), 10 * SECOND);
    // By the clock of the next holder an hour less has passed.
    reports.record(0, FencingToken(8), report, 3_610 * SECOND);
    assert!(reports.verdicts(3_610 * SECOND).contains_key(&3));
}

#[test]
fn an_observer_cut_off_from_a_zone_gives_no_verdict_there() {
    let now = 10 * SECOND;
    // Cut off from the north; sees the rest.
    let cut_off = last_report("south", |worker| worker >= 2);
    let sees_all = last_report("west", |_| true);
    let agrees = last_report("west", |worker| worker >= 2);
    let same_zone = last_report("south", |worker| worker >= 2);
    let unhealthy_with = |other: &HealthReport| {
        let mut reports = HealthReports::new(CONFIG);
        reports.record(0, FencingToken(1), cut_off.clone(), now);
        reports.record(1, FencingToken(2), other.clone(), now);
        reports.verdicts(now).into_keys().collect::<Vec<u64>>()
    };
    assert!(unhealthy_with(&sees_all).is_empty(), "another observer sees the north healthy");
    assert!(unhealthy_with(&same_zone).is_empty(), "one of the same zone proves nothing");
    assert_eq!(unhealthy_with(&agrees), [0, 1], "observers of two zones do not reach the north");
    let config = HealthCheckConfig { injected_bug: Some(InjectedBug::TrustEveryReport), ..CONFIG };
    let mut trusting = HealthReports::new(config);
    trusting.record(0, FencingToken(1), cut_off, now);
    assert_eq!(trusting.verdicts(now).len(), 2, "without the check it would");
}

/// Found by processes (seed 2): when a cut had healed, the first worker seen healthy made the rest of its zone look as if
/// they alone failed, until they were probed again.
#[test]
fn workers_that_failed_during_a_cut_get_no_verdict_when_it_heals() {
    let mut scheduler = HealthCheckScheduler::new(CONFIG, "south");
    let mut zones = ZoneLiveness::default();
    let mut reports = HealthReports::new(CONFIG);
    scheduler.update_workers(0, workers());
    for now in (0..12 * SECOND).step_by(10_000) {
        for worker in scheduler.due_probes(now) {
            scheduler.probe_sent(worker, now);
            // The north is out of reach for a while.
            let reached = worker > 1 || !(3 * SECOND..7_100_000).contains(&now);
            scheduler.probe_finished(worker, Some(reached), now, &mut zones);
        }
        if let Some(report) = scheduler.next_report(now, &zones) {
            reports.record(0, FencingToken(1), report, now);
        }
        assert!(reports.verdicts(now).is_empty(), "at {now}");
    }
}

#[test]
fn an_observer_that_sees_no_healthy_worker_gives_no_verdict_even_where_others_agree() {
    let blind = last_report("south", |_| false);
    let other = last_report("west", |worker| worker >= 2);
    let mut reports = HealthReports::new(CONFIG);
    reports.record(0, FencingToken(1), blind, 10 * SECOND);
    reports.record(1, FencingToken(2), other, 10 * SECOND);
    assert!(reports.verdicts(10 * SECOND).is_empty());
    assert_eq!(reports.observed_sets(10 * SECOND).len(), 2);
    assert!(reports.observed_sets(15 * SECOND).is_empty());
}

#[test]
fn workers_are_spread_over_the_sets_and_leases_name_their_set() {
    let config = HealthCheckConfig { set_count: 8, ..CONFIG };
    let mut counts = [0u32; 8];
    (0..4_000u64).for_each(|worker| counts[usize::from(config.set_of_worker(worker * 7 + 1, 0))] += 1);
    assert!(counts.iter().all(|count| (400..600).contains(count)), "{counts:?}");
    // Found by processes (seed 208 with 8 dispatchers): a worker that was alone of its zone in its set.
    for zone_count in [2, 3, 8, 20] {
        let config = HealthCheckConfig { zone_count, ..config };
        let sets_of = |zone: u16| (0..9u64).map(move |n| config.set_of_worker(n * 7 + 1, u32::from(zone)));
        let sets: Vec<BTreeSet<u16>> = (0..zone_count).map(|zone| sets_of(zone).collect()).collect();
        let most = usize::from((8 / zone_count).max(1));
        assert!(sets.iter().all(|sets| sets.len() <= most), "{zone_count}: {sets:?}");
        let all: BTreeSet<u16> = sets.iter().flatten().copied().collect();
        assert!(all.len() >= usize::from(zone_count.min(8)), "{zone_count}: {sets:?}");
    }
    assert_eq!(config.leases().len(), 8);
    assert!(config.leases().iter().all(|lease| config.set_of_lease(lease).is_some()));
    assert!(CONFIG.leases().iter().all(|lease| config.set_of_lease(lease).is_none()));
}
