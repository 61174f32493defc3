//! Server-sent events.

use core::fmt;
use core::str::FromStr;

use bytes::Bytes;
use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;

use crate::problem::Problem;
use agatemill_core::Digest;
use agatemill_core::id;

/// Media type of event streams.
pub const MEDIA_TYPE: &str = "text/event-stream";

/// Event that ends a complete stream.
pub const DONE: &[u8] = b"data: [DONE]\n\n";

/// Id of an event: the request that started the stream, the digest of its body, and the index of the last token
/// sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventId {
    /// Request that started the stream.
    pub request: id::Request,
    /// The first eight bytes of the digest of the request body.
    pub body: u64,
    /// Index of the token, counted from 0.
    pub index: u32,
}

/// Error for a text that is not an event id.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("an event id is {{request}}:{{16 hexadecimal digits}}:{{index}}, found {found:?}")]
pub struct Error {
    /// The rejected text.
    pub found: CompactString,
}

impl EventId {
    /// Creates the event id of a token.
    #[must_use]
    pub fn new(request: id::Request, body: &Digest, index: u32) -> Self {
        Self {
            request,
            body: body.prefix(),
            index,
        }
    }
}

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{:016x}:{}", self.request, self.body, self.index)
    }
}

impl FromStr for EventId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let parse = || {
            let (request, rest) = text.split_once(':')?;
            let (body, index) = rest.split_once(':')?;
            let digits = body.len() == 16 && body.bytes().all(|byte| byte.is_ascii_hexdigit());
            let plain = index.bytes().all(|byte| byte.is_ascii_digit());
            (digits && plain).then_some(())?;
            Some(Self {
                request: request.parse().ok()?,
                body: u64::from_str_radix(body, 16).ok()?,
                index: index.parse().ok()?,
            })
        };
        parse().ok_or_else(|| Error {
            found: CompactString::new(text),
        })
    }
}

/// Encodes an event with JSON data, which contains no line breaks.
#[must_use]
pub fn event(id: Option<&EventId>, data: &[u8]) -> Bytes {
    let mut text = Vec::with_capacity(data.len() + 96);
    if let Some(id) = id {
        text.extend_from_slice(format!("id: {id}\n").as_bytes());
    }
    text.extend_from_slice(b"data: ");
    text.extend_from_slice(data);
    text.extend_from_slice(b"\n\n");
    text.into()
}

/// Encodes the event that ends a stream that failed after its first token.
#[must_use]
pub fn error_event(problem: &Problem) -> Bytes {
    let mut text = b"event: error\ndata: ".to_vec();
    text.extend_from_slice(&problem.to_json());
    text.extend_from_slice(b"\n\n");
    text.into()
}
