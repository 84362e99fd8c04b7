//! Draws the jobs of a simulated day: the arrival rate over time, the arrivals, and each job's class, tenant and work.

use std::f64::consts::TAU;

use rand::Rng;
use rand_distr::{Distribution as _, Exp1, Gamma, LogNormal, Normal, Pareto};
use rand_pcg::Pcg64Mcg;

use super::faults::Burst;
use super::{micros, sample, seconds, Day, JobPlan, Micros, DAY_START};
use crate::spec::{Case, ClientSpec, Experiment, TrafficSpec, WorkShape};

/// Least work of a job, in seconds at speed 1.
const MIN_WORK_S: f64 = 0.001;
/// Most work of a job, in seconds at speed 1.
const MAX_WORK_S: f64 = 200.0;
/// Cycles of the arrival rate's slow variation in a day.
const RATE_CYCLES_PER_DAY: f64 = 1.5;
/// Longest step by which the arrival rate is integrated, in seconds.
const MAX_RATE_STEP_S: f64 = 0.05;
/// Fewest such steps in a day.
const MIN_RATE_STEPS: f64 = 100.0;

/// Values of a class that are drawn once for the day.
struct ClassDraw {
    share: f64,
    mean_work: f64,
    cv: f64,
}

/// Behavior of the clients, drawn once for the day.
struct ClientDraw {
    retry: f64,
    honour_retry_after: f64,
    backoff: f64,
    impatient: f64,
}

impl ClientDraw {
    fn new(spec: &ClientSpec, rng: &mut Pcg64Mcg) -> ClientDraw {
        ClientDraw {
            retry: sample(spec.retry, rng),
            honour_retry_after: sample(spec.honour_retry_after, rng),
            backoff: sample(spec.backoff, rng),
            impatient: sample(spec.impatient_share, rng),
        }
    }
}

/// Arrival rate over the day, relative to its mean without bursts.
struct RateProfile {
    /// Length of a step, in seconds.
    step: f64,
    /// Integral of the rate up to the start of each step, and up to the end of the day.
    cumulative: Vec<f64>,
}

impl RateProfile {
    fn draw(experiment: &Experiment, bursts: &[Burst], rng: &mut Pcg64Mcg) -> RateProfile {
        let swing = sample(experiment.traffic.swing, rng);
        let phase = rng.random_range(0.0..TAU);
        let step = MAX_RATE_STEP_S.min(experiment.length / MIN_RATE_STEPS);
        let steps = (experiment.length / step).ceil() as usize;
        let mut cumulative = Vec::with_capacity(steps + 1);
        let mut sum = 0.0;
        for number in 0..steps {
            cumulative.push(sum);
            let now = number as f64 * step;
            let wave = (phase + RATE_CYCLES_PER_DAY * TAU * now / experiment.length).sin();
            let active = bursts.iter().filter(|burst| (burst.from..burst.until).contains(&now));
            let burst: f64 = active.map(|burst| burst.factor).product();
            sum += step * (1.0 + swing * wave) * burst;
        }
        cumulative.push(sum);
        RateProfile { step, cumulative }
    }

    fn total(&self) -> f64 {
        self.cumulative.last().copied().unwrap_or_default()
    }

    /// Returns the time, in seconds from the day's start, at which the integral of the rate reaches `sum`.
    fn time_of(&self, sum: f64) -> f64 {
        let step = self.cumulative.partition_point(|passed| *passed <= sum).saturating_sub(1);
        let (before, after) = (self.cumulative[step], self.cumulative[step + 1]);
        let part = (sum - before) / (after - before).max(1e-12);
        (step as f64 + part) * self.step
    }
}

/// Distributions from which the jobs of a day are drawn.
struct JobSource<'a> {
    traffic: &'a TrafficSpec,
    class_weights: Vec<f64>,
    tenant_weights: Vec<f64>,
    work: Vec<WorkDistribution>,
    clients: ClientDraw,
}

impl JobSource<'_> {
    fn draw(&self, arrival_s: f64, dispatcher: usize, rng: &mut Pcg64Mcg) -> JobPlan {
        let class = weighted_index(&self.class_weights, rng);
        let spec = &self.traffic.classes[class];
        let shares: Vec<f64> = spec.slots.iter().map(|(_, part)| *part).collect();
        let slots = spec.slots[weighted_index(&shares, rng)].0;
        let work = self.work[class].draw(rng).clamp(MIN_WORK_S, MAX_WORK_S);
        let arrival = DAY_START + micros(arrival_s);
        let leaves = rng.random_bool(self.clients.impatient);
        let client_leaves_at = leaves.then(|| arrival + micros(rng.random_range(0.0..spec.timeout)));
        let retries = rng.random_bool(self.clients.retry);
        let backoff = micros(self.clients.backoff * rng.random_range(0.5..1.5));
        JobPlan {
            arrival,
            dispatcher: dispatcher as u32,
            class: class as u32,
            tenant: weighted_index(&self.tenant_weights, rng) as u32,
            slots,
            work,
            value: spec.priority_weight * work * f64::from(slots),
            client_leaves_at,
            retry_backoff: retries.then_some(backoff),
            honours_retry_after: rng.random_bool(self.clients.honour_retry_after),
        }
    }
}

/// Returns the mean number of slots of a class's jobs.
fn mean_slots(slots: &[(u32, f64)]) -> f64 {
    let parts: f64 = slots.iter().map(|(_, part)| part).sum();
    slots.iter().map(|(slots, part)| f64::from(*slots) * part).sum::<f64>() / parts
}

