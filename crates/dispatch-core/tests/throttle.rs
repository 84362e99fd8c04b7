//! Tests of the token bank with job buffer: the dispatcher's admission must follow the recursion in the paper by Berger
//! and Whitt.

mod common;

use common::*;
use dispatch_core::api::*;
use fastrand::Rng;

/// Returns settings with one tenant. Its rate stays at 1.5 times its quota, because no attempt ends, and no job waits
/// for a free worker, because no load is reported.
fn plain(quota: f64) -> Settings {
    let classes = vec![Class {
        idempotency: Idempotency::Idempotent,
        latency_objective: 0.5,
        run_time_allowance: 9.0,
        ..Class::default()
    }];
    let tenants = vec![Tenant { share: 1.0, quota }];
    Settings {
        classes,
        tenants,
        load_reports: LoadReports::None,
        clock_resolution: 0.001,
        ..Settings::default()
    }
}

/// Equation (2.8) of the paper for jobs of several slots: U falls with an accepted job, rises with the tokens between
/// two jobs and stays within 0 and C_J + C_T. A job of k slots is rejected if U < k and queued if U - C_J < k.
#[test]
fn admission_follows_the_recursion() {
    let mut rejected = 0;
    let mut queued = 0;
    for seed in 0..40 {
        let mut rng = Rng::with_seed(seed);
        let quota = 10.0 + rng.f64() * 70.0;
        let rate = 1.5 * quota;
        let mut driver = Driver::new(plain(quota), seed, &fleet(1));
        // The capacities of the token bank and the job buffer depend on the largest job so far, so that job is sent
        // first. It may be rejected, because the token bank is still empty.
        driver.request(Request { slots: 4.0, timeout: 50.0, ..request(0) });
        let (bank, buffer) = ((rate as i64).max(8), ((rate * 0.5) as i64).max(4));
        let mut u = buffer;
        if driver.requests[&0].responses == 0 {
            u -= 4;
        }
        for id in 1..400 {
            // A whole number of tokens accrues between two jobs, which arrive in bursts with pauses between them.
            let tokens = if rng.u32(..30) == 0 { rng.i64(0..80) } else { rng.i64(0..4) };
            driver.advance(tokens as f64 / rate);
            u = (u + tokens).min(bank + buffer);
            let k = rng.i64(1..5);
            let actions = driver.request(Request { slots: k as f64, timeout: 50.0, ..request(id) });
            let is_rejected = actions.iter().any(|action| matches!(action, Action::Reject { .. }));
            let is_sent = actions
                .iter()
                .any(|action| matches!(action, Action::Send { request, .. } if request.0 == id));
            assert_eq!(is_rejected, u < k, "seed {seed}, job {id} of {k} slots at U = {u}");
            assert_eq!(
                is_sent,
                u - buffer >= k,
                "seed {seed}, job {id} of {k} slots at U = {u}, C_J = {buffer}"
            );
            rejected += i32::from(is_rejected);
            queued += i32::from(!is_rejected && !is_sent);
            u -= if is_rejected { 0 } else { k };
        }
    }
    assert!(
        rejected > 400 && queued > 400,
        "the streams must exceed the rate: {rejected} rejected, {queued} queued"
    );
}

/// Queued jobs are sent in the order of arrival, each as soon as its tokens have accrued.
#[test]
fn queued_jobs_are_sent_in_order_as_tokens_accrue() {
    let mut driver = Driver::new(plain(20.0), 3, &fleet(1));
    for (id, slots) in [(1, 3.0), (2, 1.0), (3, 2.0)] {
        driver.request(Request { slots, timeout: 50.0, ..request(id) });
    }
    driver.advance(1.0);
    let at = |id: u64| (driver.requests[&id].sends[0].sent_at - 100.0) * 30.0;
    for (id, tokens) in [(1, 3.0), (2, 4.0), (3, 6.0)] {
        assert!(
            (at(id) - tokens).abs() <= 1.1,
            "job {id} was sent after {} tokens instead of {tokens}",
            at(id)
        );
    }
}

/// The overflow O_T of the paper: once the bank of an idle tenant is full, its tokens go to the busy tenant.
#[test]
fn tokens_of_an_idle_tenant_go_to_the_busy_one() {
    let tenants = vec![Tenant { share: 3.0, quota: 30.0 }, Tenant { share: 1.0, quota: 10.0 }];
    let mut driver = Driver::new(Settings { tenants, ..plain(0.0) }, 3, &fleet(1));
    for id in 0..800 {
        driver.advance(0.0125);
        driver.request(Request { tenant: 1, ..request(id) });
    }
    let sent = (400..800).filter(|id| !driver.requests[id].sends.is_empty()).count();
    // Five seconds at R = 60 per second; the tenant's own share is 15 per second.
    assert!((280..=320).contains(&sent), "{sent} jobs were sent in five seconds");
}

/// The retry-after of a rejection is the number of missing tokens divided by the tenant's rate, up to the maximum that
/// clients honor.
#[test]
fn a_rejection_carries_a_retry_after() {
    let mut driver = Driver::new(Settings { max_retry_after: 2.0, ..plain(20.0) }, 3, &fleet(1));
    let mut waits = Vec::new();
    for id in 0..40 {
        for action in driver.request(Request { slots: 4.0, ..request(id) }) {
            if let Action::Reject { retry_after, .. } = action {
                waits.push(retry_after);
            }
        }
    }
    let wait = waits.last().copied().flatten().expect("a full buffer rejects with a retry-after");
    assert!(
        wait > 0.0 && wait <= 4.0 / 30.0 + 1e-9,
        "at most four tokens are missing at 30 per second, but the retry-after is {wait} s"
    );
}

/// Guards against queued jobs of a tenant that a reload drops waiting in vain for tokens, which accrue for the other
/// tenants only.
#[test]
fn queued_jobs_of_a_dropped_tenant_are_admitted() {
    let tenants = vec![Tenant { share: 0.5, quota: 20.0 }, Tenant { share: 0.5, quota: 20.0 }];
    let before = Settings { tenants, ..plain(40.0) };
    let mut driver = Driver::new(before.clone(), 1, &fleet(1));
    let sends =
        |driver: &Driver| driver.requests.values().filter(|request| !request.sends.is_empty()).count();
    let rejected = |driver: &Driver| driver.requests.values().filter(|request| request.responses > 0).count();
    for id in 0..60 {
        driver.request(Request { tenant: 1, timeout: 50.0, ..request(id) });
    }
    let queued = 60 - sends(&driver) - rejected(&driver);
    assert!(queued > 0, "some jobs must wait for tokens");
    let dropped = DroppedPositions { tenants: [1].into(), ..DroppedPositions::default() };
    driver.reload(&Settings { dropped, ..before });
    driver.advance(0.01);
    assert_eq!(sends(&driver) + rejected(&driver), 60);
}
