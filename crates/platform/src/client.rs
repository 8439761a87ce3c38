//! HTTP client of the platform; one connection a call, because calls are seconds apart.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use resources::{Digest, Manifest};
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::{Error, Platform, Vm};

/// Reader of the platform over HTTP/1.1.
#[derive(Clone, Debug)]
pub struct Client {
    addr: SocketAddr,
    timeout: Duration,
}

impl Client {
    /// A reader of the platform at `addr` that waits for `timeout` at most.
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self { addr, timeout }
    }

    async fn json<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let buf = get(self.addr, path, self.timeout).await?;
        Ok(serde_json::from_slice(&buf)?)
    }
}

impl Platform for Client {
    async fn manifest(&self) -> Result<Manifest, Error> {
        self.json("/v1/manifest").await
    }

    async fn part(&self, digest: Digest) -> Result<Vec<u8>, Error> {
        let buf = get(self.addr, &format!("/v1/parts/{digest}"), self.timeout).await?;
        if Digest::of(&buf) != digest {
            return Err(Error::Damaged(digest));
        }
        Ok(buf.into())
    }

    async fn vms(&self) -> Result<Vec<Vm>, Error> {
        self.json("/v1/vms").await
    }
}

/// One GET request within `limit`; the body of a successful answer.
pub async fn get(addr: SocketAddr, path: &str, limit: Duration) -> Result<Bytes, Error> {
    timeout(limit, fetch(addr, path)).await.map_err(|_| Error::Timeout(limit))?
}

async fn fetch(addr: SocketAddr, path: &str) -> Result<Bytes, Error> {
    let stream = TcpStream::connect(addr).await?;
    let (mut tx, conn) = http1::handshake(TokioIo::new(stream)).await?;
    let req = Request::get(path)
        .header("host", addr.to_string())
        .body(Empty::<Bytes>::new())
        .expect("paths are built from digests and constants");
    let exchange = async {
        let res = tx.send_request(req).await?;
        let status = res.status();
        let body = res.into_body().collect().await?.to_bytes();
        if !status.is_success() {
            return Err(Error::Status(status.as_u16()));
        }
        Ok(body)
    };
    tokio::pin!(conn);
    tokio::pin!(exchange);
    tokio::select! {
        out = &mut exchange => out,
        end = &mut conn => match end {
            Ok(()) => exchange.await,
            Err(error) => Err(Error::Http(error)),
        },
    }
}
