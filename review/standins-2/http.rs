//! A minimal HTTP/1.1 implementation for the stand-ins: heads, bodies with a length, chunked bodies.

use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Largest head that the stand-ins read.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The head of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The request line or status line.
    pub first_line: String,
    /// Names in lower case, with values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// The value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it == name).map(|(_, value)| value.as_str())
    }

    /// A word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }

    /// The status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    fn parse(text: &str) -> Self {
        let mut lines = text.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|it| it.split_once(':'));
        let headers = headers.map(|(name, it)| (name.to_ascii_lowercase(), it.trim().to_owned()));
        Self { first_line, headers: headers.collect() }
    }
}

/// A connection with the bytes that were read too far.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new() }
    }

    /// Reads more bytes; `false` at the end of the connection.
    fn fill(&mut self, deadline: Option<Instant>) -> io::Result<bool> {
        if let Some(it) = deadline {
            let left = it.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ErrorKind::TimedOut.into());
            }
            self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        }
        let mut part = [0; 16 * 1024];
        match self.stream.read(&mut part) {
            Ok(0) => Ok(false),
            Ok(n) => {
                self.buf.extend_from_slice(&part[..n]);
                Ok(true)
            }
            Err(it) if it.kind() == ErrorKind::WouldBlock => Err(ErrorKind::TimedOut.into()),
            Err(it) => Err(it),
        }
    }

    /// Reads a head; `None` if the connection ends before one begins.
    pub fn head(&mut self, deadline: Option<Instant>) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|it| it == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                return Ok(Some(Head::parse(&text)));
            }
            if self.buf.len() > MAX_HEAD_BYTES {
                return Err(ErrorKind::InvalidData.into());
            }
            if !self.fill(deadline)? {
                return match self.buf.is_empty() {
                    true => Ok(None),
                    false => Err(ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Takes exactly `n` bytes.
    fn take(&mut self, n: usize, deadline: Option<Instant>) -> io::Result<Vec<u8>> {
        while self.buf.len() < n {
            if !self.fill(deadline)? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..n).collect())
    }

    fn line(&mut self, deadline: Option<Instant>) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|it| it == b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill(deadline)? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body that belongs to a head. An error means that the body is incomplete.
    pub fn body(&mut self, head: &Head, deadline: Option<Instant>) -> io::Result<Vec<u8>> {
        let is_chunked =
            head.get("transfer-encoding").is_some_and(|it| it.eq_ignore_ascii_case("chunked"));
        if !is_chunked {
            let n = head.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
            return self.take(n, deadline);
        }
        let mut body = Vec::new();
        loop {
            let line = self.line(deadline)?;
            let size = line.split(';').next().unwrap_or("").trim();
            let n = usize::from_str_radix(size, 16).map_err(|_| ErrorKind::InvalidData)?;
            if n == 0 {
                while !self.line(deadline)?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.take(n, deadline)?);
            self.take(2, deadline)?;
        }
    }

    /// Writes bytes.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}
