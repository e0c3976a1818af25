//! Formatting and parsing of times and durations for people; all times are UTC.

use jiff::Timestamp;
use jiff::tz::TimeZone;

fn zoned(ms: f64) -> Option<jiff::Zoned> {
    let timestamp = Timestamp::from_millisecond(ms.round() as i64).ok()?;
    Some(timestamp.to_zoned(TimeZone::UTC))
}

fn format(ms: f64, pattern: &str) -> String {
    zoned(ms).map_or_else(|| "?".into(), |time| time.strftime(pattern).to_string())
}

/// Formats Unix milliseconds as `12:03:10`.
pub fn clock(ms: f64) -> String {
    format(ms, "%H:%M:%S")
}

/// Formats Unix milliseconds as `12:03:10.123`.
pub fn clock_ms(ms: f64) -> String {
    format(ms, "%H:%M:%S%.3f")
}

/// Formats Unix milliseconds as `2026-12-01 12:03:10`.
pub fn date_clock(ms: f64) -> String {
    format(ms, "%Y-%m-%d %H:%M:%S")
}

/// Formats Unix milliseconds as `2026-12-01T12:03:10.123Z`.
pub fn rfc3339(ms: f64) -> String {
    format(ms, "%Y-%m-%dT%H:%M:%S%.3fZ")
}

/// Parses a time into Unix milliseconds: RFC 3339, a time of day on the date of `near_ms`, or Unix
/// milliseconds.
///
/// # Errors
/// A message of one line that names the accepted forms.
pub fn parse(text: &str, near_ms: f64) -> Result<f64, String> {
    if let Ok(timestamp) = text.parse::<Timestamp>() {
        return Ok(timestamp.as_millisecond() as f64);
    }
    if let Ok(ms) = text.parse::<f64>()
        && ms.is_finite()
    {
        return Ok(ms);
    }
    let time = text.parse::<jiff::civil::Time>().ok();
    let on_day = time.and_then(|time| zoned(near_ms)?.date().to_datetime(time).to_zoned(TimeZone::UTC).ok());
    let invalid =
        || format!("'{text}' is not a time: expected 2026-12-01T12:03:10Z, 12:03:10 or Unix milliseconds");
    on_day.map(|time| time.timestamp().as_millisecond() as f64).ok_or_else(invalid)
}

/// Formats a duration, as in `340 ms`, `12.4 s`, `3 min 20 s`, `2 h 05 min`.
pub fn duration(ms: f64) -> String {
    let s = ms / 1_000.0;
    if s < 1.0 {
        format!("{ms:.0} ms")
    } else if s < 60.0 {
        format!("{s:.1} s")
    } else if s < 3_600.0 {
        format!("{:.0} min {:02.0} s", (s / 60.0).floor(), (s % 60.0).floor())
    } else {
        format!("{:.0} h {:02.0} min", (s / 3_600.0).floor(), (s % 3_600.0 / 60.0).floor())
    }
}

#[cfg(test)]
mod tests;
