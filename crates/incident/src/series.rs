//! Figures over time in steps. A curve that grows too long doubles its step, so memory stays within bounds however
//! long the records are.

/// Most steps that are kept.
pub const MOST: usize = 4_096;

/// The steps that all curves share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scale {
    /// When the first step begins.
    pub from: f64,
    /// A step's length in milliseconds.
    pub step: f64,
}

impl Scale {
    /// A scale that begins with steps of so many milliseconds.
    pub fn new(from: f64, step: f64) -> Self {
        Scale { from, step }
    }

    fn place(&self, at: f64) -> usize {
        ((at - self.from) / self.step).max(0.0) as usize
    }

    /// Doubles the step until `at` fits; says how often.
    pub fn reach(&mut self, at: f64) -> u32 {
        let mut doubled = 0;
        while at.is_finite() && self.place(at) >= MOST {
            self.step *= 2.0;
            doubled += 1;
        }
        doubled
    }
}

/// Values over time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Curve {
    values: Vec<f32>,
}

impl Curve {
    /// Two steps become one, so many times.
    pub fn double(&mut self, times: u32) {
        for _ in 0..times {
            self.values = self.values.chunks(2).map(|pair| pair.iter().sum()).collect();
        }
    }

    /// Counts something at a time.
    pub fn count(&mut self, scale: &Scale, at: f64, amount: f64) {
        let place = scale.place(at).min(MOST - 1);
        if self.values.len() <= place {
            self.values.resize(place + 1, 0.0);
        }
        self.values[place] += amount as f32;
    }

    /// Spreads something that goes on at `rate` a millisecond.
    pub fn spread(&mut self, scale: &Scale, from: f64, until: f64, rate: f64) {
        if rate == 0.0 || until <= from {
            return;
        }
        let mut at = from.max(scale.from);
        while at < until {
            let end = (scale.from + (scale.place(at) + 1) as f64 * scale.step).min(until);
            // Guards against a step too short for the clock's resolution.
            if end <= at {
                break;
            }
            self.count(scale, at, rate * (end - at));
            at = end;
        }
    }

    /// What lies between two times; a step counts by the part of it that is asked for.
    pub fn between(&self, scale: &Scale, from: f64, until: f64) -> f64 {
        if until <= from {
            return 0.0;
        }
        let (first, last) = (scale.place(from), scale.place(until));
        let mut sum = 0.0;
        for (place, value) in self.values.iter().enumerate().take(last + 1).skip(first) {
            let begins = scale.from + place as f64 * scale.step;
            let part = (until.min(begins + scale.step) - from.max(begins)) / scale.step;
            sum += f64::from(*value) * part.clamp(0.0, 1.0);
        }
        sum
    }

    /// The values, `steps` of them, each multiplied.
    pub fn values(&self, steps: usize, by: f64) -> Vec<f32> {
        let value = |place| (f64::from(self.values.get(place).copied().unwrap_or(0.0)) * by) as f32;
        (0..steps).map(value).collect()
    }

    /// The sum of all.
    pub fn sum(&self) -> f64 {
        self.values.iter().map(|value| f64::from(*value)).sum()
    }
}

#[cfg(test)]
mod tests;
