//! The token bank with job buffer, through the dispatcher, against the paper's recursion.

mod common;

use common::*;
use dispatch_core::api::*;
use fastrand::Rng;

/// One tenant whose R stays at 1.5 times its quota, as no attempt ends; no job waits for a free worker, as no load is reported.
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

/// The paper's (2.8) for jobs of several slots: U falls by an accepted job, rises by the tokens between two jobs
/// and stays within [0, C_J + C_T]. A job is admitted while U covers it, and waits while U - C_J does not.
#[test]
fn admission_follows_the_recursion() {
    let (mut refused, mut held) = (0, 0);
    for seed in 0..40 {
        let mut rng = Rng::with_seed(seed);
        let quota = 10.0 + rng.f64() * 70.0;
        let rate = 1.5 * quota;
        let mut d = Driver::new(plain(quota), seed, &fleet(1));
        // The largest job first: the capacities are set by it, and it is refused while the banks are empty.
        d.request(Request { slots: 4.0, timeout: 50.0, ..request(0) });
        let (bank, buffer) = ((rate as i64).max(8), ((rate * 0.5) as i64).max(4));
        let mut u = buffer;
        if d.requests[&0].answers == 0 {
            u -= 4;
        }
        for id in 1..400 {
            // Jobs come a whole number of tokens apart, in bursts and lulls.
            let tokens = if rng.u32(..30) == 0 { rng.i64(0..80) } else { rng.i64(0..4) };
            d.advance(tokens as f64 / rate);
            u = (u + tokens).min(bank + buffer);
            let k = rng.i64(1..5);
            let actions = d.request(Request { slots: k as f64, timeout: 50.0, ..request(id) });
            let refuse = actions.iter().any(|a| matches!(a, Action::Reject { .. }));
            let push = actions.iter().any(|a| matches!(a, Action::Send { request, .. } if request.0 == id));
            assert_eq!(refuse, u < k, "seed {seed}, job {id} of {k} slots at U = {u}");
            assert_eq!(
                push,
                u - buffer >= k,
                "seed {seed}, job {id} of {k} slots at U = {u}, C_J = {buffer}"
            );
            refused += i32::from(refuse);
            held += i32::from(!refuse && !push);
            u -= if refuse { 0 } else { k };
        }
    }
    assert!(refused > 400 && held > 400, "the streams press the throttle: {refused} refused, {held} held");
}

/// Held jobs leave first come, first served, each when its own tokens have come and no sooner.
#[test]
fn tokens_pay_the_head_slot_by_slot() {
    let mut d = Driver::new(plain(20.0), 3, &fleet(1));
    for (id, slots) in [(1, 3.0), (2, 1.0), (3, 2.0)] {
        d.request(Request { slots, timeout: 50.0, ..request(id) });
    }
    d.advance(1.0);
    let at = |id: u64| (d.requests[&id].sends[0].sent_at - 100.0) * 30.0;
    for (id, tokens) in [(1, 3.0), (2, 4.0), (3, 6.0)] {
        assert!((at(id) - tokens).abs() <= 1.1, "job {id} left after {} tokens of {tokens}", at(id));
    }
}

/// The paper's O_T: the tokens of an idle tenant go to the busy one once the idle bank is full.
#[test]
fn passes_an_idle_share_on() {
    let tenants = vec![Tenant { share: 3.0, quota: 30.0 }, Tenant { share: 1.0, quota: 10.0 }];
    let mut d = Driver::new(Settings { tenants, ..plain(0.0) }, 3, &fleet(1));
    for id in 0..800 {
        d.advance(0.0125);
        d.request(Request { tenant: 1, ..request(id) });
    }
    let pushed = (400..800).filter(|id| !d.requests[id].sends.is_empty()).count();
    // Five seconds at R = 60; the tenant's own share is 15 a second.
    assert!((280..=320).contains(&pushed), "{pushed} pushed in five seconds");
}

/// A refusal carries the deficit over the tenant's rate, within what clients honour.
#[test]
fn a_rejection_carries_a_retry_after() {
    let mut d = Driver::new(Settings { max_retry_after: 2.0, ..plain(20.0) }, 3, &fleet(1));
    let mut waits = Vec::new();
    for id in 0..40 {
        for a in d.request(Request { slots: 4.0, ..request(id) }) {
            if let Action::Reject { retry_after, .. } = a {
                waits.push(retry_after);
            }
        }
    }
    let wait = waits.last().copied().flatten().expect("a full buffer refuses with a wait");
    assert!(wait > 0.0 && wait <= 4.0 / 30.0 + 1e-9, "at most four slots at 30 a second: {wait}");
}
