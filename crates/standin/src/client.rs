//! A small HTTP/1.1 client for tests: one request, its status, headers and whole body.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// An answer that arrived whole.
#[derive(Clone, Debug)]
pub struct Got {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl Got {
    /// A header as text, empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or_default()
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends one request on a connection of its own.
pub async fn send(addr: SocketAddr, req: Request<Full<Bytes>>) -> anyhow::Result<Got> {
    let stream = TcpStream::connect(addr).await?;
    let (mut tx, conn) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let conn = tokio::spawn(conn);
    let res = tx.send_request(req).await?;
    let (parts, body) = res.into_parts();
    let body = body.collect().await?.to_bytes();
    conn.abort();
    Ok(Got { status: parts.status, headers: parts.headers, body })
}

/// A request without a body.
pub fn request(method: &str, path: &str) -> http::request::Builder {
    Request::builder().method(method).uri(path).header("host", "stand.in")
}

/// Sends a request with a body.
pub async fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: impl Into<Bytes>,
) -> anyhow::Result<Got> {
    send(addr, request(method, path).body(Full::new(body.into()))?).await
}

/// Sends a GET request with more headers.
pub async fn get_with(
    addr: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
) -> anyhow::Result<Got> {
    let mut req = request("GET", path);
    for (name, value) in headers {
        req = req.header(*name, HeaderValue::from_bytes(value.as_bytes())?);
    }
    send(addr, req.body(Full::default())?).await
}

/// Sends a GET request.
pub async fn get(addr: SocketAddr, path: &str) -> anyhow::Result<Got> {
    call(addr, "GET", path, "").await
}
