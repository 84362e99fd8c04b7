//! One day, drawn from an experiment's case by a seed: workers, dispatchers, every job with its work, and when what
//! goes wrong. It is drawn whole before anything runs, so that all arms see the same day.

use rand::seq::SliceRandom as _;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution as _, Exp1, Gamma, LogNormal, Normal, Pareto};
use rand_pcg::Pcg64Mcg;

use crate::spec::{Case, Experiment, FaultKind, FaultSpec, KindSpec, Span, WorkShape};

/// A point in time or a span, in microseconds.
pub type Micros = u64;

/// A span in seconds as microseconds.
pub fn micros(seconds: f64) -> Micros {
    (seconds.max(0.0) * 1e6).round() as Micros
}

/// A span in microseconds as seconds.
pub fn seconds(span: Micros) -> f64 {
    span as f64 / 1e6
}

/// The day starts here: dispatchers know times before it, and 0 is "long ago" in the worker list.
pub const DAY_START: Micros = 1_000_000_000;
/// Nothing can go wrong before this part of the day.
const FAULT_FREE_SHARE: f64 = 0.1;
/// A job's work at speed 1 stays within these, in seconds.
const WORK: (f64, f64) = (0.001, 200.0);
/// Swings of the rate over a day.
const RATE_CYCLES_PER_DAY: f64 = 1.5;

/// Draws for one purpose; a stream of its own keeps the others the same when one draws more.
pub fn random_stream(seed: u64, purpose: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(
        seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ purpose.wrapping_mul(0xd1b5_4a32_d192_ed03),
    )
}

/// A figure out of a span.
pub fn sample(span: Span, rng: &mut impl Rng) -> f64 {
    if span.0 < span.1 {
        rng.random_range(span.0..=span.1)
    } else {
        span.0
    }
}

fn sample_whole(span: Span, rng: &mut impl Rng) -> usize {
    sample((span.0, span.1 + 0.999), rng) as usize
}

/// A worker process as it starts.
#[derive(Clone, Debug)]
pub struct WorkerPlan {
    /// Its kind: a position in the experiment's.
    pub kind: usize,
    /// Its zone.
    pub zone: u32,
    /// Its rack.
    pub rack: u32,
    /// Cores.
    pub cores: f64,
    /// Slots.
    pub slots: u32,
    /// Waiting jobs.
    pub queue_capacity: usize,
    /// Work done by a core in a second.
    pub speed: f64,
    /// The part of its capacity that it starts with after a restart.
    pub initial_capacity: f64,
    /// Seconds until it is warm then.
    pub warm_up: f64,
    /// The part of jobs that ends in an error.
    pub error_rate: f64,
    /// Jobs that wait are dropped when their attempt is called off.
    pub drops_cancelled: bool,
    /// Connections that it holds.
    pub max_connections: u32,
}

/// A dispatcher.
#[derive(Clone, Debug)]
pub struct DispatcherPlan {
    /// Its zone.
    pub zone: u32,
    /// How much later than others it hears of the worker list.
    pub list_delay: Micros,
}

/// A job, as its client first hands it in.
#[derive(Clone, Debug)]
pub struct JobPlan {
    /// When.
    pub arrival: Micros,
    /// Where.
    pub dispatcher: u32,
    /// Its class.
    pub class: u32,
    /// Its tenant.
    pub tenant: u32,
    /// Slots.
    pub slots: u32,
    /// Work in seconds at speed 1.
    pub work: f64,
    /// Its worth if served in time.
    pub value: f64,
    /// When the client leaves, where it does not wait for its time to be up.
    pub client_leaves_at: Option<Micros>,
    /// How long it waits before a retry, where it retries.
    pub retry_backoff: Option<Micros>,
    /// It waits for as long as a refusal says.
    pub honours_retry_after: bool,
}

