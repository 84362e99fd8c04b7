//! What a dispatcher is configured with.

use super::ids::Seconds;
use crate::load_report::LoadReportFormat;

/// How often a class of request may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Running it again is harmless.
    Idempotent,
    /// Requests carry an idempotency key: workers of one scope drop repeats within [`Class::key_window`].
    WithKey(KeyScope),
    /// It must not run twice.
    NotIdempotent,
}

/// The workers that know each other's idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All workers.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of request.
#[derive(Clone, Debug)]
pub struct Class {
    /// What a repeat does.
    pub idempotency: Idempotency,
    /// How long a repeat with the same key is dropped, counted from the first send that may have run.
    pub key_window: Seconds,
    /// A response within this time, plus [`Class::run_time_allowance`] times the job's own running time, is in time.
    pub latency_objective: Seconds,
    /// See [`Class::latency_objective`].
    pub run_time_allowance: f64,
    /// The part of its priority weight that a late response still earns.
    pub late_weight: f64,
    /// The one kind of machine that runs it, where there is one.
    pub required_kind: Option<u32>,
}

/// A job is sent again within this part of its key window: the clocks of worker and dispatcher may differ.
const USABLE_KEY_WINDOW: f64 = 0.9;

impl Class {
    /// For how long after a send that may have run a job of it may be sent again.
    pub fn retry_window(&self) -> Seconds {
        match self.idempotency {
            Idempotency::Idempotent => f64::INFINITY,
            Idempotency::WithKey(_) => self.key_window * USABLE_KEY_WINDOW,
            Idempotency::NotIdempotent => 0.0,
        }
    }

    /// Whether a client that was rejected so long after a send that may have run may send the job again: it may then
    /// reach any worker.
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

/// A tenant: one of those who share the fleet.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its part of the service. Shares need not sum to one; they are scaled.
    pub share: f64,
    /// Requests a second that it was promised, over all dispatchers; 0 where unstated.
    pub quota: f64,
}

/// How load reports reach a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReports {
    /// Never.
    None,
    /// With responses, and with probe results where probes are allowed.
    WithResponses,
    /// With probe results only.
    WithProbes,
}

/// How capacity is reserved for large jobs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityReservation {
    /// Jobs of so many slots and more are large.
    pub min_slots: f64,
    /// The price of a worker that is reserved for jobs of the other size, in waits as long as a job's own run.
    pub price: f64,
}

/// What a dispatcher is configured with, at its start or by a reload.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This dispatcher's number among [`Settings::instances`], from 0.
    pub instance: u32,
    /// How many dispatchers there are.
    pub instances: u32,
    /// The zone of this dispatcher.
    pub zone: u32,
    /// The classes of request; a class beyond the list is treated as the default class.
    pub classes: Vec<Class>,
    /// The tenants; empty where there are none.
    pub tenants: Vec<Tenant>,
    /// The endpoint list must be polled; otherwise changes arrive unprompted.
    pub polls_endpoint_list: bool,
    /// With [`Settings::polls_endpoint_list`]: poll at least this often while no watch stands; 0 if unstated.
    pub max_poll_interval: Seconds,
    /// How load reports arrive.
    pub load_reports: LoadReports,
    /// What they hold.
    pub load_report_format: LoadReportFormat,
    /// Clients mark their retries; else one shows by its shorter timeout alone.
    pub clients_mark_retries: bool,
    /// Probes are allowed.
    pub probes_allowed: bool,
    /// The price of one probe a request, in parts of the service.
    pub probe_price: f64,
    /// Attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Most attempts a request may have.
    pub max_attempts: u32,
    /// The longest wait that a client honours on a rejection; 0 where rejections carry none.
    pub max_retry_after: Seconds,
    /// Workers tell when a job starts.
    pub reports_job_start: bool,
    /// They tell of a running job's progress this often; 0 where they do not.
    pub progress_interval: Seconds,
    /// A second attempt may be open while the first is: a hedged request.
    pub hedging_allowed: bool,
    /// A worker starts with at least this part of its capacity ...
    pub slow_start_min_capacity: f64,
    /// ... and has all of it after this long, growing no slower than evenly.
    pub slow_start_duration: Seconds,
    /// A worker in slow start is overloaded when sent more than this many times what it can do ...
    pub overload_multiple: f64,
    /// ... over this span, by all dispatchers together.
    pub overload_window: Seconds,
    /// The price of crossing zones once a request, in parts of the service.
    pub cross_zone_price: f64,
    /// The price of a new connection for each request, in parts of the service.
    pub handshake_price: f64,
    /// A connection that has been idle for this long is closed; 0 where none is kept open.
    pub keep_alive: Seconds,
    /// The finest step of the caller's clock.
    pub clock_resolution: Seconds,
    /// Capacity for large jobs; none where it is not reserved.
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
    /// What all tenants were promised together, in requests a second.
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
