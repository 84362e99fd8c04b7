//! What operators and their tools read at the console, byte for byte: the figures' names, help, types and order, the
//! state of the process, and the answers to wrong calls.

use std::rc::Rc;

use dispatcher::net::console::{answer, Console};
use dispatcher::net::metrics::{InFlight, Metrics, Outcome};
use dispatcher::net::mode::Mode;
use tokio::sync::watch;

/// Metrics of a member of a fleet, each with a value of its own.
fn counted() -> Rc<Metrics> {
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
    let fleet = metrics.register_cluster();
    fleet.session.set(1);
    fleet.leases_held.set(12);
    fleet.effects_rejected.set(13);
    fleet.workers_checked.set(14);
    fleet.workers_failing.set(15);
    fleet.workers_reported_failing.set(16);
    fleet.health_checks.inc_by(17);
    fleet.quota_granted.inc_by(18.5);
    fleet.quota_allocated.set(19.5);
    fleet.drains_rejected.inc_by(20);
    fleet.drains_forced.inc_by(21);
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
fn figures_of_a_dispatcher_alone() {
    let metrics = Metrics::new();
    metrics.register_class("order");
    let shown = text(answer(&console(Rc::new(metrics), true), b"GET", b"/status/metrics"));
    insta::assert_snapshot!("figures_alone", shown);
}

#[test]
fn figures_of_a_member() {
    let shown = text(answer(&console(counted(), true), b"GET", b"/status/metrics"));
    insta::assert_snapshot!("figures_of_a_member", shown);
}

#[test]
fn answers_to_calls() {
    let console = console(Rc::new(Metrics::new()), true);
    let _held = InFlight::new(&console.metrics);
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
fn a_process_that_is_not_ready() {
    let shown = text(answer(&console(Rc::new(Metrics::new()), false), b"GET", b"/status"));
    insta::assert_snapshot!("not_ready", shown);
}