/// Something that goes wrong, or stops.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A worker takes jobs and answers nothing, or is well again.
    HangWorker(usize, bool),
    /// Another program takes this part of a worker's machine.
    NoisyNeighbour(usize, f64),
    /// A worker drains; its successor starts when it has ended, after this long.
    ReplaceWorker(usize, Micros),
    /// A worker dies and starts again cold after this long.
    CrashWorker(usize, Micros),
    /// A dispatcher is killed and is back after this long.
    RestartDispatcher(usize, Micros),
}

/// How long each part of the network takes.
#[derive(Clone, Debug)]
pub struct Network {
    /// One way within a zone, in seconds.
    pub same_zone: f64,
    /// One way between zones, in seconds.
    pub cross_zone: f64,
    /// Each message takes up to this part longer.
    pub jitter: f64,
    /// Round trips of a handshake.
    pub handshake_rtts: f64,
    /// What a handshake costs the worker, in seconds of one core.
    pub handshake: f64,
    /// Idle connections are closed after this.
    pub idle: Micros,
    /// Dials end after this.
    pub connect_timeout: Micros,
}

/// How the worker list travels.
#[derive(Clone, Debug)]
pub struct DiscoveryDelays {
    /// Until a drain or an end is known.
    pub drain_notice: Micros,
    /// Until a death is.
    pub death_notice: Micros,
    /// Until a start is.
    pub start_notice: Micros,
    /// Changes go out together, so often.
    pub publish_period: Micros,
}

/// A day.
#[derive(Clone, Debug)]
pub struct Day {
    /// The seed it was drawn by.
    pub seed: u64,
    /// When the last client comes.
    pub last_arrival: Micros,
    /// The workers that run at dawn.
    pub workers: Vec<WorkerPlan>,
    /// The dispatchers.
    pub dispatchers: Vec<DispatcherPlan>,
    /// The jobs, in the order of their time.
    pub jobs: Vec<JobPlan>,
    /// What goes wrong, in the order of its time.
    pub faults: Vec<(Micros, Fault)>,
    /// The network.
    pub network: Network,
    /// The worker list.
    pub discovery: DiscoveryDelays,
    /// How far attempts differ, by class.
    pub work_noise: Vec<f64>,
    /// The mean work of a job's slot at speed 1 in seconds, by class.
    pub mean_work: Vec<f64>,
    /// What each tenant was promised, in jobs a second over all dispatchers.
    pub quotas: Vec<f64>,
    /// What the warm fleet can do, in slot-seconds of work a second.
    pub capacity: f64,
}

impl Day {
    /// Draws a day.
    pub fn draw(experiment: &Experiment, case: &Case, seed: u64) -> Day {
        let mut rng = random_stream(seed, 1);
        let workers = draw_workers(experiment, &mut rng);
        let count = sample_whole(experiment.dispatchers, &mut rng).max(1);
        let dispatchers = (0..count)
            .map(|i| DispatcherPlan {
                zone: i as u32 % experiment.zones,
                list_delay: micros(sample(experiment.discovery.list_delay, &mut rng)),
            })
            .collect();
        let net = &experiment.network;
        let network = Network {
            same_zone: sample(net.same_zone, &mut rng),
            cross_zone: sample(net.cross_zone, &mut rng),
            jitter: sample(net.jitter, &mut rng),
            handshake_rtts: sample(net.handshake_rtts, &mut rng),
            handshake: sample(net.handshake, &mut rng),
            idle: micros(net.idle),
            connect_timeout: micros(net.connect_timeout),
        };
        let told = &experiment.discovery;
        let discovery = DiscoveryDelays {
            drain_notice: micros(sample(told.drain_notice, &mut rng)),
            death_notice: micros(sample(told.death_notice, &mut rng)),
            start_notice: micros(sample(told.start_notice, &mut rng)),
            publish_period: micros(sample(told.publish_period, &mut rng)),
        };
        let capacity = workers.iter().map(|w| w.speed * w.cores.min(f64::from(w.slots))).sum();
        let mut day = Day {
            seed,
            last_arrival: DAY_START + micros(experiment.length),
            workers,
            dispatchers,
            jobs: Vec::new(),
            faults: Vec::new(),
            network,
            discovery,
            work_noise: Vec::new(),
            mean_work: Vec::new(),
            quotas: Vec::new(),
            capacity,
        };
        let bursts = day.draw_faults(experiment, case, &mut random_stream(seed, 2));
        day.draw_jobs(experiment, case, &bursts, &mut random_stream(seed, 3));
        day
    }

