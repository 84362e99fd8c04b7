//! Workers watched by one dispatcher each, with processes and faults between them.

use std::time::Duration;

use emulator::cluster::cluster_harness::Binaries;
use emulator::cluster::shared_health_checks::{
    play, Fault, HealthCheckRule, Plan, ScheduleResult, ScriptedFault,
};
use emulator::cluster::slow_start;
use emulator::cluster::violations::Rule;

fn played(plan: &Plan) -> ScheduleResult {
    let dir = tempfile::tempdir().unwrap();
    let binaries = Binaries::beside_tests().unwrap();
    play(dir.path(), &binaries, plan).unwrap()
}

#[test]
fn workers_stay_watched_at_their_rate_while_dispatchers_are_killed() {
    let plan = Plan { only_kills: true, length: Duration::from_secs(24), ..Plan::default() };
    let played = played(&plan);
    assert!(played.rules.is_empty(), "{:#?}", played.rules);
    assert!(played.faults["kill"] >= 2 && played.probes > 200, "{played:#?}");
}

/// Found by seed 208: sets were cut by the worker's number alone, so one had two workers of two zones, and its owner
/// could not tell a worker that hung from the way to its zone.
///
/// Then flaky beside other work: the six sets move one by one for 5.2 to 6.3 s after the start, and the experiment settled
/// for 5 s. Where the worker's set moved during the hang of 4.5 s, it was known after 4.1 to 4.54 s (traced), elsewhere after
/// 1.6 to 2.6 s. The harness waits now until no set is to move.
#[test]
fn a_worker_that_hangs_is_known_everywhere_whichever_set_it_is_in() {
    let script = &[ScriptedFault { fault: Fault::HangWorker, target: 3, zone: 0 }];
    let plan =
        Plan { dispatchers: 8, rate: 20.0, length: Duration::from_secs(18), script, ..Plan::default() };
    let played = played(&plan);
    assert!(played.rules.is_empty(), "{:#?}", played.rules);
    assert_eq!((played.faults["hang"], played.detected_after_ms.len()), (1, 8), "{played:#?}");
}

/// Five keepers, and what they and the workers go through at once: a worker that drains and comes back cold, a leader
/// that is stopped, all keepers killed, everything started anew in turn.
#[test]
fn jobs_and_workers_keep_their_rules_while_keepers_and_dispatchers_are_started_anew() {
    let script = &[
        ScriptedFault { fault: Fault::DrainWorker, target: 0, zone: 0 },
        ScriptedFault { fault: Fault::PauseLeader, target: 0, zone: 0 },
        ScriptedFault { fault: Fault::KillAllCoordinators, target: 0, zone: 0 },
        ScriptedFault { fault: Fault::RollingRestart, target: 0, zone: 0 },
    ];
    let plan = Plan { coordinators: 5, length: Duration::from_secs(34), script, ..Plan::default() };
    let played = played(&plan);
    assert!(played.rules.is_empty(), "{:#?}", played.rules);
    assert!(played.faults.len() == 4 && played.jobs_at_cold > 0, "{played:#?}");
}

#[test]
fn an_owner_that_does_not_wait_is_found_by_the_checker() {
    let flaw = Some("no-wait".to_owned());
    let plan =
        Plan { only_kills: true, length: Duration::from_secs(24), injected_bug: flaw, ..Plan::default() };
    let played = played(&plan);
    assert!(played.rules.contains_key(HealthCheckRule::ProbeRate.text()), "{played:#?}");
}

/// A day on which six of nine workers are replaced by cold ones: the same with and without grants, side by side.
#[test]
fn grants_let_cold_workers_do_more_and_push_none_over() {
    let day = |grants: bool| {
        std::thread::spawn(move || {
            let dir = tempfile::tempdir().unwrap();
            let binaries = Binaries::beside_tests().unwrap();
            let plan =
                slow_start::Plan { dispatchers: 12, rate: 90.0, grants, kill: grants, ..Default::default() };
            slow_start::play(dir.path(), &binaries, &plan).unwrap()
        })
    };
    let (planned, granted) = (day(false), day(true));
    let (planned, granted) = (planned.join().unwrap(), granted.join().unwrap());
    println!("planned {planned:?}\ngranted {granted:?}");
    assert!(granted.violations.is_empty(), "{:?}", granted.violations);
    assert_eq!((planned.overloads, granted.overloads), (0, 0));
    assert!(planned.granted_work == 0.0 && granted.granted_work > 10.0);
    // Though the owner and the keepers' leader are killed on the way.
    assert!(
        granted.used_share > 1.2 * planned.used_share,
        "{} and {}",
        granted.used_share,
        planned.used_share
    );
    assert!(granted.peak_load <= 1.0, "{}", granted.peak_load);
}
