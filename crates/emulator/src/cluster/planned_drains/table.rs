//! Totals of several schedules as text.

use std::collections::BTreeMap;

use super::{ScheduleResult, BUDGET};

/// Returns the totals of the schedules, given by seed, and their first violations as text.
#[must_use]
pub fn table(results: &BTreeMap<u64, ScheduleResult>) -> String {
    let mut text = String::new();
    let mut line = |words: String| text.push_str(&(words + "\n"));
    let sum = |of: fn(&ScheduleResult) -> u64| results.values().map(of).sum::<u64>();
    line(format!(
        "{} schedules, {} drains, {} terms",
        results.len(),
        sum(|result| result.drains),
        sum(|result| result.lease_terms)
    ));
    let (mut faults, mut calls) = (BTreeMap::<&str, u64>::new(), BTreeMap::<u16, u64>::new());
    for result in results.values() {
        result.faults.iter().for_each(|(kind, count)| *faults.entry(kind).or_default() += count);
        result.calls.iter().for_each(|(status, count)| *calls.entry(*status).or_default() += count);
    }
    line(format!("faults: {faults:?}"));
    line(format!("calls: {calls:?}"));
    let max = |of: fn(&ScheduleResult) -> usize| results.values().map(of).max().unwrap_or(0);
    line(format!(
        "out by plan at most: {} of {} in the fleet, {} of {} in a zone",
        max(|result| result.max_planned_unavailable.fleet),
        BUDGET.fleet,
        max(|result| result.max_planned_unavailable.zone),
        BUDGET.zone
    ));
    let longest = results.values().map(|result| result.longest_call_ms).fold(0.0, f64::max);
    line(format!("the longest call: {longest:.0} ms"));
    for (seed, result) in results {
        for (rule, texts) in &result.rules {
            line(format!("seed {seed}: {rule}: {} times, first: {}", texts.len(), texts[0]));
        }
    }
    text
}
