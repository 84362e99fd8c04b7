//! Draws the faults of a simulated day.

use rand::seq::SliceRandom as _;
use rand::Rng as _;
use rand_pcg::Pcg64Mcg;

use super::{micros, sample, Day, Fault, DAY_START};
use crate::spec::{Case, Experiment, FaultKind, FaultSpec};

/// Share of the day, from its start, in which no fault begins.
const FAULT_FREE_SHARE: f64 = 0.1;

/// A burst of traffic; times in seconds from the day's start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Burst {
    pub(super) from: f64,
    pub(super) until: f64,
    /// Factor of the arrival rate during the burst.
    pub(super) factor: f64,
}

impl Day {
    /// Draws the faults of a case. Returns the bursts of traffic and stores the other faults in the day.
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
            let affected_share = sample(spec.affected_share, rng);
            let magnitude = sample(spec.magnitude, rng);
            let mut affected: Vec<usize> = match spec.kind {
                FaultKind::RestartDispatchers => (0..self.dispatchers.len()).collect(),
                _ => (0..self.workers.len()).collect(),
            };
            let fleet_size = affected.len();
            affected.shuffle(rng);
            affected.truncate(((fleet_size as f64 * affected_share).round() as usize).max(1));
            let at = |seconds: f64| DAY_START + micros(seconds);
            match spec.kind {
                FaultKind::Burst => {
                    bursts.push(Burst { from: start, until: start + length, factor: magnitude })
                }
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
                            let taken = if on { magnitude } else { 0.0 };
                            self.faults.push((at(now), Fault::NoisyNeighbour(worker, taken)));
                            now += sample(spec.interval, rng).max(0.05);
                            on = !on;
                        }
                        self.faults.push((at(start + length), Fault::NoisyNeighbour(worker, 0.0)));
                    }
                }
                FaultKind::Deploy | FaultKind::Crash | FaultKind::RestartDispatchers => {
                    self.draw_rolling_fault(spec, &affected, fleet_size, (start, length, magnitude), rng);
                }
            }
        }
        self.faults.sort_by_key(|(at, _)| *at);
        bursts
    }

    /// Draws faults that affect the fleet in batches, which begin at even intervals over the length of the fault.
    fn draw_rolling_fault(
        &mut self,
        spec: &FaultSpec,
        affected: &[usize],
        fleet_size: usize,
        (start, length, batch_share): (f64, f64, f64),
        rng: &mut Pcg64Mcg,
    ) {
        let batch = ((fleet_size as f64 * batch_share).round() as usize).max(1);
        let batches = affected.len().div_ceil(batch);
        for (n, targets) in affected.chunks(batch).enumerate() {
            let begin = DAY_START + micros(start + length * n as f64 / batches as f64);
            let duration = micros(sample(spec.interval, rng));
            for &target in targets {
                let fault = match spec.kind {
                    FaultKind::Deploy => Fault::ReplaceWorker(target, duration),
                    FaultKind::Crash => Fault::CrashWorker(target, duration),
                    _ => Fault::RestartDispatcher(target, duration),
                };
                self.faults.push((begin, fault));
            }
        }
    }
}
