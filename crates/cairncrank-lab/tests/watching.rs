//! Workers watched by one dispatcher each, with processes and faults between them.

use std::time::Duration;

use cairncrank_lab::fleet::joining;
use cairncrank_lab::fleet::together::Binaries;
use cairncrank_lab::fleet::watching::{play, Plan, Watched, RULES};

fn played(plan: &Plan) -> Watched {
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

#[test]
fn an_owner_that_does_not_wait_is_found_by_the_checker() {
    let flaw = Some("no-wait".to_owned());
    let plan = Plan { only_kills: true, length: Duration::from_secs(24), flaw, ..Plan::default() };
    let played = played(&plan);
    assert!(played.rules.contains_key(RULES[0]), "{played:#?}");
}

/// A day on which six of nine workers are replaced by cold ones: the same with and without grants, side by side.
#[test]
fn grants_let_cold_workers_do_more_and_push_none_over() {
    let day = |grants: bool| {
        std::thread::spawn(move || {
            let dir = tempfile::tempdir().unwrap();
            let binaries = Binaries::beside_tests().unwrap();
            let plan =
                joining::Plan { dispatchers: 12, rate: 90.0, grants, kill: grants, ..Default::default() };
            joining::play(dir.path(), &binaries, &plan).unwrap()
        })
    };
    let (planned, granted) = (day(false), day(true));
    let (planned, granted) = (planned.join().unwrap(), granted.join().unwrap());
    println!("planned {planned:?}\ngranted {granted:?}");
    assert!(granted.broken.is_empty(), "{:?}", granted.broken);
    assert_eq!((planned.fallen, granted.fallen), (0, 0));
    assert!(planned.granted == 0.0 && granted.granted > 10.0);
    // Though the owner and the keepers' leader are killed on the way.
    assert!(granted.used > 1.2 * planned.used, "{} and {}", granted.used, planned.used);
    assert!(granted.fullest <= 1.0, "{}", granted.fullest);
}
