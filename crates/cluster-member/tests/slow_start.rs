//! Quotas of workers in slow start, with lost, delayed and repeated messages and with changes of the lease holder.

use std::collections::BTreeMap;

use cluster_member::slow_start::{
    EndpointAges, Grant, GrantFilter, QuotaAllocator, QuotaConfig, QuotaGrants, SlowStartProfile,
    UsableQuota, UsageReport,
};
use coordination::{FencingToken, Micros};

const SECOND: Micros = 1_000_000;
const CONFIG: QuotaConfig = QuotaConfig {
    smallest_worker_slots: 8.0,
    grantable_fraction: 0.5,
    grant_ttl: SECOND / 2,
    delivery_timeout: SECOND / 4,
    skew_ppm: 1_000,
};
const PROFILE: SlowStartProfile = SlowStartProfile {
    initial_capacity_fraction: 0.14,
    ramp_duration: 24 * SECOND,
    overload_factor: 3.0,
    overload_window: 1_500_000,
};
const PROCESSES: usize = 5;

/// Returns a source of random numbers from 0 to 1.
fn draws() -> impl FnMut() -> f64 {
    let mut random = fastrand::Rng::with_seed(3);
    move || random.f64()
}

/// Message of the lease holder that is in flight to a process.
struct InFlight {
    arrives_at: Micros,
    process: usize,
    token: FencingToken,
    sequence: u64,
    grants: QuotaGrants,
}

/// Work that reached the worker.
struct Delivery {
    at: Micros,
    work: f64,
}

/// Whether processes keep track of the messages that they accepted.
#[derive(Clone, Copy, PartialEq)]
enum Receivers {
    /// Processes keep track of accepted messages, as in production.
    RememberAccepted,
    /// Processes do not keep track of accepted messages, so a message that arrives twice counts twice.
    ForgetAccepted,
}

/// Simulates a lease holder and members that use each grant immediately or at the last moment, with messages that are
/// lost, delayed or repeated. Returns the work that reached the worker, ordered by time.
fn simulate(length: Micros, new_holders_at: &[Micros], receivers: Receivers) -> Vec<Delivery> {
    let mut random = fastrand::Rng::with_seed(11);
    let mut ages = EndpointAges::default();
    let mut filters: Vec<GrantFilter> =
        (0..PROCESSES as u64).map(|process| GrantFilter::new(process, &CONFIG)).collect();
    let mut allocator = QuotaAllocator::new(CONFIG, PROFILE, 0);
    let (mut token, mut sequence) = (1, 0);
    let mut in_flight: Vec<InFlight> = Vec::new();
    let mut deliveries = Vec::new();
    for now in (0..length).step_by(50_000) {
        ages.update(now, [(1, 7)].into_iter());
        if new_holders_at.contains(&now) {
            // Messages of the previous lease holder that are still in flight are dropped, because receivers reject its
            // token from now on.
            (token, sequence) = (token + 1, 0);
            in_flight.retain(|message| message.token == FencingToken(token));
            allocator = QuotaAllocator::new(CONFIG, PROFILE, now);
        }
        for process_id in 0..PROCESSES as u64 {
            if random.f64() < 0.8 {
                let clock_reading = now.saturating_sub(random.u64(0..100_000));
                let usage =
                    UsageReport { process_id, clock_reading, jobs_per_second: 10.0, typical_work: 0.1 };
                allocator.record_usage(usage, now);
            }
        }
        sequence += 1;
        let grants = allocator.allocate(now, &ages, || random.f64());
        for process in 0..PROCESSES {
            for _ in 0..random.usize(0..3) {
                let arrives_at = now + random.u64(0..400_000);
                let token = FencingToken(token);
                in_flight.push(InFlight { arrives_at, process, token, sequence, grants: grants.clone() });
            }
        }
        in_flight.sort_by_key(|message| (message.arrives_at, message.sequence));
        while in_flight.first().is_some_and(|message| message.arrives_at <= now) {
            let message = in_flight.remove(0);
            if receivers == Receivers::ForgetAccepted {
                filters[message.process] = GrantFilter::new(message.process as u64, &CONFIG);
            }
            let filter = &mut filters[message.process];
            for usable in filter.accept(message.token, message.sequence, &message.grants, now) {
                let used_at = if random.bool() { now } else { usable.expires_at };
                let at = used_at + random.u64(0..CONFIG.delivery_timeout);
                deliveries.push(Delivery { at, work: usable.work });
            }
        }
    }
    deliveries.sort_by_key(|delivery| delivery.at);
    deliveries
}

/// Returns the largest amount of work in any window, as a fraction of the work that the worker tolerated at the time of
/// the last delivery in the window.
fn fullest_window(deliveries: &[Delivery]) -> f64 {
    let fraction = |(first, start): (usize, &Delivery)| {
        let end = start.at + PROFILE.overload_window;
        let window = deliveries[first..].iter().take_while(|delivery| delivery.at < end);
        let (last, work) =
            window.fold((start.at, 0.0), |(_, sum), delivery| (delivery.at, sum + delivery.work));
        work / CONFIG.tolerated_work(&PROFILE, last)
    };
    deliveries.iter().enumerate().map(fraction).fold(0.0, f64::max)
}

