//! A client's first line: what it asks for, or why it is refused.

use super::parse::{self, First, Open};
use super::{LINE, PlatformSettings};
use crate::api::{AffinityKey, ClassId, Millis, TenantId};
use crate::broker::{ArrivalKind, ClientError, ClientRequest};
use crate::pool::name_hash;

/// `d` runs from when the client sent its line: kept back for the way here and for that of the answer. Guards
/// against a process that is not run for a moment: with 15 ms one answer in a day came too late.
const MARGIN_MS: Millis = 100.0;
/// So much of a line that can't be taken is shown in the log.
const SHOWN: usize = 120;

/// What a client asks for.
pub(super) enum FirstLine {
    /// Whether the node is ready.
    Ping,
    /// A connection; the line goes on to a member.
    Open {
        /// The line as it came, without its end.
        line: String,
        /// What it asks for.
        ask: Box<ClientRequest>,
    },
}

/// Why a client is refused before it is served.
pub(super) struct Refused {
    pub(super) bad: ClientError,
    /// What the client and the log are told.
    pub(super) what: &'static str,
    /// What the log is told beside.
    pub(super) detail: String,
}

impl Refused {
    fn new(bad: ClientError, what: &'static str, detail: String) -> Self {
        Refused { bad, what, detail }
    }

    fn too_long(bytes: usize) -> Self {
        Refused::new(ClientError::TooLong, "first line too long", format!("{bytes} bytes"))
    }

    /// Escaped: what is shown must not break the log's own lines.
    fn showing(bad: ClientError, what: &'static str, line: &[u8]) -> Self {
        Refused::new(bad, what, line.escape_ascii().to_string().chars().take(SHOWN).collect())
    }

    fn malformed(line: &[u8]) -> Self {
        Refused::showing(ClientError::Malformed, "malformed first line", line)
    }
}

/// Takes the first line out of what a client has sent, without its end; none yet if it is not whole.
pub(super) fn take(from_client: &mut Vec<u8>) -> Result<Option<Vec<u8>>, Refused> {
    let Some(end) = from_client.iter().position(|b| *b == b'\n') else {
        let bytes = from_client.len();
        return if bytes > LINE { Err(Refused::too_long(bytes)) } else { Ok(None) };
    };
    let mut line: Vec<u8> = from_client.drain(..=end).collect();
    line.pop();
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    if line.len() + 2 > LINE {
        return Err(Refused::too_long(line.len()));
    }
    Ok(Some(line))
}

/// Reads a first line.
pub(super) fn read(line: &[u8], names: &PlatformSettings) -> Result<FirstLine, Refused> {
    let text = std::str::from_utf8(line).map_err(|_| Refused::malformed(line))?;
    match parse::first(text) {
        None => Err(Refused::malformed(line)),
        Some(First::Ping) => Ok(FirstLine::Ping),
        Some(First::Open(open)) => {
            let ask = Box::new(ask(&open, names, line)?);
            Ok(FirstLine::Open { line: text.to_owned(), ask })
        }
    }
}

fn ask(open: &Open<'_>, names: &PlatformSettings, line: &[u8]) -> Result<ClientRequest, Refused> {
    let unknown = |what| Refused::showing(ClientError::Unknown, what, line);
    let class = place(&names.classes, open.field("c")).ok_or_else(|| unknown("unknown class"))?;
    let tenant = match open.field("t") {
        None if names.tenants.is_empty() => 0,
        name => place(&names.tenants, name).ok_or_else(|| unknown("unknown tenant"))?,
    };
    let wait = open.field("d").and_then(parse::millis).ok_or_else(|| Refused::malformed(line))?;
    if !open.figures_hold() {
        return Err(Refused::malformed(line));
    }
    Ok(ClientRequest {
        name: Some(open.id.into()),
        class: ClassId(class),
        tenant: TenantId(tenant),
        group: open.field("g").map(|name| AffinityKey(name_hash(name))),
        key: Some(AffinityKey(name_hash(open.key))),
        grace_ms: wait - MARGIN_MS,
        load_hint: open.field("h").and_then(|hint| hint.parse().ok()),
        adopted: open.field("at").map(str::to_owned),
        coming: coming(open),
        negotiates: false,
    })
}

/// A name's place among those that are configured.
fn place(names: &[String], name: Option<&str>) -> Option<u32> {
    let name = name?;
    names.iter().position(|known| known == name).map(|at| at as u32)
}

fn coming(open: &Open<'_>) -> ArrivalKind {
    match (open.field("again"), open.field("r")) {
        (Some("1"), _) => ArrivalKind::Return,
        (_, Some("1")) => ArrivalKind::Retry,
        _ => ArrivalKind::First,
    }
}
