//! Totals of several schedules as text.

use std::collections::BTreeMap;

use super::ScheduleResult;

/// Returns the totals of the schedules, given by seed, and their first violations as text.
#[must_use]
pub fn table(results: &BTreeMap<u64, ScheduleResult>) -> String {
    let mut text = String::new();
    let mut line = |words: String| text.push_str(&(words + "\n"));
    let sum = |of: fn(&ScheduleResult) -> u64| results.values().map(of).sum::<u64>();
    line(format!(
        "{} schedules, {} terms, {} probes, {:.1} a second each",
        results.len(),
        sum(|result| result.lease_terms),
        sum(|result| result.probes),
        results.values().map(|result| result.probes_per_s).sum::<f64>() / results.len().max(1) as f64
    ));
    let mut faults: BTreeMap<&str, u64> = BTreeMap::new();
    let mut responses: BTreeMap<u16, u64> = BTreeMap::new();
    for result in results.values() {
        result.faults.iter().for_each(|(kind, count)| *faults.entry(kind).or_default() += count);
        result.responses.iter().for_each(|(status, count)| *responses.entry(*status).or_default() += count);
    }
    line(format!("faults: {faults:?}"));
    let shortest = results.values().map(|result| result.min_probe_gap_ms).fold(f64::INFINITY, f64::min);
    let longest = results.values().map(|result| result.max_probe_gap_ms).fold(0.0, f64::max);
    line(format!("between two probes of a worker: {shortest:.0} to {longest:.0} ms"));
    let mut detected: Vec<f64> =
        results.values().flat_map(|result| result.detected_after_ms.iter().copied()).collect();
    detected.sort_by(f64::total_cmp);
    if let (Some(median), Some(longest)) = (detected.get(detected.len() / 2), detected.last()) {
        let count = detected.len();
        line(format!(
            "a silent worker is known after: half {median:.0} ms, longest {longest:.0} ms ({count})"
        ));
    }
    line(format!(
        "jobs {}, answers {responses:?}, sent to hung workers {}",
        sum(|result| result.jobs),
        sum(|result| result.jobs_at_hung)
    ));
    let peak = results.values().map(|result| result.peak_cold_load).fold(0.0, f64::max);
    line(format!("jobs at cold workers {}, fullest span {peak:.2}", sum(|result| result.jobs_at_cold)));
    for (seed, result) in results {
        for (rule, texts) in &result.rules {
            line(format!("seed {seed}: {rule}: {} times, first: {}", texts.len(), texts[0]));
        }
    }
    text
}
