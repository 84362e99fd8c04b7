//! Error rates of the canary analysis, by seeded releases: how often a good one is halted, and how soon a worse one.

use disruption_budget::canary_analysis::{AnalysisSettings, CanaryAnalysis, FailureKind, JobCounts, Verdict};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// The jobs of one class in one window, of which these shares are rejected, fail and are late.
fn draw(random: &mut Pcg64, jobs: u64, (rejected, failed, late): (f64, f64, f64)) -> JobCounts {
    let mut counts = JobCounts { jobs, ..JobCounts::default() };
    for _ in 0..jobs {
        let at: f64 = random.random();
        match at {
            at if at < rejected => counts.rejected += 1,
            at if at < rejected + failed => counts.failed += 1,
            at if at < rejected + failed + late => counts.late += 1,
            _ => {}
        }
    }
    counts
}

/// A wave of one canary with three dispatchers of the old version in a zone, window by window. The failures of both
/// sides rise and fall; the canary's `reserve-item` fails more often by `loss`. Returns the verdict and its window.
fn release(seed: u64, loss: f64, jobs: u64) -> (Verdict, u64) {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut analysis = CanaryAnalysis::new(AnalysisSettings::default());
    for window in 0..120 {
        let swing = 0.02 + 0.02 * (window as f64 / 9.0).sin();
        for class in ["lookup", "reserve-item"] {
            let worse = if class == "reserve-item" { loss } else { 0.0 };
            let canary_jobs = random.random_range(0..=2 * jobs);
            let baseline_jobs = 3 * random.random_range(0..=2 * jobs);
            let canary = draw(&mut random, canary_jobs, (swing, swing / 2.0 + worse, swing));
            let baseline = draw(&mut random, baseline_jobs, (swing, swing / 2.0, swing));
            analysis.record_window("north", class, canary, baseline);
        }
        match analysis.verdict() {
            regressed @ Verdict::Regressed { .. } => return (regressed, window + 1),
            // A good canary is analysed to the end of the wave: it may still regress.
            _ if window == 119 => return (analysis.verdict(), 120),
            _ => {}
        }
    }
    unreachable!("the last window returns")
}

#[test]
fn good_releases_are_halted_no_more_often_than_stated() {
    let halted =
        (0..200).filter(|seed| matches!(release(*seed, 0.0, 20).0, Verdict::Regressed { .. })).count();
    println!("{halted} of 200 halted");
    // The stated rate is 0.02: 4 of them. More than 10 would come by chance once in 300.
    assert!(halted <= 10, "{halted} of 200");
    let good = (0..200).filter(|seed| release(*seed, 0.0, 20).0 == Verdict::Passed).count();
    println!("{good} of 200 passed after 120 windows");
    assert!(good >= 150, "{good} of 200");
}

#[test]
fn worse_releases_are_halted_sooner_and_for_what_is_worse() {
    let mut medians = Vec::new();
    for loss in [0.05, 0.1, 0.3, 1.0] {
        let found: Vec<(Verdict, u64)> = (0..50).map(|seed| release(1_000 + seed, loss, 20)).collect();
        let regressed = Verdict::Regressed { class: "reserve-item".into(), failure: FailureKind::Failed };
        assert!(found.iter().filter(|(verdict, _)| *verdict == regressed).count() >= 47, "{loss}");
        let mut windows: Vec<u64> = found.iter().map(|(_, window)| *window).collect();
        windows.sort_unstable();
        println!("loss {loss}: halted after {} windows at half, {} at the most", windows[25], windows[49]);
        medians.push(windows[25]);
    }
    assert!(medians.is_sorted_by(|one, other| one >= other) && medians[3] <= 2, "{medians:?}");
}

#[test]
fn shared_loss_pauses_the_release_without_blaming_the_canary() {
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
    // The same window, but the loss is the canary's alone.
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
