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
use crate::state::{mix, Worker};

/// How quickly the parts of the work are learnt, by jobs.
const LEARN: f64 = 1.0 / 256.0;
/// The workers are divided anew when the part of large work has moved by this much.
const MOVED: f64 = 0.04;

/// Which workers are kept for large jobs.
#[derive(Debug, Default)]
pub(crate) struct Room {
    settings: Option<CapacityReservation>,
    /// Work asked for by jobs of either size, fading.
    small: f64,
    large: f64,
    /// The part of large work that the workers were divided by.
    divided_by: f64,
    /// By position: kept for large jobs.
    kept: Vec<bool>,
}

impl Room {
    pub(crate) fn new(settings: Option<CapacityReservation>) -> Room {
        Room { settings, ..Room::default() }
    }

    /// Other settings hold; what was learnt of the traffic stays only if they mean the same by large.
    pub(crate) fn configure(&mut self, settings: Option<CapacityReservation>) {
        let from = |settings: Option<CapacityReservation>| settings.map(|s| s.min_slots);
        if from(settings) != from(self.settings) {
            *self = Room::new(settings);
        }
        self.settings = settings;
    }

    pub(crate) fn is_large(&self, slots: f64) -> bool {
        self.settings.is_some_and(|s| slots >= s.min_slots)
    }

    /// A job was asked for; the workers are divided anew where its work has moved the parts by much.
    pub(crate) fn asked(&mut self, slots: f64, work: f64, workers: &[Worker]) {
        let (large, small) = if self.is_large(slots) { (work, 0.0) } else { (0.0, work) };
        self.large += LEARN * (large - self.large);
        self.small += LEARN * (small - self.small);
        if self.settings.is_some() && (self.share() - self.divided_by).abs() > MOVED {
            self.divide(workers);
        }
    }

    /// The part of the work that large jobs ask for.
    fn share(&self) -> f64 {
        let all = self.large + self.small;
        if all > 0.0 {
            self.large / all
        } else {
            0.0
        }
    }

    /// Divides the workers that serve: in an order that all dispatchers share, every so-manieth is kept.
    pub(crate) fn divide(&mut self, workers: &[Worker]) {
        self.divided_by = self.share();
        self.kept.clear();
        self.kept.resize(workers.len(), false);
        if self.settings.is_none() || self.divided_by <= 0.0 {
            return;
        }
        let serving = workers.iter().enumerate().filter(|(_, w)| w.state == WorkerState::Serving);
        let mut order: Vec<(usize, u64, usize)> = serving.map(|(i, w)| (w.kind, mix(w.id.0), i)).collect();
        order.sort_unstable();
        // Spread over the kinds, since they differ in speed; rounding carries over from one kind to the next.
        let mut wanted = 0.0;
        for (_, _, i) in order {
            wanted += self.divided_by;
            if wanted >= 0.5 {
                self.kept[i] = true;
                wanted -= 1.0;
            }
        }
    }

    /// The price of sending a job of this size there, in waits as long as its run.
    pub(crate) fn price(&self, index: usize, slots: f64) -> f64 {
        let kept = self.kept.get(index).copied().unwrap_or(false);
        match self.settings {
            Some(settings) if kept != self.is_large(slots) && self.divided_by > 0.0 => settings.price,
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

    fn with_share(settings: Option<CapacityReservation>, large: usize, small: usize) -> Room {
        let mut room = Room::new(settings);
        for n in 0..4000 {
            room.asked(if n % (large + small) < large { 4.0 } else { 1.0 }, 1.0, &[]);
        }
        room
    }

    #[test]
    fn as_many_are_kept_as_large_work_asks_for() {
        let mut room = with_share(ON, 1, 1);
        room.divide(&workers(12));
        assert_eq!(room.kept.iter().filter(|kept| **kept).count(), 6);
        let mut few = with_share(ON, 1, 9);
        few.divide(&workers(12));
        assert_eq!(few.kept.iter().filter(|kept| **kept).count(), 1);
    }

    /// Nor does a little difference in what each has seen of the traffic matter much.
    #[test]
    fn dispatchers_agree_up_to_the_edge() {
        let (mut one, mut other) = (with_share(ON, 2, 5), with_share(ON, 3, 7));
        one.divide(&workers(200));
        other.divide(&workers(200));
        let counts = [&one, &other].map(|room| room.kept.iter().filter(|kept| **kept).count());
        assert!(counts[0].abs_diff(counts[1]) <= 4, "{counts:?}");
        let (mut same, reversed) = (with_share(ON, 2, 5), workers(200).into_iter().rev().collect::<Vec<_>>());
        same.divide(&reversed);
        assert!(one.kept.iter().eq(same.kept.iter().rev()), "the order of the list does not matter");
    }

    #[test]
    fn without_settings_or_large_jobs_nothing_has_a_price() {
        for mut room in [with_share(None, 1, 1), with_share(ON, 0, 1)] {
            room.divide(&workers(12));
            assert!((0..12).all(|n| room.price(n, 1.0) == 0.0 && room.price(n, 4.0) == 0.0));
        }
    }

    #[test]
    fn a_reload_that_means_another_size_forgets_what_was_learnt() {
        let mut room = with_share(ON, 1, 1);
        room.divide(&workers(12));
        room.configure(Some(CapacityReservation { min_slots: 4.0, price: 2.0 }));
        assert!(room.share() > 0.4, "the same size, another price");
        room.configure(Some(CapacityReservation { min_slots: 2.0, price: 2.0 }));
        assert_eq!((room.share(), room.kept.len()), (0.0, 0));
    }
}
