//! What is believed of the load of workers: the slots that other dispatchers fill there by now.
//!
//! What we ourselves hold at a worker is known. What others hold is heard of now and then: by load reports, by how long
//! a job of ours waits before it starts, by being turned away. Each word is true of a while ago and fades into what is
//! usual among the workers of its kind in its zone. Spans are in windows, a window being about a running time: within
//! a few of them all that a worker holds has changed.

use crate::api::{LoadReport, Seconds};
use crate::estimate::LEARN_CLASS;
use crate::state::{Fleet, Worker};

/// What is heard of a worker's load fades over this many windows.
const FADE: f64 = 4.0;
/// A report is late by about this part of a window.
const REPORT_LATE: f64 = 0.5;
/// Learning rate of the slots of a kind, from the largest figures seen.
const LEARN_SLOTS: f64 = 0.5;
/// A cohort's usual load moves by one part in this many words at first.
const FIRST_WORDS: f64 = 24.0;
/// A job that starts within this of its push did not wait: round trips, and a handshake that takes work.
pub(crate) const PROMPT: Seconds = 0.1;

/// Steps of the curve of waits: so many to a worker that is just full, and how many there are in all.
const STEPS_TO_FULL: f64 = 8.0;
const STEPS: usize = 33;
/// What the first guess is worth, in jobs; and the learning rate.
const GUESS: f64 = 6.0;
const LEARN_WAIT: f64 = 1.0 / 128.0;

/// How long jobs really waited at workers that were thought to be so full: a curve that is learnt, since how far word of
/// loads can be trusted depends on how late and how noisy it is, and on how many others choose by the same word.
#[derive(Clone, Debug)]
pub(crate) struct Waits([(f64, f64); STEPS]);

impl Default for Waits {
    /// At first, as if all were as it is thought to be.
    fn default() -> Self {
        Waits(std::array::from_fn(|n| ((n as f64 / STEPS_TO_FULL - 1.0).max(0.0), GUESS)))
    }
}

impl Waits {
    fn place(filled: f64) -> usize {
        ((filled.max(0.0) * STEPS_TO_FULL).round() as usize).min(STEPS - 1)
    }

    /// The mean wait, in running times.
    pub(crate) fn at(&self, filled: f64) -> f64 {
        // Beyond the last step each running time's worth of work is a running time's wait.
        self.0[Waits::place(filled)].0 + (filled - (STEPS - 1) as f64 / STEPS_TO_FULL).max(0.0)
    }

    /// A job waited for so many running times.
    pub(crate) fn learn(&mut self, filled: f64, waited: f64) {
        let (mean, seen) = &mut self.0[Waits::place(filled)];
        *seen += 1.0;
        *mean += LEARN_WAIT.max(1.0 / *seen) * (waited.clamp(0.0, 8.0) - *mean);
    }
}

/// The present, by which words are old.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Present {
    pub now: Seconds,
    /// A window of R, about a running time.
    pub window: Seconds,
}

impl Fleet {
    /// How many slots a worker has, as far as was seen.
    pub(crate) fn slots_of(&self, w: &Worker) -> f64 {
        self.kinds[w.kind].slots.max(self.largest as f64)
    }

    /// Its capacity now, as a part of the full one; a lower bound.
    pub(crate) fn warmth(&self, w: &Worker, now: Seconds) -> f64 {
        if w.since <= 0.0 || self.warm_within <= 0.0 {
            return 1.0;
        }
        let age = ((now - w.born) / self.warm_within).clamp(0.0, 1.0);
        self.cold_share + (1.0 - self.cold_share) * age
    }

    /// Slots that others hold there by now: what was last heard, fading into what is usual.
    pub(crate) fn others(&self, w: &Worker, at: Present) -> f64 {
        let usual = self.cohorts[w.cohort].filled * self.slots_of(w) * self.warmth(w, at.now);
        usual + (w.others - usual) * (-(at.now - w.told) / (FADE * at.window)).exp()
    }

    /// How long a job is thought to wait at a worker that is so full with it, in running times; where nobody tells how
    /// many slots it has, nothing is known of its queue.
    pub(crate) fn wait(&self, w: &Worker, filled: f64) -> f64 {
        if self.kinds[w.kind].slots > 0.0 {
            self.waits.at(filled)
        } else {
            0.0
        }
    }

    /// Counts slots that we take at a worker or give back.
    pub(crate) fn hold(&mut self, i: usize, slots: f64, at: Present) {
        self.workers[i].hold(slots, at.now, REPORT_LATE * at.window);
    }

    /// Something told how many slots others hold or wait for there.
    pub(crate) fn heard(&mut self, i: usize, others: f64, now: Seconds) {
        let share = others / self.slots_of(&self.workers[i]);
        let w = &mut self.workers[i];
        let g = &mut self.cohorts[w.cohort];
        g.heard += 1.0;
        g.filled += LEARN_CLASS.max(1.0 / (g.heard + FIRST_WORDS)) * (share.min(1.0) - g.filled);
        (w.others, w.told) = (others, now);
    }

