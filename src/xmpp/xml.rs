//! XML as streams use it: bytes are cut into stream headers, stanzas and the stream's end.

use winnow::Parser;
use winnow::combinator::{alt, delimited, opt, preceded, repeat, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::stream::Partial;
use winnow::token::{literal, take_until, take_while};

/// The longest tag, and the deepest nesting.
const TAG: usize = 8 * 1024;
const DEPTH: usize = 64;

/// What stands at the top level of a stream. `bytes` is what came, unchanged.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Unit {
    /// A stream header, the first one or that of a restart.
    Header { attributes: Vec<(String, String)>, bytes: Vec<u8> },
    /// A whole stanza or other top-level element.
    Stanza { name: String, attributes: Vec<(String, String)>, children: Vec<Child>, bytes: Vec<u8> },
    /// White space between stanzas.
    Space(Vec<u8>),
    /// The end of the stream.
    End(Vec<u8>),
}

/// A child of a stanza: its name and, where it is stated, its namespace.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Child {
    pub(super) name: String,
    pub(super) namespace: Option<String>,
}

/// The stream error that bad input deserves, by its RFC 6120 name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum XmlError {
    NotWellFormed,
    RestrictedXml,
    PolicyViolation,
    BadFormat,
}

impl XmlError {
    pub(super) fn condition(self) -> &'static str {
        match self {
            XmlError::NotWellFormed => "not-well-formed",
            XmlError::RestrictedXml => "restricted-xml",
            XmlError::PolicyViolation => "policy-violation",
            XmlError::BadFormat => "bad-format",
        }
    }
}

struct Stanza {
    name: String,
    attributes: Vec<(String, String)>,
    children: Vec<Child>,
}

/// Cuts one direction of a stream. Holds at most one unit.
pub(super) struct Cutter {
    buffer: Vec<u8>,
    /// Up to here the buffer has been read.
    read: usize,
    /// Names of the open elements; the first is the stream.
    open: Vec<String>,
    stanza: Option<Stanza>,
    most: usize,
}

#[derive(Debug)]
enum Token {
    Declaration,
    Start { name: String, attributes: Vec<(String, String)>, empty: bool },
    End(String),
    Text { blank: bool },
    Restricted,
}

impl Cutter {
    /// Units longer than `most` bytes are refused.
    pub(super) fn new(most: usize) -> Self {
        Cutter { buffer: Vec::new(), read: 0, open: Vec::new(), stanza: None, most }
    }

    pub(super) fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole unit, if it has come.
    pub(super) fn next(&mut self) -> Result<Option<Unit>, XmlError> {
        loop {
            let rest = &self.buffer[self.read..];
            if rest.is_empty() {
                return self.size().map(|()| None);
            }
            let mut input = Partial::new(rest);
            let token = match token.parse_next(&mut input) {
                Ok(token) => token,
                Err(ErrMode::Incomplete(_)) if rest.len() > TAG => return Err(XmlError::PolicyViolation),
                Err(ErrMode::Incomplete(_)) => return self.size().map(|()| None),
                Err(_) => return Err(XmlError::NotWellFormed),
            };
            self.read = self.buffer.len() - input.len();
            self.size()?;
            if let Some(unit) = self.place(token)? {
                return Ok(Some(unit));
            }
        }
    }

    fn size(&self) -> Result<(), XmlError> {
        if self.read > self.most {
            return Err(XmlError::PolicyViolation);
        }
        Ok(())
    }

    fn cut(&mut self) -> Vec<u8> {
        let read = std::mem::take(&mut self.read);
        self.buffer.drain(..read).collect()
    }

    fn place(&mut self, token: Token) -> Result<Option<Unit>, XmlError> {
        match token {
            Token::Restricted => Err(XmlError::RestrictedXml),
            // Part of the header that follows it.
            Token::Declaration if self.stanza.is_none() => Ok(None),
            Token::Declaration => Err(XmlError::NotWellFormed),
            Token::Text { blank } if self.stanza.is_none() => {
                if !blank {
                    return Err(XmlError::BadFormat);
                }
                // Space before the first header would hide that the stream has not begun.
                Ok(if self.open.is_empty() { None } else { Some(Unit::Space(self.cut())) })
            }
            Token::Text { .. } => Ok(None),
            Token::Start { name, attributes, empty } => self.start(name, attributes, empty),
            Token::End(name) => {
                if self.open.pop().as_deref() != Some(&name) {
                    return Err(XmlError::NotWellFormed);
                }
                Ok(match self.open.len() {
                    0 => Some(Unit::End(self.cut())),
                    1 => self.whole(),
                    _ => None,
                })
            }
        }
    }

    fn start(
        &mut self,
        name: String,
        attributes: Vec<(String, String)>,
        empty: bool,
    ) -> Result<Option<Unit>, XmlError> {
        for (at, (name, _)) in attributes.iter().enumerate() {
            if attributes[..at].iter().any(|(earlier, _)| earlier == name) {
                return Err(XmlError::NotWellFormed);
            }
        }
        let header = name == "stream:stream";
        match self.open.len() {
            // A header at the top level of an open stream restarts it.
            0 | 1 if header && !empty => {
                self.open = vec![name];
                return Ok(Some(Unit::Header { attributes, bytes: self.cut() }));
            }
            0 => return Err(XmlError::BadFormat),
            1 => self.stanza = Some(Stanza { name: name.clone(), attributes, children: Vec::new() }),
            2 => {
                let namespace =
                    attributes.into_iter().find(|(name, _)| name == "xmlns").map(|(_, value)| value);
                if let Some(stanza) = &mut self.stanza {
                    stanza.children.push(Child { name: name.clone(), namespace });
                }
            }
            DEPTH.. => return Err(XmlError::PolicyViolation),
            _ => {}
        }
        if !empty {
            self.open.push(name);
            return Ok(None);
        }
        Ok(if self.open.len() == 1 { self.whole() } else { None })
    }

