use super::*;
use crate::api::WorkerId;

const ON: Option<CapacityReservation> = Some(CapacityReservation { min_slots: 4.0, price: 1.0 });

fn workers(count: u64) -> Vec<Worker> {
    let worker = |n: u64| Worker { id: WorkerId(n + 7), kind: (n % 3) as usize, ..Worker::default() };
    (0..count).map(worker).collect()
}

fn with_share(settings: Option<CapacityReservation>, large: usize, small: usize) -> ReservedWorkers {
    let mut reserved = ReservedWorkers::new(settings);
    for n in 0..4000 {
        reserved.record_job(if n % (large + small) < large { 4.0 } else { 1.0 }, 1.0, &[]);
    }
    reserved
}

#[test]
fn reserves_as_many_as_large_work_asks_for() {
    let mut reserved = with_share(ON, 1, 1);
    reserved.assign(&workers(12));
    assert_eq!(reserved.reserved.iter().filter(|is_reserved| **is_reserved).count(), 6);
    let mut few = with_share(ON, 1, 9);
    few.assign(&workers(12));
    assert_eq!(few.reserved.iter().filter(|is_reserved| **is_reserved).count(), 1);
}

/// Dispatchers that have seen slightly different traffic differ in few workers.
#[test]
fn dispatchers_agree_up_to_the_edge() {
    let (mut one, mut other) = (with_share(ON, 2, 5), with_share(ON, 3, 7));
    one.assign(&workers(200));
    other.assign(&workers(200));
    let counts =
        [&one, &other].map(|reserved| reserved.reserved.iter().filter(|is_reserved| **is_reserved).count());
    assert!(counts[0].abs_diff(counts[1]) <= 4, "{counts:?}");
    let (mut same, reversed) = (with_share(ON, 2, 5), workers(200).into_iter().rev().collect::<Vec<_>>());
    same.assign(&reversed);
    assert!(one.reserved.iter().eq(same.reserved.iter().rev()), "the order of the list does not matter");
}

#[test]
fn without_settings_or_large_jobs_nothing_has_a_price() {
    for mut reserved in [with_share(None, 1, 1), with_share(ON, 0, 1)] {
        reserved.assign(&workers(12));
        assert!((0..12).all(|n| reserved.price(n, 1.0) == 0.0 && reserved.price(n, 4.0) == 0.0));
    }
}

#[test]
fn a_reload_that_means_another_size_forgets_what_was_learnt() {
    let mut reserved = with_share(ON, 1, 1);
    reserved.assign(&workers(12));
    reserved.configure(Some(CapacityReservation { min_slots: 4.0, price: 2.0 }));
    assert!(reserved.large_share() > 0.4, "the same size, another price");
    reserved.configure(Some(CapacityReservation { min_slots: 2.0, price: 2.0 }));
    assert_eq!((reserved.large_share(), reserved.reserved.len()), (0.0, 0));
}
