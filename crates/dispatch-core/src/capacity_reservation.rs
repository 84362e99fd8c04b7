//! Room for large jobs: some workers are kept for them, as many as their part of the work asks for.
//!
//! A worker starts waiting jobs in order, so a job of four slots behind small ones waits until four slots are free at
//! once, and holds up all behind it meanwhile. Where large and small jobs go to workers of their own, slots come free
//! together and nothing is held up. Dispatchers share nothing, but they see the same list: each puts them in
//! the same order, by kind and a hash of their names, and keeps every so-manieth, so they agree without a word but for
//! what each has seen of the traffic.
//!
//! It is a preference with a price and no wall: a small job still goes to a kept worker when the others would keep it
//! waiting for longer than the price, and a large job to any worker that seems empty.

use crate::api::{CapacityReservation, WorkerState};
use crate::state::{mix_bits, Worker};

/// How quickly the parts of the work are learnt, by jobs.
const LEARNING_RATE: f64 = 1.0 / 256.0;
/// The workers are divided anew when the part of large work has moved by this much.
const REASSIGN_THRESHOLD: f64 = 0.04;

/// Which workers are kept for large jobs.
#[derive(Debug, Default)]
pub(crate) struct ReservedWorkers {
    settings: Option<CapacityReservation>,
    /// Work asked for by jobs of either size, fading.
    small_work: f64,
    large_work: f64,
    /// The part of large work that the workers were divided by.
    reserved_share: f64,
    /// By position: kept for large jobs.
    reserved: Vec<bool>,
}

impl ReservedWorkers {
    pub(crate) fn new(settings: Option<CapacityReservation>) -> ReservedWorkers {
        ReservedWorkers { settings, ..ReservedWorkers::default() }
    }

    /// Other settings hold; what was learnt of the traffic stays only if they mean the same by large.
    pub(crate) fn configure(&mut self, settings: Option<CapacityReservation>) {
        let from = |settings: Option<CapacityReservation>| settings.map(|s| s.min_slots);
        if from(settings) != from(self.settings) {
            *self = ReservedWorkers::new(settings);
        }
        self.settings = settings;
    }

    pub(crate) fn is_large(&self, slots: f64) -> bool {
        self.settings.is_some_and(|s| slots >= s.min_slots)
    }

    /// A job was asked for; the workers are divided anew where its work has moved the parts by much.
    pub(crate) fn record_job(&mut self, slots: f64, work: f64, workers: &[Worker]) {
        let (large, small) = if self.is_large(slots) { (work, 0.0) } else { (0.0, work) };
        self.large_work += LEARNING_RATE * (large - self.large_work);
        self.small_work += LEARNING_RATE * (small - self.small_work);
        if self.settings.is_some() && (self.large_share() - self.reserved_share).abs() > REASSIGN_THRESHOLD {
            self.assign(workers);
        }
    }

    /// The part of the work that large jobs ask for.
    fn large_share(&self) -> f64 {
        let all = self.large_work + self.small_work;
        if all > 0.0 {
            self.large_work / all
        } else {
            0.0
        }
    }

    /// Divides the workers that serve: in an order that all dispatchers share, every so-manieth is kept.
    pub(crate) fn assign(&mut self, workers: &[Worker]) {
        self.reserved_share = self.large_share();
        self.reserved.clear();
        self.reserved.resize(workers.len(), false);
        if self.settings.is_none() || self.reserved_share <= 0.0 {
            return;
        }
        let serving = workers.iter().enumerate().filter(|(_, w)| w.state == WorkerState::Serving);
        let mut order: Vec<(usize, u64, usize)> =
            serving.map(|(i, w)| (w.kind, mix_bits(w.id.0), i)).collect();
        order.sort_unstable();
        // Spread over the kinds, since they differ in speed; rounding carries over from one kind to the next.
        let mut wanted = 0.0;
        for (_, _, i) in order {
            wanted += self.reserved_share;
            if wanted >= 0.5 {
                self.reserved[i] = true;
                wanted -= 1.0;
            }
        }
    }

    /// The price of sending a job of this size there, in waits as long as its run.
    pub(crate) fn price(&self, index: usize, slots: f64) -> f64 {
        let kept = self.reserved.get(index).copied().unwrap_or(false);
        match self.settings {
            Some(settings) if kept != self.is_large(slots) && self.reserved_share > 0.0 => settings.price,
            _ => 0.0,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::WorkerId;

    const ON: Option<CapacityReservation> = Some(CapacityReservation { min_slots: 4.0, price: 1.0 });

    fn workers(count: u64) -> Vec<Worker> {
        let worker = |n: u64| Worker { id: WorkerId(n + 7), kind: (n % 3) as usize, ..Worker::default() };
        (0..count).map(worker).collect()
    }

    fn with_share(settings: Option<CapacityReservation>, large: usize, small: usize) -> ReservedWorkers {
        let mut room = ReservedWorkers::new(settings);
        for n in 0..4000 {
            room.record_job(if n % (large + small) < large { 4.0 } else { 1.0 }, 1.0, &[]);
        }
        room
    }

    #[test]
    fn as_many_are_kept_as_large_work_asks_for() {
        let mut room = with_share(ON, 1, 1);
        room.assign(&workers(12));
        assert_eq!(room.reserved.iter().filter(|kept| **kept).count(), 6);
        let mut few = with_share(ON, 1, 9);
        few.assign(&workers(12));
        assert_eq!(few.reserved.iter().filter(|kept| **kept).count(), 1);
    }

    /// Nor does a little difference in what each has seen of the traffic matter much.
    #[test]
    fn dispatchers_agree_up_to_the_edge() {
        let (mut one, mut other) = (with_share(ON, 2, 5), with_share(ON, 3, 7));
        one.assign(&workers(200));
        other.assign(&workers(200));
        let counts = [&one, &other].map(|room| room.reserved.iter().filter(|kept| **kept).count());
        assert!(counts[0].abs_diff(counts[1]) <= 4, "{counts:?}");
        let (mut same, reversed) = (with_share(ON, 2, 5), workers(200).into_iter().rev().collect::<Vec<_>>());
        same.assign(&reversed);
        assert!(one.reserved.iter().eq(same.reserved.iter().rev()), "the order of the list does not matter");
    }

    #[test]
    fn without_settings_or_large_jobs_nothing_has_a_price() {
        for mut room in [with_share(None, 1, 1), with_share(ON, 0, 1)] {
            room.assign(&workers(12));
            assert!((0..12).all(|n| room.price(n, 1.0) == 0.0 && room.price(n, 4.0) == 0.0));
        }
    }

    #[test]
    fn a_reload_that_means_another_size_forgets_what_was_learnt() {
        let mut room = with_share(ON, 1, 1);
        room.assign(&workers(12));
        room.configure(Some(CapacityReservation { min_slots: 4.0, price: 2.0 }));
        assert!(room.large_share() > 0.4, "the same size, another price");
        room.configure(Some(CapacityReservation { min_slots: 2.0, price: 2.0 }));
        assert_eq!((room.large_share(), room.reserved.len()), (0.0, 0));
    }
}
