//! Parsing and validation of the head of an HTTP request.

use std::fmt::Write as _;

use model::raw::RawTicket;

/// A validated head of an HTTP/1.1 request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Length of the head in the stream, in bytes.
    pub length: usize,
    /// Length of the body, in bytes.
    pub body_length: usize,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// Head that is passed on to the HTTP library, with `connection: close` and without headers
    /// that apply to the connection.
    pub text: String,
}

/// Rejection of a request before it reaches a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestRejection {
    /// Status code and reason phrase.
    pub status: &'static str,
    /// Text for the client that says what to change.
    pub reason: &'static str,
}

impl RequestHead {
    /// Maximum size of a head, in bytes.
    pub const MAX_BYTES: usize = 16 << 10;

    /// Maximum number of header lines.
    pub const MAX_HEADERS: usize = 64;

    /// Parses the head at the start of a stream; `None` where it isn't complete yet.
    ///
    /// # Errors
    ///
    /// Fails where the head is malformed, ambiguous or too large.
    pub fn parse(bytes: &[u8]) -> Result<Option<Self>, RequestRejection> {
        let mut lines = [httparse::EMPTY_HEADER; Self::MAX_HEADERS];
        let mut request = httparse::Request::new(&mut lines);
        match request.parse(bytes) {
            Ok(httparse::Status::Complete(length)) if length <= Self::MAX_BYTES => {
                Self::check(&request, length).map(Some)
            }
            Ok(httparse::Status::Partial) if bytes.len() < Self::MAX_BYTES => Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(RequestRejection {
                status: "431 Request Header Fields Too Large",
                reason: "send a head of at most 16384 bytes and 64 lines",
            }),
            Err(_) => Err(malformed("send a well-formed HTTP/1.1 request")),
        }
    }

    /// Validates a parsed head of `length` bytes.
    fn check(request: &httparse::Request<'_, '_>, length: usize) -> Result<Self, RequestRejection> {
        let method = request.method.unwrap_or_default();
        let path = request.path.unwrap_or_default();
        let mut head = Self {
            length,
            body_length: 0,
            expects_continue: false,
            text: format!("{method} {path} HTTP/1.1\r\n"),
        };
        if request.version != Some(1) || !path.starts_with('/') {
            return Err(malformed("send an HTTP/1.1 request for a path"));
        }
        let mut seen = Vec::new();
        for line in request.headers.iter() {
            let name = line.name.to_ascii_lowercase();
            let value = std::str::from_utf8(line.value)
                .map_err(|_| malformed("send header values in ASCII"))?;
            head.add_header(&name, value)?;
            seen.push(name);
        }
        for single in ["host", "content-length", "authorization"] {
            if seen.iter().filter(|name| *name == single).count() > 1 {
                return Err(malformed(
                    "send host, content-length and authorization once",
                ));
            }
        }
        if !seen.iter().any(|name| name == "host") {
            return Err(malformed("send a host header"));
        }
        head.text.push_str("connection: close\r\n\r\n");
        Ok(head)
    }

    /// Evaluates one header and adds it to the head that is passed on.
    fn add_header(&mut self, name: &str, value: &str) -> Result<(), RequestRejection> {
        match name {
            "transfer-encoding" => {
                return Err(RequestRejection {
                    status: "411 Length Required",
                    reason: "send the body with a content-length",
                })
            }
            "expect" => {
                self.expects_continue = value.eq_ignore_ascii_case("100-continue");
                return Ok(());
            }
            "connection" | "upgrade" | "keep-alive" | "te" | "trailer" => return Ok(()),
            "content-length" => self.body_length = body_length(value)?,
            _ => {}
        }
        // Writing to a string can't fail.
        let _ = write!(self.text, "{name}: {value}\r\n");
        Ok(())
    }
}

/// Parses the value of `content-length`.
fn body_length(value: &str) -> Result<usize, RequestRejection> {
    let digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
    if !digits {
        return Err(malformed("send a content-length of digits"));
    }
    match value.parse() {
        Ok(length) if length <= RawTicket::MAX_BYTES => Ok(length),
        _ => Err(RequestRejection {
            status: "413 Content Too Large",
            reason: "send a body of at most 4194304 bytes",
        }),
    }
}

fn malformed(reason: &'static str) -> RequestRejection {
    RequestRejection {
        status: "400 Bad Request",
        reason,
    }
}
