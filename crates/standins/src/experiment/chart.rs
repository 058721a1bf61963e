//! Bar charts of the results as one SVG page.

use std::path::Path;

use plotters::{
    chart::ChartBuilder,
    coord::Shift,
    drawing::{DrawingArea, IntoDrawingArea},
    element::{Rectangle, Text},
    prelude::SVGBackend,
    style::{Color, IntoFont, Palette, Palette99, WHITE},
};
use snafu::Snafu;

use super::{DeploymentKind, ExperimentReport, PolicyKind, ScenarioKind};

const PAGE_WIDTH_PX: u32 = 1_200;
const CHART_HEIGHT_PX: u32 = 360;

/// The page of charts could not be drawn or written.
#[derive(Debug, Snafu)]
#[snafu(display("the page could not be drawn: {reason}"))]
pub struct ChartError {
    /// What went wrong.
    pub reason: String,
}

/// Draws attainment and moves of every policy in every scenario as one SVG page.
///
/// # Errors
/// [`ChartError`] when the file cannot be written.
pub fn draw_page(path: &Path, report: &ExperimentReport) -> Result<(), ChartError> {
    let deployments: Vec<DeploymentKind> = report.attainment_ratios.keys().copied().collect();
    let rows = deployments.len() * 2;
    let size = (PAGE_WIDTH_PX, CHART_HEIGHT_PX * rows.max(1) as u32);
    let page = SVGBackend::new(path, size).into_drawing_area();
    page.fill(&WHITE).map_err(chart_error)?;
    let areas = page.split_evenly((rows.max(1), 1));
    for (index, deployment) in deployments.iter().enumerate() {
        draw_bars(&areas[index * 2], report, *deployment, BarFigure::Attainment)?;
        draw_bars(&areas[index * 2 + 1], report, *deployment, BarFigure::Moves)?;
    }
    page.present().map_err(chart_error)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BarFigure {
    Attainment,
    Moves,
}

impl BarFigure {
    fn title(self) -> &'static str {
        match self {
            Self::Attainment => "answered within target per accelerator and second (median of seeds)",
            Self::Moves => "moves in a run (median of seeds)",
        }
    }
}

fn draw_bars(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    report: &ExperimentReport,
    deployment: DeploymentKind,
    figure: BarFigure,
) -> Result<(), ChartError> {
    let value = |scenario: ScenarioKind, policy: PolicyKind| {
        let summary = report.summaries.iter().find(|summary| {
            summary.deployment == deployment && summary.scenario == Some(scenario) && summary.policy == policy
        });
        summary.map_or(0.0, |summary| match figure {
            BarFigure::Attainment => summary.attainment_per_accelerator.median,
            BarFigure::Moves => summary.moves.median,
        })
    };
    let pairs = ScenarioKind::ALL
        .into_iter()
        .flat_map(|scenario| PolicyKind::ALL.map(|policy| (scenario, policy)));
    let highest = pairs
        .map(|(scenario, policy)| value(scenario, policy))
        .fold(1.0, f64::max);
    let width = ScenarioKind::ALL.len() as f64;
    let mut chart = ChartBuilder::on(area)
        .caption(format!("{deployment:?}: {}", figure.title()), ("sans-serif", 18))
        .margin(10)
        .y_label_area_size(60)
        .x_label_area_size(24)
        .build_cartesian_2d(0.0..width + 1.2, 0.0..highest * 1.1)
        .map_err(chart_error)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(0)
        .draw()
        .map_err(chart_error)?;
    for (column, scenario) in ScenarioKind::ALL.into_iter().enumerate() {
        for (position, policy) in PolicyKind::ALL.into_iter().enumerate() {
            let left = column as f64 + 0.1 + 0.2 * position as f64;
            let bar = [(left, 0.0), (left + 0.18, value(scenario, policy))];
            let style = Palette99::pick(position).filled();
            chart
                .draw_series([Rectangle::new(bar, style)])
                .map_err(chart_error)?
                .label(policy.to_string());
        }
        let label = Text::new(
            scenario.to_string(),
            (column as f64 + 0.15, highest * 1.08),
            ("sans-serif", 13).into_font(),
        );
        chart.draw_series([label]).map_err(chart_error)?;
    }
    for (position, policy) in PolicyKind::ALL.into_iter().enumerate() {
        let height = highest * (0.9 - 0.12 * position as f64);
        let mark = [(width + 0.1, height), (width + 0.2, height + highest * 0.06)];
        let style = Palette99::pick(position).filled();
        chart.draw_series([Rectangle::new(mark, style)]).map_err(chart_error)?;
        let name = Text::new(
            policy.to_string(),
            (width + 0.25, height + highest * 0.06),
            ("sans-serif", 14).into_font(),
        );
        chart.draw_series([name]).map_err(chart_error)?;
    }
    Ok(())
}

fn chart_error(error: impl std::fmt::Display) -> ChartError {
    ChartError {
        reason: error.to_string(),
    }
}
