//! What an experiment says: the fleet, the traffic, the troubles, the cases and the arms, read from HCL.
//!
//! Where the file says nothing, `base.hcl` holds: a key that is absent in a block is looked for there, and a list of
//! labelled blocks (kinds, classes, tenants) is taken from there whole. What still is a span of figures is drawn for
//! each day by [`crate::day`].

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

/// A lower and an upper figure.
pub type Span = (f64, f64);

/// One kind of day of an experiment.
#[derive(Clone, Debug)]
pub struct Case {
    /// Its name.
    pub name: String,
    /// Work asked for, in parts of what the fleet can do.
    pub load: Span,
    /// What goes wrong.
    pub faults: Vec<FaultSpec>,
}

/// Who decides in an arm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouterKind {
    /// The decision module of `dispatch-core`.
    DecisionModule,
    /// Any worker.
    Random,
    /// One after the other.
    RoundRobin,
    /// The one that holds the fewest of ours.
    LeastOutstanding,
    /// The better of two.
    PowerOfTwo,
    /// Sees the true state of every worker.
    Oracle,
}

/// One of the routers compared.
#[derive(Clone, Debug)]
pub struct Arm {
    /// Its name.
    pub name: String,
    /// Who decides.
    pub router: RouterKind,
    /// Multiplies the quotas that the module is told: a setting to rank by.
    pub quota: f64,
    /// The most attempts of a request, where the arm sets it.
    pub attempts: Option<u32>,
    /// Every second dispatcher is told a time that is later by this, in seconds, as if its machine's clock were wrong.
    pub clock_error: f64,
    /// Second copies are allowed.
    pub hedging: bool,
    /// Room for large jobs.
    pub capacity_reservation: Option<CapacityReservation>,
}

/// An experiment.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// What it is about.
    pub about: String,
    /// How long clients come, in seconds.
    pub length: f64,
    /// Jobs of so many slots count as large.
    pub large_slots: u32,
    /// Workers and dispatchers.
    pub workers: Span,
    /// See there.
    pub dispatchers: Span,
    /// Data centres.
    pub zones: u32,
    /// Workers of a rack.
    pub rack_size: Span,
    /// Kinds of machine.
    pub kinds: Vec<KindSpec>,
    /// The network.
    pub network: NetworkSpec,
    /// What clients ask for.
    pub traffic: TrafficSpec,
    /// How clients behave.
    pub clients: ClientSpec,
    /// How the worker list travels.
    pub discovery: DiscoverySpec,
    /// The figures of the rules.
    pub rules: RuleSpec,
    /// Kinds of day.
    pub cases: Vec<Case>,
    /// Routers compared.
    pub arms: Vec<Arm>,
}
