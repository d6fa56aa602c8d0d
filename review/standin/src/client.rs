//! Stand-in clients.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{self, Head};

/// A client connection that stays open for many requests.
pub struct Connection {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

/// A complete answer.
pub struct Answer {
    pub head: Head,
    #[allow(dead_code)]
    pub body: Vec<u8>,
}

impl Answer {
    pub fn id(&self) -> &str {
        self.head
            .header("wisteriaspread-request-id")
            .unwrap_or_default()
    }

    pub fn has_seal(&self) -> bool {
        self.head.header("wisteriaspread-response-seal").is_some()
    }

    pub fn closes(&self) -> bool {
        self.head
            .header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    /// Sends a request; `deadline_ms` is the time that the client will wait.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        deadline_ms: u32,
        body: &str,
    ) -> io::Result<()> {
        let length = match method {
            "GET" => String::new(),
            _ => format!("Content-Length: {}\r\n", body.len()),
        };
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: jepu9.example\r\nWisteriaspread-Request-Id: {id}\r\n\
             Wisteriaspread-Affinity-Key: 17\r\nWisteriaspread-Deadline-Ms: {deadline_ms}\r\n{length}\r\n{body}"
        );
        self.stream.write_all(request.as_bytes())
    }

    /// Waits for the next complete answer; `None` where the connection ends without one.
    pub fn read(&mut self, limit: Duration) -> io::Result<Option<Answer>> {
        self.stream.set_read_timeout(Some(limit))?;
        let Some(head) = http::read_head(&mut self.reader)? else {
            return Ok(None);
        };
        let mut body = vec![0; head.length()];
        self.reader.read_exact(&mut body)?;
        Ok(Some(Answer { head, body }))
    }

    /// Sends bytes as they are.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Sends requests until one is served: the host then knows the configuration and the endpoints.
pub fn wait_served(address: SocketAddr, path: &str) -> bool {
    let until = Instant::now() + Duration::from_secs(15);
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        if let Ok(mut connection) = Connection::open(address) {
            let sent = connection.send("GET", path, &format!("warm-{number}"), 1_000, "");
            let answer = sent.and_then(|()| connection.read(Duration::from_secs(2)));
            if answer.is_ok_and(|answer| answer.is_some_and(|answer| answer.head.status() == 200)) {
                return true;
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
