//! The sums of several schedules as text.

use std::collections::BTreeMap;

use super::{ScheduleResult, BUDGET};

/// The sums over all schedules, as text.
#[must_use]
pub fn table(played: &BTreeMap<u64, ScheduleResult>) -> String {
    let mut text = String::new();
    let mut line = |words: String| text.push_str(&(words + "\n"));
    let sum = |of: fn(&ScheduleResult) -> u64| played.values().map(of).sum::<u64>();
    line(format!(
        "{} schedules, {} drains, {} terms",
        played.len(),
        sum(|one| one.drains),
        sum(|one| one.lease_terms)
    ));
    let (mut faults, mut calls) = (BTreeMap::<&str, u64>::new(), BTreeMap::<u16, u64>::new());
    for one in played.values() {
        one.faults.iter().for_each(|(kind, count)| *faults.entry(kind).or_default() += count);
        one.calls.iter().for_each(|(status, count)| *calls.entry(*status).or_default() += count);
    }
    line(format!("faults: {faults:?}"));
    line(format!("calls: {calls:?}"));
    let most = |of: fn(&ScheduleResult) -> usize| played.values().map(of).max().unwrap_or(0);
    line(format!(
        "out by plan at most: {} of {} in the fleet, {} of {} in a zone",
        most(|one| one.max_planned_unavailable.fleet),
        BUDGET.fleet,
        most(|one| one.max_planned_unavailable.zone),
        BUDGET.zone
    ));
    let longest = played.values().map(|one| one.longest_call_ms).fold(0.0, f64::max);
    line(format!("the longest call: {longest:.0} ms"));
    for (seed, one) in played {
        for (rule, texts) in &one.rules {
            line(format!("seed {seed}: {rule}: {} times, first: {}", texts.len(), texts[0]));
        }
    }
    text
}
