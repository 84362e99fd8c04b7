//! The settings of a job: a job keeps those under which it was accepted, whatever a reload changes while it is open.
//! The driver checks each send and each rejection against the settings at the arrival of the request.

mod common;

use common::*;
use dispatch_core::api::*;

/// Time from the send of a job to the reload.
const RELOAD_AFTER: f64 = 0.01;
/// Time within which a job that may be sent again is sent again.
const RETRY_TIME: f64 = 3.0;
/// Time without a sign of life after which a worker counts as stalled, with a margin.
const STALL_TIME: f64 = 2.0;

/// Returns settings with this class only.
fn settings_of(class: Class) -> Settings {
    Settings { classes: vec![class], ..settings() }
}

/// Returns a class whose jobs are in time for long, so that only its idempotency decides whether they are sent again.
fn patient_class(idempotency: Idempotency) -> Class {
    Class { latency_objective: 20.0, ..class(idempotency) }
}

/// Sends job 1 under the settings before the reload, and reloads while its first attempt is open.
fn reload_with_open_job(before: Settings, after: &Settings, workers: &[Endpoint]) -> Driver {
    let mut driver = Driver::new(before, 3, workers);
    driver.advance(1.0);
    driver.request(Request { timeout: 30.0, ..request(1) });
    assert_eq!(driver.requests[&1].sends.len(), 1, "the job must be sent at once");
    driver.advance(RELOAD_AFTER);
    driver.reload(after);
    driver
}

/// Ends the first attempt at job 1 and gives the dispatcher time for a retry. Returns all actions since then.
fn end_first_attempt(driver: &mut Driver, outcome: Outcome) -> Vec<Action> {
    let mut actions = driver.end_attempt(1, 0, outcome);
    actions.extend(driver.advance(RETRY_TIME));
    actions
}

fn is_failed(actions: &[Action]) -> bool {
    actions.contains(&Action::Fail { request: RequestId(1) })
}

/// Guards against a second run of an open job that must not run twice, after a reload that makes its class idempotent.
#[test]
fn an_open_job_is_not_retried_because_its_class_became_idempotent() {
    for after in [Idempotency::Idempotent, Idempotency::WithKey(KeyScope::All)] {
        let before = settings_of(patient_class(Idempotency::NotIdempotent));
        let mut driver = reload_with_open_job(before, &settings_of(patient_class(after)), &fleet(6));
        let actions = end_first_attempt(&mut driver, Outcome::Reset);
        assert_eq!(driver.requests[&1].sends.len(), 1, "{after:?}: {actions:?}");
        assert!(is_failed(&actions), "{after:?}: {actions:?}");
    }
}

/// Guards against a promise to the client that a retry is harmless, where the job may have run under a class that
/// allowed no second run.
#[test]
fn an_open_job_that_may_have_run_is_failed_though_its_class_became_idempotent() {
    let before = settings_of(patient_class(Idempotency::NotIdempotent));
    let after = settings_of(patient_class(Idempotency::Idempotent));
    let mut driver = reload_with_open_job(before, &after, &fleet(1));
    let actions = end_first_attempt(&mut driver, Outcome::Error);
    assert!(is_failed(&actions), "no other worker is left, so the job must fail: {actions:?}");
}

/// Guards against a hedged request, a second run beside the first, for an open job whose class or site allowed none.
#[test]
fn an_open_job_is_not_hedged_because_a_reload_allows_hedging() {
    let with_hedging = |idempotency, hedging_allowed| Settings {
        progress_interval: 1.0,
        hedging_allowed,
        load_reports: LoadReports::None,
        ..settings_of(patient_class(idempotency))
    };
    for (before, is_hedged) in [
        (with_hedging(Idempotency::NotIdempotent, true), false),
        (with_hedging(Idempotency::Idempotent, false), false),
        (with_hedging(Idempotency::Idempotent, true), true),
    ] {
        let description = format!("{:?}, {}", before.classes[0].idempotency, before.hedging_allowed);
        let after = with_hedging(Idempotency::Idempotent, true);
        let mut driver = reload_with_open_job(before, &after, &fleet(6));
        driver.advance(STALL_TIME);
        assert_eq!(driver.requests[&1].sends.len() == 2, is_hedged, "before the reload: {description}");
    }
}

/// Guards against a retry at a worker that does not know the job's idempotency key, after a reload that widens the key
/// scope.
#[test]
fn an_open_job_keeps_its_key_scope() {
    let with_scope = |scope| settings_of(patient_class(Idempotency::WithKey(scope)));
    for scope in [KeyScope::Cell, KeyScope::Zone] {
        // The two workers are in different zones and cells.
        let mut driver = reload_with_open_job(with_scope(scope), &with_scope(KeyScope::All), &fleet(2));
        let actions = end_first_attempt(&mut driver, Outcome::Reset);
        assert_eq!(driver.requests[&1].sends.len(), 1, "{scope:?}: {actions:?}");
        assert!(is_failed(&actions), "{scope:?}: {actions:?}");
    }
}

/// Guards against a retry that workers take for a new job, after a reload that makes the key window longer.
#[test]
fn an_open_job_keeps_its_key_window() {
    let with_window = |key_window| Class { key_window, ..patient_class(Idempotency::WithKey(KeyScope::All)) };
    let before = settings_of(with_window(2.0));
    let mut driver = reload_with_open_job(before, &settings_of(with_window(60.0)), &fleet(6));
    driver.advance(2.5);
    let actions = end_first_attempt(&mut driver, Outcome::Reset);
    assert_eq!(driver.requests[&1].sends.len(), 1, "{actions:?}");
    assert!(is_failed(&actions), "{actions:?}");
}

