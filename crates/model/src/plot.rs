//! Plots of the credit per request over time.

use crate::report::Report;
use plotters::{
    chart::ChartBuilder,
    prelude::{IntoDrawingArea, IntoFont, LineSeries, PathElement, SVGBackend},
    style::{BLACK, Color, Palette, Palette99, WHITE},
};
use snafu::Snafu;
use std::path::Path;

/// Width and height of a plot.
const SIZE_PX: (u32, u32) = (860, 420);
const CAPTION_HEIGHT_PX: u32 = 18;

/// Result of drawing a plot.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A plot cannot be drawn.
#[derive(Debug, Snafu)]
#[snafu(display("{path} cannot be drawn: {reason}"))]
pub struct Error {
    path: String,
    reason: String,
}

/// Draws the credit per request by the second in which requests began, one line per variant.
///
/// # Errors
///
/// Returns an error if the plot cannot be drawn or the file cannot be written.
pub fn draw(path: &Path, title: &str, reports: &[(&str, Report)]) -> Result<()> {
    let failed = |reason: &dyn ToString| Error {
        path: path.display().to_string(),
        reason: reason.to_string(),
    };
    let length = reports.iter().map(|(_, report)| report.seconds.len()).max();
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE).map_err(|error| failed(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", CAPTION_HEIGHT_PX).into_font())
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..length.unwrap_or(1) as f64, 0.0..1.05)
        .map_err(|error| failed(&error))?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("credit per request")
        .draw()
        .map_err(|error| failed(&error))?;
    for (index, (name, report)) in reports.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let points = report.seconds.iter().enumerate();
        let points = points.filter(|(_, second)| second.asked > 0);
        let points =
            points.map(|(at, second)| (at as f64 + 0.5, second.credit / second.asked as f64));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))
            .map_err(|error| failed(&error))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|error| failed(&error))?;
    area.present().map_err(|error| failed(&error))
}
