//! Prediction of completion times from the true state of a worker, for the oracle policy.

use super::{Phase, Worker};
use crate::day::{seconds, Micros};

/// Lower bound of the speed in a prediction, so that a stopped worker does not divide by zero.
const MIN_PREDICTED_SPEED: f64 = 1e-6;

/// Job that occupies slots until a time, in service-clock seconds from now.
#[derive(Clone, Copy, Debug)]
struct Occupancy {
    ends_in: f64,
    slots: u32,
}

/// Work that waits for slots.
#[derive(Clone, Copy, Debug)]
struct QueuedWork {
    slots: u32,
    work: f64,
}

impl Worker {
    /// Predicts the seconds until a job of these slots and this work, if sent now, would complete.
    ///
    /// Running jobs continue at the current speed and waiting jobs start in order. Returns none if the worker would
    /// not accept the job.
    pub fn predict_completion(&self, now: Micros, slots: u32, work: f64) -> Option<f64> {
        if self.phase != Phase::Serving || self.hung || slots > self.plan.slots {
            return None;
        }
        if self.waiting.len() >= self.plan.queue_capacity {
            return None;
        }
        let speed = self.plan.speed * self.slow_start_factor(now) * (1.0 - self.stolen_share);
        let queue = self.waiting.iter().map(|job| QueuedWork { slots: job.slots, work: job.work });
        let queue = queue.chain([QueuedWork { slots, work }]);
        let completes_in = completion_of_last(self.plan.slots, self.occupancies(now), queue);
        Some(completes_in / speed.max(MIN_PREDICTED_SPEED))
    }

    fn occupancies(&self, now: Micros) -> Vec<Occupancy> {
        let elapsed = seconds(now.saturating_sub(self.clock_moved_at));
        let elapsed_service = elapsed * self.service_rate(self.clock_moved_at);
        let occupancy = |ends_at_clock: f64, slots: u32| Occupancy {
            ends_in: (ends_at_clock - self.service_clock - elapsed_service).max(0.0),
            slots,
        };
        self.running.iter().map(|running| occupancy(running.done_at_clock, running.job.slots)).collect()
    }
}

/// Returns the end of the last queued job, in service-clock seconds from now.
fn completion_of_last(
    total_slots: u32,
    mut occupancies: Vec<Occupancy>,
    queue: impl Iterator<Item = QueuedWork>,
) -> f64 {
    let mut start = 0.0_f64;
    let mut completion = 0.0;
    for queued in queue {
        occupancies.retain(|occupancy| occupancy.ends_in > start);
        occupancies.sort_by(|left, right| left.ends_in.total_cmp(&right.ends_in));
        let mut busy: u32 = occupancies.iter().map(|occupancy| occupancy.slots).sum();
        for occupancy in &occupancies {
            if busy + queued.slots <= total_slots {
                break;
            }
            start = occupancy.ends_in;
            busy -= occupancy.slots;
        }
        completion = start + queued.work;
        occupancies.push(Occupancy { ends_in: completion, slots: queued.slots });
    }
    completion
}
