//! Plots of response times against load, with one line per policy.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use crate::spec::Spec;
use crate::summary::Row;

/// Size of the image, in pixels.
const SIZE: (u32, u32) = (900, 420);

/// Draws medians and 99th percentiles side by side.
pub(crate) fn draw(path: &Path, spec: &Spec, rows: &[Row]) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let plots = root.split_evenly((1, 2));
    draw_plot(&plots[0], &format!("{}: p50 over ideal", spec.name), spec, rows, |row| row.all.p50)?;
    draw_plot(&plots[1], &format!("{}: p99 over ideal", spec.name), spec, rows, |row| row.all.p99)?;
    root.present()?;
    Ok(())
}

/// Draws one plot of `value` against load.
fn draw_plot(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    title: &str,
    spec: &Spec,
    rows: &[Row],
    value: fn(&Row) -> f64,
) -> Result<(), Box<dyn Error>> {
    let loads = rows.iter().map(|row| row.load);
    let (low, high) = (loads.clone().min().unwrap_or(0), loads.max().unwrap_or(100));
    let top = rows.iter().map(value).fold(1.0, f64::max) * 1.05;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(low..high.max(low + 1), 0.9..top)?;
    chart.configure_mesh().x_desc("load in percent of capacity").draw()?;
    for (n, policy) in spec.policies.iter().enumerate() {
        let colour = Palette99::pick(n).to_rgba();
        let points = rows.iter().filter(|row| row.policy == *policy);
        let points = points.map(|row| (row.load, value(row)));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    Ok(())
}
