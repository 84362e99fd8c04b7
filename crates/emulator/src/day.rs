//! A simulated day: one workload that a seed draws from a case of an experiment, with its workers, dispatchers, jobs
//! and faults. It is shorter than a real day; [`Experiment::length`] sets its length. A day is drawn as a whole before
//! anything runs, so that it is the same for all arms.

mod faults;
mod jobs;
mod workers;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use self::workers::draw_workers;
use crate::spec::{Case, Experiment, ValueRange};

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// Converts seconds to microseconds; negative values become 0.
pub fn micros(seconds: f64) -> Micros {
    (seconds.max(0.0) * 1e6).round() as Micros
}

/// Converts microseconds to seconds.
pub fn seconds(duration: Micros) -> f64 {
    duration as f64 / 1e6
}

/// Start of every day. It is above 0 so that times before the start can be represented, and because the worker list
/// uses 0 for "long ago".
pub const DAY_START: Micros = 1_000_000_000;

/// Returns the random number generator for one purpose. Each purpose has its own stream, so that more draws for one do
/// not change the others.
pub fn random_stream(seed: u64, purpose: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(
        seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ purpose.wrapping_mul(0xd1b5_4a32_d192_ed03),
    )
}

/// Draws a value from a range, uniformly.
pub fn sample(range: ValueRange, rng: &mut impl Rng) -> f64 {
    if range.0 < range.1 {
        rng.random_range(range.0..=range.1)
    } else {
        range.0
    }
}

fn sample_integer(range: ValueRange, rng: &mut impl Rng) -> usize {
    sample((range.0, range.1 + 0.999), rng) as usize
}

/// A worker of the day.
#[derive(Clone, Debug)]
pub struct WorkerPlan {
    /// Index of its kind in [`Experiment::kinds`].
    pub kind: usize,
    /// Zone in which the worker runs.
    pub zone: u32,
    /// Rack in which the worker runs; racks lie within a zone.
    pub rack: u32,
    /// Cores of the machine.
    pub cores: f64,
    /// Slots for jobs that run at the same time.
    pub slots: u32,
    /// Most jobs that wait in the queue.
    pub queue_capacity: usize,
    /// Speed of a core: work that it does in a second, where 1 is the reference speed.
    pub speed: f64,
    /// Share of its capacity with which the worker starts during the day.
    pub initial_capacity: f64,
    /// Time from such a start until the worker is warm, in seconds.
    pub warm_up: f64,
    /// Share of jobs that fail.
    pub error_rate: f64,
    /// Whether the worker drops a queued job when its attempt is canceled.
    pub drops_cancelled: bool,
    /// Most connections that the worker accepts.
    pub max_connections: u32,
}

/// A dispatcher of the day.
#[derive(Clone, Debug)]
pub struct DispatcherPlan {
    /// Zone in which the dispatcher runs.
    pub zone: u32,
    /// Delay from a publication of the worker list until the dispatcher receives it.
    pub list_delay: Micros,
}

/// A job, as its client first submits it.
#[derive(Clone, Debug)]
pub struct JobPlan {
    /// Time at which the client submits the job.
    pub arrival: Micros,
    /// Index of the dispatcher that receives it.
    pub dispatcher: u32,
    /// Index of its class.
    pub class: u32,
    /// Index of its tenant.
    pub tenant: u32,
    /// Slots that the job occupies on a worker.
    pub slots: u32,
    /// Work in seconds at speed 1.
    pub work: f64,
    /// Value of the job if it is served in time.
    pub value: f64,
    /// Time at which the client leaves; `None` if it waits until its timeout.
    pub client_leaves_at: Option<Micros>,
    /// Wait of the client before its retry; `None` if it does not retry.
    pub retry_backoff: Option<Micros>,
    /// Whether the client waits for the time in `Retry-After` before a retry.
    pub honours_retry_after: bool,
}

/// Start or end of a fault. Workers and dispatchers are given by their index.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A worker hangs (`true`) or responds again (`false`).
    HangWorker(usize, bool),
    /// Another process takes this share of the CPU of a worker's machine.
    NoisyNeighbour(usize, f64),
    /// A worker drains and ends after this time, when its replacement starts.
    ReplaceWorker(usize, Micros),
    /// A worker dies and restarts cold after this time.
    CrashWorker(usize, Micros),
    /// A dispatcher is killed and restarts after this time.
    RestartDispatcher(usize, Micros),
}

/// Delays of the network on a day, and connections.
#[derive(Clone, Debug)]
pub struct Network {
    /// One-way delay within a zone, in seconds.
    pub same_zone: f64,
    /// One-way delay between zones, in seconds.
    pub cross_zone: f64,
    /// Largest random addition to the delay of a message, as a share of the delay.
    pub jitter: f64,
    /// Round trips of a connection's handshake.
    pub handshake_rtts: f64,
    /// Time that a handshake takes at the worker, in seconds.
    pub handshake: f64,
    /// Time after which an idle connection is closed.
    pub idle: Micros,
    /// Timeout for opening a connection.
    pub connect_timeout: Micros,
}

/// Delays with which discovery publishes changes of workers.
#[derive(Clone, Debug)]
pub struct DiscoveryDelays {
    /// Time until a worker's drain or end is published.
    pub drain_notice: Micros,
    /// Time until a worker's death is published.
    pub death_notice: Micros,
    /// Time until a worker's start is published.
    pub start_notice: Micros,
    /// Period with which pending changes are published together.
    pub publish_period: Micros,
}

/// A simulated day: one workload drawn by a seed, the same for all arms.
#[derive(Clone, Debug)]
pub struct Day {
    /// Seed from which the day was drawn.
    pub seed: u64,
    /// Time after which no job arrives.
    pub last_arrival: Micros,
    /// Workers that run at the start of the day.
    pub workers: Vec<WorkerPlan>,
    /// Dispatchers, which all run at the start of the day.
    pub dispatchers: Vec<DispatcherPlan>,
    /// Jobs, ordered by arrival.
    pub jobs: Vec<JobPlan>,
    /// Faults with the times at which they start or end, ordered by time.
    pub faults: Vec<(Micros, Fault)>,
    /// Delays of the network, and connections.
    pub network: Network,
    /// Delays of discovery.
    pub discovery: DiscoveryDelays,
    /// Coefficient of variation of the work among attempts of a job, by class.
    pub work_noise: Vec<f64>,
    /// Mean work of a job for each of its slots, in seconds at speed 1, by class.
    pub mean_work: Vec<f64>,
    /// Quota of each tenant, in jobs per second over all dispatchers.
    pub quotas: Vec<f64>,
    /// Capacity of the warm fleet, in slot-seconds of work per second at speed 1.
    pub capacity: f64,
}

impl Day {
    /// Draws a day of this case.
    pub fn draw(experiment: &Experiment, case: &Case, seed: u64) -> Day {
        let mut rng = random_stream(seed, 1);
        let workers = draw_workers(experiment, &mut rng);
        let count = sample_integer(experiment.dispatchers, &mut rng).max(1);
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
        let delays = &experiment.discovery;
        let discovery = DiscoveryDelays {
            drain_notice: micros(sample(delays.drain_notice, &mut rng)),
            death_notice: micros(sample(delays.death_notice, &mut rng)),
            start_notice: micros(sample(delays.start_notice, &mut rng)),
            publish_period: micros(sample(delays.publish_period, &mut rng)),
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
}
