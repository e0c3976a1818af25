//! Parsers for the lines of the platform's protocol.

use crate::api::Report;
use winnow::Parser;
use winnow::ascii::{digit1, float};
use winnow::combinator::{alt, eof, opt, preceded, separated, terminated};
use winnow::error::ContextError;
use winnow::token::{rest, take_till, take_while};

/// A client's first line.
#[derive(Debug, PartialEq)]
pub(super) enum ClientLine<'a> {
    Ping,
    Open(OpenLine<'a>),
}

/// `OPEN ID KEY NAME=VALUE,...`
///
/// Fields that the node reads: `c` class, `t` tenant, `g` group, `d` milliseconds that the client waits for
/// the answer, `h` load hint, `at` member that already holds the connection, `r=1` retry, and `again=1`
/// return after a connection was moved or broke. Other fields are only forwarded.
#[derive(Debug, PartialEq)]
pub(super) struct OpenLine<'a> {
    pub(super) id: &'a str,
    pub(super) key: &'a str,
    pub(super) fields: Vec<(&'a str, &'a str)>,
}

impl<'a> OpenLine<'a> {
    pub(super) fn field(&self, name: &str) -> Option<&'a str> {
        self.fields.iter().find(|(known, _)| *known == name).map(|(_, value)| *value)
    }

    /// Whether no field occurs twice and every number is possible: the load hint `h` must be a finite number
    /// of at least zero, and any other field that holds a number a finite one. Fields that hold no number,
    /// and the text fields `c`, `t`, `g` and `at`, are not checked.
    pub(super) fn fields_valid(&self) -> bool {
        let finite = |(name, value): &(&str, &str)| match *name {
            "c" | "t" | "g" | "at" => true,
            "h" => value.parse::<f64>().is_ok_and(|hint| hint.is_finite() && hint >= 0.0),
            _ => value.parse::<f64>().map_or(true, f64::is_finite),
        };
        let duplicate = |i: usize| self.fields[..i].iter().any(|(name, _)| *name == self.fields[i].0);
        self.fields.iter().all(finite) && !(0..self.fields.len()).any(duplicate)
    }

    /// The line to forward to a pool member, with its line end: unchanged except for `d`, which becomes the
    /// time that the node will wait for the member.
    pub(super) fn forwarded(&self, wait_ms: u64) -> String {
        let mut line = format!("OPEN {} {} ", self.id, self.key);
        for (i, (name, value)) in self.fields.iter().enumerate() {
            line.push_str(if i == 0 { "" } else { "," });
            match *name {
                "d" => line.push_str(&format!("d={wait_ms}")),
                name => line.push_str(&format!("{name}={value}")),
            }
        }
        line.push_str("\r\n");
        line
    }
}

type Result<T> = winnow::Result<T, ContextError>;

/// Parses a client's first line, given without its line end; `None` if it is malformed.
pub(super) fn client_line(line: &str) -> Option<ClientLine<'_>> {
    alt(("PING".map(|_| ClientLine::Ping), open_line.map(ClientLine::Open))).parse(line).ok()
}

fn word<'a>(input: &mut &'a str) -> Result<&'a str> {
    take_while(1.., |c: char| c.is_ascii_graphic()).parse_next(input)
}

fn open_line<'a>(input: &mut &'a str) -> Result<OpenLine<'a>> {
    let field = (
        terminated(take_while(1.., |c: char| c.is_ascii_alphanumeric() || c == '_'), '='),
        take_while(0.., |c: char| c.is_ascii_graphic() && c != ','),
    );
    ("OPEN ", word, ' ', word, ' ', separated(1.., field, ','), eof)
        .map(|(_, id, _, key, _, fields, _)| OpenLine { id, key, fields })
        .parse_next(input)
}

/// A pool member's line, by its first word.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum MemberLine {
    Up,
    Bye,
    Move,
    Err,
    Busy,
    /// The load of the connection, in microseconds of work per second.
    Load(f64),
    /// Application data.
    Other,
}

/// Parses a pool member's line and the load report that may follow its first word.
pub(super) fn member_line(line: &str) -> (MemberLine, Option<Report>) {
    let load = preceded("LOAD ", float).map(MemberLine::Load);
    let word = alt((
        (alt(("UP".value(MemberLine::Up), "MOVE".value(MemberLine::Move))), word_end).map(|(kind, ())| kind),
        (load, eof).map(|(kind, _)| kind),
        (
            alt(("BYE".value(MemberLine::Bye), "ERR".value(MemberLine::Err), "BUSY".value(MemberLine::Busy))),
            word_end,
        )
            .map(|(kind, ())| kind),
    ));
    let parsed: Result<(MemberLine, &str)> = (word, rest).parse_next(&mut { line });
    match parsed {
        Ok((kind, more)) => (kind, load_report(more.trim_start()).map(|probe| probe.report)),
        Err(_) => (MemberLine::Other, None),
    }
}

/// Matches the end of a word, that is a space or the end of the line, without consuming it.
fn word_end(input: &mut &str) -> Result<()> {
    winnow::combinator::peek(alt((eof.void(), ' '.void()))).parse_next(input)
}

/// A pool member's load report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProbeReport {
    /// The part that the decision module uses.
    pub report: Report,
    /// The member's current processing time per message, without time in its queue.
    pub message_ms: Option<f64>,
}

/// Parses a load report such as `inflight=7,latency_ms=3.5,x0=0.61`. Unknown fields are ignored.
pub(super) fn load_report(text: &str) -> Option<ProbeReport> {
    let name = terminated(take_till(1.., |c: char| c == '=' || c == ',' || c == ' '), '=');
    let value = take_till(0.., ',').map(|text: &str| text.trim().parse::<f64>().ok());
    let fields: std::result::Result<Vec<(&str, Option<f64>)>, _> = {
        let mut fields = separated(1.., (name, value), ',');
        Parser::<&str, Vec<(&str, Option<f64>)>, ContextError>::parse(&mut fields, text)
    };
    let fields = fields.ok()?;
    let value = |wanted: &str| {
        let found = fields.iter().find(|(name, _)| *name == wanted).and_then(|(_, value)| *value);
        found.filter(|value| value.is_finite() && *value >= 0.0)
    };
    let report = Report { load_over_capacity: value("x0") };
    Some(ProbeReport { report, message_ms: value("lat_ms").or_else(|| value("latency_ms")) })
}

/// Upper bound of `d`: no client waits longer than this for an answer, and pool members refuse a line that
/// states more. It has to exceed an hour, which clients state for connections established before the node
/// started (`at`).
const MAX_DEADLINE_MS: f64 = 24.0 * 3_600_000.0;

/// Parses the value of `d`, a number of milliseconds; `None` if it is not a decimal number or is too large.
pub(super) fn deadline_ms(text: &str) -> Option<f64> {
    let number: Result<&str> = terminated((digit1, opt(('.', digit1))).take(), eof).parse_next(&mut { text });
    number.ok()?.parse().ok().filter(|ms| *ms <= MAX_DEADLINE_MS)
}

#[cfg(test)]
mod tests;
