//! The drive `fleet`: short schedules with real processes, and the checkers on records written by hand.

use std::collections::BTreeMap;
use std::path::PathBuf;

use emulator::cluster::lease_harness::Programs;
use emulator::cluster::record_checker::{check, takeovers, InjectedFault, LeaseRule, RecordLine, Records};
use emulator::cluster::results::{run, RunOptions};
use emulator::cluster::schedule::{ClusterExperiment, FaultKind};
use indicatif::ProgressBar;

const SHORT: &str = r#"
experiment "short" {
  drive     = "fleet"
  length_s  = 9
  calm_s    = 7
  between_s = 2
  times {
    short_ms = 3000
  }
  arm "three" {
    keepers = 3
    members = 5
  }
  arm "pauses" {
    keepers = 3
    members = 4
    faults  = "stop-owner kill-owner end-owner stop-owner-asking"
  }
}
"#;

/// A binary of this workspace: `cargo test --workspace` builds it beside the tests.
fn built(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the test's own path");
    let profile = test.parent().and_then(|deps| deps.parent()).expect("a folder of the profile");
    let program = profile.join(name);
    assert!(program.is_file(), "{} is missing: run the tests of the whole workspace", program.display());
    program
}

#[test]
fn schedules_with_processes_keep_the_rules() {
    let plan = ClusterExperiment::read("short.hcl", SHORT).unwrap();
    let programs = Programs { coordinator: built("coordinator"), emulator: built("emulator") };
    let out = tempfile::tempdir().unwrap();
    let seeds: Vec<u64> = (1..=6).collect();
    let options =
        RunOptions { seeds: &seeds, programs: &programs, out: out.path(), injected_bug: None, parallel: 6 };
    let results = run(&plan, options, &ProgressBar::hidden()).unwrap();
    assert!(!results.is_violated(), "{results:#?}");
    let arms: Vec<_> = results.arms.values().collect();
    assert_eq!(arms.iter().map(|arm| arm.schedules).sum::<u64>(), 12);
    assert!(arms.iter().all(|arm| arm.effects_accepted > 0), "{results:#?}");
    assert!(
        arms.iter().map(|arm| arm.takeover_s.count).sum::<u64>() > 0,
        "no owner was ever lost: {results:#?}"
    );
}

fn lines(text: &str) -> Vec<RecordLine> {
    text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
}

/// Two terms of one duty, granted at 100 and 500.
const KEEPER: &str = r#"{"t":100,"kind":"applied","index":5,"digest":1,"granted":"d","token":7,"session":2}
{"t":500,"kind":"applied","index":9,"digest":2,"granted":"d","token":8,"session":3}"#;

fn rules_broken(keeper2: &str, member: &str) -> Vec<LeaseRule> {
    let keepers = BTreeMap::from([(1, lines(KEEPER)), (2, lines(keeper2))]);
    let members = BTreeMap::from([("m0".to_owned(), lines(member))]);
    check(&Records { coordinators: keepers, members }).rules().collect()
}

#[test]
fn each_checker_finds_what_it_is_for() {
    let sound = r#"{"t":200,"kind":"taken","duty":"d","token":7}
{"t":500,"kind":"acted","duty":"d","token":7}
{"t":600,"kind":"refused","duty":"d","token":7}
{"t":700,"kind":"taken","duty":"d","token":8}"#;
    assert_eq!(rules_broken("", sound), []);
    assert_eq!(
        rules_broken(r#"{"t":101,"kind":"applied","index":5,"digest":3}"#, ""),
        [LeaseRule::SameState]
    );
    let back = r#"{"t":900,"kind":"applied","index":11,"digest":3,"granted":"e","token":8,"session":4}"#;
    assert_eq!(rules_broken(back, ""), [LeaseRule::TokensGrow]);
    let late = r#"{"t":501,"kind":"taken","duty":"d","token":7}"#;
    assert_eq!(rules_broken("", late), [LeaseRule::NoEffectOfEndedTerm, LeaseRule::Linearizable]);
    assert_eq!(
        rules_broken("", r#"{"t":501,"kind":"acted","duty":"d","token":7}"#),
        [LeaseRule::NoActionInEndedTerm]
    );
    let unsorted = r#"{"t":400,"kind":"taken","duty":"d","token":8}
{"t":450,"kind":"taken","duty":"d","token":7}"#;
    assert_eq!(rules_broken("", unsorted), [LeaseRule::TokensGrowAtReceivers, LeaseRule::Linearizable]);
    let restarted = unsorted.replace('\n', "\n{\"t\":420,\"kind\":\"started\"}\n");
    // A new process learns anew; but whoever took 8 shows that it was granted, before any keeper wrote so.
    assert_eq!(rules_broken("", &restarted), [LeaseRule::Linearizable]);
    let unknown = r#"{"t":200,"kind":"taken","duty":"d","token":6}"#;
    assert_eq!(rules_broken("", unknown), [LeaseRule::OnlyGrantedTokens, LeaseRule::Linearizable]);
    let session = r#"{"t":200,"kind":"session","session":2,"incarnation":1}"#;
    assert_eq!(rules_broken("", &format!("{session}\n{session}")), []);
    let next = format!("{session}\n{{\"t\":300,\"kind\":\"started\"}}\n{session}");
    assert_eq!(
        rules_broken("", &next),
        [LeaseRule::SessionOfOneProcess],
        "found by the rig: seed 201, a process drew its predecessor's number"
    );
    // A keeper that was late to record does not make a sound effect late: the earliest record of a grant counts,
    // and one that was early does.
    let early = r#"{"t":300,"kind":"applied","index":9,"digest":2,"granted":"d","token":8,"session":3}"#;
    assert_eq!(
        rules_broken(early, r#"{"t":400,"kind":"taken","duty":"d","token":7}"#),
        [LeaseRule::NoEffectOfEndedTerm, LeaseRule::Linearizable]
    );
}

#[test]
fn a_takeover_is_timed_from_the_first_fault_of_a_term_that_has_to_end_it() {
    let member = r#"{"t":200,"kind":"taken","duty":"d","token":7}
{"t":700,"kind":"taken","duty":"d","token":8}"#;
    let records = Records {
        coordinators: BTreeMap::from([(1, lines(KEEPER))]),
        members: BTreeMap::from([("m0".to_owned(), lines(member))]),
    };
    let done = |t, kind, until| InjectedFault { time: t, kind, until, holder_token: Some(7) };
    let both = [done(300, FaultKind::KillHolder, 400), done(350, FaultKind::KillHolder, 400)];
    assert_eq!(takeovers(&records, &both, 100), BTreeMap::from([(FaultKind::KillHolder, vec![400])]));
    let short = [done(300, FaultKind::PauseHolder, 310)];
    assert!(takeovers(&records, &short, 100).is_empty());
}

#[test]
fn schedules_are_drawn_by_their_seed_and_faults_of_a_plan_name_the_key() {
    let plan = ClusterExperiment::read("short.hcl", SHORT).unwrap();
    let drawn = |seed| format!("{:?}", plan.draw(&plan.arms[0], seed));
    assert_eq!(drawn(3), drawn(3));
    assert_ne!(drawn(3), drawn(4));
    let wrong = SHORT.replace("kill-owner", "kill-everybody");
    let fault = ClusterExperiment::read("short.hcl", &wrong).unwrap_err().to_string();
    assert!(fault.contains("faults") && fault.contains("kill-everybody"), "{fault}");
    let four = SHORT.replacen("keepers = 3", "keepers = 4", 1);
    assert!(ClusterExperiment::read("short.hcl", &four).unwrap_err().to_string().contains("wanted 3 or 5"));
}
