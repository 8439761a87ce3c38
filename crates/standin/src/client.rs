//! A minimal HTTP/1.1 client for tests.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinHandle;

/// A completely received answer.
#[derive(Clone, Debug)]
pub struct ReceivedAnswer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Body of the answer.
    pub body: Bytes,
}

impl ReceivedAnswer {
    /// Returns a header as text, or an empty string if it is absent or not text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or_default()
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request over a new connection and waits for the complete answer.
pub async fn send(addr: SocketAddr, req: Request<Full<Bytes>>) -> anyhow::Result<ReceivedAnswer> {
    KeptConnection::open(addr).await?.send(req).await
}

/// A connection for one request after another, as callers keep it.
pub struct KeptConnection {
    tx: Mutex<SendRequest<Full<Bytes>>>,
    conn: JoinHandle<hyper::Result<()>>,
}

impl KeptConnection {
    /// Opens a connection.
    pub async fn open(addr: SocketAddr) -> anyhow::Result<Self> {
        let stream = TcpStream::connect(addr).await?;
        let (tx, conn) = http1::handshake(TokioIo::new(stream)).await?;
        Ok(Self { tx: Mutex::new(tx), conn: tokio::spawn(conn) })
    }

    /// Sends a request and waits for the complete answer.
    pub async fn send(&self, req: Request<Full<Bytes>>) -> anyhow::Result<ReceivedAnswer> {
        let mut tx = self.tx.lock().await;
        tx.ready().await?;
        let (parts, body) = tx.send_request(req).await?.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok(ReceivedAnswer { status: parts.status, headers: parts.headers, body })
    }

    /// Sends a request with a body and a request id.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        body: impl Into<Bytes>,
        id: &str,
    ) -> anyhow::Result<ReceivedAnswer> {
        let req = request(method, path).header("x-request-id", id);
        self.send(req.body(Full::new(body.into()))?).await
    }
}

impl Drop for KeptConnection {
    fn drop(&mut self) {
        self.conn.abort();
    }
}

/// Sends bytes over a new connection and returns everything that is received until it closes.
pub async fn exchange_raw(addr: SocketAddr, sent: &str) -> anyhow::Result<String> {
    let mut stream = TcpStream::connect(addr).await?;
    stream.write_all(sent.as_bytes()).await?;
    let mut received = Vec::new();
    // A reset also ends the exchange.
    let _ = stream.read_to_end(&mut received).await;
    Ok(String::from_utf8_lossy(&received).into_owned())
}

/// Host name that routes of the stand-in platform match by default.
pub const HOST: &str = "stand.in";

/// Starts building a request to the host name that routes of the stand-in platform match by default.
pub fn request(method: &str, path: &str) -> http::request::Builder {
    Request::builder().method(method).uri(path).header("host", HOST)
}

/// Sends a request with a body.
pub async fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: impl Into<Bytes>,
) -> anyhow::Result<ReceivedAnswer> {
    send(addr, request(method, path).body(Full::new(body.into()))?).await
}

/// Sends a GET request with additional headers.
pub async fn get_with(
    addr: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
) -> anyhow::Result<ReceivedAnswer> {
    let mut req = request("GET", path);
    for (name, value) in headers {
        req = req.header(*name, HeaderValue::from_bytes(value.as_bytes())?);
    }
    send(addr, req.body(Full::default())?).await
}

/// Sends a GET request.
pub async fn get(addr: SocketAddr, path: &str) -> anyhow::Result<ReceivedAnswer> {
    call(addr, "GET", path, "").await
}
