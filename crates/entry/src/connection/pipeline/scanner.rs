//! Finds request headers in the bytes of a connection.
//!
//! Stops for good at anything whose end another reader might see elsewhere, so that a request
//! inside a body is never taken for one of its own.

use bytes::BytesMut;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, header};

/// End of a request header.
const HEADER_END: &[u8] = b"\r\n\r\n";
/// Maximum number of fields in a request header; as many as the HTTP library accepts.
const MAX_FIELDS: usize = 100;

/// Position in the bytes of a connection.
#[derive(Debug)]
enum Position {
    /// In a header, of which these bytes were read.
    Header(BytesMut),
    /// In a body, of which this many bytes are left.
    Body(u64),
    /// Unknown from here on.
    Unknown,
}

/// Reader that follows the bytes of a connection.
#[derive(Debug)]
pub(super) struct Scanner {
    position: Position,
    max_header_bytes: usize,
}

/// Request whose header is complete.
#[derive(Debug)]
pub(super) struct Seen {
    pub(super) request: Request<()>,
    /// Whether the request has no body and nothing that concerns the connection.
    pub(super) plain: bool,
}

/// How a request continues after its header.
enum Rest {
    /// The next header follows at once.
    Nothing,
    /// A body of known length follows.
    Body(u64),
    /// The end cannot be told for certain.
    Unknown,
}

impl Scanner {
    pub(super) fn new(max_header_bytes: usize) -> Self {
        Self {
            position: Position::Header(BytesMut::new()),
            max_header_bytes,
        }
    }

    /// Finds no further headers.
    pub(super) fn stop(&mut self) {
        self.position = Position::Unknown;
    }

    /// Returns whether the body of the last request is known to be incomplete.
    pub(super) fn is_in_body(&self) -> bool {
        matches!(self.position, Position::Body(1..))
    }

    /// Returns the requests whose headers end within the next bytes.
    pub(super) fn scan(&mut self, mut bytes: &[u8]) -> Vec<Seen> {
        let mut found = Vec::new();
        while !bytes.is_empty() {
            match &mut self.position {
                Position::Unknown => break,
                Position::Body(left) => {
                    let length = usize::try_from(*left).unwrap_or(usize::MAX);
                    let length = length.min(bytes.len());
                    bytes = &bytes[length..];
                    *left -= length as u64;
                    if *left == 0 {
                        self.position = Position::Header(BytesMut::new());
                    }
                }
                Position::Header(header) => {
                    let before = header.len();
                    header.extend_from_slice(bytes);
                    let from = before.saturating_sub(HEADER_END.len() - 1);
                    let end = header[from..]
                        .windows(HEADER_END.len())
                        .position(|window| window == HEADER_END);
                    let Some(end) = end.map(|end| from + end + HEADER_END.len()) else {
                        if header.len() > self.max_header_bytes {
                            self.stop();
                        }
                        break;
                    };
                    bytes = &bytes[end - before..];
                    let Some((seen, rest)) = parse(&header[..end]) else {
                        self.stop();
                        break;
                    };
                    found.push(seen);
                    self.position = match rest {
                        Rest::Nothing => Position::Header(BytesMut::new()),
                        Rest::Body(length) => Position::Body(length),
                        Rest::Unknown => Position::Unknown,
                    };
                }
            }
        }
        found
    }
}

/// Parses a complete header; `None` if any part of it is unusual.
fn parse(bytes: &[u8]) -> Option<(Seen, Rest)> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Request::new(&mut fields);
    let status = parsed.parse(bytes).ok()?;
    // A bare line feed would end the header sooner.
    if status != httparse::Status::Complete(bytes.len()) || parsed.version != Some(1) {
        return None;
    }
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(field.value).ok()?);
    }
    let rest = rest(&headers);
    let mut request = Request::new(());
    *request.method_mut() = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    *request.uri_mut() = parsed.path?.parse::<Uri>().ok()?;
    *request.headers_mut() = headers;
    let is_read = *request.method() == Method::GET || *request.method() == Method::HEAD;
    let plain = is_read && matches!(rest, Rest::Nothing);
    Some((Seen { request, plain }, rest))
}

fn rest(headers: &HeaderMap) -> Rest {
    let concerns_connection = [
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::EXPECT,
        header::TRAILER,
    ];
    if concerns_connection
        .iter()
        .any(|name| headers.contains_key(name))
    {
        return Rest::Unknown;
    }
    let mut options = headers.get_all(header::CONNECTION).iter();
    if options.any(|value| !value.as_bytes().eq_ignore_ascii_case(b"keep-alive")) {
        return Rest::Unknown;
    }
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    match (lengths.next(), lengths.next()) {
        (None, _) => Rest::Nothing,
        (Some(length), None) => match parse_length(length.as_bytes()) {
            Some(0) => Rest::Nothing,
            Some(length) => Rest::Body(length),
            None => Rest::Unknown,
        },
        (Some(_), Some(_)) => Rest::Unknown,
    }
}

fn parse_length(text: &[u8]) -> Option<u64> {
    let is_number = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(text).ok().filter(|_| is_number)?;
    text.parse().ok()
}

#[cfg(test)]
mod tests;
