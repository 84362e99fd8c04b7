//! The operators' console: its requests, its metrics, and clients that connect and send nothing.

use std::rc::Rc;

use dispatcher::net::console::{self, answer, Console};
use dispatcher::net::metrics::{InFlight, Metrics, Outcome};
use dispatcher::net::mode::Mode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;

fn console(ready: bool) -> (Console, watch::Receiver<Mode>) {
    let (mode, mode_receiver) = watch::channel(Mode::Active);
    (
        Console {
            metrics: Rc::new(Metrics::new()),
            mode,
            ready: Box::new(move || ready),
            planned_drain: None,
        },
        mode_receiver,
    )
}

fn status(message: &[u8]) -> u16 {
    let text = String::from_utf8_lossy(message);
    text.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}

/// Returns the value of a sample in the Prometheus text format, by its name with labels.
fn sample(text: &str, name: &str) -> Option<f64> {
    text.lines().filter(|l| !l.starts_with('#')).find_map(|line| {
        let (key, value) = line.rsplit_once(' ')?;
        (key == name).then(|| value.parse().ok()).flatten()
    })
}

#[test]
fn standby_and_active_change_the_status_at_once() {
    let (console, mode) = console(true);
    assert_eq!(status(&answer(&console, b"GET", b"/status")), 200);
    assert_eq!(status(&answer(&console, b"POST", b"/standby")), 200);
    assert_eq!(*mode.borrow(), Mode::Standby);
    assert_eq!(status(&answer(&console, b"GET", b"/status")), 503);
    assert_eq!(status(&answer(&console, b"POST", b"/active")), 200);
    assert_eq!(*mode.borrow(), Mode::Active);
    assert_eq!(status(&answer(&console, b"GET", b"/status")), 200);
}

#[test]
fn status_is_503_while_the_process_is_not_ready() {
    let (console, _mode) = console(false);
    assert_eq!(status(&answer(&console, b"GET", b"/status")), 503);
}

#[test]
fn invalid_requests_get_405_or_404_and_change_nothing() {
    let (console, mode) = console(true);
    assert_eq!(status(&answer(&console, b"GET", b"/standby")), 405);
    assert_eq!(status(&answer(&console, b"POST", b"/status")), 405);
    assert_eq!(status(&answer(&console, b"GET", b"/nothing")), 404);
    assert_eq!(*mode.borrow(), Mode::Active, "an invalid request must not change the mode");
}

#[test]
fn metrics_show_the_values_that_were_counted() {
    let (console, _mode) = console(true);
    let metrics = &console.metrics;
    metrics.register_class("stock-lookup");
    for _ in 0..7 {
        metrics.count("stock-lookup", Outcome::Served);
    }
    metrics.count("stock-lookup", Outcome::Rejected);
    (0..9).for_each(|_| metrics.count("stock-lookup", Outcome::Attempt));
    metrics.reloads_failed.inc();
    metrics.workers_known.set(12);
    let in_flight = InFlight::new(metrics);
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
    drop(in_flight);
    let text = String::from_utf8(answer(&console, b"GET", b"/status/metrics")).unwrap();
    assert_eq!(sample(&text, "balancer_in_flight"), Some(0.0));
}

#[test]
fn metrics_of_a_new_process_are_zero() {
    let text = String::from_utf8(Metrics::new().encode()).unwrap();
    for line in text.lines().filter(|l| !l.starts_with('#')) {
        assert!(line.ends_with(" 0"), "{line}");
    }
}

/// One client connects and sends nothing. A second client must get its response meanwhile, and the first one must get
/// 408 and its connection must be closed.
#[test]
fn an_idle_connection_does_not_block_others() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (console, _mode) = console(true);
        tokio::task::spawn_local(console::serve(listener, Rc::new(console)));
        let mut idle = tokio::net::TcpStream::connect(address).await.unwrap();
        let mut client = tokio::net::TcpStream::connect(address).await.unwrap();
        client.write_all(b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n").await.unwrap();
        let mut response = Vec::new();
        client.read_to_end(&mut response).await.unwrap();
        assert_eq!(status(&response), 200);
        // Reads until the console closes the idle connection.
        let mut response = Vec::new();
        idle.read_to_end(&mut response).await.unwrap();
        assert_eq!(status(&response), 408);
    });
}
