//! Draws the faults of a day.

use rand::seq::SliceRandom as _;
use rand::Rng as _;
use rand_pcg::Pcg64Mcg;

use super::{micros, sample, Day, Fault, DAY_START};
use crate::spec::{Case, Experiment, FaultKind, FaultSpec};

/// No fault begins before this part of the day.
const FAULT_FREE_SHARE: f64 = 0.1;

/// A jump of the traffic; times in seconds from the day's start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Burst {
    pub(super) from: f64,
    pub(super) until: f64,
    /// The rate is multiplied by this meanwhile.
    pub(super) factor: f64,
}

impl Day {
    /// Draws the faults; those of the traffic are returned, the others are kept in the day.
    pub(super) fn draw_faults(
        &mut self,
        experiment: &Experiment,
        case: &Case,
        rng: &mut Pcg64Mcg,
    ) -> Vec<Burst> {
        let mut bursts = Vec::new();
        let day_length = experiment.length;
        for spec in &case.faults {
            let length = sample(spec.length, rng).min(day_length * (1.0 - FAULT_FREE_SHARE));
            let start = rng.random_range(
                day_length * FAULT_FREE_SHARE..=(day_length - length).max(day_length * FAULT_FREE_SHARE),
            );
            let part = sample(spec.affected_share, rng);
            let size = sample(spec.magnitude, rng);
            let mut affected: Vec<usize> = match spec.kind {
                FaultKind::RestartDispatchers => (0..self.dispatchers.len()).collect(),
                _ => (0..self.workers.len()).collect(),
            };
            let all = affected.len();
            affected.shuffle(rng);
            affected.truncate(((all as f64 * part).round() as usize).max(1));
            let at = |seconds: f64| DAY_START + micros(seconds);
            match spec.kind {
                FaultKind::Burst => bursts.push(Burst { from: start, until: start + length, factor: size }),
                FaultKind::Hang => {
                    for worker in affected {
                        self.faults.push((at(start), Fault::HangWorker(worker, true)));
                        self.faults.push((at(start + length), Fault::HangWorker(worker, false)));
                    }
                }
                FaultKind::NoisyNeighbour => {
                    for worker in affected {
                        let (mut now, mut on) =
                            (start + rng.random_range(0.0..=spec.interval.1.max(0.001)), true);
                        while now < start + length {
                            let taken = if on { size } else { 0.0 };
                            self.faults.push((at(now), Fault::NoisyNeighbour(worker, taken)));
                            now += sample(spec.interval, rng).max(0.05);
                            on = !on;
                        }
                        self.faults.push((at(start + length), Fault::NoisyNeighbour(worker, 0.0)));
                    }
                }
                FaultKind::Deploy | FaultKind::Crash | FaultKind::RestartDispatchers => {
                    self.draw_rolling_fault(spec, &affected, all, (start, length, size), rng);
                }
            }
        }
        self.faults.sort_by_key(|(at, _)| *at);
        bursts
    }

    /// Draws fault that go through the fleet batch by batch, the batches evenly over the time.
    fn draw_rolling_fault(
        &mut self,
        spec: &FaultSpec,
        affected: &[usize],
        all: usize,
        (start, length, size): (f64, f64, f64),
        rng: &mut Pcg64Mcg,
    ) {
        let batch = ((all as f64 * size).round() as usize).max(1);
        let batches = affected.len().div_ceil(batch);
        for (n, workers) in affected.chunks(batch).enumerate() {
            let begin = DAY_START + micros(start + length * n as f64 / batches as f64);
            let lasts = micros(sample(spec.interval, rng));
            for &one in workers {
                let fault = match spec.kind {
                    FaultKind::Deploy => Fault::ReplaceWorker(one, lasts),
                    FaultKind::Crash => Fault::CrashWorker(one, lasts),
                    _ => Fault::RestartDispatcher(one, lasts),
                };
                self.faults.push((begin, fault));
            }
        }
    }
}
