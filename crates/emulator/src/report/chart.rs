//! Charts of one metric over the cases.

use std::error::Error;
use std::path::Path;

use plotters::coord::types::RangedCoordf64;
use plotters::coord::Shift;
use plotters::prelude::*;

use super::{ArmResult, CaseMetric, Mean, Results};

/// Width of a chart, in pixels.
const WIDTH_PX: u32 = 900;

/// Height of a chart, in pixels.
const HEIGHT_PX: u32 = 520;

type Backend<'a> = SVGBackend<'a>;
type Axes<'a, 'b> = ChartContext<'a, Backend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// Draws a chart with a line for each arm over the cases, and the confidence interval as a band around it.
pub(super) fn draw(
    results: &Results,
    path: &Path,
    title: &str,
    metric: CaseMetric,
) -> Result<(), Box<dyn Error>> {
    let cases: Vec<String> = results
        .arms
        .first()
        .map(|arm| arm.cases.iter().map(|case| case.name.clone()).collect())
        .unwrap_or_default();
    let root = SVGBackend::new(path, (WIDTH_PX, HEIGHT_PX)).into_drawing_area();
    root.fill(&WHITE)?;
    let caption = format!("{}: {title}", results.experiment);
    let mut chart = axes(&root, &caption, &cases, value_range(results, metric))?;
    for (index, arm) in results.arms.iter().enumerate() {
        draw_arm(&mut chart, arm, Palette99::pick(index).to_rgba(), metric)?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerLeft)
        .background_style(WHITE.mix(0.85))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}

/// Returns the range of the value axis: all intervals with a margin.
fn value_range(results: &Results, metric: CaseMetric) -> (f64, f64) {
    let all = || results.arms.iter().flat_map(|arm| arm.cases.iter().map(metric));
    let low = all().map(|mean| mean.mean - mean.within).fold(f64::INFINITY, f64::min).min(0.9);
    let high = all().map(|mean| mean.mean + mean.within).fold(0.0_f64, f64::max).max(low + 0.01);
    let margin = 0.05 * (high - low);
    ((low - margin).max(0.0), high + margin)
}

/// Draws the axes; the cases are labels of the horizontal axis.
fn axes<'a, 'b>(
    root: &'a DrawingArea<Backend<'b>, Shift>,
    caption: &str,
    cases: &[String],
    (low, high): (f64, f64),
) -> Result<Axes<'a, 'b>, Box<dyn Error>>
where
    'b: 'a,
{
    let last = (cases.len().saturating_sub(1)) as f64;
    let mut chart = ChartBuilder::on(root)
        .caption(caption, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(-0.2..last + 0.2, low..high)?;
    let label = |x: &f64| {
        let nearest = x.round();
        if (x - nearest).abs() < 0.01 && nearest >= 0.0 {
            cases.get(nearest as usize).cloned().unwrap_or_default()
        } else {
            String::new()
        }
    };
    let marks = cases.len().max(2) * 5;
    chart.configure_mesh().x_labels(marks).x_label_formatter(&label).disable_x_mesh().draw()?;
    Ok(chart)
}

/// Draws the line of an arm, its interval as a band, and an error bar for each case.
fn draw_arm(
    chart: &mut Axes<'_, '_>,
    arm: &ArmResult,
    color: RGBAColor,
    metric: CaseMetric,
) -> Result<(), Box<dyn Error>> {
    let points: Vec<(f64, Mean)> =
        arm.cases.iter().enumerate().map(|(index, case)| (index as f64, metric(case))).collect();
    let upper = points.iter().map(|(x, mean)| (*x, mean.mean + mean.within));
    let lower = points.iter().rev().map(|(x, mean)| (*x, mean.mean - mean.within));
    let band: Vec<(f64, f64)> = upper.chain(lower).collect();
    chart.draw_series(std::iter::once(Polygon::new(band, color.mix(0.15).filled())))?;
    let line: Vec<(f64, f64)> = points.iter().map(|(x, mean)| (*x, mean.mean)).collect();
    chart
        .draw_series(LineSeries::new(line, color.stroke_width(2)).point_size(3))?
        .label(arm.name.clone())
        .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color.stroke_width(3)));
    // With a single case, line and band are invisible, and only the error bar shows.
    chart.draw_series(points.iter().map(|(x, mean)| {
        let (low, high) = (mean.mean - mean.within, mean.mean + mean.within);
        ErrorBar::new_vertical(*x, low, mean.mean, high, color.filled(), 8)
    }))?;
    Ok(())
}
