//! The settings of a dispatcher that affect its decisions.

use std::collections::BTreeSet;

use super::ids::Seconds;
use crate::load_report::LoadReportFormat;

/// Idempotency of a class of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A job may run any number of times.
    Idempotent,
    /// Requests carry an idempotency key: workers within the scope drop repeats with the same key for
    /// [`Class::key_window`].
    WithKey(KeyScope),
    /// A job must not run twice.
    NotIdempotent,
}

/// The workers that share their idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All workers.
    All,
    /// All workers of a zone.
    Zone,
    /// All workers of a cell.
    Cell,
}

/// A class of requests. [`Settings::for_job`] copies its settings into each job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Whether and where a job may run more than once.
    pub idempotency: Idempotency,
    /// Time for which workers drop a repeat with the same key, counted from the first attempt that may have run.
    pub key_window: Seconds,
    /// Time after arrival within which a response is in time, not counting [`Class::run_time_allowance`].
    pub latency_objective: Seconds,
    /// Time added to [`Class::latency_objective`], as a multiple of the job's own running time.
    pub run_time_allowance: f64,
    /// Fraction of its priority weight with which a late response still counts.
    pub late_weight: f64,
    /// The only kind of machine that can run the class; `None` if every kind can.
    pub required_kind: Option<u32>,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            idempotency: Idempotency::NotIdempotent,
            key_window: 0.0,
            latency_objective: 1.0,
            run_time_allowance: 0.0,
            late_weight: 0.0,
            required_kind: None,
        }
    }
}

/// A tenant of the fleet.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Share of the admission rate. Shares need not sum to one; they are scaled.
    pub share: f64,
    /// Quota in requests per second over all dispatchers; 0 if there is none.
    pub quota: f64,
}

/// The source from which a dispatcher receives load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReports {
    /// There are no load reports.
    None,
    /// Responses carry them, and probe results do if probes are allowed.
    WithResponses,
    /// Only probe results carry them.
    WithProbes,
}

/// Reservation of capacity for large jobs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityReservation {
    /// Minimum number of slots of a large job.
    pub min_slots: f64,
    /// Cost of sending a job to a worker that is reserved for jobs of the other size, as a multiple of its running
    /// time.
    pub price: f64,
}

/// Positions of classes and tenants that earlier settings named and the current ones do not. Only open jobs still refer
/// to them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DroppedPositions {
    /// Dropped positions of [`Settings::classes`].
    pub classes: BTreeSet<u32>,
    /// Dropped positions of [`Settings::tenants`].
    pub tenants: BTreeSet<u32>,
}

/// Settings of a dispatcher, at its start or after a reload. What they say of a job binds it by way of
/// [`Settings::for_job`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of this dispatcher, from 0 to [`Settings::instances`] - 1.
    pub instance: u32,
    /// Number of dispatchers.
    pub instances: u32,
    /// Zone of this dispatcher.
    pub zone: u32,
    /// Classes of requests; a class number beyond the list is treated as the last class.
    pub classes: Vec<Class>,
    /// Tenants; empty if all requests share one token bank.
    pub tenants: Vec<Tenant>,
    /// Classes and tenants that are listed for open jobs only.
    pub dropped: DroppedPositions,
    /// Whether the dispatcher must request the endpoint list and watch it; otherwise changes arrive without a request.
    pub polls_endpoint_list: bool,
    /// Maximum time between polls while no watch is open, if [`Settings::polls_endpoint_list`] is set; 0 if there
    /// is no maximum.
    pub max_poll_interval: Seconds,
    /// The source of load reports.
    pub load_reports: LoadReports,
    /// The figures of a load report and their order.
    pub load_report_format: LoadReportFormat,
    /// Whether clients mark their retries; otherwise a retry is recognized by its shorter timeout.
    pub clients_mark_retries: bool,
    /// Whether workers may be probed for their load.
    pub probes_allowed: bool,
    /// Price of one probe per request, as a fraction of the value of a served request.
    pub probe_price: f64,
    /// Whether attempts may be canceled.
    pub cancellation_allowed: bool,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Maximum retry-after that a client honors on a rejection; 0 if rejections carry none.
    pub max_retry_after: Seconds,
    /// Whether workers report the start of a job.
    pub reports_job_start: bool,
    /// Interval between progress reports of a running job; 0 if there are none.
    pub progress_interval: Seconds,
    /// Whether hedged requests are allowed: a second attempt while the first is still open.
    pub hedging_allowed: bool,
    /// Minimum capacity of a worker at its start, as a fraction of its full capacity.
    pub slow_start_min_capacity: f64,
    /// Maximum time from a worker's start to its full capacity; until then the capacity grows at least linearly.
    pub slow_start_duration: Seconds,
    /// A worker in slow start is overloaded if it gets more work than this multiple of its capacity within
    /// [`Settings::overload_window`].
    pub overload_multiple: f64,
    /// Time window over which the work that all dispatchers send to a worker in slow start is summed.
    pub overload_window: Seconds,
    /// Price of sending a request to another zone, as a fraction of the value of a served request.
    pub cross_zone_price: f64,
    /// Price of opening a connection for a request, as a fraction of the value of a served request.
    pub handshake_price: f64,
    /// Time after which an idle connection is closed; 0 if connections are not kept open.
    pub keep_alive: Seconds,
    /// Resolution of the caller's clock.
    pub clock_resolution: Seconds,
    /// Reservation of capacity for large jobs; `None` disables it.
    pub capacity_reservation: Option<CapacityReservation>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            instance: 0,
            instances: 1,
            zone: 0,
            classes: Vec::new(),
            tenants: Vec::new(),
            dropped: DroppedPositions::default(),
            polls_endpoint_list: false,
            max_poll_interval: 0.0,
            load_reports: LoadReports::None,
            load_report_format: LoadReportFormat::default(),
            clients_mark_retries: false,
            probes_allowed: false,
            probe_price: 0.0,
            cancellation_allowed: false,
            max_attempts: 1,
            max_retry_after: 0.0,
            reports_job_start: false,
            progress_interval: 0.0,
            hedging_allowed: false,
            slow_start_min_capacity: 0.1,
            slow_start_duration: 0.0,
            overload_multiple: 1.0,
            overload_window: 1.0,
            cross_zone_price: 0.0,
            handshake_price: 0.0,
            keep_alive: 0.0,
            clock_resolution: 0.001,
            capacity_reservation: None,
        }
    }
}

impl Settings {
    /// Returns the sum of the quotas of all tenants, in requests per second.
    pub fn total_quota(&self) -> f64 {
        self.tenants.iter().map(|tenant| tenant.quota.max(0.0)).sum()
    }

    /// Returns the classes that new jobs may have.
    pub(crate) fn served_classes(&self) -> impl Iterator<Item = &Class> {
        let classes = (0..).zip(&self.classes);
        classes.filter(|(position, _)| !self.dropped.classes.contains(position)).map(|(_, class)| class)
    }

    /// Returns the settings with at least `min_classes` classes, filled up with default classes, and at least one
    /// instance.
    pub(crate) fn normalized(mut self, min_classes: usize) -> Settings {
        self.classes.resize(self.classes.len().max(min_classes), Class::default());
        self.instances = self.instances.max(1);
        self
    }
}
