//! The lines of the platform's protocol.

use crate::api::Report;
use winnow::Parser;
use winnow::ascii::{digit1, float};
use winnow::combinator::{alt, eof, opt, preceded, separated, terminated};
use winnow::error::ContextError;
use winnow::token::{rest, take_till, take_while};

/// A client's first line.
#[derive(Debug, PartialEq)]
pub(super) enum First<'a> {
    Ping,
    Open(Open<'a>),
}

/// `OPEN ID KEY NAME=VALUE,...`
#[derive(Debug, PartialEq)]
pub(super) struct Open<'a> {
    pub(super) id: &'a str,
    pub(super) key: &'a str,
    pub(super) fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Open<'a> {
    pub(super) fn field(&self, name: &str) -> Option<&'a str> {
        self.fields.iter().find(|(known, _)| *known == name).map(|(_, value)| *value)
    }

    /// Whether the fields can all be what they say: none twice, the load hint a number from zero up, and no
    /// other figure one that is not finite. What is not a figure at all is passed on unread.
    pub(super) fn figures_hold(&self) -> bool {
        let finite = |(name, value): &(&str, &str)| match *name {
            "c" | "t" | "g" | "at" => true,
            "h" => value.parse::<f64>().is_ok_and(|hint| hint.is_finite() && hint >= 0.0),
            _ => value.parse::<f64>().map_or(true, f64::is_finite),
        };
        let again = |at: usize| self.fields[..at].iter().any(|(name, _)| *name == self.fields[at].0);
        self.fields.iter().all(finite) && !(0..self.fields.len()).any(again)
    }

    /// The line as it goes to a pool member: unchanged, except for how long the node will wait.
    pub(super) fn line(&self, wait_ms: u64) -> String {
        let mut line = format!("OPEN {} {} ", self.id, self.key);
        for (at, (name, value)) in self.fields.iter().enumerate() {
            line.push_str(if at == 0 { "" } else { "," });
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

/// Parses a client's first line, its line end taken off.
pub(super) fn first(line: &str) -> Option<First<'_>> {
    alt(("PING".map(|_| First::Ping), open.map(First::Open))).parse(line).ok()
}

fn word<'a>(input: &mut &'a str) -> Result<&'a str> {
    take_while(1.., |c: char| c.is_ascii_graphic()).parse_next(input)
}

fn open<'a>(input: &mut &'a str) -> Result<Open<'a>> {
    let field = (
        terminated(take_while(1.., |c: char| c.is_ascii_alphanumeric() || c == '_'), '='),
        take_while(0.., |c: char| c.is_ascii_graphic() && c != ','),
    );
    ("OPEN ", word, ' ', word, ' ', separated(1.., field, ','), eof)
        .map(|(_, id, _, key, _, fields, _)| Open { id, key, fields })
        .parse_next(input)
}

/// What a pool member's line says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Answer {
    Up,
    Bye,
    Move,
    Err,
    Busy,
    Load(f64),
    Other,
}

/// Reads a pool member's line, with the load report that may close it.
pub(super) fn answer(line: &str) -> (Answer, Option<Report>) {
    let load = preceded("LOAD ", float).map(Answer::Load);
    let word = alt((
        (alt(("UP".value(Answer::Up), "MOVE".value(Answer::Move))), ends).map(|(answer, ())| answer),
        (load, eof).map(|(answer, _)| answer),
        (alt(("BYE".value(Answer::Bye), "ERR".value(Answer::Err), "BUSY".value(Answer::Busy))), ends)
            .map(|(answer, ())| answer),
    ));
    let parsed: Result<(Answer, &str)> = (word, rest).parse_next(&mut { line });
    match parsed {
        Ok((answer, more)) => (answer, report(more.trim_start()).map(|said| said.report)),
        Err(_) => (Answer::Other, None),
    }
}

/// A word ends here: nothing or a space follows.
fn ends(input: &mut &str) -> Result<()> {
    winnow::combinator::peek(alt((eof.void(), ' '.void()))).parse_next(input)
}

/// What a load report says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProbeReport {
    /// For the decision module.
    pub report: Report,
    /// How long the member takes over a message now, waiting for its turn left out.
    pub message_ms: Option<f64>,
}

/// A load report: `inflight=7,latency_ms=3.5,x0=0.61`; fields not known are passed over.
pub(super) fn report(text: &str) -> Option<ProbeReport> {
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

/// Nobody waits longer than this for an answer: what states more is no deadline, and members turn it away. It
/// leaves room for connections older than the run, whose clients state over an hour.
const LONGEST_MS: f64 = 24.0 * 3_600_000.0;

/// A number of milliseconds as `d` states it.
pub(super) fn millis(text: &str) -> Option<f64> {
    let number: Result<&str> = terminated((digit1, opt(('.', digit1))).take(), eof).parse_next(&mut { text });
    number.ok()?.parse().ok().filter(|wait| *wait <= LONGEST_MS)
}

#[cfg(test)]
mod tests;