#[test]
fn no_window_exceeds_the_grantable_fraction_despite_message_faults() {
    let new_holders_at = [4 * SECOND, 4_500_000, 11 * SECOND];
    let deliveries = simulate(20 * SECOND, &new_holders_at, Receivers::RememberAccepted);
    assert!(deliveries.len() > 20, "{} grants were used", deliveries.len());
    let max_fraction = fullest_window(&deliveries);
    assert!(
        max_fraction <= CONFIG.grantable_fraction && max_fraction > 0.3 * CONFIG.grantable_fraction,
        "{max_fraction}"
    );
}

#[test]
fn a_message_that_counts_twice_exceeds_the_grantable_fraction() {
    let max_fraction = fullest_window(&simulate(20 * SECOND, &[], Receivers::ForgetAccepted));
    assert!(max_fraction > CONFIG.grantable_fraction, "{max_fraction}");
}

#[test]
fn a_new_holder_grants_nothing_until_earlier_grants_have_expired() {
    let mut ages = EndpointAges::default();
    ages.update(0, [(1, 7)].into_iter());
    let mut allocator = QuotaAllocator::new(CONFIG, PROFILE, 0);
    let usage =
        |now| UsageReport { process_id: 1, clock_reading: now, jobs_per_second: 5.0, typical_work: 0.1 };
    allocator.record_usage(usage(2_200_000), 2_200_000);
    assert!(allocator.allocate(2_200_000, &ages, draws()).0.is_empty());
    allocator.record_usage(usage(2_300_000), 2_300_000);
    assert!(!allocator.allocate(2_300_000, &ages, draws()).0.is_empty());
    assert!(allocator.allocate(2_300_000, &ages, draws()).0.is_empty(), "the whole quota is granted");
}

#[test]
fn grants_follow_usage_and_members_with_stale_usage_get_none() {
    let mut ages = EndpointAges::default();
    ages.update(0, (0..40).map(|worker| (worker, 0)));
    let mut allocator = QuotaAllocator::new(CONFIG, PROFILE, 0);
    let now = 3 * SECOND;
    for (process_id, jobs_per_second) in [(1, 90.0), (2, 10.0), (3, 0.0)] {
        let usage = UsageReport { process_id, clock_reading: now, jobs_per_second, typical_work: 0.05 };
        allocator.record_usage(usage, now);
    }
    let stale_usage =
        UsageReport { process_id: 4, clock_reading: 0, jobs_per_second: 500.0, typical_work: 0.05 };
    allocator.record_usage(stale_usage, 2 * SECOND);
    let grants = allocator.allocate(now, &ages, draws()).0;
    let count = |process_id| grants.iter().filter(|grant| grant.process_id == process_id).count();
    assert!(
        count(1) > 5 * count(2) && count(2) > count(3) && count(3) > 0,
        "number of grants for processes 1, 2 and 3: {}, {}, {}",
        count(1),
        count(2),
        count(3)
    );
    assert_eq!(count(4), 0, "the usage report of process 4 is stale");
}

#[test]
fn the_age_of_a_restarted_worker_starts_at_zero() {
    let mut ages = EndpointAges::default();
    ages.update(0, [(1, 7), (2, 7)].into_iter());
    ages.update(30 * SECOND, [(1, 8), (2, 7)].into_iter());
    let ages: BTreeMap<u64, Micros> = ages.ages(31 * SECOND).collect();
    assert_eq!((ages[&1], ages[&2]), (SECOND, 31 * SECOND));
}

#[test]
fn a_process_accepts_only_its_own_grants_until_they_expire() {
    let mut filter = GrantFilter::new(9, &CONFIG);
    let grant = |process_id, clock_reading| Grant { process_id, clock_reading, worker: 1, work: 0.2 };
    let grants =
        QuotaGrants(vec![grant(9, 900_000), grant(8, 900_000), grant(9, 300_000), grant(9, 1_100_000)]);
    let usable = filter.accept(FencingToken(3), 1, &grants, SECOND);
    assert_eq!(
        usable,
        [UsableQuota { worker: 1, work: 0.2, expires_at: 1_400_000 }],
        "the other grants are for another process, have expired, or have a clock reading in the future"
    );
    assert!(filter.accept(FencingToken(3), 1, &grants, SECOND).is_empty());
    assert!(filter.accept(FencingToken(2), 9, &grants, SECOND).is_empty());
    assert_eq!(QuotaGrants::decode(&grants.encode()), Some(grants));
    assert_eq!(
        QuotaGrants::decode(&QuotaGrants(vec![Grant { work: f64::NAN, ..grant(1, 1) }]).encode()),
        None
    );
}
