//! Error rates of the canary analysis, measured with seeded releases: how often a good release is halted, and how soon
//! a worse one is.

use disruption_budget::canary_analysis::{AnalysisSettings, CanaryAnalysis, FailureKind, JobCounts, Verdict};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Draws the jobs of one class in one window. Each job is rejected, fails or is late with the given probabilities.
fn draw(random: &mut Pcg64, jobs: u64, (rejected, failed, late): (f64, f64, f64)) -> JobCounts {
    let mut counts = JobCounts { jobs, ..JobCounts::default() };
    for _ in 0..jobs {
        let sample: f64 = random.random();
        match sample {
            sample if sample < rejected => counts.rejected += 1,
            sample if sample < rejected + failed => counts.failed += 1,
            sample if sample < rejected + failed + late => counts.late += 1,
            _ => {}
        }
    }
    counts
}

/// Runs a release wave with one canary and three dispatchers of the old version in one zone, for up to 120 windows. The
/// failure shares of both sides rise and fall together. On the canary, jobs of the class `reserve-item` fail with an
/// additional probability of `extra_failure_share`. Returns the verdict and the number of windows up to it.
fn release(seed: u64, extra_failure_share: f64, jobs: u64) -> (Verdict, u64) {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut analysis = CanaryAnalysis::new(AnalysisSettings::default());
    for window in 0..120 {
        let failure_share = 0.02 + 0.02 * (window as f64 / 9.0).sin();
        for class in ["lookup", "reserve-item"] {
            let extra = if class == "reserve-item" { extra_failure_share } else { 0.0 };
            let canary_jobs = random.random_range(0..=2 * jobs);
            let baseline_jobs = 3 * random.random_range(0..=2 * jobs);
            let canary =
                draw(&mut random, canary_jobs, (failure_share, failure_share / 2.0 + extra, failure_share));
            let baseline =
                draw(&mut random, baseline_jobs, (failure_share, failure_share / 2.0, failure_share));
            analysis.record_window("north", class, canary, baseline);
        }
        match analysis.verdict() {
            regressed @ Verdict::Regressed { .. } => return (regressed, window + 1),
            // A canary without a regression is analyzed until the end of the wave, because it may still regress.
            _ if window == 119 => return (analysis.verdict(), 120),
            _ => {}
        }
    }
    unreachable!("the last window returns")
}

#[test]
fn good_releases_are_halted_no_more_often_than_configured() {
    let halted =
        (0..200).filter(|seed| matches!(release(*seed, 0.0, 20).0, Verdict::Regressed { .. })).count();
    println!("{halted} of 200 halted");
    // The configured false positive rate is 0.02, which is 4 of 200. More than 10 occur by chance once in 300 runs.
    assert!(halted <= 10, "{halted} of 200");
    let passed = (0..200).filter(|seed| release(*seed, 0.0, 20).0 == Verdict::Passed).count();
    println!("{passed} of 200 passed after 120 windows");
    assert!(passed >= 150, "{passed} of 200");
}

#[test]
fn worse_releases_are_halted_sooner_and_for_the_failure_that_is_more_frequent() {
    let mut medians = Vec::new();
    for extra_failure_share in [0.05, 0.1, 0.3, 1.0] {
        let results: Vec<(Verdict, u64)> =
            (0..50).map(|seed| release(1_000 + seed, extra_failure_share, 20)).collect();
        let regressed = Verdict::Regressed { class: "reserve-item".into(), failure: FailureKind::Failed };
        assert!(
            results.iter().filter(|(verdict, _)| *verdict == regressed).count() >= 47,
            "{extra_failure_share}"
        );
        let mut windows: Vec<u64> = results.iter().map(|(_, window)| *window).collect();
        windows.sort_unstable();
        println!(
            "extra failure share {extra_failure_share}: halted after {} windows in the median, {} at most",
            windows[25], windows[49]
        );
        medians.push(windows[25]);
    }
    assert!(medians.is_sorted_by(|earlier, later| earlier >= later) && medians[3] <= 2, "{medians:?}");
}

#[test]
fn failures_of_both_sides_pause_the_release_but_are_no_regression() {
    let mut analysis = CanaryAnalysis::new(AnalysisSettings::default());
    let few = JobCounts { jobs: 2, ..JobCounts::default() };
    analysis.record_window("north", "lookup", few, few);
    assert_eq!((analysis.verdict(), analysis.should_pause()), (Verdict::Inconclusive, false));
    for _ in 0..50 {
        let half = JobCounts { jobs: 20, failed: 10, ..JobCounts::default() };
        analysis.record_window(
            "north",
            "lookup",
            half,
            JobCounts { jobs: 60, failed: 30, ..JobCounts::default() },
        );
        assert!(
            !matches!(analysis.verdict(), Verdict::Regressed { .. }) && analysis.should_pause(),
            "{:?}",
            analysis.verdict()
        );
    }
    // The canary fails as often as before, but the baseline now rarely fails: this is a regression.
    let mut analysis = CanaryAnalysis::new(AnalysisSettings::default());
    let half = JobCounts { jobs: 20, failed: 10, ..JobCounts::default() };
    analysis.record_window(
        "north",
        "lookup",
        half,
        JobCounts { jobs: 60, failed: 3, ..JobCounts::default() },
    );
    assert_eq!(
        analysis.verdict(),
        Verdict::Regressed { class: "lookup".into(), failure: FailureKind::Failed }
    );
    assert!(!analysis.should_pause());
}
