//! Draws the workers of a simulated day.

use rand::seq::SliceRandom as _;
use rand::Rng as _;
use rand_distr::{Distribution as _, LogNormal};
use rand_pcg::Pcg64Mcg;

use super::{sample, sample_integer, WorkerPlan};
use crate::spec::{Experiment, KindSpec};

/// Draws the workers and assigns them to racks, each of which lies within one zone.
pub(super) fn draw_workers(experiment: &Experiment, rng: &mut Pcg64Mcg) -> Vec<WorkerPlan> {
    let count = sample_integer(experiment.workers, rng).max(1);
    let rack = sample_integer(experiment.rack_size, rng).max(1);
    // The mean speed of a kind is drawn once for the day; the workers of the kind vary around it.
    let speeds: Vec<(f64, f64, f64)> = experiment
        .kinds
        .iter()
        .map(|k| (sample(k.speed, rng), sample(k.speed_cv, rng), sample(k.slots_per_core, rng)))
        .collect();
    let kinds = apportion(&experiment.kinds, count, rng);
    let racks = count.div_ceil(rack);
    kinds
        .into_iter()
        .enumerate()
        .map(|(n, kind)| {
            let spec = &experiment.kinds[kind];
            let (speed, cv, slots) = speeds[kind];
            let rack = n * racks / count;
            let spread = LogNormal::new(-cv * cv / 2.0, cv).map_or(1.0, |spread| spread.sample(rng));
            WorkerPlan {
                kind,
                zone: rack as u32 % experiment.zones,
                rack: rack as u32,
                cores: spec.cores,
                slots: (spec.cores * slots).floor().max(1.0) as u32,
                queue_capacity: (spec.cores * sample(spec.queue_per_core, rng)) as usize,
                speed: speed * spread,
                initial_capacity: sample(spec.initial_capacity, rng),
                warm_up: sample(spec.warm_up, rng),
                error_rate: sample(spec.error_rate, rng),
                drops_cancelled: rng.random_bool(0.5),
                max_connections: (spec.cores * sample(experiment.network.max_connections_per_core, rng))
                    as u32,
            }
        })
        .collect()
}

/// Assigns a kind to each worker by the kinds' shares, with the largest-remainder method, in random order.
fn apportion(kinds: &[KindSpec], count: usize, rng: &mut Pcg64Mcg) -> Vec<usize> {
    let whole: f64 = kinds.iter().map(|k| k.share).sum::<f64>().max(1e-9);
    let exact: Vec<f64> = kinds.iter().map(|k| k.share / whole * count as f64).collect();
    let mut counts: Vec<usize> = exact.iter().map(|e| *e as usize).collect();
    let mut order: Vec<usize> = (0..kinds.len()).collect();
    order.sort_by(|a, b| exact[*b].fract().total_cmp(&exact[*a].fract()));
    for n in order.into_iter().cycle().take(count - counts.iter().sum::<usize>().min(count)) {
        counts[n] += 1;
    }
    let mut all: Vec<usize> =
        counts.iter().enumerate().flat_map(|(kind, n)| std::iter::repeat_n(kind, *n)).collect();
    all.shuffle(rng);
    all
}
