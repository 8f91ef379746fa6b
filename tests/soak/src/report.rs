//! The report of a run as one image: the outcome of requests over time, and the faults.

use std::path::Path;

use eyre::{WrapErr, eyre};
use plotters::prelude::*;

use crate::judge::{self, Finding, Second};
use crate::observation::{Observation, SECOND};

/// The size of the page, in pixels.
const PAGE: (u32, u32) = (1200, 800);

/// The height of the upper part, in pixels.
const UPPER: u32 = 460;

/// A line of the upper part: its name, its colour, and its value in a second.
type Line = (&'static str, RGBColor, fn(&Second) -> u32);

/// The lines of the upper part.
const LINES: [Line; 4] = [
    ("served", RGBColor(30, 130, 60), |it| it.served),
    ("late", RGBColor(200, 140, 0), |it| it.late),
    ("refused", RGBColor(50, 90, 190), |it| it.refused),
    ("broken", RGBColor(190, 30, 30), |it| it.broken),
];

/// Writes the page.
///
/// # Errors
///
/// If it can't be drawn or written.
pub fn write(
    path: &Path,
    title: &str,
    observations: &[Observation],
    findings: &[Finding],
) -> eyre::Result<()> {
    let root = SVGBackend::new(path, PAGE).into_drawing_area();
    draw(&root, title, observations, findings).map_err(|it| eyre!("{it}")).wrap_err("no report")?;
    root.present().map_err(|it| eyre!("{it}")).wrap_err("the report is not written")
}

/// Draws both parts of the page.
fn draw(
    root: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    title: &str,
    observations: &[Observation],
    findings: &[Finding],
) -> Result<(), Box<dyn std::error::Error>> {
    root.fill(&WHITE)?;
    let (upper, lower) = root.split_vertically(UPPER);
    let seconds = judge::seconds(observations);
    let length = seconds.len().max(1) as f64;
    draw_requests(&upper, title, &seconds, length)?;
    draw_faults(&lower, observations, findings, length)?;
    Ok(())
}

/// Draws the outcome of the requests over time.
fn draw_requests(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    title: &str,
    seconds: &[Second],
    length: f64,
) -> Result<(), Box<dyn std::error::Error>> {
    let most = seconds.iter().map(|it| it.served + it.late + it.refused + it.broken).max();
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..length, 0..most.unwrap_or(0) + 1)?;
    chart.configure_mesh().x_desc("second sent").y_desc("requests").draw()?;
    for (name, color, figure) in LINES {
        let points = seconds.iter().enumerate().map(|(at, it)| (at as f64 + 0.5, figure(it)));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    Ok(())
}

/// Draws the faults, and the broken promises.
fn draw_faults(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    observations: &[Observation],
    findings: &[Finding],
    length: f64,
) -> Result<(), Box<dyn std::error::Error>> {
    let faults = judge::faults(observations);
    let first = observations.iter().map(|it| it.at).min().unwrap_or(0);
    let at = |micros: u64| micros.saturating_sub(first) as f64 / SECOND as f64;
    let rows = (faults.len() + findings.len()).max(1) as i32;
    let mut chart = ChartBuilder::on(area)
        .caption("faults, and promises broken", ("sans-serif", 14))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..length, 0..rows)?;
    chart.configure_mesh().disable_y_axis().draw()?;
    for (row, (begun, span, name)) in faults.iter().enumerate() {
        let row = rows - 1 - row as i32;
        let (from, until) = (at(*begun), at(begun + span).max(at(*begun) + 0.1));
        let style = RGBColor(120, 120, 160).filled();
        chart.draw_series([Rectangle::new([(from, row), (until, row + 1)], style)])?;
        chart.draw_series([Text::new(name.clone(), (until, row + 1), ("sans-serif", 10))])?;
    }
    for (row, it) in findings.iter().enumerate() {
        let row = rows - 1 - (faults.len() + row) as i32;
        let style = TextStyle::from(("sans-serif", 10)).color(&RED);
        chart.draw_series([Text::new(it.to_string(), (at(it.at), row + 1), style)])?;
    }
    Ok(())
}
