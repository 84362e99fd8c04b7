//! The checks of a schedule find what they are for, and nothing else.

use super::evaluation::evaluate;
use super::{DrainRule, Observations, Outage, StandbyCall, LOSS_KNOWN_AFTER, MAX_CALL_TIME};
use crate::cluster::record_checker::Records;

fn rules(observations: &Observations, coordinator: &str, members: &[(&str, &str)]) -> Vec<DrainRule> {
    let lines = |text: &str| text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    let records = Records {
        coordinators: [(1, lines(coordinator))].into(),
        members: members.iter().map(|(name, text)| ((*name).to_owned(), lines(text))).collect(),
    };
    evaluate(&records, observations).violations.rules().collect()
}

/// d0 and d3 are of one zone.
#[test]
fn two_of_a_zone_by_permit_are_found_and_one_after_another_or_by_force_are_not() {
    let out = r#"{"t":100,"kind":"standby","permit":5}
{"t":900,"kind":"active","number":1}"#;
    let found = |of: &str, other: &str, observations: &Observations| {
        rules(observations, "", &[("d0", out), (of, other)])
    };
    let during = r#"{"t":500,"kind":"standby","permit":7}"#;
    assert_eq!(found("d3", during, &Observations::default()), [DrainRule::WithinBudgets]);
    assert!(found("d1", during, &Observations::default()).is_empty(), "another zone, and two in all");
    assert!(found("d3", &during.replace("500", "901"), &Observations::default()).is_empty());
    assert!(found("d3", &during.replace('7', "null"), &Observations::default()).is_empty());
    let killed = Observations {
        killed: vec![Outage { dispatcher: 0, from: 400, until: 2_000 }],
        ..Observations::default()
    };
    assert!(found("d3", during, &killed).is_empty(), "out, but not by plan any more");
}

#[test]
fn a_permit_beside_known_losses_is_found() {
    let granted =
        format!(r#"{{"t":{},"kind":"applied","index":9,"digest":1,"permits":[4]}}"#, 2 * LOSS_KNOWN_AFTER);
    let lost = |from: u64| Observations {
        killed: [1, 2].map(|dispatcher| Outage { dispatcher, from, until: 3 * LOSS_KNOWN_AFTER }).to_vec(),
        ..Observations::default()
    };
    assert_eq!(rules(&lost(10), &granted, &[]), [DrainRule::NoPermitBesideLosses]);
    assert!(rules(&lost(2 * LOSS_KNOWN_AFTER - 10), &granted, &[]).is_empty(), "nobody could know yet");
}

/// Every call without an answer was excused once, since the schedule was over when it was checked.
#[test]
fn a_call_that_is_not_answered_or_late_is_found() {
    let calls = |status: u16, took: u64, at: u64| Observations {
        calls: vec![StandbyCall { dispatcher: 0, started_at: at, ended_at: at + took, status }],
        paused: vec![Outage { dispatcher: 0, from: 10_000_000, until: 11_000_000 }],
        ended_at: Some(90_000_000),
        ..Observations::default()
    };
    assert!(rules(&calls(503, 900_000, 1_000_000), "", &[]).is_empty());
    assert_eq!(rules(&calls(0, 900_000, 1_000_000), "", &[]), [DrainRule::CallAnsweredInTime]);
    assert_eq!(rules(&calls(503, MAX_CALL_TIME + 1, 1_000_000), "", &[]), [DrainRule::CallAnsweredInTime]);
    assert!(rules(&calls(0, 900_000, 10_500_000), "", &[]).is_empty(), "it was stopped");
    assert!(rules(&calls(0, 900_000, 89_900_000), "", &[]).is_empty(), "all was ended");
}
