use super::*;
use crate::api::WorkerId;

const ENABLED: Option<CapacityReservation> = Some(CapacityReservation { min_slots: 4.0, price: 1.0 });

fn workers(count: u64) -> Vec<Worker> {
    let worker = |n: u64| Worker { id: WorkerId(n + 7), kind: (n % 3) as usize, ..Worker::default() };
    (0..count).map(worker).collect()
}

/// Returns a reservation that has seen large and small jobs in the ratio `large` to `small`, each with the same work.
fn with_share(settings: Option<CapacityReservation>, large: usize, small: usize) -> ReservedWorkers {
    let mut reserved = ReservedWorkers::new(settings);
    for n in 0..4000 {
        reserved.record_job(if n % (large + small) < large { 4.0 } else { 1.0 }, 1.0, &[]);
    }
    reserved
}

#[test]
fn reserves_workers_in_proportion_to_large_work() {
    let mut reserved = with_share(ENABLED, 1, 1);
    reserved.assign(&workers(12));
    assert_eq!(reserved.reserved.iter().filter(|is_reserved| **is_reserved).count(), 6);
    let mut few = with_share(ENABLED, 1, 9);
    few.assign(&workers(12));
    assert_eq!(few.reserved.iter().filter(|is_reserved| **is_reserved).count(), 1);
}

/// Dispatchers that have seen slightly different traffic must reserve almost the same number of workers, and the order
/// of the endpoint list must not matter.
#[test]
fn dispatchers_with_similar_traffic_reserve_almost_the_same_workers() {
    let (mut first, mut second) = (with_share(ENABLED, 2, 5), with_share(ENABLED, 3, 7));
    first.assign(&workers(200));
    second.assign(&workers(200));
    let counts = [&first, &second]
        .map(|reserved| reserved.reserved.iter().filter(|is_reserved| **is_reserved).count());
    assert!(counts[0].abs_diff(counts[1]) <= 4, "{counts:?}");
    let (mut same, reversed) =
        (with_share(ENABLED, 2, 5), workers(200).into_iter().rev().collect::<Vec<_>>());
    same.assign(&reversed);
    assert!(first.reserved.iter().eq(same.reserved.iter().rev()), "the order of the list does not matter");
}

#[test]
fn without_settings_or_large_jobs_nothing_has_a_price() {
    for mut reserved in [with_share(None, 1, 1), with_share(ENABLED, 0, 1)] {
        reserved.assign(&workers(12));
        assert!((0..12).all(|n| reserved.price(n, 1.0) == 0.0 && reserved.price(n, 4.0) == 0.0));
    }
}

#[test]
fn a_reload_with_another_job_size_resets_the_estimates() {
    let mut reserved = with_share(ENABLED, 1, 1);
    reserved.assign(&workers(12));
    reserved.configure(Some(CapacityReservation { min_slots: 4.0, price: 2.0 }));
    assert!(reserved.large_share() > 0.4, "the same size, another price");
    reserved.configure(Some(CapacityReservation { min_slots: 2.0, price: 2.0 }));
    assert_eq!((reserved.large_share(), reserved.reserved.len()), (0.0, 0));
}
