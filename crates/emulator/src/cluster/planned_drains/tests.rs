//! The checks of a schedule report violations of the rules and nothing else.

use super::evaluation::evaluate;
use super::{DrainRule, Observations, Outage, StandbyCall, LOSS_DETECTION_TIME_US, MAX_CALL_TIME_US};
use crate::cluster::record_checker::Records;

/// Returns the violated rules for records in JSON Lines: those of coordinator 1, and those of members by name.
fn violated_rules(
    observations: &Observations,
    coordinator: &str,
    members: &[(&str, &str)],
) -> Vec<DrainRule> {
    let lines = |text: &str| text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    let records = Records {
        coordinators: [(1, lines(coordinator))].into(),
        members: members.iter().map(|(name, text)| ((*name).to_owned(), lines(text))).collect(),
    };
    evaluate(&records, observations).violations.rules().collect()
}

/// d0 and d3 are in the same zone, whose budget allows one planned standby; d1 is in another zone. Consecutive and
/// forced standbys are no violation.
#[test]
fn two_planned_standbys_in_a_zone_are_reported_only_if_they_overlap() {
    let standby = r#"{"t":100,"kind":"standby","permit":5}
{"t":900,"kind":"active","number":1}"#;
    let check = |member: &str, record: &str, observations: &Observations| {
        violated_rules(observations, "", &[("d0", standby), (member, record)])
    };
    let overlapping = r#"{"t":500,"kind":"standby","permit":7}"#;
    assert_eq!(check("d3", overlapping, &Observations::default()), [DrainRule::WithinBudgets]);
    assert!(
        check("d1", overlapping, &Observations::default()).is_empty(),
        "in different zones, two standbys are within the budgets"
    );
    assert!(check("d3", &overlapping.replace("500", "901"), &Observations::default()).is_empty());
    assert!(check("d3", &overlapping.replace('7', "null"), &Observations::default()).is_empty());
    let killed = Observations {
        killed: vec![Outage { dispatcher: 0, from: 400, until: 2_000 }],
        ..Observations::default()
    };
    assert!(
        check("d3", overlapping, &killed).is_empty(),
        "d0 was killed, so it is no longer unavailable by plan"
    );
}

/// Two lost dispatchers use up the budget. A permit granted later is a violation once the losses must have been
/// detected.
#[test]
fn a_permit_granted_after_detected_losses_is_reported() {
    let granted = format!(
        r#"{{"t":{},"kind":"applied","index":9,"digest":1,"permits":[4]}}"#,
        2 * LOSS_DETECTION_TIME_US
    );
    let lost = |from: u64| Observations {
        killed: [1, 2]
            .map(|dispatcher| Outage { dispatcher, from, until: 3 * LOSS_DETECTION_TIME_US })
            .to_vec(),
        ..Observations::default()
    };
    assert_eq!(violated_rules(&lost(10), &granted, &[]), [DrainRule::NoPermitBesideLosses]);
    assert!(
        violated_rules(&lost(2 * LOSS_DETECTION_TIME_US - 10), &granted, &[]).is_empty(),
        "the losses cannot have been detected yet"
    );
}

/// Guards against a check that excused every unanswered call: it asked whether the schedule was over at the time of the
/// check, which is always so, instead of at the end of the call.
#[test]
fn unanswered_and_late_calls_are_reported() {
    let calls = |status: u16, duration: u64, started_at: u64| Observations {
        calls: vec![StandbyCall { dispatcher: 0, started_at, ended_at: started_at + duration, status }],
        paused: vec![Outage { dispatcher: 0, from: 10_000_000, until: 11_000_000 }],
        ended_at: Some(90_000_000),
        ..Observations::default()
    };
    assert!(violated_rules(&calls(503, 900_000, 1_000_000), "", &[]).is_empty());
    assert_eq!(violated_rules(&calls(0, 900_000, 1_000_000), "", &[]), [DrainRule::CallAnsweredInTime]);
    assert_eq!(
        violated_rules(&calls(503, MAX_CALL_TIME_US + 1, 1_000_000), "", &[]),
        [DrainRule::CallAnsweredInTime]
    );
    assert!(violated_rules(&calls(0, 900_000, 10_500_000), "", &[]).is_empty(), "the dispatcher was paused");
    assert!(
        violated_rules(&calls(0, 900_000, 89_900_000), "", &[]).is_empty(),
        "the schedule was over before the call ended"
    );
}
