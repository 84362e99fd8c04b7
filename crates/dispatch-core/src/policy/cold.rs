//! 4. **Cold budget.** A worker that just started gets work by a budget of all dispatchers together.

use super::*;

/// The part of the cold budget that is planned for: running times vary, and pushes of two slices may meet.
const COLD_PLANNED: f64 = 0.25;

impl Dispatcher {
    /// A span in which each grant has one owner, by the clock that all dispatchers share.
    pub(super) fn slice(&self) -> u64 {
        (self.now / self.cfg.overload_window.max(0.1)) as u64
    }

    fn cold(&self, w: &Worker) -> bool {
        w.state == WorkerState::Serving && self.fleet.warmth(w, self.now) < 1.0
    }

    /// What all may send there in this slice, as work, and our part of it. It is handed out in grants, each
    /// for about a job and with an owner of its own: of many dispatchers none has the traffic to use up more.
    fn planned(&self, w: &Worker) -> (f64, f64) {
        let capacity = self.fleet.warmth(w, self.now) * self.fleet.slots_of(w);
        let budget = self.cfg.overload_multiple * capacity * self.cfg.overload_window * COLD_PLANNED;
        let grants = (budget / self.mean_job_work()).clamp(1.0, 64.0) as u64;
        let owner = |n: &u64| mix(w.id.0 ^ mix(self.slice() * 64 + n)) % u64::from(self.cfg.instances);
        let ours = (0..grants).filter(|n| owner(n) == u64::from(self.cfg.instance)).count();
        (budget, budget * ours as f64 / grants as f64)
    }

    /// A job that asks for more than our part goes there by chance, drawn once a slice: the mean keeps it.
    pub(super) fn cold_room(&self, w: &Worker, job: &Job) -> bool {
        if !self.cold(w) || w.cold.granted(self.now) >= job.work() {
            return true;
        }
        let ((budget, ours), work) = (self.planned(w), job.work());
        if let Some(spent) = w.cold.planned(self.slice()) {
            return spent + work <= ours;
        }
        let drawn = mix(w.id.0 ^ mix(!self.slice() ^ mix(self.cfg.instance.into())));
        work <= budget && drawn as f64 / u64::MAX as f64 * work < ours
    }

    /// Looks at some of the cold workers with grants of ours: a sample of all would hardly meet them.
    pub(super) fn consider_cold(&mut self, job: &Job, best: &mut Best) {
        let slice = self.slice();
        if self.turns.0 != slice {
            let ours = |w: &Worker| w.cold.granted(self.now) > 0.0 || self.planned(w).1 > 0.0;
            let fleet = self.fleet.workers.iter().enumerate();
            let ours = fleet.filter(|(_, w)| self.cold(w) && ours(w)).map(|(i, _)| i);
            self.turns = (slice, ours.collect());
        }
        for _ in 0..SAMPLE.min(self.turns.1.len()) {
            let n = self.rng.usize(..self.turns.1.len());
            self.consider(self.turns.1[n], job, best);
        }
    }
}
