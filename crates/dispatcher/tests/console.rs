//! The operators' console: its calls, its figures read back, and callers that say nothing.

use std::rc::Rc;

use dispatcher::net::console::{self, answer, Console};
use dispatcher::net::metrics::{InFlight, Metrics, Outcome};
use dispatcher::net::mode::Mode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;

fn console(ready: bool) -> (Console, watch::Receiver<Mode>) {
    let (mode, modes) = watch::channel(Mode::Active);
    (
        Console {
            metrics: Rc::new(Metrics::new()),
            mode,
            ready: Box::new(move || ready),
            planned_drain: None,
        },
        modes,
    )
}

fn status(message: &[u8]) -> u16 {
    let text = String::from_utf8_lossy(message);
    text.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}

/// The value of one sample in the text exposition format, by its name with labels.
fn sample(text: &str, name: &str) -> Option<f64> {
    text.lines().filter(|l| !l.starts_with('#')).find_map(|line| {
        let (key, value) = line.rsplit_once(' ')?;
        (key == name).then(|| value.parse().ok()).flatten()
    })
}

#[test]
fn standby_says_no_and_active_says_yes_again_at_once() {
    let (console, modes) = console(true);
    assert_eq!(status(&answer(&console, b"GET", b"/status")), 200);
    assert_eq!(status(&answer(&console, b"POST", b"/standby")), 200);
    assert_eq!(*modes.borrow(), Mode::Standby);
    assert_eq!(status(&answer(&console, b"GET", b"/status")), 503);
    assert_eq!(status(&answer(&console, b"POST", b"/active")), 200);
    assert_eq!(*modes.borrow(), Mode::Active);
    assert_eq!(status(&answer(&console, b"GET", b"/status")), 200);
}

#[test]
fn a_process_that_is_not_ready_says_no() {
    let (console, _modes) = console(false);
    assert_eq!(status(&answer(&console, b"GET", b"/status")), 503);
}

#[test]
fn wrong_calls_are_told_apart() {
    let (console, modes) = console(true);
    assert_eq!(status(&answer(&console, b"GET", b"/standby")), 405);
    assert_eq!(status(&answer(&console, b"POST", b"/status")), 405);
    assert_eq!(status(&answer(&console, b"GET", b"/nothing")), 404);
    assert_eq!(*modes.borrow(), Mode::Active, "a wrong call changes nothing");
}

#[test]
fn the_figures_read_back_as_counted() {
    let (console, _modes) = console(true);
    let metrics = &console.metrics;
    metrics.register_class("stock-lookup");
    for _ in 0..7 {
        metrics.count("stock-lookup", Outcome::Served);
    }
    metrics.count("stock-lookup", Outcome::Rejected);
    (0..9).for_each(|_| metrics.count("stock-lookup", Outcome::Attempt));
    metrics.reloads_failed.inc();
    metrics.workers_known.set(12);
    let held = InFlight::new(metrics);
    let message = answer(&console, b"GET", b"/status/metrics");
    assert_eq!(status(&message), 200);
    let text = String::from_utf8(message).unwrap();
    let body = text.split_once("\r\n\r\n").unwrap().1;
    let value = |name: &str| sample(body, name);
    assert_eq!(value(r#"balancer_requests{class="stock-lookup",outcome="served"}"#), Some(7.0));
    assert_eq!(value(r#"balancer_requests{class="stock-lookup",outcome="refused"}"#), Some(1.0));
    assert_eq!(value(r#"balancer_requests{class="stock-lookup",outcome="failed"}"#), Some(0.0));
    assert_eq!(value(r#"balancer_requests{class="stock-lookup",outcome="attempts"}"#), Some(9.0));
    assert_eq!(value("balancer_in_flight"), Some(1.0));
    assert_eq!(value("balancer_shop_workers_known"), Some(12.0));
    assert_eq!(value("balancer_reloads_ok"), Some(0.0));
    assert_eq!(value("balancer_reloads_failed"), Some(1.0));
    drop(held);
    let text = String::from_utf8(answer(&console, b"GET", b"/status/metrics")).unwrap();
    assert_eq!(sample(&text, "balancer_in_flight"), Some(0.0));
}

#[test]
fn counters_of_a_new_process_start_at_zero() {
    let text = String::from_utf8(Metrics::new().encode()).unwrap();
    for line in text.lines().filter(|l| !l.starts_with('#')) {
        assert!(line.ends_with(" 0"), "{line}");
    }
}

#[test]
fn a_silent_caller_holds_up_nobody() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let (console, _modes) = console(true);
        tokio::task::spawn_local(console::serve(listener, Rc::new(console)));
        let mut silent = tokio::net::TcpStream::connect(at).await.unwrap();
        let mut caller = tokio::net::TcpStream::connect(at).await.unwrap();
        caller.write_all(b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n").await.unwrap();
        let mut answer = Vec::new();
        caller.read_to_end(&mut answer).await.unwrap();
        assert_eq!(status(&answer), 200);
        // The silent one is told in the end, and its connection closed.
        let mut told = Vec::new();
        silent.read_to_end(&mut told).await.unwrap();
        assert_eq!(status(&told), 408);
    });
}
