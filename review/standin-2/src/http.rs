//! HTTP/1.1 calls on plain sockets.

use std::io::{BufRead, BufReader, Error, ErrorKind, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Head and body of a message.
#[derive(Debug, Clone, Default)]
pub struct HttpMessage {
    /// First line, without its end.
    pub start_line: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl HttpMessage {
    /// Returns the value of a header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns the status of an answer; 0 for another message.
    pub fn status(&self) -> u16 {
        let status = self.start_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Reads a message whose body has a length; `None` at the end of the stream.
    pub fn read(reader: &mut impl BufRead) -> Result<Option<Self>> {
        let mut message = Self::default();
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        message.start_line = line.trim_end().to_string();
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Err(Error::from(ErrorKind::UnexpectedEof));
            }
            let Some((name, value)) = line.trim_end().split_once(':') else {
                break;
            };
            let name = name.to_ascii_lowercase();
            message.headers.push((name, value.trim().to_string()));
        }
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body.resize(length, 0);
        reader.read_exact(&mut message.body)?;
        Ok(Some(message))
    }
}

/// Returns the bytes of a call to a control replica.
pub fn rpc(target: SocketAddr, call: &str, subject: &str, body: &str) -> Vec<u8> {
    let of = match subject {
        "" => String::new(),
        subject => format!("&of={subject}"),
    };
    format!(
        "POST /wisteriaspread/rpc?call={call}{of} HTTP/1.1\r\nHost: {target}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Sends bytes on a new connection and reads one answer, within `limit` altogether.
pub fn exchange(target: SocketAddr, bytes: &[u8], limit: Duration) -> Result<HttpMessage> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&target, limit)?;
    stream.set_nodelay(true)?;
    stream.write_all(bytes)?;
    let left = until.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    let answer = HttpMessage::read(&mut BufReader::new(stream))?;
    answer.ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))
}
