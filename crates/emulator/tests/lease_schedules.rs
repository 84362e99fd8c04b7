//! Tests of the execution mode `fleet`: short schedules with real processes, and the record checker on handwritten
//! records.

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

/// Returns the path of a program of this workspace, which `cargo test --workspace` builds next to the tests.
fn program_path(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the test's own path");
    let profile = test.parent().and_then(|deps| deps.parent()).expect("the folder of the build profile");
    let program = profile.join(name);
    assert!(program.is_file(), "{} is missing: run the tests of the whole workspace", program.display());
    program
}

#[test]
fn schedules_with_processes_violate_no_rule() {
    let experiment = ClusterExperiment::read("short.hcl", SHORT).unwrap();
    let programs = Programs { coordinator: program_path("coordinator"), emulator: program_path("emulator") };
    let out = tempfile::tempdir().unwrap();
    let seeds: Vec<u64> = (1..=6).collect();
    let options =
        RunOptions { seeds: &seeds, programs: &programs, out: out.path(), injected_bug: None, parallel: 6 };
    let results = run(&experiment, options, &ProgressBar::hidden()).unwrap();
    assert!(!results.is_violated(), "{results:#?}");
    let arms: Vec<_> = results.arms.values().collect();
    assert_eq!(arms.iter().map(|arm| arm.schedules).sum::<u64>(), 12);
    assert!(arms.iter().all(|arm| arm.effects_accepted > 0), "{results:#?}");
    assert!(
        arms.iter().map(|arm| arm.takeover_s.count).sum::<u64>() > 0,
        "no takeover was measured: {results:#?}"
    );
}

fn lines(text: &str) -> Vec<RecordLine> {
    text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
}

/// Record of a replica: two terms of a lease, granted at 100 and 500.
const REPLICA: &str = r#"{"t":100,"kind":"applied","index":5,"digest":1,"granted":"d","token":7,"session":2}
{"t":500,"kind":"applied","index":9,"digest":2,"granted":"d","token":8,"session":3}"#;

/// Returns the rules that the records of a second replica and of a member violate, together with [`REPLICA`].
fn violated_rules(second_replica: &str, member: &str) -> Vec<LeaseRule> {
    let coordinators = BTreeMap::from([(1, lines(REPLICA)), (2, lines(second_replica))]);
    let members = BTreeMap::from([("m0".to_owned(), lines(member))]);
    check(&Records { coordinators, members }).rules().collect()
}

#[test]
fn each_rule_is_reported_when_records_violate_it() {
    let correct = r#"{"t":200,"kind":"taken","duty":"d","token":7}
{"t":500,"kind":"acted","duty":"d","token":7}
{"t":600,"kind":"refused","duty":"d","token":7}
{"t":700,"kind":"taken","duty":"d","token":8}"#;
    assert_eq!(violated_rules("", correct), []);
    assert_eq!(
        violated_rules(r#"{"t":101,"kind":"applied","index":5,"digest":3}"#, ""),
        [LeaseRule::SameState]
    );
    let repeated_token =
        r#"{"t":900,"kind":"applied","index":11,"digest":3,"granted":"e","token":8,"session":4}"#;
    assert_eq!(violated_rules(repeated_token, ""), [LeaseRule::TokensGrow]);
    let late = r#"{"t":501,"kind":"taken","duty":"d","token":7}"#;
    assert_eq!(violated_rules("", late), [LeaseRule::NoEffectOfEndedTerm, LeaseRule::Linearizable]);
    assert_eq!(
        violated_rules("", r#"{"t":501,"kind":"acted","duty":"d","token":7}"#),
        [LeaseRule::NoActionInEndedTerm]
    );
    let decreasing = r#"{"t":400,"kind":"taken","duty":"d","token":8}
{"t":450,"kind":"taken","duty":"d","token":7}"#;
    assert_eq!(violated_rules("", decreasing), [LeaseRule::TokensGrowAtReceivers, LeaseRule::Linearizable]);
    let restarted = decreasing.replace('\n', "\n{\"t\":420,\"kind\":\"started\"}\n");
    // A new process may start with a lower token. The history is still not linearizable, because the effect with token
    // 8 was accepted before a replica recorded the grant.
    assert_eq!(violated_rules("", &restarted), [LeaseRule::Linearizable]);
    let not_granted = r#"{"t":200,"kind":"taken","duty":"d","token":6}"#;
    assert_eq!(violated_rules("", not_granted), [LeaseRule::OnlyGrantedTokens, LeaseRule::Linearizable]);
    let session = r#"{"t":200,"kind":"session","session":2,"incarnation":1}"#;
    assert_eq!(violated_rules("", &format!("{session}\n{session}")), []);
    let reused = format!("{session}\n{{\"t\":300,\"kind\":\"started\"}}\n{session}");
    assert_eq!(
        violated_rules("", &reused),
        [LeaseRule::SessionOfOneProcess],
        "seen with seed 201: a process drew the same number as its predecessor and got the predecessor's session"
    );
    // The earliest record of a grant counts, so a replica that records it late does not matter. Here the second replica
    // recorded it at 300, before the effect at 400.
    let early = r#"{"t":300,"kind":"applied","index":9,"digest":2,"granted":"d","token":8,"session":3}"#;
    assert_eq!(
        violated_rules(early, r#"{"t":400,"kind":"taken","duty":"d","token":7}"#),
        [LeaseRule::NoEffectOfEndedTerm, LeaseRule::Linearizable]
    );
}

#[test]
fn a_takeover_is_measured_from_the_first_fault_that_ends_a_term() {
    let member = r#"{"t":200,"kind":"taken","duty":"d","token":7}
{"t":700,"kind":"taken","duty":"d","token":8}"#;
    let records = Records {
        coordinators: BTreeMap::from([(1, lines(REPLICA))]),
        members: BTreeMap::from([("m0".to_owned(), lines(member))]),
    };
    let fault = |time, kind, until| InjectedFault { time, kind, until, holder_token: Some(7) };
    let both = [fault(300, FaultKind::KillHolder, 400), fault(350, FaultKind::KillHolder, 400)];
    assert_eq!(takeovers(&records, &both, 100), BTreeMap::from([(FaultKind::KillHolder, vec![400])]));
    let short_pause = [fault(300, FaultKind::PauseHolder, 310)];
    assert!(takeovers(&records, &short_pause, 100).is_empty());
}

#[test]
fn schedules_depend_on_the_seed_and_errors_in_an_experiment_name_the_key() {
    let experiment = ClusterExperiment::read("short.hcl", SHORT).unwrap();
    let drawn = |seed| format!("{:?}", experiment.draw(&experiment.arms[0], seed));
    assert_eq!(drawn(3), drawn(3));
    assert_ne!(drawn(3), drawn(4));
    let unknown_kind = SHORT.replace("kill-owner", "kill-everybody");
    let error = ClusterExperiment::read("short.hcl", &unknown_kind).unwrap_err().to_string();
    assert!(error.contains("faults") && error.contains("kill-everybody"), "{error}");
    let four_coordinators = SHORT.replacen("keepers = 3", "keepers = 4", 1);
    let error = ClusterExperiment::read("short.hcl", &four_coordinators).unwrap_err().to_string();
    assert!(error.contains("wanted 3 or 5"), "{error}");
}
