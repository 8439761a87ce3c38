//! A client: one request on a connection of its own, within its time limit.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::Conn;

/// What a client asks for.
#[derive(Clone, Debug)]
pub struct Ask {
    pub method: &'static str,
    pub host: &'static str,
    pub path: String,
    pub id: String,
    pub body: Vec<u8>,
    pub time_limit: Duration,
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// A complete answer.
    Answer { status: u16, signature: Option<String>, length: usize },
    /// An answer that ended early.
    Truncated { status: u16 },
    /// The connection ended without an answer.
    Closed,
    /// The time limit came first, before or in the middle of an answer.
    TimeLimit { began: bool },
    /// No connection came up.
    NotConnected,
}

/// The end of a request, and when it came.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub end: End,
    pub elapsed: Duration,
}

/// Sends a request and waits for its end.
pub fn send(node: SocketAddr, ask: &Ask) -> Outcome {
    let since = Instant::now();
    let end = exchange(node, ask, since + ask.time_limit);
    Outcome { end, elapsed: since.elapsed() }
}

fn exchange(node: SocketAddr, ask: &Ask, deadline: Instant) -> End {
    let Ok(stream) = TcpStream::connect_timeout(&node, Duration::from_secs(1)) else {
        return End::NotConnected;
    };
    let mut conn = Conn::new(stream);
    let text = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {}\r\nX-Timeout-Ms: {}\r\nContent-Length: {}\r\n\r\n",
        ask.method,
        ask.path,
        ask.host,
        ask.id,
        ask.time_limit.as_millis(),
        ask.body.len()
    );
    if conn.write(&[text.as_bytes(), &ask.body].concat()).is_err() {
        return End::Closed;
    }
    let head = match conn.head(Some(deadline)) {
        Ok(Some(it)) => it,
        Err(it) if it.kind() == ErrorKind::TimedOut => return End::TimeLimit { began: false },
        Ok(None) | Err(_) => return End::Closed,
    };
    let status = head.status();
    match conn.body(&head, Some(deadline)) {
        Ok(it) => {
            let signature = head.get("x-response-signature").map(str::to_owned);
            End::Answer { status, signature, length: it.len() }
        }
        Err(it) if it.kind() == ErrorKind::TimedOut => End::TimeLimit { began: true },
        Err(_) => End::Truncated { status },
    }
}
