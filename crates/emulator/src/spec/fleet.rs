//! Specification of the emulated fleet: kinds of worker, network, discovery, and limits of the rules.

use super::ValueRange;

/// A kind of worker, by the machines it runs on.
#[derive(Clone, Debug)]
pub struct KindSpec {
    /// Name of the kind.
    pub name: String,
    /// Share of the fleet, as a weight against the other kinds.
    pub share: f64,
    /// Cores of a machine.
    pub cores: f64,
    /// Speed of a core: work that it does in a second, where 1 is the reference speed.
    pub speed: ValueRange,
    /// Coefficient of variation of the speeds within the kind.
    pub speed_cv: ValueRange,
    /// Slots per core.
    pub slots_per_core: ValueRange,
    /// Jobs per core that may wait in the worker's queue.
    pub queue_per_core: ValueRange,
    /// Share of its capacity with which a worker starts.
    pub initial_capacity: ValueRange,
    /// Time until the worker is warm, in seconds.
    pub warm_up: ValueRange,
    /// Share of jobs that fail.
    pub error_rate: ValueRange,
}

/// Delays of the network, and connections.
#[derive(Clone, Debug)]
pub struct NetworkSpec {
    /// One-way delay within a zone, in seconds.
    pub same_zone: ValueRange,
    /// One-way delay between zones, in seconds.
    pub cross_zone: ValueRange,
    /// Largest random addition to the delay of a message, as a share of the delay.
    pub jitter: ValueRange,
    /// Round trips of a connection's handshake.
    pub handshake_rtts: ValueRange,
    /// Time that a handshake takes at the worker, in seconds.
    pub handshake: ValueRange,
    /// Time after which an idle connection is closed, in seconds.
    pub idle: f64,
    /// Timeout for opening a connection, in seconds.
    pub connect_timeout: f64,
    /// Most connections that a worker accepts, per core.
    pub max_connections_per_core: ValueRange,
}

/// Delays with which discovery publishes changes of workers and dispatchers receive them, in seconds.
#[derive(Clone, Debug)]
pub struct DiscoverySpec {
    /// Time until discovery publishes that a worker drains or has ended.
    pub drain_notice: ValueRange,
    /// Time until discovery publishes that a worker has died.
    pub death_notice: ValueRange,
    /// Time until discovery publishes that a worker has started.
    pub start_notice: ValueRange,
    /// Period with which discovery publishes pending changes together.
    pub publish_period: ValueRange,
    /// Additional delay until a dispatcher receives a published change; each dispatcher has its own.
    pub list_delay: ValueRange,
}

/// Limits of the rules, and settings of dispatchers that follow from them; times in seconds.
#[derive(Clone, Debug)]
pub struct RuleSpec {
    /// Time after the notice of a worker's drain within which a dispatcher may still send it jobs.
    pub drain_grace: f64,
    /// Time after the deadline within which a response is still in time.
    pub answer_slack: f64,
    /// Share of its capacity that dispatchers are configured to expect of a cold worker.
    pub cold_share: f64,
    /// Time within which dispatchers are configured to expect that a worker is warm.
    pub warm_up: f64,
    /// Work sent to a warming worker within `overload_window`, as a multiple of its capacity in that time, above which
    /// it is overloaded and its process ends.
    pub overload_multiple: f64,
    /// Length of the window for `overload_multiple`.
    pub overload_window: f64,
    /// Most attempts of a request.
    pub max_attempts: u32,
    /// Price of one attempt across zones per request, as a share of the service.
    pub cross_zone_price: f64,
}
