//! The operators' console: its own listener, HTTP/1.1 with one call a connection.
//!
//! It never waits on the data path: what it shows is read from counters and from the watches that the other
//! parts keep, and what it changes (standby, active) goes out on a watch of its own that the clients' part and
//! the health check follow. Its connections are bounded, and each has a deadline for its call, so that callers
//! that connect and say nothing can hold neither it nor the clients' descriptors.

use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use prometheus::{Counter, Encoder, Gauge, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::http::{Head, Start};
use super::planned_drain::{DrainRejected, PlannedDrain};
use super::read_more;

/// A call must have come whole within this from connecting on; a caller waits 1 s for its answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Connections at once; those beyond are answered 503 at once, unread.
const MAX_CALLS: usize = 32;
/// After an accept that failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The figures, counted where each event happens.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Jobs by class and outcome (served, refused, failed), and attempts written whole to workers.
    pub requests: IntCounterVec,
    /// Jobs taken and not yet answered.
    pub in_flight: IntGauge,
    /// The workers in the list.
    pub workers_known: IntGauge,
    /// The listed workers that are avoided.
    pub workers_excluded: IntGauge,
    /// Settings taken at SIGHUP.
    pub reloads_ok: IntCounter,
    /// Settings turned down at SIGHUP.
    pub reloads_failed: IntCounter,
    /// Load reports of which some figure could not be used.
    pub malformed_reports: IntCounter,
}

/// The figures of a member of a fleet.
#[derive(Debug, Clone)]
pub struct ClusterMetrics {
    /// Whether the keepers' word that this is a member holds now.
    pub session: IntGauge,
    /// Duties that are ours.
    pub leases_held: IntGauge,
    /// Effects of others that were refused since the start: old tokens, or no session here.
    pub effects_rejected: IntGauge,
    /// Workers that this member watches for all.
    pub workers_checked: IntGauge,
    /// Those of them that fail.
    pub workers_failing: IntGauge,
    /// Workers that some watcher's word is held against here.
    pub workers_reported_failing: IntGauge,
    /// Probes written on behalf of the fleet.
    pub health_checks: IntCounter,
    /// Work at cold workers that this member was granted since the start, in slots by seconds.
    pub quota_granted: Counter,
    /// Work at cold workers that this member granted to all in its last term, in slots by seconds.
    pub quota_allocated: Gauge,
    /// Calls for standby that the fleet did not allow, and those that somebody forced.
    pub drains_rejected: IntCounter,
    /// See [`FleetMetrics::denied`].
    pub drains_forced: IntCounter,
}

/// How a job ended for its client, or that an attempt was written whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered with a worker's result.
    Served,
    /// Declined; coming again does no harm.
    Refused,
    /// Failed.
    Failed,
    /// An attempt's last byte was written to a worker.
    Attempt,
}

impl Outcome {
    fn label(self) -> &'static str {
        match self {
            Outcome::Served => "served",
            Outcome::Refused => "refused",
            Outcome::Failed => "failed",
            Outcome::Attempt => "attempts",
        }
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new()
    }
}

impl Metrics {
    /// All figures at 0.
    ///
    /// # Panics
    /// Never: the names are fixed and differ.
    #[must_use]
    pub fn new() -> Metrics {
        let registry = Registry::new();
        let opts = Opts::new("balancer_requests", "Jobs by class and outcome, and attempts written whole");
        let requests = IntCounterVec::new(opts, &["class", "outcome"]).expect("a valid name");
        let gauge = |name: &str, help: &str| IntGauge::new(name, help).expect("a valid name");
        let counter = |name: &str, help: &str| IntCounter::new(name, help).expect("a valid name");
        let metrics = Metrics {
            requests,
            in_flight: gauge("balancer_in_flight", "Jobs taken and not yet answered"),
            workers_known: gauge("balancer_shop_workers_known", "Workers in the list"),
            workers_excluded: gauge("balancer_shop_workers_excluded", "Listed workers that are avoided now"),
            reloads_ok: counter("balancer_reloads_ok", "Settings taken at SIGHUP"),
            reloads_failed: counter("balancer_reloads_failed", "Settings turned down at SIGHUP"),
            malformed_reports: counter(
                "balancer_load_reports_malformed",
                "Load reports of which a figure could not be used",
            ),
            registry,
        };
        let registry = &metrics.registry;
        registry.register(Box::new(metrics.requests.clone())).expect("registered once");
        registry.register(Box::new(metrics.in_flight.clone())).expect("registered once");
        registry.register(Box::new(metrics.workers_known.clone())).expect("registered once");
        registry.register(Box::new(metrics.workers_excluded.clone())).expect("registered once");
        registry.register(Box::new(metrics.reloads_ok.clone())).expect("registered once");
        registry.register(Box::new(metrics.reloads_failed.clone())).expect("registered once");
        registry.register(Box::new(metrics.malformed_reports.clone())).expect("registered once");
        metrics
    }

