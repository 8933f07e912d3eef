//! Plot of points and the line through them.

use super::measure::Series;
use plotters::prelude::*;
use snafu::{ResultExt, Whatever};
use std::path::Path;

const SIZE: (u32, u32) = (560, 320);

/// Draws a series to an SVG file.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn draw(path: &Path, series: &Series) -> Result<(), Whatever> {
    let right = largest(series.points.iter().map(|point| point.0));
    let top = largest(series.points.iter().map(|point| point.1.median));
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).whatever_context("cannot draw")?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .caption(&series.name, ("sans-serif", 16))
        .x_label_area_size(36)
        .y_label_area_size(72)
        .build_cartesian_2d(0.0..right * 1.05, 0.0..top * 1.1)
        .whatever_context("cannot draw")?;
    chart
        .configure_mesh()
        .x_desc(series.size)
        .y_desc(series.unit)
        .draw()
        .whatever_context("cannot draw")?;
    let line = series.fit();
    chart
        .draw_series(LineSeries::new(
            [(0.0, line.at(0.0)), (right, line.at(right))],
            &BLUE,
        ))
        .whatever_context("cannot draw")?;
    let points = series
        .points
        .iter()
        .map(|(size, sample)| Circle::new((*size, sample.median), 3, RED.filled()));
    chart.draw_series(points).whatever_context("cannot draw")?;
    area.present().whatever_context("cannot draw")
}

fn largest(values: impl Iterator<Item = f64>) -> f64 {
    values.fold(f64::MIN_POSITIVE, f64::max)
}
