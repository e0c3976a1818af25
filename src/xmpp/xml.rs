//! An incremental parser for the XML of XMPP streams: it splits the bytes into stream headers, stanzas, white
//! space and the stream's end.

use winnow::Parser;
use winnow::combinator::{alt, delimited, opt, preceded, repeat, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::stream::Partial;
use winnow::token::{literal, take_until, take_while};

/// Longest tag or other markup that is accepted.
const MAX_TAG_BYTES: usize = 8 * 1024;
/// Most attributes of a tag. Each costs many times the bytes that a peer sends for it.
const MAX_ATTRIBUTES: usize = 64;
/// Children of a stanza that are kept to identify it; further ones are only relayed.
const MAX_KEPT_CHILDREN: usize = 8;
/// Deepest nesting of elements, the stream element included.
const MAX_DEPTH: usize = 64;

/// A top-level part of a stream. Its bytes are those received, unchanged.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum StreamItem {
    /// A stream header: the first one, or that of a stream restart.
    Header { attributes: Vec<(String, String)>, bytes: Vec<u8> },
    /// A complete stanza or other top-level element, with its first [`MAX_KEPT_CHILDREN`] children.
    Stanza { name: String, attributes: Vec<(String, String)>, children: Vec<Child>, bytes: Vec<u8> },
    /// White space between stanzas.
    Whitespace(Vec<u8>),
    /// The end of the stream.
    End(Vec<u8>),
}

/// A child element of a stanza: its name, and its namespace if it has an `xmlns` attribute.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Child {
    pub(super) name: String,
    pub(super) namespace: Option<String>,
}

/// Invalid input, named after the stream error of RFC 6120 that answers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum XmlError {
    NotWellFormed,
    RestrictedXml,
    PolicyViolation,
    BadFormat,
}

impl XmlError {
    /// The RFC 6120 name of the stream error.
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

/// Parses one direction of a stream. Buffers at most one incomplete item.
pub(super) struct StreamParser {
    buffer: Vec<u8>,
    /// Length of the part of the buffer that is tokenized already.
    tokenized: usize,
    /// Names of the open elements; the first is the stream.
    open_elements: Vec<String>,
    /// The stanza whose end has not been parsed yet.
    stanza: Option<Stanza>,
    max_item_bytes: usize,
}

#[derive(Debug)]
enum Token {
    Declaration,
    Start { name: String, attributes: Vec<(String, String)>, empty: bool },
    TooManyAttributes,
    End(String),
    Text { blank: bool },
    Restricted,
}

impl StreamParser {
    /// Creates a parser that fails with [`XmlError::PolicyViolation`] on items of more than `max_item_bytes`.
    pub(super) fn new(max_item_bytes: usize) -> Self {
        StreamParser {
            buffer: Vec::new(),
            tokenized: 0,
            open_elements: Vec::new(),
            stanza: None,
            max_item_bytes,
        }
    }

    pub(super) fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next item; `None` if it is incomplete.
    pub(super) fn next(&mut self) -> Result<Option<StreamItem>, XmlError> {
        loop {
            let rest = &self.buffer[self.tokenized..];
            if rest.is_empty() {
                return self.check_size().map(|()| None);
            }
            let mut input = Partial::new(rest);
            let token = match token.parse_next(&mut input) {
                Ok(token) => token,
                Err(ErrMode::Incomplete(_)) if rest.len() > MAX_TAG_BYTES => {
                    return Err(XmlError::PolicyViolation);
                }
                Err(ErrMode::Incomplete(_)) => return self.check_size().map(|()| None),
                Err(_) => return Err(XmlError::NotWellFormed),
            };
            self.tokenized = self.buffer.len() - input.len();
            self.check_size()?;
            if let Some(item) = self.handle_token(token)? {
                return Ok(Some(item));
            }
        }
    }

    fn check_size(&self) -> Result<(), XmlError> {
        if self.tokenized > self.max_item_bytes {
            return Err(XmlError::PolicyViolation);
        }
        Ok(())
    }

    fn take_item_bytes(&mut self) -> Vec<u8> {
        let item_bytes = std::mem::take(&mut self.tokenized);
        if item_bytes == self.buffer.len() {
            // Leaves no buffer behind, as a stream is idle most of the time.
            return std::mem::take(&mut self.buffer);
        }
        self.buffer.drain(..item_bytes).collect()
    }

    /// Bytes of memory held for items that are incomplete or not taken yet.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    fn handle_token(&mut self, token: Token) -> Result<Option<StreamItem>, XmlError> {
        match token {
            Token::Restricted => Err(XmlError::RestrictedXml),
            Token::TooManyAttributes => Err(XmlError::PolicyViolation),
            // Its bytes become part of the header that follows.
            Token::Declaration if self.stanza.is_none() => Ok(None),
            Token::Declaration => Err(XmlError::NotWellFormed),
            Token::Text { blank } if self.stanza.is_none() => {
                if !blank {
                    return Err(XmlError::BadFormat);
                }
                // White space before the first header becomes part of the header: as an item of its own it
                // would conceal that the stream has not started.
                Ok(if self.open_elements.is_empty() {
                    None
                } else {
                    Some(StreamItem::Whitespace(self.take_item_bytes()))
                })
            }
            Token::Text { .. } => Ok(None),
            Token::Start { name, attributes, empty } => self.start_element(name, attributes, empty),
            Token::End(name) => {
                if self.open_elements.pop().as_deref() != Some(&name) {
                    return Err(XmlError::NotWellFormed);
                }
                Ok(match self.open_elements.len() {
                    0 => Some(StreamItem::End(self.take_item_bytes())),
                    1 => self.end_stanza(),
                    _ => None,
                })
            }
        }
    }

