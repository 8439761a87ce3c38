//! Reading and writing of HTTP/1.1 messages.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// Largest head that is read.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The first value of a header, given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it == name).map(|(_, value)| value.as_str())
    }

    /// The status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    /// Whether the sender closes the connection after this message.
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|it| it.eq_ignore_ascii_case("close"))
    }
}

/// Reads one message. `None` if the connection ends before its first byte; an error if it ends within the message.
pub fn read_message(from: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut it) = read_head(from)? else { return Ok(None) };
    let is_answer = it.start.starts_with("HTTP/");
    if it.header("transfer-encoding").is_some_and(|it| it.eq_ignore_ascii_case("chunked")) {
        it.body = read_chunks(from)?;
    } else if let Some(len) = it.header("content-length").and_then(|it| it.parse().ok()) {
        it.body = vec![0; len];
        from.read_exact(&mut it.body)?;
    } else if is_answer && !matches!(it.status(), 204 | 304) {
        from.read_to_end(&mut it.body)?;
    }
    Ok(Some(it))
}

fn read_head(from: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut it = Message::default();
    let mut total = 0;
    loop {
        let mut line = String::new();
        let read = from.read_line(&mut line)?;
        total += read;
        if read == 0 && total == 0 {
            return Ok(None);
        }
        if read == 0 || total > MAX_HEAD_BYTES {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        match (it.start.is_empty(), line.split_once(':')) {
            (true, _) => it.start = line.to_owned(),
            (false, Some((name, value))) => {
                it.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
            (false, None) if line.is_empty() => return Ok(Some(it)),
            (false, None) => return Err(io::ErrorKind::InvalidData.into()),
        }
    }
}

fn read_chunks(from: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let len = usize::from_str_radix(line.trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; len + 2];
        from.read_exact(&mut chunk)?;
        body.extend_from_slice(&chunk[..len]);
        if len == 0 {
            return Ok(body);
        }
    }
}