    /// The figures of a member, shown from now on. Called once, where our own settings name a fleet.
    ///
    /// # Panics
    /// Never where it is called once: the names are fixed and differ.
    #[must_use]
    pub fn register_cluster(&self) -> ClusterMetrics {
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("a valid name");
            self.registry.register(Box::new(gauge.clone())).expect("registered once");
            gauge
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("a valid name");
            self.registry.register(Box::new(counter.clone())).expect("registered once");
            counter
        };
        let probes = "Probes written on behalf of the fleet";
        let probes = counter("cairncrank_fleet_probes_total", probes);
        let granted = "Work at cold workers granted to this member, slots by seconds";
        let granted = Counter::new("cairncrank_fleet_cold_granted_total", granted).expect("a valid name");
        self.registry.register(Box::new(granted.clone())).expect("registered once");
        let dealt = "Work at cold workers granted by this member in its term, slots by seconds";
        let dealt = Gauge::new("cairncrank_fleet_cold_dealt", dealt).expect("a valid name");
        self.registry.register(Box::new(dealt.clone())).expect("registered once");
        ClusterMetrics {
            drains_rejected: counter(
                "cairncrank_fleet_standby_denied_total",
                "Calls for standby that the fleet did not allow",
            ),
            drains_forced: counter(
                "cairncrank_fleet_standby_forced_total",
                "Calls for standby that were forced",
            ),
            quota_granted: granted,
            quota_allocated: dealt,
            session: gauge(
                "cairncrank_fleet_session",
                "1 while the keepers' word holds that this is a member",
            ),
            leases_held: gauge("cairncrank_fleet_duties_owned", "Duties that this member owns"),
            effects_rejected: gauge(
                "cairncrank_fleet_effects_refused",
                "Effects of others refused since the start",
            ),
            workers_checked: gauge(
                "cairncrank_fleet_workers_watched",
                "Workers that this member watches for all",
            ),
            workers_failing: gauge(
                "cairncrank_fleet_workers_failing",
                "Workers that fail, of those watched here",
            ),
            workers_reported_failing: gauge(
                "cairncrank_fleet_workers_told_failing",
                "Workers that watchers' word is against",
            ),
            health_checks: probes,
        }
    }

    /// Counts one job's end, or one attempt, of a class.
    pub fn count(&self, class: &str, outcome: Outcome) {
        self.requests.with_label_values(&[class, outcome.label()]).inc();
    }

    /// Every class shows all four, from 0 on, so that a scrape tells 0 from unknown.
    pub fn register_class(&self, class: &str) {
        for outcome in [Outcome::Served, Outcome::Refused, Outcome::Failed, Outcome::Attempt] {
            self.requests.with_label_values(&[class, outcome.label()]);
        }
    }

    /// The figures in the Prometheus text exposition format.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory fails only on a family without metrics, which registration rules out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

/// A job taken and not yet answered, for as long as it lives.
#[derive(Debug)]
pub struct InFlight(IntGauge);