    /// Draws what goes wrong; what it does to the traffic is returned as (from, to, factor).
    fn draw_faults(
        &mut self,
        experiment: &Experiment,
        case: &Case,
        rng: &mut Pcg64Mcg,
    ) -> Vec<(f64, f64, f64)> {
        let mut bursts = Vec::new();
        let day = experiment.length;
        for trouble in &case.faults {
            let length = sample(trouble.length, rng).min(day * (1.0 - FAULT_FREE_SHARE));
            let start = rng.random_range(day * FAULT_FREE_SHARE..=(day - length).max(day * FAULT_FREE_SHARE));
            let part = sample(trouble.affected_share, rng);
            let size = sample(trouble.magnitude, rng);
            let mut met: Vec<usize> = match trouble.kind {
                FaultKind::RestartDispatchers => (0..self.dispatchers.len()).collect(),
                _ => (0..self.workers.len()).collect(),
            };
            let all = met.len();
            met.shuffle(rng);
            met.truncate(((all as f64 * part).round() as usize).max(1));
            let at = |seconds: f64| DAY_START + micros(seconds);
            match trouble.kind {
                FaultKind::Burst => bursts.push((start, start + length, size)),
                FaultKind::Hang => {
                    for worker in met {
                        self.faults.push((at(start), Fault::HangWorker(worker, true)));
                        self.faults.push((at(start + length), Fault::HangWorker(worker, false)));
                    }
                }
                FaultKind::NoisyNeighbour => {
                    for worker in met {
                        let (mut now, mut on) =
                            (start + rng.random_range(0.0..=trouble.interval.1.max(0.001)), true);
                        while now < start + length {
                            let taken = if on { size } else { 0.0 };
                            self.faults.push((at(now), Fault::NoisyNeighbour(worker, taken)));
                            now += sample(trouble.interval, rng).max(0.05);
                            on = !on;
                        }
                        self.faults.push((at(start + length), Fault::NoisyNeighbour(worker, 0.0)));
                    }
                }
                FaultKind::Deploy | FaultKind::Crash | FaultKind::RestartDispatchers => {
                    self.draw_rolling_fault(trouble, &met, all, (start, length, size), rng);
                }
            }
        }
        self.faults.sort_by_key(|(at, _)| *at);
        bursts
    }

    /// Draws mishaps that go through the fleet batch by batch, the batches evenly over the time.
    fn draw_rolling_fault(
        &mut self,
        trouble: &FaultSpec,
        met: &[usize],
        all: usize,
        (start, length, size): (f64, f64, f64),
        rng: &mut Pcg64Mcg,
    ) {
        let batch = ((all as f64 * size).round() as usize).max(1);
        let batches = met.len().div_ceil(batch);
        for (n, workers) in met.chunks(batch).enumerate() {
            let begin = DAY_START + micros(start + length * n as f64 / batches as f64);
            let lasts = micros(sample(trouble.interval, rng));
            for &one in workers {
                let mishap = match trouble.kind {
                    FaultKind::Deploy => Fault::ReplaceWorker(one, lasts),
                    FaultKind::Crash => Fault::CrashWorker(one, lasts),
                    _ => Fault::RestartDispatcher(one, lasts),
                };
                self.faults.push((begin, mishap));
            }
        }
    }

