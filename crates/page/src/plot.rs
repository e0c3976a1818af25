//! Plots as inline SVG, laid by hand: lanes with spans, and curves over one axis of time.

use crate::time;
use maud::{Markup, html};

/// Width of all plots, in their own units, and of the names at their left.
pub const WIDTH: f64 = 1_000.0;
/// Room for names.
pub const LEFT: f64 = 120.0;
/// Room at the right.
pub const RIGHT: f64 = 12.0;

/// An axis of time.
#[derive(Clone, Copy, Debug)]
pub struct Axis {
    /// Its left end, in Unix milliseconds.
    pub from: f64,
    /// Its right end.
    pub until: f64,
}

impl Axis {
    /// Where a time stands.
    pub fn x(&self, at: f64) -> f64 {
        let part = (at - self.from) / (self.until - self.from).max(1.0);
        LEFT + part.clamp(0.0, 1.0) * (WIDTH - LEFT - RIGHT)
    }

    /// Times for ticks: at most some ten, on whole units.
    pub fn ticks(&self) -> Vec<f64> {
        let span = (self.until - self.from).max(1.0);
        let steps =
            [1.0, 2.0, 5.0, 10.0, 15.0, 30.0, 60.0, 120.0, 300.0, 600.0, 900.0, 1_800.0, 3_600.0, 7_200.0];
        let days = [10_800.0, 21_600.0, 43_200.0, 86_400.0, 172_800.0, 604_800.0];
        let fits = |step: &&f64| span / (**step * 1_000.0) <= 10.0;
        let step = steps.iter().chain(&days).find(fits).copied().unwrap_or(span / 10_000.0) * 1_000.0;
        let first = (self.from / step).ceil() as i64;
        let last = (self.until / step).floor() as i64;
        (first..=last.min(first + 20)).map(|at| at as f64 * step).collect()
    }

    /// Lines and times at the ticks, for a plot so high.
    pub fn grid(&self, height: f64) -> Markup {
        html! {
            @for at in self.ticks() {
                line.grid x1=(short(self.x(at))) x2=(short(self.x(at))) y1="0" y2=(short(height - 16.0)) {}
                text.tick x=(short(self.x(at))) y=(short(height - 3.0)) text-anchor="middle" { (time::clock(at)) }
            }
        }
    }
}

/// A number short enough for a drawing.
pub fn short(value: f64) -> String {
    let text = format!("{value:.1}");
    text.strip_suffix(".0").map(str::to_owned).unwrap_or(text)
}

/// Points of a curve as a path; a step of it lies in its middle. Long curves are thinned to what can be seen, each
/// part by its mean.
pub fn path(values: &[f32], axis: &Axis, step_ms: f64, y: impl Fn(f64) -> f64) -> String {
    let most = 400;
    let group = values.len().div_ceil(most).max(1);
    let mut path = String::new();
    for (at, part) in values.chunks(group).enumerate() {
        let mean = part.iter().map(|value| f64::from(*value)).sum::<f64>() / part.len() as f64;
        let middle = (at * group) as f64 + part.len() as f64 / 2.0;
        let x = axis.x(axis.from + middle * step_ms);
        path.push(if at == 0 { 'M' } else { 'L' });
        path.push_str(&format!("{} {}", short(x), short(y(mean))));
    }
    path
}

/// The same, closed down to a base line.
pub fn area(values: &[f32], axis: &Axis, step_ms: f64, base: f64, y: impl Fn(f64) -> f64) -> String {
    if values.is_empty() {
        return String::new();
    }
    let line = path(values, axis, step_ms, y);
    let (left, right) = (axis.x(axis.from), axis.x(axis.from + values.len() as f64 * step_ms));
    format!("M{} {base} {} L{} {base} Z", short(left), line.replacen('M', "L", 1), short(right))
}

/// A round number at or over this one, for the top of a scale.
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
