//! A probe of a pool member: `STATS`, answered by `PONG` or an error word and the member's load report.

use super::MAX_LINE_BYTES;
use super::parse::{ProbeReport, load_report};
use crate::api::Outcome;

/// Reads the answers to probes on one connection, which may carry many probes, one after another.
#[derive(Default)]
pub struct Probe {
    line: Vec<u8>,
    /// A `PONG` without a report has come; the report is expected on the next line.
    awaits_report: bool,
}

impl Probe {
    /// The request that the member answers.
    pub const REQUEST: &'static [u8] = b"STATS\r\n";

    /// Takes received bytes; returns the probe's outcome once the answer is complete.
    pub fn take(&mut self, bytes: &[u8]) -> Option<(Outcome, Option<ProbeReport>)> {
        for &byte in bytes {
            if byte != b'\n' {
                if self.line.len() >= MAX_LINE_BYTES {
                    return Some((Outcome::Error, None));
                }
                self.line.push(byte);
                continue;
            }
            let line = std::mem::take(&mut self.line);
            let line = String::from_utf8_lossy(&line);
            let line = line.trim_end();
            let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
            if std::mem::take(&mut self.awaits_report) {
                return Some((Outcome::Ok, load_report(line)));
            }
            match (word, load_report(rest.trim())) {
                ("PONG", Some(report)) => return Some((Outcome::Ok, Some(report))),
                ("PONG", None) => self.awaits_report = true,
                ("BUSY", report) => return Some((Outcome::Full, report)),
                ("NO", _) => return Some((Outcome::NotSent, None)),
                (_, report) => return Some((Outcome::Error, report)),
            }
        }
        None
    }

    /// The outcome if the connection closes or breaks now: after a `PONG` the probe succeeded even without a
    /// report.
    pub fn outcome_if_closed(&self) -> Outcome {
        if self.awaits_report { Outcome::Ok } else { Outcome::Reset }
    }
}

#[cfg(test)]
mod tests;