    fn draw_jobs(
        &mut self,
        experiment: &Experiment,
        case: &Case,
        bursts: &[(f64, f64, f64)],
        rng: &mut Pcg64Mcg,
    ) {
        let traffic = &experiment.traffic;
        let drawn: Vec<(f64, f64, f64)> = traffic
            .classes
            .iter()
            .map(|c| (sample(c.share, rng), sample(c.work, rng), sample(c.cv, rng)))
            .collect();
        self.mean_work = drawn.iter().map(|(_, work, _)| *work).collect();
        self.work_noise = traffic.classes.iter().map(|c| sample(c.noise, rng)).collect();
        let class_weights: Vec<f64> = drawn.iter().map(|(share, _, _)| *share).collect();
        let usage: Vec<f64> = traffic.tenants.iter().map(|t| t.share * sample(t.usage, rng)).collect();
        let weights: Vec<f64> = self
            .dispatchers
            .iter()
            .map(|_| {
                let normal: f64 = Normal::new(0.0, 1.0).map_or(0.0, |n| n.sample(rng));
                (sample(traffic.skew, rng) * normal).exp()
            })
            .collect();
        let slots_mean = |n: usize| -> f64 {
            let slots = &traffic.classes[n].slots;
            let parts: f64 = slots.iter().map(|(_, part)| part).sum();
            slots.iter().map(|(slots, part)| f64::from(*slots) * part).sum::<f64>() / parts
        };
        let whole: f64 = class_weights.iter().sum::<f64>().max(1e-9);
        let asked: f64 =
            drawn.iter().enumerate().map(|(n, (share, work, _))| share / whole * work * slots_mean(n)).sum();
        let load = sample(case.load, rng);
        let rate = load * self.capacity / asked.max(1e-9);
        let sold = sample(traffic.quota, rng) * self.capacity / asked.max(1e-9);
        let shares: f64 = traffic.tenants.iter().map(|t| t.share).sum::<f64>().max(1e-9);
        self.quotas = traffic.tenants.iter().map(|t| sold * t.share / shares).collect();

        // The rate over the day, in steps, and how much of it has passed by each step.
        let swing = sample(traffic.swing, rng);
        let phase = rng.random_range(0.0..std::f64::consts::TAU);
        let step = 0.05_f64.min(experiment.length / 100.0);
        let steps = (experiment.length / step).ceil() as usize;
        let mut passed = Vec::with_capacity(steps + 1);
        let mut sum = 0.0;
        for n in 0..steps {
            passed.push(sum);
            let now = n as f64 * step;
            let wave = (phase + RATE_CYCLES_PER_DAY * std::f64::consts::TAU * now / experiment.length).sin();
            let burst: f64 = bursts
                .iter()
                .filter(|(from, to, _)| (*from..*to).contains(&now))
                .map(|(_, _, f)| *f)
                .product();
            sum += step * (1.0 + swing * wave) * burst;
        }
        passed.push(sum);

        let works: Vec<WorkDistribution> = traffic
            .classes
            .iter()
            .zip(&drawn)
            .map(|(class, (_, mean, cv))| WorkDistribution::new(class.work_shape, *mean, *cv))
            .collect();
        let clients = &experiment.clients;
        let (retry, honour) = (sample(clients.retry, rng), sample(clients.honour_retry_after, rng));
        let (backoff, impatient) = (sample(clients.backoff, rng), sample(clients.impatient_share, rng));
        let cv = sample(traffic.stream_cv, rng);
        let gaps = Gamma::new(1.0 / (cv * cv), cv * cv);
        let total: f64 = weights.iter().sum::<f64>().max(1e-9);
        for (dispatcher, weight) in weights.iter().enumerate() {
            let pace = rate * weight / total;
            let mut now = 0.0;
            loop {
                let gap: f64 = match &gaps {
                    Ok(gaps) => gaps.sample(rng),
                    Err(_) => rng.sample(Exp1),
                };
                now += gap / pace.max(1e-9);
                if now >= sum {
                    break;
                }
                let at = passed.partition_point(|p| *p <= now).saturating_sub(1);
                let into = (now - passed[at]) / (passed[at + 1] - passed[at]).max(1e-12);
                let class = weighted_index(&class_weights, rng);
                let spec = &traffic.classes[class];
                let parts: Vec<f64> = spec.slots.iter().map(|(_, part)| *part).collect();
                let slots = spec.slots[weighted_index(&parts, rng)].0;
                let work = works[class].draw(rng).clamp(WORK.0, WORK.1);
                let at = DAY_START + micros((at as f64 + into) * step);
                let leaves = rng.random_bool(impatient);
                let leaves = leaves.then(|| at + micros(rng.random_range(0.0..spec.timeout)));
                let retries = rng.random_bool(retry);
                let wait = micros(backoff * rng.random_range(0.5..1.5));
                self.jobs.push(JobPlan {
                    arrival: at,
                    dispatcher: dispatcher as u32,
                    class: class as u32,
                    tenant: weighted_index(&usage, rng) as u32,
                    slots,
                    work,
                    value: spec.priority_weight * work * f64::from(slots),
                    client_leaves_at: leaves,
                    retry_backoff: retries.then_some(wait),
                    honours_retry_after: rng.random_bool(honour),
                });
            }
        }
        self.jobs.sort_by_key(|job| (job.arrival, job.dispatcher));
        self.discount_over_quota(traffic.over_quota_weight);
    }

