//! Tests of the lease protocol by model checking and by simulation in virtual time, without and with injected bugs.

use coordination::InjectedBug;
use emulator::cluster::lease_model::{search, Bounds};
use emulator::cluster::virtual_time_soak::run_soak;

#[test]
fn the_model_satisfies_the_rules_and_each_injected_bug_is_found() {
    let bounds = Bounds { messages: 2, ..Bounds::default() };
    let correct = search(None, bounds, 2);
    assert_eq!(correct.violated, None);
    assert!(correct.handed_over, "the lease is granted only once within the bounds, so nothing was checked");
    assert_eq!(InjectedBug::names().len(), 4);
    for (name, bug) in InjectedBug::names() {
        assert!(search(Some(*bug), bounds, 2).violated.is_some(), "{name} was not found");
    }
}

#[test]
fn a_soak_with_clock_rates_within_the_bound_violates_no_rule_and_finds_injected_bugs() {
    let correct = run_soak(4, 1, 1_000, None);
    assert!(!correct.is_violated(), "{correct:#?}");
    assert!(correct.lease_terms > 100 && correct.effects_rejected > 100, "{correct:#?}");
    for name in ["receiver-without-check", "lease-from-answer", "token-not-stored"] {
        let bug = InjectedBug::names().iter().find(|(other, _)| *other == name).map(|(_, bug)| *bug);
        assert!(run_soak(4, 1, 1_000, bug).is_violated(), "{name} was not found");
    }
    // With clock rates far beyond the bound, two holders may act at the same time, and a receiver must still never
    // accept a lower token after a higher one.
    let out_of_bound = run_soak(4, 1, 300_000, None);
    assert!(out_of_bound.overlapping_holders > 0 && out_of_bound.decreasing_tokens == 0, "{out_of_bound:#?}");
}
