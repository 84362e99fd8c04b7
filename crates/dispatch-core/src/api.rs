//! The interface of the decision module: what it is told, what it answers, and the ids in both.
//!
//! Times are seconds on the caller's clock, which may start anywhere and only moves forward. Ids are opaque:
//! the module compares and hashes them, nothing else.

use crate::load_report::LoadReportFormat;

/// A point in time or a span, in seconds.
pub type Seconds = f64;

/// A request, as numbered by the caller; never reused while the dispatcher lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A worker. The number must be the same at every dispatcher (a hash of its name, say): dispatchers that
/// share nothing still agree on whose turn a cold worker is, and on where a key lives, by this number alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkerId(pub u64);

/// How often a class of request may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Running it again is harmless.
    Idempotent,
    /// Workers of one group drop repeats within [`Class::key_window`].
    WithKey(KeyScope),
    /// It must not run twice.
    NotIdempotent,
}

/// The workers that know each other's keyed requests.
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
    /// How long a keyed repeat is dropped, counted from the first send that may have run.
    pub key_window: Seconds,
    /// An answer within this time, plus [`Class::run_time_allowance`] times the job's own running time, is in time.
    pub latency_objective: Seconds,
    /// See [`Class::latency_objective`].
    pub run_time_allowance: f64,
    /// The part of its worth that an answer after the aim still earns.
    pub late_weight: f64,
    /// The one kind of worker that runs it, where there is one.
    pub required_kind: Option<u32>,
}

/// A keyed job is sent again within this part of its window: the clocks of worker and dispatcher may differ.
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
    /// Requests a second within its share, over all dispatchers; 0 where not told.
    pub quota: f64,
}

/// How load reports reach a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReports {
    /// Never.
    None,
    /// With answers, and with probe results where probes are allowed.
    WithResponses,
    /// With probe results only.
    WithProbes,
}

/// How room is held for large jobs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityReservation {
    /// Jobs of so many slots and more are large.
    pub min_slots: f64,
    /// The price of a worker that is kept for jobs of the other size, in waits as long as a job's own run.
    pub price: f64,
}

/// What a dispatcher is told when it starts.
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
    /// The worker list must be asked for; otherwise changes arrive unprompted.
    pub polls_endpoint_list: bool,
    /// With [`Settings::ask_for_list`]: ask at least this often while no subscription stands; 0 if unstated.
    pub max_poll_interval: Seconds,
    /// How load reports arrive.
    pub load_reports: LoadReports,
    /// What they hold.
    pub load_report_format: LoadReportFormat,
    /// Clients mark their retries; else one shows by its shorter patience alone.
    pub clients_mark_retries: bool,
    /// Probes are allowed.
    pub probes_allowed: bool,
    /// The price of one probe a request, in parts of the service.
    pub probe_price: f64,
    /// Attempts may be called off.
    pub cancellation_allowed: bool,
    /// Most attempts a request may have.
    pub max_attempts: u32,
    /// The longest wait that a client honours on a refusal; 0 where refusals carry none.
    pub max_retry_after: Seconds,
    /// Workers tell when a job starts.
    pub reports_job_start: bool,
    /// They tell of a running job's progress this often; 0 where they do not.
    pub progress_interval: Seconds,
    /// A second attempt may be out while the first is.
    pub hedging_allowed: bool,
    /// A worker starts with at least this part of its capacity ...
    pub slow_start_min_capacity: f64,
    /// ... and has all of it after this long, growing no slower than evenly.
    pub slow_start_duration: Seconds,
    /// A cold worker falls over when sent more than this many times what it can do ...
    pub overload_multiple: f64,
    /// ... over this span, by all dispatchers together.
    pub overload_window: Seconds,
    /// The price of crossing zones once a request, in parts of the service.
    pub cross_zone_price: f64,
    /// The price of a new connection for each request, in parts of the service.
    pub handshake_price: f64,
    /// A connection that has been idle for this long is closed; 0 where none is kept.
    pub keep_alive: Seconds,
    /// The finest step of the caller's clock.
    pub clock_resolution: Seconds,
    /// Room for large jobs; none where it is not held.
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
        self.tenants.iter().map(|t| t.quota.max(0.0)).sum()
    }
}

/// A job as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class: a position in [`Settings::classes`].
    pub class: u32,
    /// Its tenant: a position in [`Settings::tenants`].
    pub tenant: u32,
    /// Slots it needs.
    pub slots: f64,
    /// Memory it needs, in units; 0 where memory is not counted.
    pub memory: f64,
    /// How long the client waits from now.
    pub timeout: Seconds,
    /// It is a client's retry, where clients mark them.
    pub is_retry: bool,
    /// Its expected running time on a standard core, where told.
    pub expected_run_time: Option<Seconds>,
    /// The data that it needs; a worker may still hold it from an earlier job of that key.
    pub affinity_key: Option<u64>,
}

