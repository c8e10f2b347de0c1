//! A bar chart of the four measures as an SVG document.

use plotters::backend::SVGBackend;
use plotters::coord::Shift;
use plotters::drawing::DrawingArea;
use plotters::drawing::IntoDrawingArea as _;
use plotters::element::Rectangle;
use plotters::element::Text;
use plotters::style::BLACK;
use plotters::style::Color as _;
use plotters::style::IntoFont as _;
use plotters::style::RGBColor;
use plotters::style::WHITE;
use strum::IntoEnumIterator as _;

use crate::measures::figures::Figures;
use crate::measures::figures::Measure;
use crate::measures::figures::format_value;

/// The fill colour of the bars.
pub const BAR_COLOR: RGBColor = RGBColor(70, 110, 160);

/// The width of the longest bar, in pixels.
pub const BAR_WIDTH: i32 = 400;

/// The left end of the bars, in pixels.
const BAR_LEFT: i32 = 330;

/// The width of the plot, in pixels.
const WIDTH: u32 = 920;

/// The height of a title or a row, in pixels.
const ROW_HEIGHT: i32 = 22;

/// The height of a bar, in pixels.
const BAR_HEIGHT: i32 = 14;

/// The margin at the borders and between panels, in pixels.
const MARGIN: i32 = 10;

/// The font size, in pixels.
const FONT_SIZE: i32 = 14;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Returns an SVG document with one panel per measure, each with a bar for every run that has a
/// value of the measure.
///
/// Returns an error if the drawing backend does.
pub fn svg(runs: &[Figures]) -> Result<String, String> {
    let mut document = String::new();
    draw(&mut document, runs).map_err(|error| format!("plot: {error}"))?;
    Ok(document)
}

fn draw(document: &mut String, runs: &[Figures]) -> Result<(), Box<dyn std::error::Error>> {
    let panel = ROW_HEIGHT * (runs.len() as i32 + 1) + MARGIN;
    let height = panel * Measure::iter().count() as i32 + MARGIN;
    let area = SVGBackend::with_string(document, (WIDTH, height as u32)).into_drawing_area();
    area.fill(&WHITE)?;
    for (number, measure) in Measure::iter().enumerate() {
        draw_panel(&area, MARGIN + panel * number as i32, measure, runs)?;
    }
    area.present()?;
    Ok(())
}

fn draw_panel(
    area: &Area<'_>,
    top: i32,
    measure: Measure,
    runs: &[Figures],
) -> Result<(), Box<dyn std::error::Error>> {
    let scale = scale(measure, runs);
    let title = format!("{measure} (longest bar: {})", format_value(measure, scale));
    write(area, &title, (MARGIN, top))?;
    for (number, run) in runs.iter().enumerate() {
        let y = top + ROW_HEIGHT * (number as i32 + 1);
        write(area, &run.name, (MARGIN * 2, y))?;
        let value = run.value(measure);
        let length = (value.unwrap_or(0.0) / scale * f64::from(BAR_WIDTH)).round() as i32;
        if value.is_some() {
            let corners = [(BAR_LEFT, y), (BAR_LEFT + length, y + BAR_HEIGHT)];
            area.draw(&Rectangle::new(corners, BAR_COLOR.filled()))?;
        }
        write(area, &run.format_measure(measure), (BAR_LEFT + length + MARGIN, y))?;
    }
    Ok(())
}

fn write(area: &Area<'_>, text: &str, at: (i32, i32)) -> Result<(), Box<dyn std::error::Error>> {
    let style = ("sans-serif", FONT_SIZE).into_font().color(&BLACK);
    area.draw(&Text::new(text.to_owned(), at, style))?;
    Ok(())
}

/// Returns the value that the full bar width stands for: 1 for shares that are usually large, else
/// the maximum of all runs.
fn scale(measure: Measure, runs: &[Figures]) -> f64 {
    if matches!(measure, Measure::ReplicaShare | Measure::WorstServed) {
        return 1.0;
    }
    let most = runs.iter().filter_map(|run| run.value(measure)).fold(0.0, f64::max);
    if 0.0 < most { most } else { 1.0 }
}
