//! The ownership protocol in every order of events, as it is and with each flaw.

use coordination::InjectedBug;
use emulator::cluster::lease_model::{search, Bounds};
use emulator::cluster::virtual_time_soak::run_soak;

#[test]
fn the_protocol_holds_and_each_flaw_is_found() {
    let bounds = Bounds { messages: 2, ..Bounds::default() };
    let sound = search(None, bounds, 2);
    assert_eq!(sound.violated, None);
    assert!(sound.handed_over, "no hand-over within the bounds would mean that nothing was checked");
    assert_eq!(InjectedBug::names().len(), 4);
    for (name, flaw) in InjectedBug::names() {
        assert!(search(Some(*flaw), bounds, 2).violated.is_some(), "{name} was not found");
    }
}

#[test]
fn hours_of_a_fleet_keep_the_rules_with_clocks_inside_the_bound_and_flaws_are_found() {
    let sound = run_soak(4, 1, 1_000, None);
    assert!(!sound.is_violated(), "{sound:#?}");
    assert!(sound.lease_terms > 100 && sound.effects_rejected > 100, "{sound:#?}");
    for name in ["receiver-without-check", "lease-from-answer", "token-not-stored"] {
        let flaw = InjectedBug::names().iter().find(|(known, _)| *known == name).map(|(_, flaw)| *flaw);
        assert!(run_soak(4, 1, 1_000, flaw).is_violated(), "{name} was not found");
    }
    // Clocks far beyond the bound: two owners may act, and a receiver still never goes back to an older one.
    let beyond = run_soak(4, 1, 300_000, None);
    assert!(beyond.overlapping_holders > 0 && beyond.decreasing_tokens == 0, "{beyond:#?}");
}
