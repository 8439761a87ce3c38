//! A minimal HTTP/1.1 client for tests, which opens a connection for each request.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

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
    let stream = TcpStream::connect(addr).await?;
    let (mut tx, conn) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let conn = tokio::spawn(conn);
    let res = tx.send_request(req).await?;
    let (parts, body) = res.into_parts();
    let body = body.collect().await?.to_bytes();
    conn.abort();
    Ok(ReceivedAnswer { status: parts.status, headers: parts.headers, body })
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
