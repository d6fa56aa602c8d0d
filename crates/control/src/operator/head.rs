//! The head of a request, and what is refused at once.

use std::fmt::Write as _;

use model::raw::RawTicket;

/// A checked head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Bytes that the head took of the stream.
    pub length: usize,
    /// Bytes of the body.
    pub body_length: usize,
    /// Whether the client waits for leave to send the body.
    pub expects_continue: bool,
    /// The head as passed on: one request, closed after its answer.
    pub text: String,
}

/// Why a request is refused before it reaches a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeadRefusal {
    /// Status and its reason phrase.
    pub status: &'static str,
    /// What to do about it.
    pub reason: &'static str,
}

impl RequestHead {
    /// Greatest size of a head, in bytes.
    pub const MAX_BYTES: usize = 16 << 10;

    /// Most header lines.
    pub const MAX_LINES: usize = 64;

    /// Reads a head from the start of a stream; nothing where it isn't whole yet.
    ///
    /// # Errors
    ///
    /// Gives the refusal where the head is malformed, ambiguous or too large.
    pub fn read(bytes: &[u8]) -> Result<Option<Self>, HeadRefusal> {
        let mut lines = [httparse::EMPTY_HEADER; Self::MAX_LINES];
        let mut request = httparse::Request::new(&mut lines);
        match request.parse(bytes) {
            Ok(httparse::Status::Complete(length)) if length <= Self::MAX_BYTES => {
                Self::check(&request, length).map(Some)
            }
            Ok(httparse::Status::Partial) if bytes.len() < Self::MAX_BYTES => Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(HeadRefusal {
                status: "431 Request Header Fields Too Large",
                reason: "send a head of at most 16384 bytes and 64 lines",
            }),
            Err(_) => Err(malformed("send a well-formed HTTP/1.1 request")),
        }
    }

    fn check(request: &httparse::Request<'_, '_>, length: usize) -> Result<Self, HeadRefusal> {
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
            head.add(&name, value)?;
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

    fn add(&mut self, name: &str, value: &str) -> Result<(), HeadRefusal> {
        match name {
            "transfer-encoding" => {
                return Err(HeadRefusal {
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

fn body_length(value: &str) -> Result<usize, HeadRefusal> {
    let digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
    if !digits {
        return Err(malformed("send a content-length of digits"));
    }
    match value.parse() {
        Ok(length) if length <= RawTicket::MAX_BYTES => Ok(length),
        _ => Err(HeadRefusal {
            status: "413 Content Too Large",
            reason: "send a body of at most 4194304 bytes",
        }),
    }
}

fn malformed(reason: &'static str) -> HeadRefusal {
    HeadRefusal {
        status: "400 Bad Request",
        reason,
    }
}
