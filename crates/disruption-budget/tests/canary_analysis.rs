//! The judge's error rates, by seeded releases: how often one that is no worse is halted, and how soon one that is.

use disruption_budget::canary_analysis::{AnalysisSettings, CanaryAnalysis, FailureKind, JobCounts, Verdict};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// One class in one window: of so many jobs some are refused, some fail, some are late.
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

/// A wave of one canary beside three old dispatchers in a zone, window by window. What goes wrong on both sides rises and
/// falls; the new side's `reserve-item` fails more often by `loss`. Returns the verdict and the window of it.
fn release(seed: u64, loss: f64, jobs: u64) -> (Verdict, u64) {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut analysis = CanaryAnalysis::new(AnalysisSettings::default());
    for window in 0..120 {
        let swing = 0.02 + 0.02 * (window as f64 / 9.0).sin();
        for class in ["lookup", "reserve-item"] {
            let worse = if class == "reserve-item" { loss } else { 0.0 };
            let new = random.random_range(0..=2 * jobs);
            let old = 3 * random.random_range(0..=2 * jobs);
            let new = draw(&mut random, new, (swing, swing / 2.0 + worse, swing));
            let old = draw(&mut random, old, (swing, swing / 2.0, swing));
            analysis.record_window("north", class, new, old);
        }
        match analysis.verdict() {
            bad @ Verdict::Regressed(..) => return (bad, window + 1),
            // One that is good is watched on, as long as the wave is: it may go bad.
            _ if window == 119 => return (analysis.verdict(), 120),
            _ => {}
        }
    }
    unreachable!("the last window returns")
}

#[test]
fn two_hundred_good_releases_are_halted_no_more_often_than_stated() {
    let halted = (0..200).filter(|seed| matches!(release(*seed, 0.0, 20).0, Verdict::Regressed(..))).count();
    println!("{halted} of 200 halted");
    // 0.02 of them are stated: 4. More than 10 would come by chance once in 300.
    assert!(halted <= 10, "{halted} of 200");
    let good = (0..200).filter(|seed| release(*seed, 0.0, 20).0 == Verdict::Passed).count();
    println!("{good} of 200 called good after 120 windows");
    assert!(good >= 150, "{good} of 200");
}

#[test]
fn a_bad_release_is_halted_the_sooner_the_worse_it_is_and_for_what_is_bad() {
    let mut medians = Vec::new();
    for loss in [0.05, 0.1, 0.3, 1.0] {
        let found: Vec<(Verdict, u64)> = (0..50).map(|seed| release(1_000 + seed, loss, 20)).collect();
        let bad = Verdict::Regressed("reserve-item".into(), FailureKind::Failed);
        assert!(found.iter().filter(|(verdict, _)| *verdict == bad).count() >= 47, "{loss}");
        let mut windows: Vec<u64> = found.iter().map(|(_, window)| *window).collect();
        windows.sort_unstable();
        println!("loss {loss}: halted after {} windows at half, {} at the most", windows[25], windows[49]);
        medians.push(windows[25]);
    }
    assert!(medians.is_sorted_by(|one, other| one >= other) && medians[3] <= 2, "{medians:?}");
}

#[test]
fn little_traffic_says_nothing_and_a_loss_of_both_sides_pauses_and_blames_nobody() {
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
            !matches!(analysis.verdict(), Verdict::Regressed(..)) && analysis.should_pause(),
            "{:?}",
            analysis.verdict()
        );
    }
    // The same windows, but the loss is the new side's alone.
    let mut analysis = CanaryAnalysis::new(AnalysisSettings::default());
    let half = JobCounts { jobs: 20, failed: 10, ..JobCounts::default() };
    analysis.record_window(
        "north",
        "lookup",
        half,
        JobCounts { jobs: 60, failed: 3, ..JobCounts::default() },
    );
    assert_eq!(analysis.verdict(), Verdict::Regressed("lookup".into(), FailureKind::Failed));
    assert!(!analysis.should_pause());
}
