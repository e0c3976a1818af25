//! Time series with a fixed maximum number of steps. When the records outgrow it, the length of a step
//! doubles, so memory stays bounded for records of any length.

/// Maximum number of steps in a time series.
pub const MAX_STEPS: usize = 4_096;

/// Time scale shared by all time series: start and step length.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scale {
    /// Start of the first step, in Unix milliseconds.
    pub from: f64,
    /// Length of a step in milliseconds.
    pub step_ms: f64,
}

impl Scale {
    /// A scale that starts at `from` with steps of `step_ms`.
    pub fn new(from: f64, step_ms: f64) -> Self {
        Scale { from, step_ms }
    }

    /// Index of the step that holds `at`; times before the start fall into the first.
    fn index(&self, at: f64) -> usize {
        ((at - self.from) / self.step_ms).max(0.0) as usize
    }

    /// Doubles the step length until `at` fits into [`MAX_STEPS`] steps. Returns how often it was doubled;
    /// every time series on this scale has to be doubled as often.
    pub fn extend_to(&mut self, at: f64) -> u32 {
        let mut doubled = 0;
        while at.is_finite() && self.index(at) >= MAX_STEPS {
            self.step_ms *= 2.0;
            doubled += 1;
        }
        doubled
    }
}

/// Sums per step of a [`Scale`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TimeSeries {
    values: Vec<f32>,
}

impl TimeSeries {
    /// Merges each pair of steps into one, `times` times.
    pub fn double_steps(&mut self, times: u32) {
        for _ in 0..times {
            self.values = self.values.chunks(2).map(|pair| pair.iter().sum()).collect();
        }
    }

    /// Adds `amount` to the step of `at`.
    pub fn add(&mut self, scale: &Scale, at: f64, amount: f64) {
        let index = scale.index(at).min(MAX_STEPS - 1);
        if self.values.len() <= index {
            self.values.resize(index + 1, 0.0);
        }
        self.values[index] += amount as f32;
    }

    /// Adds `rate` per millisecond over the span, split across its steps.
    pub fn add_rate(&mut self, scale: &Scale, from: f64, until: f64, rate: f64) {
        if rate == 0.0 || until <= from {
            return;
        }
        let mut at = from.max(scale.from);
        while at < until {
            let end = (scale.from + (scale.index(at) + 1) as f64 * scale.step_ms).min(until);
            // Prevents an endless loop where a step is too short for the resolution of `at`.
            if end <= at {
                break;
            }
            self.add(scale, at, rate * (end - at));
            at = end;
        }
    }

    /// Sum over the span. A step that lies partly in the span counts in proportion.
    pub fn sum_between(&self, scale: &Scale, from: f64, until: f64) -> f64 {
        if until <= from {
            return 0.0;
        }
        let (first, last) = (scale.index(from), scale.index(until));
        let mut sum = 0.0;
        for (index, value) in self.values.iter().enumerate().take(last + 1).skip(first) {
            let begins = scale.from + index as f64 * scale.step_ms;
            let part = (until.min(begins + scale.step_ms) - from.max(begins)) / scale.step_ms;
            sum += f64::from(*value) * part.clamp(0.0, 1.0);
        }
        sum
    }

    /// The first `steps` values, each multiplied by `factor`; zero where there are none.
    pub fn values(&self, steps: usize, factor: f64) -> Vec<f32> {
        let value = |index| (f64::from(self.values.get(index).copied().unwrap_or(0.0)) * factor) as f32;
        (0..steps).map(value).collect()
    }

    /// Sum over all steps.
    pub fn sum(&self) -> f64 {
        self.values.iter().map(|value| f64::from(*value)).sum()
    }
}

#[cfg(test)]
mod tests;
