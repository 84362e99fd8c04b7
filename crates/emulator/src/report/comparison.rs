//! Comparison of two results.

use std::fmt::Write as _;

use super::{CaseResult, Mean, Results};

const HEADER: &str = "| arm | case | service | goal | refused | late | starved | breaches |
|---|---|---|---|---|---|---|---|
";

/// Compares two results as a Markdown table with a row for each arm and case that both contain. Differences are paired
/// by seed if both have the same seeds.
pub fn compare(before: &Results, after: &Results) -> String {
    let mut text = format!("# {} against {}\n\n", before.experiment, after.experiment);
    let paired = before.seeds == after.seeds;
    let _ = writeln!(
        text,
        "Differences are after less before, {}.\n",
        if paired { "in pairs by seed" } else { "of means; the seeds differ" }
    );
    text.push_str(HEADER);
    let mut common = 0;
    for new in &after.arms {
        let Some(old) = before.arms.iter().find(|arm| arm.name == new.name) else { continue };
        for case in &new.cases {
            let Some(was) = old.cases.iter().find(|other| other.name == case.name) else { continue };
            common += 1;
            write_case(&mut text, &new.name, was, case, paired);
        }
    }
    if common == 0 {
        text.push_str("\nThe results have no arm and case in common.\n");
    }
    text
}

/// Writes the row of an arm and a case that both results contain.
fn write_case(text: &mut String, arm: &str, before: &CaseResult, after: &CaseResult, paired: bool) {
    let service = paired
        .then(|| paired_difference(&before.service_by_seed, &after.service_by_seed))
        .flatten()
        .unwrap_or_else(|| difference(before.all, after.all));
    let goal = paired
        .then(|| paired_difference(&before.goal_by_seed, &after.goal_by_seed))
        .flatten()
        .unwrap_or_else(|| difference(before.goal, after.goal));
    let _ = writeln!(
        text,
        "| {} | {} | {:+.3} ±{:.3} | {:+.3} ±{:.3} | {:+.3} | {:+.3} | {} → {} | {} → {} |",
        arm,
        after.name,
        service.mean,
        service.within,
        goal.mean,
        goal.within,
        after.refused.mean - before.refused.mean,
        after.late.mean - before.late.mean,
        before.large_starved,
        after.large_starved,
        before.rules.total(),
        after.rules.total(),
    );
}

/// Returns the mean of the differences by seed, or `None` if the numbers of values differ.
fn paired_difference(before: &[f64], after: &[f64]) -> Option<Mean> {
    if before.len() != after.len() {
        return None;
    }
    let each: Vec<f64> = after.iter().zip(before).map(|(after, before)| after - before).collect();
    Some(Mean::from_samples(&each))
}

/// Returns the difference of means over different seeds.
fn difference(before: Mean, after: Mean) -> Mean {
    Mean { mean: after.mean - before.mean, within: before.within.hypot(after.within) }
}
