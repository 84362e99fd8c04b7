//! Settings of a dispatcher.

use super::ids::Seconds;
use crate::load_report::LoadReportFormat;

/// Idempotency of a class of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A repeat is harmless.
    Idempotent,
    /// Requests carry an idempotency key: workers of one scope drop repeats within [`Class::key_window`].
    WithKey(KeyScope),
    /// A job must not run twice.
    NotIdempotent,
}

/// Workers that share their idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All workers.
    All,
    /// Workers of one zone.
    Zone,
    /// Workers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Effect of a repeat.
    pub idempotency: Idempotency,
    /// Time for which a repeat with the same key is dropped, from the first send that may have run.
    pub key_window: Seconds,
    /// Time within which a response is in time, without [`Class::run_time_allowance`].
    pub latency_objective: Seconds,
    /// Further time within which a response is in time, as a multiple of the job's own running time.
    pub run_time_allowance: f64,
    /// Part of its priority weight that a late response still earns.
    pub late_weight: f64,
    /// The only kind of machine that can run the class, where there is one.
    pub required_kind: Option<u32>,
}

/// Part of the key window within which a job is retried: the clocks of worker and dispatcher may differ.
const USABLE_KEY_WINDOW: f64 = 0.9;

impl Class {
    /// Returns the time after a send that may have run within which a job may be sent again.
    pub fn retry_window(&self) -> Seconds {
        match self.idempotency {
            Idempotency::Idempotent => f64::INFINITY,
            Idempotency::WithKey(_) => self.key_window * USABLE_KEY_WINDOW,
            Idempotency::NotIdempotent => 0.0,
        }
    }

    /// Whether a client may retry a job so long after a send that may have run. The retry may reach any worker.
    pub fn allows_client_retry(&self, after: Seconds) -> bool {
        let any_worker =
            matches!(self.idempotency, Idempotency::Idempotent | Idempotency::WithKey(KeyScope::All));
        any_worker && after < self.retry_window()
    }
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
    /// Share of the service. Shares need not sum to one; they are scaled.
    pub share: f64,
    /// Quota in requests a second over all dispatchers; 0 where unstated.
    pub quota: f64,
}

/// The way in which load reports reach a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReports {
    /// Never.
    None,
    /// With responses, and with probe results where probes are allowed.
    WithResponses,
    /// With probe results only.
    WithProbes,
}

/// Reservation of capacity for large jobs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityReservation {
    /// Least number of slots of a large job.
    pub min_slots: f64,
    /// Price of a worker that is reserved for jobs of the other size, as a multiple of the running time.
    pub price: f64,
}

/// Settings of a dispatcher, at its start or after a reload.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of this dispatcher among [`Settings::instances`], from 0.
    pub instance: u32,
    /// Number of dispatchers.
    pub instances: u32,
    /// Zone of this dispatcher.
    pub zone: u32,
    /// Classes of requests; a class beyond the list counts as its last.
    pub classes: Vec<Class>,
    /// Tenants; empty where there are none.
    pub tenants: Vec<Tenant>,
    /// Whether the endpoint list must be polled; otherwise changes arrive unprompted.
    pub polls_endpoint_list: bool,
    /// Longest time between polls while there is no watch, with [`Settings::polls_endpoint_list`]; 0 if unstated.
    pub max_poll_interval: Seconds,
    /// The way in which load reports arrive.
    pub load_reports: LoadReports,
    /// Figures of a load report.
    pub load_report_format: LoadReportFormat,
    /// Whether clients mark their retries; else only a shorter timeout shows one.
    pub clients_mark_retries: bool,
    /// Whether probes are allowed.
    pub probes_allowed: bool,
    /// Price of one probe a request, as a part of the service.
    pub probe_price: f64,
    /// Whether attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Highest number of attempts of a request.
    pub max_attempts: u32,
    /// Longest retry-after that a client honours on a rejection; 0 where rejections carry none.
    pub max_retry_after: Seconds,
    /// Whether workers report the start of a job.
    pub reports_job_start: bool,
    /// Interval between progress reports of a running job; 0 where there are none.
    pub progress_interval: Seconds,
    /// Whether a second attempt may be open while the first is: a hedged request.
    pub hedging_allowed: bool,
    /// Least part of its capacity with which a worker starts.
    pub slow_start_min_capacity: f64,
    /// Longest time from a worker's start to its full capacity, which grows at least linearly.
    pub slow_start_duration: Seconds,
    /// Multiple of its capacity beyond which a worker in slow start is overloaded, over [`Settings::overload_window`].
    pub overload_multiple: f64,
    /// Time over which the work that all dispatchers send to a worker in slow start is counted.
    pub overload_window: Seconds,
    /// Price of crossing zones once a request, as a part of the service.
    pub cross_zone_price: f64,
    /// Price of a new connection for each request, as a part of the service.
    pub handshake_price: f64,
    /// Time after which an idle connection is closed; 0 where connections are not kept open.
    pub keep_alive: Seconds,
    /// Resolution of the caller's clock.
    pub clock_resolution: Seconds,
    /// Reservation of capacity for large jobs; `None` where there is none.
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
    /// Returns the quotas of all tenants together, in requests a second.
    pub fn total_quota(&self) -> f64 {
        self.tenants.iter().map(|tenant| tenant.quota.max(0.0)).sum()
    }

    /// Returns the settings with at least so many classes, default classes filling up, and at least one instance.
    pub(crate) fn normalized(mut self, min_classes: usize) -> Settings {
        self.classes.resize(self.classes.len().max(min_classes), Class::default());
        self.instances = self.instances.max(1);
        self
    }
}
