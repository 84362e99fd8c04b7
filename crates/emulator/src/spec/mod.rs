//! Specification of an experiment, read from an HCL file: the fleet, the traffic, the faults, the cases and the arms.
//!
//! `base.hcl` holds the defaults: a key that is absent in a block is read from there, and an absent list of labeled
//! blocks (kinds, classes, tenants) is taken from there as a whole. Most values are ranges, from which [`crate::day`]
//! draws a value for each simulated day.

mod faults;
mod fleet;
mod layer;
mod reader;
mod workload;

use dispatch_core::api::CapacityReservation;

pub use faults::{FaultKind, FaultSpec};
pub use fleet::{DiscoverySpec, KindSpec, NetworkSpec, RuleSpec};
pub use reader::read;
pub use workload::{ClassSpec, ClientSpec, TenantSpec, TrafficSpec, WorkShape};

/// Lower and upper bound of a value that is drawn for each simulated day.
pub type ValueRange = (f64, f64);

/// A case of an experiment: the load and the faults that its simulated days have in common.
#[derive(Clone, Debug)]
pub struct Case {
    /// Name of the case.
    pub name: String,
    /// Work requested, as a share of the capacity of the warm fleet.
    pub load: ValueRange,
    /// Faults injected on each day of the case.
    pub faults: Vec<FaultSpec>,
}

/// Router that selects workers in an arm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouterKind {
    /// The decision module of `dispatch-core`.
    DecisionModule,
    /// A random worker.
    Random,
    /// All workers in turn.
    RoundRobin,
    /// The worker with the fewest outstanding attempts of the same dispatcher.
    LeastOutstanding,
    /// The less loaded of two random workers.
    PowerOfTwo,
    /// The worker that is best by the true state of all workers, which no real dispatcher sees.
    Oracle,
}

/// An arm of an experiment: a router with its settings. All arms run the same simulated days.
#[derive(Clone, Debug)]
pub struct Arm {
    /// Name of the arm.
    pub name: String,
    /// Router of all dispatchers.
    pub router: RouterKind,
    /// Factor of the tenants' quotas in the dispatchers' settings.
    pub quota: f64,
    /// Most attempts of a request; `None` keeps the value of [`RuleSpec`].
    pub attempts: Option<u32>,
    /// Time by which the clock of every second dispatcher is ahead, in seconds.
    pub clock_error: f64,
    /// Whether hedged requests are allowed.
    pub hedging: bool,
    /// Capacity reservation for large jobs, if any.
    pub capacity_reservation: Option<CapacityReservation>,
}

/// An experiment, as its file specifies it.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Name of the experiment.
    pub name: String,
    /// Description in one line.
    pub about: String,
    /// Time within which jobs arrive, in seconds.
    pub length: f64,
    /// Fewest slots of a large job.
    pub large_slots: u32,
    /// Number of workers.
    pub workers: ValueRange,
    /// Number of dispatchers.
    pub dispatchers: ValueRange,
    /// Number of zones.
    pub zones: u32,
    /// Workers per rack.
    pub rack_size: ValueRange,
    /// Kinds of worker.
    pub kinds: Vec<KindSpec>,
    /// Delays of the network, and connections.
    pub network: NetworkSpec,
    /// Traffic of the clients.
    pub traffic: TrafficSpec,
    /// Behavior of the clients.
    pub clients: ClientSpec,
    /// Delays of discovery.
    pub discovery: DiscoverySpec,
    /// Limits of the rules.
    pub rules: RuleSpec,
    /// Cases, each with its load and faults.
    pub cases: Vec<Case>,
    /// Arms to compare.
    pub arms: Vec<Arm>,
}
