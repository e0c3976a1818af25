//! Building blocks of plots in inline SVG: a time axis with ticks, curves and areas.

use crate::time;
use maud::{Markup, html};

/// Width of all plots, in SVG units.
pub const PLOT_WIDTH: f64 = 1_000.0;
/// Margin at the left, for names.
pub const LEFT_MARGIN: f64 = 120.0;
/// Margin at the right.
pub const RIGHT_MARGIN: f64 = 12.0;

/// A horizontal time axis.
#[derive(Clone, Copy, Debug)]
pub struct TimeAxis {
    /// Time at the left end, in Unix milliseconds.
    pub from: f64,
    /// Time at the right end, in Unix milliseconds.
    pub until: f64,
}

impl TimeAxis {
    /// Horizontal position of a time, in SVG units; times outside the axis are moved to its ends.
    pub fn x(&self, at: f64) -> f64 {
        let share = (at - self.from) / (self.until - self.from).max(1.0);
        LEFT_MARGIN + share.clamp(0.0, 1.0) * (PLOT_WIDTH - LEFT_MARGIN - RIGHT_MARGIN)
    }

    /// Times of the ticks, about ten at most, on multiples of whole seconds, minutes, hours or days.
    pub fn ticks(&self) -> Vec<f64> {
        let span = (self.until - self.from).max(1.0);
        let steps_s =
            [1.0, 2.0, 5.0, 10.0, 15.0, 30.0, 60.0, 120.0, 300.0, 600.0, 900.0, 1_800.0, 3_600.0, 7_200.0];
        let long_steps_s = [10_800.0, 21_600.0, 43_200.0, 86_400.0, 172_800.0, 604_800.0];
        let fits = |step: &&f64| span / (**step * 1_000.0) <= 10.0;
        let step =
            steps_s.iter().chain(&long_steps_s).find(fits).copied().unwrap_or(span / 10_000.0) * 1_000.0;
        let first = (self.from / step).ceil() as i64;
        let last = (self.until / step).floor() as i64;
        (first..=last.min(first + 20)).map(|at| at as f64 * step).collect()
    }

    /// Vertical lines and times at the ticks, for a plot of this height.
    pub fn grid(&self, height: f64) -> Markup {
        html! {
            @for at in self.ticks() {
                line.grid x1=(compact(self.x(at))) x2=(compact(self.x(at))) y1="0" y2=(compact(height - 16.0)) {}
                text.tick x=(compact(self.x(at))) y=(compact(height - 3.0)) text-anchor="middle" { (time::clock(at)) }
            }
        }
    }
}

/// Formats a number with at most one decimal: `2.5`, `3`.
pub fn compact(value: f64) -> String {
    let text = format!("{value:.1}");
    text.strip_suffix(".0").map(str::to_owned).unwrap_or(text)
}

/// Path data of a curve. Each value covers `step_ms` and is drawn at the middle of that interval. Curves of
/// more than 400 values are downsampled: each point is the mean of a group of values.
pub fn curve_path(values: &[f32], axis: &TimeAxis, step_ms: f64, y: impl Fn(f64) -> f64) -> String {
    let max_points = 400;
    let group = values.len().div_ceil(max_points).max(1);
    let mut data = String::new();
    for (index, chunk) in values.chunks(group).enumerate() {
        let mean = chunk.iter().map(|value| f64::from(*value)).sum::<f64>() / chunk.len() as f64;
        let middle = (index * group) as f64 + chunk.len() as f64 / 2.0;
        let x = axis.x(axis.from + middle * step_ms);
        data.push(if index == 0 { 'M' } else { 'L' });
        data.push_str(&format!("{} {}", compact(x), compact(y(mean))));
    }
    data
}

/// Path data of the area between a curve, as [`curve_path`] draws it, and a base line.
pub fn area_path(values: &[f32], axis: &TimeAxis, step_ms: f64, base: f64, y: impl Fn(f64) -> f64) -> String {
    if values.is_empty() {
        return String::new();
    }
    let line = curve_path(values, axis, step_ms, y);
    let (left, right) = (axis.x(axis.from), axis.x(axis.from + values.len() as f64 * step_ms));
    format!("M{} {base} {} L{} {base} Z", compact(left), line.replacen('M', "L", 1), compact(right))
}

/// The smallest round number that is at least `value`, for the top of a scale; 1 if `value` is not positive.
pub fn round_up(value: f64) -> f64 {
    if value <= 0.0 || !value.is_finite() {
        return 1.0;
    }
    let unit = 10f64.powf(value.log10().floor());
    let steps = [1.0, 1.5, 2.0, 3.0, 4.0, 5.0, 6.0, 8.0, 10.0];
    steps.iter().map(|step| step * unit).find(|top| *top >= value).unwrap_or(value)
}

#[cfg(test)]
mod tests;