/// What a worker says of its load. Absent fields were not told.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Slots with nothing in them.
    pub free_slots: Option<f64>,
    /// Memory units not in use.
    pub free_memory: Option<f64>,
    /// Requests waiting.
    pub queue_length: Option<f64>,
    /// Requests held.
    pub in_flight: Option<f64>,
    /// The service time of late, without waiting.
    pub latency: Option<Seconds>,
    /// Errors a second.
    pub error_rate: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The worker answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    Overloaded,
    /// No answer in time; it may have run or be running.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// A connection that was kept broke as soon as it was used again: the worker had closed it. Only the request
    /// was written whole, so it may have run; of the worker it says nothing.
    StaleConnection,
    /// The worker cannot use the request, and no other could; it never ran and the worker is not at fault.
    InvalidRequest,
}

impl Outcome {
    /// Whether the attempt is known not to have run.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent | Outcome::InvalidRequest
        )
    }
}

/// The state of a worker on the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerState {
    /// Takes work.
    #[default]
    Serving,
    /// Finishes what it has and takes no more.
    Draining,
    /// Withdrawn.
    Removed,
}

/// One line of the worker list.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// The worker.
    pub worker: WorkerId,
    /// Its kind of machine.
    pub kind: u32,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// When it last started; 0 for long ago.
    pub started_at: Seconds,
    /// Its state.
    pub state: WorkerState,
}

/// What part of the list an event brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// All of it; a worker that is absent is gone.
    Full,
    /// All of it as last held before a restart, possibly out of date.
    Cached,
    /// Changed lines only.
    Incremental,
    /// Nothing: a call failed or the subscription broke.
    Failed,
}

/// What the dispatcher is told.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// Other settings hold from here on. Classes and tenants keep their positions; new ones may follow them.
    Settings(&'a Settings),
    /// A request arrived.
    Request(Request),
    /// A streamed answer began.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// A job began to run.
    JobStarted {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// A job is running and this part of it is done.
    Progress {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
        /// From 0 to 1.
        done: f64,
    },
    /// An attempt ended; exactly one for each [`Action::Send`].
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
        /// How.
        outcome: Outcome,
        /// The request has its final answer, by this outcome or earlier.
        complete: bool,
        /// What the worker said of its load.
        load: Option<LoadReport>,
    },
    /// The client left; no answer is owed.
    ClientDisconnected(RequestId),
    /// The timer set with [`Action::SetTimer`] fell due.
    Timer(u64),
    /// A probe ended.
    ProbeEnded {
        /// The worker.
        worker: WorkerId,
        /// It answered.
        ok: bool,
        /// What it said.
        load: Option<LoadReport>,
    },
    /// Somebody who watches workers for all dispatchers saw this one fail, or takes that back.
    UnhealthyVerdict {
        /// The worker.
        worker: WorkerId,
        /// How long ago it was seen failing; what it did for us since then counts for more.
        observed_ago: Seconds,
        /// How long this may be held against it from now on; 0 where nothing is any more.
        valid_for: Seconds,
    },
    /// One who hands the cold budgets out for all dispatchers granted more than the planned share.
    SlowStartGrant {
        /// The cold worker.
        worker: WorkerId,
        /// How much may be sent there, in slots by seconds on a standard core.
        work: f64,
        /// Until when.
        expires_at: Seconds,
    },
    /// The worker list, or a part of it.
    EndpointList {
        /// Which part.
        scope: ListScope,
        /// Its lines.
        endpoints: &'a [Endpoint],
    },
    /// A message from another dispatcher.
    PeerMessage {
        /// Its number.
        from: u32,
        /// The bytes.
        data: &'a [u8],
    },
}

/// What the dispatcher wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Push the request to the worker. Attempts are numbered 0, 1, ... in the order of their sends.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        worker: WorkerId,
        /// Give up after this long; `None` for when the client does.
        timeout: Option<Seconds>,
    },
    /// Final answer: declined, trying again does no harm.
    Reject {
        /// The request.
        request: RequestId,
        /// When coming back makes sense.
        retry_after: Option<Seconds>,
    },
    /// Final answer: failed, nothing promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// Ask a worker for its load.
    Probe(WorkerId),
    /// Wake the dispatcher after this long with [`Event::Timer`].
    SetTimer {
        /// From now.
        after: Seconds,
        /// Returned with the event.
        token: u64,
    },
    /// Subscribe to the worker list, or end that.
    Watch(bool),
    /// Ask for the whole worker list once.
    FetchEndpointList,
    /// Close the idle connections to a worker.
    CloseIdle(WorkerId),
    /// Send a short message to one dispatcher, or to all.
    SendToPeer {
        /// Its number; `None` for all.
        to: Option<u32>,
        /// The bytes.
        data: Vec<u8>,
    },
    /// A line for the log.
    Log(String),
}