impl Day {
    pub(super) fn draw_jobs(
        &mut self,
        experiment: &Experiment,
        case: &Case,
        bursts: &[Burst],
        rng: &mut Pcg64Mcg,
    ) {
        let traffic = &experiment.traffic;
        let classes: Vec<ClassDraw> = traffic
            .classes
            .iter()
            .map(|class| ClassDraw {
                share: sample(class.share, rng),
                mean_work: sample(class.work, rng),
                cv: sample(class.cv, rng),
            })
            .collect();
        self.mean_work = classes.iter().map(|class| class.mean_work).collect();
        self.work_noise = traffic.classes.iter().map(|class| sample(class.noise, rng)).collect();
        let tenants = traffic.tenants.iter();
        let tenant_weights = tenants.map(|tenant| tenant.share * sample(tenant.usage, rng)).collect();
        let dispatcher_weights = self.draw_dispatcher_weights(traffic, rng);
        let rate = self.draw_rate_and_quotas(traffic, case, &classes, rng);
        let profile = RateProfile::draw(experiment, bursts, rng);
        let specs = traffic.classes.iter().zip(&classes);
        let work =
            specs.map(|(spec, class)| WorkDistribution::new(spec.work_shape, class.mean_work, class.cv));
        let source = JobSource {
            traffic,
            class_weights: classes.iter().map(|class| class.share).collect(),
            tenant_weights,
            work: work.collect(),
            clients: ClientDraw::new(&experiment.clients, rng),
        };
        self.draw_arrivals(&source, &profile, rate, &dispatcher_weights, rng);
        self.jobs.sort_by_key(|job| (job.arrival, job.dispatcher));
        self.discount_over_quota(traffic.over_quota_weight);
    }

    /// Draws the relative traffic of each dispatcher.
    fn draw_dispatcher_weights(&self, traffic: &TrafficSpec, rng: &mut Pcg64Mcg) -> Vec<f64> {
        let weight = |_| {
            let normal: f64 = Normal::new(0.0, 1.0).map_or(0.0, |normal| normal.sample(rng));
            (sample(traffic.skew, rng) * normal).exp()
        };
        self.dispatchers.iter().map(weight).collect()
    }

    /// Draws the quotas of the tenants and the mean arrival rate of all jobs; returns the rate, in jobs per second.
    fn draw_rate_and_quotas(
        &mut self,
        traffic: &TrafficSpec,
        case: &Case,
        classes: &[ClassDraw],
        rng: &mut Pcg64Mcg,
    ) -> f64 {
        let all_classes: f64 = classes.iter().map(|class| class.share).sum::<f64>().max(1e-9);
        let slots = traffic.classes.iter().map(|class| mean_slots(&class.slots));
        let work = classes.iter().zip(slots);
        let work_per_job: f64 =
            work.map(|(class, slots)| class.share / all_classes * class.mean_work * slots).sum();
        let load = sample(case.load, rng);
        let rate = load * self.capacity / work_per_job.max(1e-9);
        let total_quota = sample(traffic.quota, rng) * self.capacity / work_per_job.max(1e-9);
        let all_tenants: f64 = traffic.tenants.iter().map(|tenant| tenant.share).sum::<f64>().max(1e-9);
        self.quotas = traffic.tenants.iter().map(|tenant| total_quota * tenant.share / all_tenants).collect();
        rate
    }

    fn draw_arrivals(
        &mut self,
        source: &JobSource<'_>,
        profile: &RateProfile,
        rate: f64,
        dispatcher_weights: &[f64],
        rng: &mut Pcg64Mcg,
    ) {
        let cv = sample(source.traffic.stream_cv, rng);
        let gaps = Gamma::new(1.0 / (cv * cv), cv * cv);
        let all_dispatchers: f64 = dispatcher_weights.iter().sum::<f64>().max(1e-9);
        for (dispatcher, weight) in dispatcher_weights.iter().enumerate() {
            let own_rate = rate * weight / all_dispatchers;
            let mut sum = 0.0;
            loop {
                let gap: f64 = match &gaps {
                    Ok(gaps) => gaps.sample(rng),
                    Err(_) => rng.sample(Exp1),
                };
                sum += gap / own_rate.max(1e-9);
                if sum >= profile.total() {
                    break;
                }
                self.jobs.push(source.draw(profile.time_of(sum), dispatcher, rng));
            }
        }
    }

    /// Multiplies the value of jobs beyond their tenant's quota by `weight`.
    fn discount_over_quota(&mut self, weight: f64) {
        let mut meters: Vec<(f64, Micros)> = self.quotas.iter().map(|quota| (*quota, DAY_START)).collect();
        for job in &mut self.jobs {
            let quota = self.quotas.get(job.tenant as usize).copied().unwrap_or_default();
            let Some((left, since)) = meters.get_mut(job.tenant as usize) else { continue };
            // Unused quota accumulates up to the quota of one second.
            *left = (*left + quota * seconds(job.arrival - *since)).min(quota.max(1.0));
            *since = job.arrival;
            if *left >= 1.0 {
                *left -= 1.0;
            } else {
                job.value *= weight;
            }
        }
    }
}

/// Draws an index with a probability proportional to its weight.
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

/// Distribution of work with a given mean and coefficient of variation.
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
