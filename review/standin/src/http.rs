//! Just enough HTTP/1.1 for stand-in clients and endpoints.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Head of a request or answer.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// First line.
    pub start: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(known, _)| known == name)?;
        Some(&header.1)
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn length(&self) -> usize {
        let length = self.header("content-length");
        length.and_then(|length| length.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the stream before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            if head.start.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if line.is_empty() {
            if head.start.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.start.is_empty() {
            head.start = line.to_string();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers
                .push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
    }
}

/// Makes one call on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader).ok()??;
    let mut bytes = vec![0; head.length()];
    reader.read_exact(&mut bytes).ok()?;
    Some((head.status(), String::from_utf8_lossy(&bytes).into_owned()))
}