/// Guards against more attempts at an open job than it was accepted with, and against fewer.
#[test]
fn an_open_job_keeps_its_maximum_number_of_attempts() {
    let with_attempts =
        |max_attempts| Settings { max_attempts, ..settings_of(patient_class(Idempotency::Idempotent)) };
    for (before, after) in [(1, 4), (2, 1)] {
        let mut driver = reload_with_open_job(with_attempts(before), &with_attempts(after), &fleet(6));
        let actions = end_first_attempt(&mut driver, Outcome::ConnectFailed);
        assert_eq!(driver.requests[&1].sends.len() as u32, before, "{before} to {after}: {actions:?}");
    }
}

/// Guards against a retry on a kind of machine that cannot run the open job, after a reload that moves its class to
/// another kind.
#[test]
fn an_open_job_keeps_its_required_kind() {
    let with_kind =
        |kind| settings_of(Class { required_kind: Some(kind), ..patient_class(Idempotency::Idempotent) });
    let kind_of = |worker: WorkerId| u32::from(worker.0 > 2);
    let workers =
        fleet(4).into_iter().map(|endpoint| Endpoint { kind: kind_of(endpoint.worker), ..endpoint });
    let workers: Vec<Endpoint> = workers.collect();
    let mut driver = reload_with_open_job(with_kind(0), &with_kind(1), &workers);
    let actions = end_first_attempt(&mut driver, Outcome::ConnectFailed);
    let kinds: Vec<u32> = driver.requests[&1].sends.iter().map(|send| kind_of(send.worker)).collect();
    assert_eq!(kinds, [0, 0], "{actions:?}");
}

/// Guards against an open job that is given up because its class allows no second run any more: its own class did.
#[test]
fn an_open_job_is_still_retried_though_its_class_is_no_longer_idempotent() {
    let before = settings_of(patient_class(Idempotency::Idempotent));
    let after = settings_of(patient_class(Idempotency::NotIdempotent));
    let mut driver = reload_with_open_job(before, &after, &fleet(6));
    let actions = end_first_attempt(&mut driver, Outcome::Reset);
    assert_eq!(driver.requests[&1].sends.len(), 2, "{actions:?}");
}

/// Guards against new settings for a job that is accepted and not sent yet: it waits for a worker during the reload.
#[test]
fn a_waiting_job_keeps_its_settings() {
    let mut driver = Driver::new(settings_of(patient_class(Idempotency::NotIdempotent)), 3, &[]);
    driver.advance(1.0);
    driver.request(Request { timeout: 30.0, ..request(1) });
    driver.reload(&settings_of(patient_class(Idempotency::Idempotent)));
    driver.send_list(ListScope::Full, &fleet(6));
    driver.advance(3.0);
    assert_eq!(driver.requests[&1].sends.len(), 1, "the job must have waited, and must be sent now");
    let actions = end_first_attempt(&mut driver, Outcome::Reset);
    assert_eq!(driver.requests[&1].sends.len(), 1, "{actions:?}");
    assert!(is_failed(&actions), "{actions:?}");
}

/// Guards against an open job that is rejected as late because late responses of its class have no weight any more.
#[test]
fn an_open_job_keeps_the_weight_of_a_late_response() {
    let with_late_weight = |late_weight| {
        settings_of(Class {
            latency_objective: 0.5,
            run_time_allowance: 1.5,
            late_weight,
            ..class(Idempotency::Idempotent)
        })
    };
    let full = LoadReport { free_slots: Some(0.0), in_flight: Some(60.0), ..LoadReport::default() };
    let mut driver = Driver::new(with_late_weight(0.5), 8, &fleet(4));
    driver.advance(0.5);
    for worker in 1..=4 {
        driver.probed(WorkerId(worker), 4.0);
    }
    let mut sent = 0;
    for id in 0..100 {
        for worker in 1..=4 {
            driver.event(Event::ProbeEnded { worker: WorkerId(worker), ok: true, load: Some(full) });
        }
        driver.request(Request { expected_run_time: Some(0.3), ..request(id) });
        assert!(driver.requests[&id].sends.is_empty(), "job {id} must wait for a free worker");
        driver.reload(&with_late_weight(0.0));
        driver.advance(0.1);
        sent += driver.requests[&id].sends.len();
        driver.reload(&with_late_weight(0.5));
    }
    assert!(
        (40..=100).contains(&sent),
        "{sent} of 100 jobs were sent, though their late responses have weight"
    );
}

/// Guards against a reload that binds nobody: jobs that are accepted after it follow the new settings.
#[test]
fn a_job_accepted_after_a_reload_has_the_new_settings() {
    let before = settings_of(patient_class(Idempotency::Idempotent));
    let after = settings_of(patient_class(Idempotency::NotIdempotent));
    let mut driver = Driver::new(before, 3, &fleet(6));
    driver.advance(1.0);
    driver.reload(&after);
    driver.request(Request { timeout: 30.0, ..request(1) });
    let actions = end_first_attempt(&mut driver, Outcome::Reset);
    assert_eq!(driver.requests[&1].sends.len(), 1, "{actions:?}");
    assert!(is_failed(&actions), "{actions:?}");
}