    /// Takes a load report, where it tells of free slots; `job` is the slots of a usual job. Returns the slots that
    /// wait there.
    pub(crate) fn reported(&mut self, i: usize, load: &LoadReport, job: f64, at: Present) -> Option<f64> {
        let free = load.free_slots?;
        let room = load.free_memory.map_or(free, |m| free.min(m));
        self.hold(i, 0.0, at);
        let kind = &mut self.kinds[self.workers[i].kind];
        kind.slots += (free - kind.slots).max(0.0) * if kind.slots == 0.0 { 1.0 } else { LEARN_SLOTS };
        let slots = self.slots_of(&self.workers[i]);
        // What it holds beyond its slots waits; while it has room, nothing does.
        let held = load.in_flight.filter(|_| room < 1.0).map_or(0.0, |held| (held * job - slots).max(0.0));
        let queue = load.queue_length.unwrap_or(held);
        let seen = slots - room + queue - self.workers[i].ours_late;
        // Half of it: a report is a sample, late and noisy.
        let others = 0.5 * (seen.max(0.0) + self.others(&self.workers[i], at));
        self.heard(i, others, at.now);
        Some(queue.round().min(slots))
    }

    /// A job of ours waited there for so long, which tells how much others had: each slot comes free once in a running
    /// time.
    pub(crate) fn waited(&mut self, i: usize, delay: Seconds, at: Present) {
        let w = &self.workers[i];
        let waited = delay - PROMPT / self.warmth(w, at.now);
        let (slots, rest) = (self.slots_of(w), (self.slots_of(w) - w.ours).max(0.0));
        let queued = rest + slots * waited / at.window;
        let others = if waited > 0.0 { queued } else { self.others(w, at).min(rest) };
        self.heard(i, others, at.now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Word that is old says less: where workers that seem just full keep jobs waiting for half a running time, that is
    /// what is thought of them afterwards, and of no others.
    #[test]
    fn waits_are_learnt_by_how_full_a_worker_seemed() {
        let mut waits = Waits::default();
        assert_eq!((waits.at(0.5), waits.at(1.0), waits.at(2.0)), (0.0, 0.0, 1.0), "as if word were true");
        (0..400).for_each(|n| waits.learn(1.0, f64::from(n % 2)));
        assert!((0.4..0.6).contains(&waits.at(1.0)), "{}", waits.at(1.0));
        assert_eq!((waits.at(0.5), waits.at(2.0)), (0.0, 1.0));
        for odd in [-1.0, f64::MAX, f64::INFINITY] {
            waits.learn(odd, odd);
        }
        assert!(waits.at(f64::MAX).is_finite() && waits.at(-1.0) >= 0.0);
    }

    /// A report tells of a queue by what the worker holds beyond its slots, and only while it has no room.
    #[test]
    fn what_a_worker_holds_beyond_its_slots_waits() {
        let mut fleet = Fleet::new(&crate::api::Settings::default());
        let member = crate::api::Endpoint {
            worker: crate::api::WorkerId(1),
            kind: 0,
            zone: 0,
            cell: 0,
            started_at: 0.0,
            state: crate::api::WorkerState::Serving,
        };
        fleet.kinds.push(crate::state::Kind::default());
        fleet.enlist(&member, 0, 0.0);
        fleet.rebuild(0, None);
        let at = Present { now: 1.0, window: 0.3 };
        let told = |free: f64, held: f64| LoadReport {
            free_slots: Some(free),
            in_flight: Some(held),
            ..LoadReport::default()
        };
        assert_eq!(fleet.reported(0, &told(4.0, 0.0), 1.0, at), Some(0.0));
        assert_eq!(fleet.reported(0, &told(2.0, 9.0), 1.0, at), Some(0.0), "it has room");
        assert_eq!(fleet.reported(0, &told(0.0, 7.0), 1.0, at), Some(3.0), "seven in four slots");
        assert!(fleet.others(&fleet.workers[0], at) > 3.0);
        assert_eq!(fleet.reported(0, &LoadReport::default(), 1.0, at), None);
    }

    /// Found by experiments/wrong-clocks.hcl: a clock that is an hour ahead made every cold worker look warm, and one that
    /// is behind would make every warm one look cold.
    #[test]
    fn how_warm_a_worker_is_does_not_rest_on_the_clocks_of_others() {
        let mut fleet = Fleet::default();
        (fleet.cold_share, fleet.warm_within) = (0.2, 20.0);
        let member = |worker, since| crate::api::Endpoint {
            worker: crate::api::WorkerId(worker),
            kind: 0,
            zone: 0,
            cell: 0,
            started_at: since,
            state: crate::api::WorkerState::Serving,
        };
        fleet.kinds.push(crate::state::Kind::default());
        let warmth = |fleet: &Fleet, worker: usize, now| {
            (fleet.warmth(&fleet.workers[worker], now) * 1e6).round() / 1e6
        };
        // What was there before is as old as the list says, but did not start in the future.
        fleet.enlist(&member(1, 9_990.0), 0, 10_000.0);
        fleet.enlist(&member(2, 13_600.0), 0, 10_000.0);
        fleet.rebuild(0, Some(10_000.0));
        assert_eq!((warmth(&fleet, 0, 10_000.0), warmth(&fleet, 1, 10_000.0)), (0.6, 0.2));
        assert_eq!(warmth(&fleet, 1, 10_020.0), 1.0, "not an hour later");
        // One that comes later, or again, started after discovery was heard last, or shortly before.
        fleet.enlist(&member(3, 6_400.0), 0, 10_010.0);
        fleet.enlist(&member(2, 13_601.0), 0, 10_010.0);
        assert_eq!((warmth(&fleet, 2, 10_010.0), warmth(&fleet, 1, 10_010.0)), (0.8, 0.2));
        // Named again it is the same start.
        fleet.rebuild(0, Some(10_010.0));
        fleet.enlist(&member(3, 6_400.0), 0, 10_014.0);
        assert_eq!(warmth(&fleet, 2, 10_015.0), 1.0);
    }
}