    /// Traffic of a tenant beyond its quota is worth less.
    fn discount_over_quota(&mut self, part: f64) {
        let mut meters: Vec<(f64, Micros)> = self.quotas.iter().map(|quota| (*quota, DAY_START)).collect();
        for job in &mut self.jobs {
            let quota = self.quotas.get(job.tenant as usize).copied().unwrap_or_default();
            let Some((left, since)) = meters.get_mut(job.tenant as usize) else { continue };
            // A second's quota may be saved up.
            *left = (*left + quota * seconds(job.arrival - *since)).min(quota.max(1.0));
            *since = job.arrival;
            if *left >= 1.0 {
                *left -= 1.0;
            } else {
                job.value *= part;
            }
        }
    }
}

/// A position, by weight.
fn weighted_index(weights: &[f64], rng: &mut impl Rng) -> usize {
    let total: f64 = weights.iter().sum();
    let mut left = rng.random_range(0.0..1.0) * total;
    for (n, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return n;
        }
    }
    weights.len().saturating_sub(1)
}

/// A distribution of work by mean and coefficient of variation.
enum WorkDistribution {
    Pareto(Pareto<f64>),
    Lognormal(LogNormal<f64>),
    Exponential(f64),
}

impl WorkDistribution {
    fn new(dist: WorkShape, mean: f64, cv: f64) -> WorkDistribution {
        let exponential = WorkDistribution::Exponential(mean);
        match dist {
            WorkShape::Pareto => {
                let shape = 1.0 + (1.0 + 1.0 / (cv * cv)).sqrt();
                Pareto::new(mean * (shape - 1.0) / shape, shape).map_or(exponential, WorkDistribution::Pareto)
            }
            WorkShape::Lognormal => {
                let variance = (1.0 + cv * cv).ln();
                LogNormal::new(mean.ln() - variance / 2.0, variance.sqrt())
                    .map_or(exponential, WorkDistribution::Lognormal)
            }
            WorkShape::Exponential => exponential,
        }
    }

    fn draw(&self, rng: &mut impl Rng) -> f64 {
        match self {
            WorkDistribution::Pareto(pareto) => pareto.sample(rng),
            WorkDistribution::Lognormal(lognormal) => lognormal.sample(rng),
            WorkDistribution::Exponential(mean) => mean * rng.sample::<f64, _>(Exp1),
        }
    }
}

fn draw_workers(experiment: &Experiment, rng: &mut Pcg64Mcg) -> Vec<WorkerPlan> {
    let count = sample_whole(experiment.workers, rng).max(1);
    let rack = sample_whole(experiment.rack_size, rng).max(1);
    // Speeds of a kind differ about one figure that holds for the day.
    let speeds: Vec<(f64, f64, f64)> = experiment
        .kinds
        .iter()
        .map(|k| (sample(k.speed, rng), sample(k.speed_cv, rng), sample(k.slots_per_core, rng)))
        .collect();
    let kinds = apportion(&experiment.kinds, count, rng);
    // Racks stand within a zone.
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

/// Gives each worker a kind, by the kinds' shares, the largest remainders rounded up.
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
