use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::{
    BLACK, ChartBuilder, Circle, Color, DrawingArea, IntoDrawingArea, LineSeries, Palette,
    Palette99, PathElement, SVGBackend, WHITE,
};

use super::{Contender, Sample, Samples, Timeline};
use crate::{Error, Result};

/// Width and height in pixels.
const SIZE: (u32, u32) = (960, 720);
/// Font and its size in pixels of captions and labels.
const FONT: (&str, u32) = ("sans-serif", 16);

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Plots requests on time by second, and cost against the share of good answers.
pub struct Plot<'a> {
    name: &'a str,
    samples: &'a Samples,
    timeline: Timeline,
}

impl<'a> Plot<'a> {
    /// Creates a plot of the runs of one firm.
    #[must_use]
    pub fn new(name: &'a str, samples: &'a Samples, timeline: Timeline) -> Self {
        Self {
            name,
            samples,
            timeline,
        }
    }

    /// Writes the plot to an SVG file.
    pub fn draw(&self, path: &Path) -> Result<()> {
        let root = SVGBackend::new(path, SIZE).into_drawing_area();
        root.fill(&WHITE).map_err(fail)?;
        let halves = root.split_evenly((2, 1));
        self.on_time(&halves[0])?;
        self.cost(&halves[1])?;
        root.present().map_err(fail)
    }

    fn on_time(&self, area: &Area<'_>) -> Result<()> {
        let end = self.timeline.seconds(self.timeline.end);
        let caption = format!(
            "{}: requests on time by second of arrival; lines: version bad, good, zone out, without power, back",
            self.name
        );
        let mut chart = ChartBuilder::on(area)
            .caption(caption, FONT)
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..end, 0.0..101.0)
            .map_err(fail)?;
        chart
            .configure_mesh()
            .x_desc("seconds")
            .y_desc("% on time")
            .draw()
            .map_err(fail)?;
        for at in self.marks() {
            let line = PathElement::new([(at, 0.0), (at, 101.0)], BLACK.mix(0.3));
            chart.draw_series([line]).map_err(fail)?;
        }
        for (index, (contender, samples)) in self.samples.iter().enumerate() {
            let color = Palette99::pick(index).mix(0.9);
            chart
                .draw_series(LineSeries::new(by_second(samples), color.stroke_width(2)))
                .map_err(fail)?
                .label(contender.name())
                .legend(move |(x, y)| {
                    PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2))
                });
        }
        chart
            .configure_series_labels()
            .border_style(BLACK)
            .background_style(WHITE.mix(0.8))
            .draw()
            .map_err(fail)
    }

    fn marks(&self) -> [f64; 5] {
        let timeline = &self.timeline;
        let marks = [
            timeline.bad_start,
            timeline.bad_end,
            timeline.zone_out,
            timeline.power_off,
            timeline.zone_back,
        ];
        marks.map(|at| timeline.seconds(at))
    }

    fn cost(&self, area: &Area<'_>) -> Result<()> {
        let all = || self.samples.values().flatten();
        let most = all()
            .map(|sample| sample.good_answer_cost)
            .fold(1.0, f64::max)
            * 1.05;
        let least = all()
            .map(|sample| sample.good_percent)
            .fold(100.0, f64::min)
            - 1.0;
        let targets = all().map(|sample| sample.target_percent);
        let target = targets.sum::<f64>() / all().count().max(1) as f64;
        let mut chart = ChartBuilder::on(area)
            .caption(
                "cost of a good answer against the part of good answers; line: part asked for",
                FONT,
            )
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..most, least..100.5)
            .map_err(fail)?;
        chart
            .configure_mesh()
            .x_desc("millionths of the currency")
            .y_desc("% good")
            .draw()
            .map_err(fail)?;
        let line = PathElement::new([(0.0, target), (most, target)], BLACK.mix(0.5));
        chart.draw_series([line]).map_err(fail)?;
        for (index, (contender, samples)) in self.samples.iter().enumerate() {
            let color = Palette99::pick(index).mix(0.9);
            let dots = samples.iter().map(|sample| {
                Circle::new(
                    (sample.good_answer_cost, sample.good_percent),
                    4,
                    color.filled(),
                )
            });
            chart
                .draw_series(dots)
                .map_err(fail)?
                .label(Contender::name(*contender))
                .legend(move |(x, y)| Circle::new((x + 8, y), 4, color.filled()));
        }
        chart
            .configure_series_labels()
            .border_style(BLACK)
            .background_style(WHITE.mix(0.8))
            .draw()
            .map_err(fail)
    }
}

/// Percentage on time over all seeds, as a point at the middle of each second.
fn by_second(samples: &[Sample]) -> Vec<(f64, f64)> {
    let length = samples
        .iter()
        .map(|sample| sample.by_second.len())
        .max()
        .unwrap_or_default();
    let mut points = Vec::with_capacity(length);
    for second in 0..length {
        let counts = samples
            .iter()
            .filter_map(|sample| sample.by_second.get(second));
        let (on_time, all) = counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1));
        if all > 0 {
            points.push((second as f64 + 0.5, 100.0 * on_time as f64 / all as f64));
        }
    }
    points
}

fn fail(error: impl std::fmt::Display) -> Error {
    Error::Draw(error.to_string())
}