    /// Handles a start tag, or an empty-element tag if `empty`.
    fn start_element(
        &mut self,
        name: String,
        attributes: Vec<(String, String)>,
        empty: bool,
    ) -> Result<Option<StreamItem>, XmlError> {
        for (i, (name, _)) in attributes.iter().enumerate() {
            if attributes[..i].iter().any(|(earlier, _)| earlier == name) {
                return Err(XmlError::NotWellFormed);
            }
        }
        let header = name == "stream:stream";
        match self.open_elements.len() {
            // A header inside an open stream, at its top level, restarts the stream.
            0 | 1 if header && !empty => {
                self.open_elements = vec![name];
                return Ok(Some(StreamItem::Header { attributes, bytes: self.take_item_bytes() }));
            }
            0 => return Err(XmlError::BadFormat),
            1 => self.stanza = Some(Stanza { name: name.clone(), attributes, children: Vec::new() }),
            2 => {
                let namespace =
                    attributes.into_iter().find(|(name, _)| name == "xmlns").map(|(_, value)| value);
                if let Some(stanza) = &mut self.stanza
                    && stanza.children.len() < MAX_KEPT_CHILDREN
                {
                    stanza.children.push(Child { name: name.clone(), namespace });
                }
            }
            MAX_DEPTH.. => return Err(XmlError::PolicyViolation),
            _ => {}
        }
        if !empty {
            self.open_elements.push(name);
            return Ok(None);
        }
        Ok(if self.open_elements.len() == 1 { self.end_stanza() } else { None })
    }

    fn end_stanza(&mut self) -> Option<StreamItem> {
        let Stanza { name, attributes, children } = self.stanza.take()?;
        Some(StreamItem::Stanza { name, attributes, children, bytes: self.take_item_bytes() })
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

fn is_space(byte: u8) -> bool {
    matches!(byte, b' ' | b'\t' | b'\r' | b'\n')
}

fn not_well_formed<T>() -> Parsed<T> {
    Err(ErrMode::Cut(ContextError::new()))
}

/// Parses text up to the next tag, or to the end of what has been received. A character or an entity
/// reference that is incomplete at the end of the input is left for the next call.
fn text(input: &mut Input<'_>) -> Parsed<Token> {
    let bytes: &[u8] = input;
    let length = bytes.iter().position(|b| *b == b'<').unwrap_or(bytes.len());
    let (available, reaches_tag) = (&bytes[..length], length < bytes.len());
    let mut end = length;
    if let Some(reference) = available.iter().rposition(|b| *b == b'&')
        && !available[reference..].contains(&b';')
    {
        if reaches_tag || length - reference > 12 {
            return not_well_formed();
        }
        end = reference;
    }
    if let Err(error) = std::str::from_utf8(&available[..end]) {
        if error.error_len().is_some() || reaches_tag {
            return not_well_formed();
        }
        end = error.valid_up_to();
    }
    let Ok(valid) = std::str::from_utf8(&available[..end]) else { return not_well_formed() };
    if valid.is_empty() {
        return Err(ErrMode::Incomplete(winnow::error::Needed::Unknown));
    }
    if !references_allowed(valid) {
        return Ok(Token::Restricted);
    }
    let blank = valid.bytes().all(is_space);
    winnow::token::take(end).parse_next(input)?;
    Ok(Token::Text { blank })
}

/// Whether the text refers only to predefined entities and to characters, as XMPP requires.
fn references_allowed(text: &str) -> bool {
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
        _ => not_well_formed(),
    }
}

fn end(input: &mut Input<'_>) -> Parsed<Token> {
    delimited("</", name, (take_while(0.., is_space), '>')).map(Token::End).parse_next(input)
}

fn attribute(input: &mut Input<'_>) -> Parsed<(String, String)> {
    let equals = (take_while(0.., is_space), '=', take_while(0.., is_space));
    let quoted = alt((
        delimited('"', take_while(0.., |b: u8| b != b'"' && b != b'<'), '"'),
        delimited('\'', take_while(0.., |b: u8| b != b'\'' && b != b'<'), '\''),
    ));
    let (name, value): (String, &[u8]) =
        preceded(take_while(1.., is_space), (terminated(name, equals), quoted)).parse_next(input)?;
    match std::str::from_utf8(value) {
        Ok(value) if references_allowed(value) => Ok((name, unescape(value))),
        _ => not_well_formed(),
    }
}

fn unescape(value: &str) -> String {
    let plain =
        value.replace("&lt;", "<").replace("&gt;", ">").replace("&quot;", "\"").replace("&apos;", "'");
    plain.replace("&amp;", "&")
}

fn start(input: &mut Input<'_>) -> Parsed<Token> {
    let (name, attributes): (String, Vec<_>) =
        preceded('<', (name, repeat(0..=MAX_ATTRIBUTES, attribute))).parse_next(input)?;
    if attributes.len() == MAX_ATTRIBUTES && opt(attribute).parse_next(input)?.is_some() {
        return Ok(Token::TooManyAttributes);
    }
    let (_, empty, _): (&[u8], Option<_>, _) =
        (take_while(0.., is_space), opt('/'), '>').parse_next(input)?;
    Ok(Token::Start { name, attributes, empty: empty.is_some() })
}

/// Escapes text for use in XML content and attribute values.
pub(super) fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('\'', "&apos;").replace('"', "&quot;")
}

#[cfg(test)]
mod tests;