    fn whole(&mut self) -> Option<Unit> {
        let Stanza { name, attributes, children } = self.stanza.take()?;
        Some(Unit::Stanza { name, attributes, children, bytes: self.cut() })
    }
}

type Input<'a> = Partial<&'a [u8]>;
type Parsed<T> = Result<T, ErrMode<ContextError>>;

fn token(input: &mut Input<'_>) -> Parsed<Token> {
    if input.first() != Some(&b'<') {
        return text.parse_next(input);
    }
    alt((
        cdata,
        declaration,
        alt((literal("<!"), literal("<?"))).value(()).map(|()| Token::Restricted),
        end,
        start,
    ))
    .parse_next(input)
}

fn space(byte: u8) -> bool {
    matches!(byte, b' ' | b'\t' | b'\r' | b'\n')
}

fn bad<T>() -> Parsed<T> {
    Err(ErrMode::Cut(ContextError::new()))
}

/// Text up to the next tag, or as far as it has come. A character or a reference may be cut at the end.
fn text(input: &mut Input<'_>) -> Parsed<Token> {
    let bytes: &[u8] = input;
    let length = bytes.iter().position(|b| *b == b'<').unwrap_or(bytes.len());
    let (whole, reaches_tag) = (&bytes[..length], length < bytes.len());
    let mut end = length;
    if let Some(at) = whole.iter().rposition(|b| *b == b'&')
        && !whole[at..].contains(&b';')
    {
        if reaches_tag || length - at > 12 {
            return bad();
        }
        end = at;
    }
    if let Err(error) = std::str::from_utf8(&whole[..end]) {
        if error.error_len().is_some() || reaches_tag {
            return bad();
        }
        end = error.valid_up_to();
    }
    let Ok(known) = std::str::from_utf8(&whole[..end]) else { return bad() };
    if known.is_empty() {
        return Err(ErrMode::Incomplete(winnow::error::Needed::Unknown));
    }
    if !sound(known) {
        return Ok(Token::Restricted);
    }
    let blank = known.bytes().all(space);
    winnow::token::take(end).parse_next(input)?;
    Ok(Token::Text { blank })
}

/// Only the predefined entities and character references may stand in XMPP.
fn sound(text: &str) -> bool {
    text.split('&').skip(1).all(|part| {
        let name = part.split(';').next().unwrap_or("");
        matches!(name, "amp" | "lt" | "gt" | "quot" | "apos") || name.starts_with('#')
    })
}

fn cdata(input: &mut Input<'_>) -> Parsed<Token> {
    delimited("<![CDATA[", take_until(0.., "]]>"), "]]>")
        .map(|_: &[u8]| Token::Text { blank: false })
        .parse_next(input)
}

fn declaration(input: &mut Input<'_>) -> Parsed<Token> {
    delimited("<?xml ", take_until(0.., "?>"), "?>").map(|_: &[u8]| Token::Declaration).parse_next(input)
}

fn name(input: &mut Input<'_>) -> Parsed<String> {
    let byte = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b':' | b'_' | b'-' | b'.') || b >= 0x80;
    let name: &[u8] = take_while(1.., byte).parse_next(input)?;
    match std::str::from_utf8(name) {
        Ok(name) if !name.starts_with(|c: char| c.is_ascii_digit() || c == '-' || c == '.') => {
            Ok(name.to_owned())
        }
        _ => bad(),
    }
}

fn end(input: &mut Input<'_>) -> Parsed<Token> {
    delimited("</", name, (take_while(0.., space), '>')).map(Token::End).parse_next(input)
}

fn attribute(input: &mut Input<'_>) -> Parsed<(String, String)> {
    let equals = (take_while(0.., space), '=', take_while(0.., space));
    let quoted = alt((
        delimited('"', take_while(0.., |b: u8| b != b'"' && b != b'<'), '"'),
        delimited('\'', take_while(0.., |b: u8| b != b'\'' && b != b'<'), '\''),
    ));
    let (name, value): (String, &[u8]) =
        preceded(take_while(1.., space), (terminated(name, equals), quoted)).parse_next(input)?;
    match std::str::from_utf8(value) {
        Ok(value) if sound(value) => Ok((name, unescape(value))),
        _ => bad(),
    }
}

fn unescape(value: &str) -> String {
    let plain =
        value.replace("&lt;", "<").replace("&gt;", ">").replace("&quot;", "\"").replace("&apos;", "'");
    plain.replace("&amp;", "&")
}

fn start(input: &mut Input<'_>) -> Parsed<Token> {
    let parts = (name, repeat(0.., attribute), take_while(0.., space), opt('/'), '>');
    let (name, attributes, _, empty, _): (String, Vec<_>, &[u8], Option<_>, _) =
        preceded('<', parts).parse_next(input)?;
    Ok(Token::Start { name, attributes, empty: empty.is_some() })
}

/// Text made fit to stand in XML.
pub(super) fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('\'', "&apos;").replace('"', "&quot;")
}

#[cfg(test)]
mod tests;
