//! Reads a client's first line into a request, or into the error that the client is answered with.

use super::parse::{self, ClientLine, OpenLine};
use super::{MAX_LINE_BYTES, PlatformSettings};
use crate::api::{AffinityKey, ClassId, Millis, TenantId};
use crate::broker::{ArrivalKind, ClientError, ClientRequest};
use crate::pool::name_hash;

/// Subtracted from `d`, which counts from when the client sent its line, to cover the transit of the line and
/// of the answer. Allows for a node process that is not scheduled for a moment: with 15 ms one answer a day
/// was late.
const ANSWER_MARGIN_MS: Millis = 100.0;
/// Characters of an invalid line that are logged.
const MAX_LOGGED_CHARS: usize = 120;

/// A client's request.
pub(super) enum FirstLine {
    /// Readiness check.
    Ping,
    /// A connection to a pool member.
    Open {
        /// The line as received, without its line end; it is forwarded to the member.
        line: String,
        /// The request for the broker.
        request: Box<ClientRequest>,
    },
}

/// Why a client is answered `ERR` before the broker sees its request.
pub(super) struct FirstLineError {
    pub(super) kind: ClientError,
    /// Sent to the client and logged.
    pub(super) message: &'static str,
    /// Only logged.
    pub(super) detail: String,
}

impl FirstLineError {
    fn new(kind: ClientError, message: &'static str, detail: String) -> Self {
        FirstLineError { kind, message, detail }
    }

    fn too_long(bytes: usize) -> Self {
        FirstLineError::new(ClientError::TooLong, "first line too long", format!("{bytes} bytes"))
    }

    /// An error that logs the start of the line, escaped so that it can't break the lines of the log.
    fn with_line(kind: ClientError, message: &'static str, line: &[u8]) -> Self {
        FirstLineError::new(
            kind,
            message,
            line.escape_ascii().to_string().chars().take(MAX_LOGGED_CHARS).collect(),
        )
    }

    fn malformed(line: &[u8]) -> Self {
        FirstLineError::with_line(ClientError::Malformed, "malformed first line", line)
    }
}

/// Removes the first line from the received bytes and returns it without its line end; `None` if it is
/// incomplete.
pub(super) fn take(from_client: &mut Vec<u8>) -> Result<Option<Vec<u8>>, FirstLineError> {
    let Some(end) = from_client.iter().position(|b| *b == b'\n') else {
        let bytes = from_client.len();
        return if bytes > MAX_LINE_BYTES { Err(FirstLineError::too_long(bytes)) } else { Ok(None) };
    };
    let mut line: Vec<u8> = from_client.drain(..=end).collect();
    line.pop();
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    if line.len() + 2 > MAX_LINE_BYTES {
        return Err(FirstLineError::too_long(line.len()));
    }
    Ok(Some(line))
}

/// Parses a first line and resolves its names against the settings.
pub(super) fn read(line: &[u8], settings: &PlatformSettings) -> Result<FirstLine, FirstLineError> {
    let text = std::str::from_utf8(line).map_err(|_| FirstLineError::malformed(line))?;
    match parse::client_line(text) {
        None => Err(FirstLineError::malformed(line)),
        Some(ClientLine::Ping) => Ok(FirstLine::Ping),
        Some(ClientLine::Open(open)) => {
            let request = Box::new(client_request(&open, settings, line)?);
            Ok(FirstLine::Open { line: text.to_owned(), request })
        }
    }
}

fn client_request(
    open: &OpenLine<'_>,
    settings: &PlatformSettings,
    line: &[u8],
) -> Result<ClientRequest, FirstLineError> {
    let unknown = |message| FirstLineError::with_line(ClientError::Unknown, message, line);
    let class = index_of(&settings.classes, open.field("c")).ok_or_else(|| unknown("unknown class"))?;
    let tenant = match open.field("t") {
        None if settings.tenants.is_empty() => 0,
        name => index_of(&settings.tenants, name).ok_or_else(|| unknown("unknown tenant"))?,
    };
    let wait_ms =
        open.field("d").and_then(parse::deadline_ms).ok_or_else(|| FirstLineError::malformed(line))?;
    if !open.fields_valid() {
        return Err(FirstLineError::malformed(line));
    }
    Ok(ClientRequest {
        name: Some(open.id.into()),
        class: ClassId(class),
        tenant: TenantId(tenant),
        group: open.field("g").map(|name| AffinityKey(name_hash(name))),
        key: Some(AffinityKey(name_hash(open.key))),
        grace_ms: wait_ms - ANSWER_MARGIN_MS,
        load_hint: open.field("h").and_then(|hint| hint.parse().ok()),
        adopted: open.field("at").map(str::to_owned),
        arrival: arrival_kind(open),
        negotiates: false,
    })
}

/// Returns the index of a name in the configured list; `None` if the name is absent or not listed.
fn index_of(names: &[String], name: Option<&str>) -> Option<u32> {
    let name = name?;
    names.iter().position(|known| known == name).map(|index| index as u32)
}

fn arrival_kind(open: &OpenLine<'_>) -> ArrivalKind {
    match (open.field("again"), open.field("r")) {
        (Some("1"), _) => ArrivalKind::Return,
        (_, Some("1")) => ArrivalKind::Retry,
        _ => ArrivalKind::First,
    }
}
