//! 4. **Cold budget.** A worker that just started gets work by a budget of all dispatchers together.

use super::*;

/// The part of the cold budget that is planned for: running times vary, and pushes of two slices may meet.
const COLD_PLANNED: f64 = 0.4;

impl Dispatcher {
    /// Whose turn it is at a cold worker, by the clock that all dispatchers share.
    pub(super) fn slice(&self) -> u64 {
        (self.now / self.cfg.fall_span.max(0.1)) as u64
    }

    fn cold(&self, w: &Worker) -> bool {
        w.state == WorkerState::Serving && self.warmth(w) < 1.0
    }

    fn our_turn(&self, w: &Worker) -> bool {
        (mix(w.id.0) ^ self.slice()) % u64::from(self.cfg.instances) == u64::from(self.cfg.instance)
    }

    pub(super) fn cold_room(&self, w: &Worker, job: &Job) -> bool {
        if !self.cold(w) {
            return true;
        }
        let spent = if w.slice == self.slice() { w.spent } else { 0.0 };
        let capacity = self.warmth(w) * self.slots_of(w);
        let budget = self.cfg.fall_multiple * capacity * self.cfg.fall_span * COLD_PLANNED;
        self.our_turn(w) && spent + job.work() <= budget
    }

    /// Looks at some of the cold workers whose turn is ours: a sample of all would hardly meet them.
    pub(super) fn consider_cold(&mut self, job: &Job, best: &mut Best) {
        let slice = self.slice();
        if self.turns.0 != slice {
            let fleet = self.fleet.workers.iter().enumerate();
            let ours = fleet.filter(|(_, w)| self.cold(w) && self.our_turn(w)).map(|(i, _)| i);
            self.turns = (slice, ours.collect());
        }
        for _ in 0..SAMPLE.min(self.turns.1.len()) {
            let n = self.rng.usize(..self.turns.1.len());
            self.consider(self.turns.1[n], job, best);
        }
    }
}
