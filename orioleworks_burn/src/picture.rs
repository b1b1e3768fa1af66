//! Picture of the budget left over time, as one self-contained SVG.

use plotters::{
    prelude::{BLACK, SVGBackend, SeriesLabelPosition, WHITE},
    prelude::{ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement},
};

use crate::{burn, config::Config, history::History};

const SIZE_PX: (u32, u32) = (960, 540);
/// Intervals between the points of a line; more are not visible at this width.
const POINTS: u64 = 120;

/// Label and points of the line for one part of an objective.
type Line = (String, Vec<(f64, f64)>);

/// Draws the budget left of every profile and part, in percent over hours before the report.
///
/// # Errors
///
/// Returns the message of the drawing library.
pub fn draw(cfg: &Config, history: &History, at_ms: u64) -> Result<String, String> {
    let lines = lines(cfg, history, at_ms);
    let mut svg = String::new();
    draw_lines(&mut svg, &lines).map_err(|e| e.to_string())?;
    Ok(svg)
}

fn lines(cfg: &Config, history: &History, at_ms: u64) -> Vec<Line> {
    const HOUR_MS: f64 = 3_600_000.0;
    let first = history.samples.first().map_or(at_ms, |s| s.at_ms).min(at_ms);
    let mut lines: Vec<Line> = Vec::new();
    for objective in &cfg.objectives {
        let base = lines.len();
        for i in 0..=POINTS {
            let time = first + (at_ms - first) * i / POINTS;
            let x = -((at_ms - time) as f64) / HOUR_MS;
            let parts = burn::profile_burn(&history.samples, objective, time).parts;
            for (at, part) in parts.into_iter().enumerate() {
                if i == 0 {
                    lines.push((format!("{} {}", objective.profile, part.part), Vec::new()));
                }
                lines[base + at].1.push((x, part.budget_left * 100.0));
            }
        }
    }
    lines
}

fn draw_lines(svg: &mut String, lines: &[Line]) -> Result<(), Box<dyn std::error::Error>> {
    const FONT: (&str, u32) = ("sans-serif", 16);
    let points = || lines.iter().flat_map(|(_, points)| points);
    let left = points().map(|p| p.0).fold(-1.0, f64::min);
    let low = points().map(|p| p.1).fold(0.0, f64::min);
    let area = SVGBackend::with_string(svg, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Error budget left", ("sans-serif", 22))
        .margin(16)
        .x_label_area_size(44)
        .y_label_area_size(60)
        .build_cartesian_2d(left..0.0, low..100.0)?;
    chart
        .configure_mesh()
        .x_desc("hours before the report")
        .y_desc("percent of the budget")
        .label_style(FONT)
        .draw()?;
    for (i, (name, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let series = LineSeries::new(points.iter().copied(), color.stroke_width(2));
        chart
            .draw_series(series)?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .label_font(FONT)
        .draw()?;
    area.present()?;
    Ok(())
}
