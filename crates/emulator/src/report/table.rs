//! Results as Markdown tables.

use std::fmt::Write as _;

use super::{ArmResult, Mean, Results};
use crate::metrics::LostValue;

const METRICS_HEADER: &str = "| arm | service | small | large | goal | late | refused | failed | late p99, ms | sends a job | starved | drain | dup | lost | failback |
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|
";

const LOST_VALUE_HEADER: &str = "
Worth lost, in parts of the worth asked for: refused, failed, late after a wait at the dispatcher (held)
or at a worker (queued), late by the run alone (slow).

| arm | refused | failed | held | queued | slow |
|---|---|---|---|---|---|
";

impl Results {
    /// Returns the results as Markdown, with two tables for each case: its metrics, and its lost value.
    pub fn table(&self) -> String {
        let mut text = format!("# {}\n\n{}\n\n", self.experiment, self.about);
        let seeds: Vec<String> = self.seeds.iter().map(u64::to_string).collect();
        let _ = writeln!(
            text,
            "Drive: {}. Seeds: {}. Means with 95 % intervals.\n",
            self.drive,
            seeds.join(", ")
        );
        let cases = self.arms.first().map_or(0, |arm| arm.cases.len());
        for case in 0..cases {
            let _ = writeln!(text, "## {}\n", self.arms[0].cases[case].name);
            text.push_str(METRICS_HEADER);
            self.arms.iter().for_each(|arm| write_metrics(&mut text, arm, case));
            text.push_str(LOST_VALUE_HEADER);
            self.arms.iter().for_each(|arm| write_lost_value(&mut text, arm, case));
            text.push('\n');
        }
        text
    }
}

fn with_interval(mean: Mean) -> String {
    format!("{:.3} ±{:.3}", mean.mean, mean.within)
}

/// Writes the row of an arm in the table of a case's metrics.
fn write_metrics(text: &mut String, arm: &ArmResult, case: usize) {
    let case = &arm.cases[case];
    let _ = writeln!(
        text,
        "| {} | {} | {} | {} | {} | {} | {} | {} | {:.0} ±{:.0} | {:.2} | {} | {} | {} | {} | {} |",
        arm.name,
        with_interval(case.all),
        with_interval(case.small),
        with_interval(case.large),
        with_interval(case.goal),
        with_interval(case.late),
        with_interval(case.refused),
        with_interval(case.failed),
        case.late_p99_ms.mean,
        case.late_p99_ms.within,
        case.sends.mean,
        case.large_starved,
        case.rules.drain,
        case.rules.repeated,
        case.rules.unanswered,
        case.rules.slow_start_overload,
    );
}

/// Writes the row of an arm in the table of a case's lost value.
fn write_lost_value(text: &mut String, arm: &ArmResult, case: usize) {
    let LostValue { refused, failed, held, queued, slow } = arm.cases[case].lost;
    let name = &arm.name;
    let _ = writeln!(text, "| {name} | {refused:.3} | {failed:.3} | {held:.3} | {queued:.3} | {slow:.3} |");
}