impl InFlight {
    /// Counts one in.
    #[must_use]
    pub fn new(metrics: &Metrics) -> InFlight {
        metrics.in_flight.inc();
        InFlight(metrics.in_flight.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// Whether the operators have emptied the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Work is invited.
    Active,
    /// No new work is invited, and open connections are closed once they are idle.
    Standby,
}

/// What the console reads and changes.
#[expect(missing_debug_implementations, reason = "a function has nothing to show")]
pub struct Console {
    /// The figures.
    pub metrics: Rc<Metrics>,
    /// Set by standby and active.
    pub mode: watch::Sender<Mode>,
    /// Whether the process is ready: it says yes to the health check.
    pub ready: Box<dyn Fn() -> bool>,
    /// Who decides on a standby, where that is agreed across the fleet.
    pub planned_drain: Option<Rc<PlannedDrain>>,
}

/// Answers the operators' calls for as long as the program runs.
pub async fn serve(listener: TcpListener, console: Rc<Console>) {
    let mut calls = JoinSet::new();
    loop {
        tokio::select! {
            Some(_) = calls.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if calls.len() < MAX_CALLS => {
                    calls.spawn_local(serve_call(stream, console.clone()));
                }
                Ok((stream, _)) => {
                    // Answered unread, but without waiting: a caller that does not read holds nothing here.
                    let _ = stream.try_write(&response(503, "text/plain", b"too many calls at once\n"));
                }
                Err(error) => {
                    tracing::warn!(%error, "the console cannot accept");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
        }
    }
}

/// One call and its answer.
async fn serve_call(mut stream: TcpStream, console: Rc<Console>) {
    let _ = stream.set_nodelay(true);
    let head = timeout(CALL_TIMEOUT, async {
        let mut buf = BytesMut::new();
        loop {
            match Head::request(&mut buf) {
                Ok(Some(head)) => return Some(head),
                Ok(None) => {}
                Err(_) => return None,
            }
            if !matches!(read_more(&mut stream, &mut buf).await, Ok(true)) {
                return None;
            }
        }
    });
    let answer = match head.await {
        Ok(Some(head)) => match &head.start {
            Start::Request(method, target) => match &console.planned_drain {
                Some(leave) if is_standby(method, target) => answer_standby(leave, target).await,
                _ => answer(&console, method, target),
            },
            Start::Response(_) => response(400, "text/plain", b"a call is a request\n"),
        },
        Ok(None) => response(400, "text/plain", b"this is no HTTP/1.1 request\n"),
        Err(_) => response(408, "text/plain", b"the call did not come in time\n"),
    };
    let _ = timeout(CALL_TIMEOUT, stream.write_all(&answer)).await;
    let _ = stream.shutdown().await;
}

fn is_standby(method: &[u8], target: &[u8]) -> bool {
    method == b"POST" && target.split(|b| *b == b'?').next() == Some(b"/standby")
}

/// The answer to a call for standby where the fleet has a say: granted and done, or why not and when to ask again.
async fn answer_standby(leave: &PlannedDrain, target: &[u8]) -> Vec<u8> {
    let force = target.split(|b| matches!(b, b'?' | b'&')).skip(1).any(|pair| pair == b"force=1");
    match leave.enter_standby("an operator's standby", force).await {
        Ok(()) => response(200, "text/plain", b"standby\n"),
        Err(DrainRejected { reason: why, retry_after_s: after_s }) => {
            let text = format!("not now: {why}\n");
            with_headers(503, "text/plain", &format!("Retry-After: {after_s}\r\n"), text.as_bytes())
        }
    }
}

/// The answer to a call.
#[must_use]
pub fn answer(console: &Console, method: &[u8], target: &[u8]) -> Vec<u8> {
    let path = target.split(|b| *b == b'?').next().unwrap_or_default();
    match (method, path) {
        (b"GET", b"/status") => {
            let mode = *console.mode.borrow();
            let ready = (console.ready)() && mode == Mode::Active;
            let body = format!(
                "{{\"ready\":{ready},\"mode\":\"{}\",\"in_flight\":{}}}\n",
                if mode == Mode::Active { "active" } else { "standby" },
                console.metrics.in_flight.get()
            );
            response(if ready { 200 } else { 503 }, "application/json", body.as_bytes())
        }
        (b"GET", b"/status/metrics") => response(200, "text/plain; version=0.0.4", &console.metrics.encode()),
        (b"POST", b"/standby") => {
            if console.mode.send_replace(Mode::Standby) == Mode::Active {
                tracing::info!("standby: no new work is invited");
            }
            response(200, "text/plain", b"standby\n")
        }
        (b"POST", b"/active") => {
            if console.mode.send_replace(Mode::Active) == Mode::Standby {
                tracing::info!("active: work is invited again");
                console.planned_drain.iter().for_each(|leave| leave.record_return());
            }
            response(200, "text/plain", b"active\n")
        }
        (_, b"/status" | b"/status/metrics") => response(405, "text/plain", b"ask for this with GET\n"),
        (_, b"/standby" | b"/active") => response(405, "text/plain", b"ask for this with POST\n"),
        _ => response(404, "text/plain", b"there is no such call\n"),
    }
}

fn response(status: u16, kind: &str, body: &[u8]) -> Vec<u8> {
    with_headers(status, kind, "", body)
}

fn with_headers(status: u16, kind: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let reason = super::http::reason(status);
    let mut message =
        format!("HTTP/1.1 {status} {reason}\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n{headers}Connection: close\r\n\r\n", body.len())
            .into_bytes();
    message.extend_from_slice(body);
    message
}
