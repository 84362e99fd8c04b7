//! Responses of the console, byte for byte, as operators' tools read them: names, help texts, types and order of the
//! metrics, the status of the process, and errors.

use std::rc::Rc;

use dispatcher::net::console::{answer, Console};
use dispatcher::net::metrics::{InFlight, Metrics, Outcome};
use dispatcher::net::mode::Mode;
use tokio::sync::watch;

/// Returns the metrics of a cluster member, each with a different value.
fn member_metrics() -> Rc<Metrics> {
    let metrics = Metrics::new();
    metrics.register_class("order");
    for (outcome, count) in
        [(Outcome::Served, 2), (Outcome::Rejected, 3), (Outcome::Failed, 4), (Outcome::Attempt, 5)]
    {
        (0..count).for_each(|_| metrics.count("order", outcome));
    }
    metrics.in_flight.set(6);
    metrics.workers_known.set(7);
    metrics.workers_excluded.set(8);
    metrics.reloads_ok.inc_by(9);
    metrics.reloads_failed.inc_by(10);
    metrics.malformed_reports.inc_by(11);
    let cluster = metrics.register_cluster();
    cluster.session.set(1);
    cluster.leases_held.set(12);
    cluster.effects_rejected.set(13);
    cluster.workers_checked.set(14);
    cluster.workers_failing.set(15);
    cluster.workers_reported_failing.set(16);
    cluster.health_checks.inc_by(17);
    cluster.quota_granted.inc_by(18.5);
    cluster.quota_allocated.set(19.5);
    cluster.drains_rejected.inc_by(20);
    cluster.drains_forced.inc_by(21);
    Rc::new(metrics)
}

fn console(metrics: Rc<Metrics>, ready: bool) -> Console {
    let (mode, _) = watch::channel(Mode::Active);
    Console { metrics, mode, ready: Box::new(move || ready), planned_drain: None }
}

fn text(message: Vec<u8>) -> String {
    String::from_utf8(message).expect("text").replace('\r', "")
}

#[test]
fn metrics_of_a_dispatcher_without_a_cluster() {
    let metrics = Metrics::new();
    metrics.register_class("order");
    let shown = text(answer(&console(Rc::new(metrics), true), b"GET", b"/status/metrics"));
    insta::assert_snapshot!("figures_alone", shown);
}

#[test]
fn metrics_of_a_cluster_member() {
    let shown = text(answer(&console(member_metrics(), true), b"GET", b"/status/metrics"));
    insta::assert_snapshot!("figures_of_a_member", shown);
}

#[test]
fn responses_to_requests() {
    let console = console(Rc::new(Metrics::new()), true);
    let _in_flight = InFlight::new(&console.metrics);
    let mut seen = String::new();
    for (method, target) in [
        ("GET", "/status"),
        ("POST", "/standby"),
        ("GET", "/status?verbose=1"),
        ("POST", "/active"),
        ("POST", "/status"),
        ("POST", "/status/metrics"),
        ("GET", "/standby"),
        ("GET", "/active"),
        ("GET", "/elsewhere"),
    ] {
        let shown = text(answer(&console, method.as_bytes(), target.as_bytes()));
        seen.push_str(&format!("{method} {target}\n{shown}\n"));
    }
    insta::assert_snapshot!("answers_to_calls", seen);
}

#[test]
fn status_of_a_process_that_is_not_ready() {
    let shown = text(answer(&console(Rc::new(Metrics::new()), false), b"GET", b"/status"));
    insta::assert_snapshot!("not_ready", shown);
}
