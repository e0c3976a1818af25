//! A probe: `STATS`, answered `PONG` or `ERR` and the load report.

use super::LINE;
use super::parse::{ProbeReport, report};
use crate::api::Outcome;

/// One connection for probes; it may carry many, one after the other.
#[derive(Default)]
pub struct Probe {
    line: Vec<u8>,
    pong: bool,
}

impl Probe {
    /// What to send.
    pub const REQUEST: &'static [u8] = b"STATS\r\n";

    /// Takes bytes; returns how the probe ended once they tell.
    pub fn take(&mut self, bytes: &[u8]) -> Option<(Outcome, Option<ProbeReport>)> {
        for &byte in bytes {
            if byte != b'\n' {
                if self.line.len() >= LINE {
                    return Some((Outcome::Error, None));
                }
                self.line.push(byte);
                continue;
            }
            let line = std::mem::take(&mut self.line);
            let line = String::from_utf8_lossy(&line);
            let line = line.trim_end();
            let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
            if std::mem::take(&mut self.pong) {
                return Some((Outcome::Ok, report(line)));
            }
            match (word, report(rest.trim())) {
                ("PONG", Some(report)) => return Some((Outcome::Ok, Some(report))),
                // The report follows on a line of its own.
                ("PONG", None) => self.pong = true,
                ("BUSY", report) => return Some((Outcome::Full, report)),
                ("NO", _) => return Some((Outcome::NotSent, None)),
                (_, report) => return Some((Outcome::Error, report)),
            }
        }
        None
    }

    /// What a break of the connection means: a `PONG` without a report is an answer all the same.
    pub fn outcome_if_closed(&self) -> Outcome {
        if self.pong { Outcome::Ok } else { Outcome::Reset }
    }
}

#[cfg(test)]
mod tests;
