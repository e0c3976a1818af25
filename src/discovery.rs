//! The HTTP/1.1 client side of discovery: requests as text, and a response parser that takes bytes as they
//! arrive.

use winnow::Parser;
use winnow::ascii::{digit1, hex_digit1, line_ending, space0, till_line_ending};
use winnow::combinator::{alt, preceded, repeat, terminated};
use winnow::error::ContextError;
use winnow::stream::Partial;
use winnow::token::{take, take_till, take_while};

/// Longest response head that is accepted.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Longest response body that is accepted.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Returns the request for the whole list.
pub fn full_list_request(authority: &str) -> String {
    format!("GET /v1/endpoints HTTP/1.1\r\nHost: {authority}\r\nAccept: application/json\r\n\r\n")
}

/// Returns the request for changes after version `seq`; discovery waits up to `wait_ms` for one (long
/// polling).
pub fn changes_request(authority: &str, seq: u64, wait_ms: u64) -> String {
    format!(
        "GET /v1/endpoints?since={seq}&timeout_ms={wait_ms} HTTP/1.1\r\nHost: {authority}\r\nAccept: application/json\r\n\r\n"
    )
}

/// A complete response.
#[derive(Debug, PartialEq)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the connection can carry another call.
    pub reusable: bool,
}

/// A response that can't be used, with the reason.
#[derive(Debug, PartialEq)]
pub struct ReplyError(pub &'static str);

impl std::fmt::Display for ReplyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for ReplyError {}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Length {
    Fixed(usize),
    Chunked,
    ToEnd,
}

#[derive(Debug)]
struct Head {
    status: u16,
    length: Length,
    reusable: bool,
}

/// The response to one call, as far as it has been received.
#[derive(Debug, Default)]
pub struct Call {
    buffer: Vec<u8>,
    head: Option<Head>,
    body: Vec<u8>,
}

impl Call {
    /// Takes received bytes; returns the response once it is complete.
    ///
    /// # Errors
    /// If it is not HTTP/1.x, or if its head or body is too long.
    pub fn take(&mut self, bytes: &[u8]) -> Result<Option<Reply>, ReplyError> {
        self.buffer.extend_from_slice(bytes);
        if self.head.is_none() {
            let mut input = Partial::new(&self.buffer[..]);
            match head.parse_next(&mut input) {
                Ok(parsed) => {
                    let used = self.buffer.len() - input.len();
                    if used > MAX_HEAD_BYTES {
                        return Err(ReplyError("head too long"));
                    }
                    self.head = Some(parsed.ok_or(ReplyError("length of the body not understood"))?);
                    self.buffer.drain(..used);
                }
                Err(winnow::error::ErrMode::Incomplete(_)) if self.buffer.len() <= MAX_HEAD_BYTES => {
                    return Ok(None);
                }
                Err(winnow::error::ErrMode::Incomplete(_)) => return Err(ReplyError("head too long")),
                Err(_) => return Err(ReplyError("not HTTP/1.1")),
            }
        }
        let length = self.head.as_ref().map(|head| head.length);
        if self.buffer.len() + self.body.len() > MAX_BODY_BYTES {
            return Err(ReplyError("body too long"));
        }
        match length {
            Some(Length::Fixed(length)) if length > MAX_BODY_BYTES => Err(ReplyError("body too long")),
            Some(Length::Fixed(length)) if self.buffer.len() >= length => {
                self.body = self.buffer.drain(..length).collect();
                Ok(self.reply())
            }
            Some(Length::Chunked) => self.chunks(),
            _ => Ok(None),
        }
    }

    /// Returns the status code, once the head has been received.
    pub fn status(&self) -> Option<u16> {
        Some(self.head.as_ref()?.status)
    }

    /// Returns the length of the body in bytes, if the response states it.
    pub fn length(&self) -> Option<usize> {
        match self.head.as_ref()?.length {
            Length::Fixed(length) => Some(length),
            Length::Chunked | Length::ToEnd => None,
        }
    }

    /// Handles the end of the connection, which completes a response without a stated length.
    ///
    /// # Errors
    /// If the response is incomplete.
    pub fn end(&mut self) -> Result<Reply, ReplyError> {
        if self.head.as_ref().is_some_and(|head| head.length == Length::ToEnd) {
            self.body = std::mem::take(&mut self.buffer);
            return self.reply().ok_or(ReplyError("connection ended"));
        }
        Err(ReplyError("connection ended"))
    }

    fn chunks(&mut self) -> Result<Option<Reply>, ReplyError> {
        loop {
            let mut input = Partial::new(&self.buffer[..]);
            let (data, used) = match chunk.parse_next(&mut input) {
                Ok(data) => (data.to_vec(), self.buffer.len() - input.len()),
                Err(winnow::error::ErrMode::Incomplete(_)) => return Ok(None),
                Err(_) => return Err(ReplyError("bad chunk")),
            };
            self.buffer.drain(..used);
            if data.is_empty() {
                return Ok(self.reply());
            }
            self.body.extend_from_slice(&data);
        }
    }

    fn reply(&mut self) -> Option<Reply> {
        let head = self.head.take()?;
        let reusable = head.reusable && head.length != Length::ToEnd && self.buffer.is_empty();
        Some(Reply { status: head.status, body: std::mem::take(&mut self.body), reusable })
    }
}

type Input<'a> = Partial<&'a [u8]>;
type Error = winnow::error::ErrMode<ContextError>;

fn number(text: &[u8], radix: u32) -> Option<usize> {
    usize::from_str_radix(std::str::from_utf8(text).ok()?, radix).ok()
}

fn head(input: &mut Input<'_>) -> Result<Option<Head>, Error> {
    let version = alt((b"HTTP/1.1".value(true), b"HTTP/1.0".value(false)));
    let status = preceded(b' ', take_while(3, |b: u8| b.is_ascii_digit()));
    let (mut reusable, status, _, _) = (version, status, till_line_ending, line_ending).parse_next(input)?;
    let header = (
        terminated(take_till(1.., |b: u8| b == b':' || b == b'\r' || b == b'\n'), b':'),
        preceded(space0, till_line_ending),
        line_ending,
    );
    let headers: Vec<(&[u8], &[u8])> =
        repeat(0.., header.map(|(name, value, _)| (name, value))).parse_next(input)?;
    line_ending.parse_next(input)?;
    let mut length = Some(Length::ToEnd);
    for (name, value) in headers {
        let value = value.trim_ascii();
        if name.eq_ignore_ascii_case(b"content-length") {
            length = digits(value).map(Length::Fixed);
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            length = value.eq_ignore_ascii_case(b"chunked").then_some(Length::Chunked);
        } else if name.eq_ignore_ascii_case(b"connection") && value.eq_ignore_ascii_case(b"close") {
            reusable = false;
        }
    }
    let status = number(status, 10).unwrap_or(0) as u16;
    Ok(length.map(|length| Head { status, length, reusable }))
}

fn digits(value: &[u8]) -> Option<usize> {
    let digits: winnow::Result<&[u8], ContextError> = digit1.parse_next(&mut &*value);
    number(digits.ok().filter(|digits| digits.len() == value.len())?, 10)
}

/// Parses one chunk; an empty one is the last.
fn chunk<'a>(input: &mut Input<'a>) -> Result<&'a [u8], Error> {
    let size = terminated(hex_digit1, (till_line_ending, line_ending)).parse_next(input)?;
    let size = number(size, 16).filter(|size| *size <= MAX_BODY_BYTES);
    let size = size.ok_or_else(|| winnow::error::ErrMode::Cut(ContextError::new()))?;
    let data: &[u8] = take(size).parse_next(input)?;
    if size == 0 {
        // Trailers follow, then an empty line.
        let trailer =
            (take_till(1.., |b: u8| b == b'\r' || b == b'\n'), line_ending).map(|_: (&[u8], &[u8])| ());
        let () = repeat(0.., trailer).parse_next(input)?;
    }
    line_ending.parse_next(input)?;
    Ok(data)
}

#[cfg(test)]
mod tests;
