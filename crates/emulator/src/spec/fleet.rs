//! The emulated fleet: kinds of machine, the network, discovery, and the figures of the rules.

use super::Span;

/// A kind of machine.
#[derive(Clone, Debug)]
pub struct KindSpec {
    /// Its name.
    pub name: String,
    /// Its part of the fleet.
    pub share: f64,
    /// Cores.
    pub cores: f64,
    /// Work done by a core in a second.
    pub speed: Span,
    /// How speeds differ within the kind.
    pub speed_cv: Span,
    /// Slots for each core.
    pub slots_per_core: Span,
    /// Waiting jobs for each core.
    pub queue_per_core: Span,
    /// The part of its capacity that a worker starts with.
    pub initial_capacity: Span,
    /// Seconds until it is warm.
    pub warm_up: Span,
    /// The part of jobs that ends in an error.
    pub error_rate: Span,
}

/// The network and connections.
#[derive(Clone, Debug)]
pub struct NetworkSpec {
    /// One way, in seconds.
    pub same_zone: Span,
    /// One way, in seconds.
    pub cross_zone: Span,
    /// Each message takes up to this part longer.
    pub jitter: Span,
    /// Round trips of a handshake.
    pub handshake_rtts: Span,
    /// What a handshake costs the worker, in seconds.
    pub handshake: Span,
    /// Idle connections are closed after this, in seconds.
    pub idle: f64,
    /// Dials end after this, in seconds.
    pub connect_timeout: f64,
    /// Connections that a worker holds for each core.
    pub max_connections_per_core: Span,
}

/// How the worker list travels, in seconds.
#[derive(Clone, Debug)]
pub struct DiscoverySpec {
    /// Until a drain or an end is known.
    pub drain_notice: Span,
    /// Until a death is.
    pub death_notice: Span,
    /// Until a start is.
    pub start_notice: Span,
    /// Changes go out together, so often.
    pub publish_period: Span,
    /// To one dispatcher later than to another by this at the most.
    pub list_delay: Span,
}

/// The figures of the rules; times in seconds.
#[derive(Clone, Debug)]
pub struct RuleSpec {
    /// New work to a draining worker ends this long after it was told.
    pub drain_grace: f64,
    /// Answers come this long after the deadline at the latest.
    pub answer_slack: f64,
    /// What dispatchers are told of cold workers.
    pub cold_share: f64,
    /// See there.
    pub warm_up: f64,
    /// A cold worker sent more than this many times what it can do ...
    pub overload_multiple: f64,
    /// ... within this span falls over.
    pub overload_window: f64,
    /// The most attempts of a request.
    pub max_attempts: u32,
    /// The price of crossing zones once a request.
    pub cross_zone_price: f64,
}
