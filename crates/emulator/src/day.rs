//! One day, drawn from an experiment's case by a seed: workers, dispatchers, every job with its work, and when what
//! goes wrong. It is drawn whole before anything runs, so that all arms see the same day.

mod faults;
mod jobs;
mod workers;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use self::workers::draw_workers;
use crate::spec::{Case, Experiment, Span};

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
}
