//! The sums of several schedules as text.

use std::collections::BTreeMap;

use super::ScheduleResult;

/// The sums over all schedules, as text.
#[must_use]
pub fn table(played: &BTreeMap<u64, ScheduleResult>) -> String {
    let mut text = String::new();
    let mut line = |words: String| text.push_str(&(words + "\n"));
    let sum = |of: fn(&ScheduleResult) -> u64| played.values().map(of).sum::<u64>();
    line(format!(
        "{} schedules, {} terms, {} probes, {:.1} a second each",
        played.len(),
        sum(|one| one.lease_terms),
        sum(|one| one.probes),
        played.values().map(|one| one.probes_per_s).sum::<f64>() / played.len().max(1) as f64
    ));
    let mut faults: BTreeMap<&str, u64> = BTreeMap::new();
    let mut answers: BTreeMap<u16, u64> = BTreeMap::new();
    for one in played.values() {
        one.faults.iter().for_each(|(kind, count)| *faults.entry(kind).or_default() += count);
        one.answers.iter().for_each(|(status, count)| *answers.entry(*status).or_default() += count);
    }
    line(format!("faults: {faults:?}"));
    let closest = played.values().map(|one| one.min_probe_gap_ms).fold(f64::INFINITY, f64::min);
    let longest = played.values().map(|one| one.max_probe_gap_ms).fold(0.0, f64::max);
    line(format!("between two probes of a worker: {closest:.0} to {longest:.0} ms"));
    let mut known: Vec<f64> = played.values().flat_map(|one| one.detected_after_ms.iter().copied()).collect();
    known.sort_by(f64::total_cmp);
    if let (Some(half), Some(last)) = (known.get(known.len() / 2), known.last()) {
        let count = known.len();
        line(format!("a silent worker is known after: half {half:.0} ms, longest {last:.0} ms ({count})"));
    }
    line(format!(
        "jobs {}, answers {answers:?}, sent to hung workers {}",
        sum(|one| one.jobs),
        sum(|one| one.jobs_at_hung)
    ));
    let fullest = played.values().map(|one| one.peak_cold_load).fold(0.0, f64::max);
    line(format!("jobs at cold workers {}, fullest span {fullest:.2}", sum(|one| one.jobs_at_cold)));
    for (seed, one) in played {
        for (rule, texts) in &one.rules {
            line(format!("seed {seed}: {rule}: {} times, first: {}", texts.len(), texts[0]));
        }
    }
    text
}
