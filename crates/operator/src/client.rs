//! A typed client of the API. Each request uses its own connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, HOST};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::{Report, ResourceView, Resources};

/// Limit for establishing a connection; clients and nodes are on the same network.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Limit for an answer. For a watch, the requested wait is added.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The connection could not be established.
    #[error("{0} cannot be reached ({1}): check the address of the node's `operator.listen`")]
    Connect(SocketAddr, std::io::Error),
    /// The node did not answer within the limit.
    #[error("{0} did not answer within {1:?}: try another node")]
    Timeout(SocketAddr, Duration),
    /// The connection broke before the answer was complete.
    #[error("the connection to {0} broke ({1}): try again")]
    Broken(SocketAddr, hyper::Error),
    /// The node refused the request.
    #[error("{message} ({status})")]
    Refused {
        /// Status of the answer.
        status: StatusCode,
        /// The node's error message.
        message: String,
    },
    /// The answer cannot be parsed, probably because the node runs another version.
    #[error("the answer cannot be parsed ({0}): use the same program version as the node")]
    Syntax(#[from] serde_json::Error),
}

/// A client of one node.
#[derive(Clone, Debug)]
pub struct Client {
    /// Address of the node's API.
    pub addr: SocketAddr,
    /// The node's token, if it requires one.
    pub token: Option<String>,
}

/// Body of an error answer.
#[derive(Debug, Default, Deserialize)]
struct ErrorBody {
    #[serde(default)]
    message: String,
}

impl Client {
    /// Returns the resources in force, either all or those of one kind.
    pub async fn resources(&self, kind: Option<&str>) -> Result<Resources, ClientError> {
        let query = kind.map_or(String::new(), |it| format!("?kind={it}"));
        self.get(&format!("/v1/resources{query}"), ANSWER_TIMEOUT).await
    }

    /// Returns one resource in force.
    pub async fn resource(&self, kind: &str, name: &str) -> Result<ResourceView, ClientError> {
        self.get(&format!("/v1/resources/{kind}/{name}"), ANSWER_TIMEOUT).await
    }

    /// Waits until a version above `after` is in force or `wait` has passed, and returns the resources then in force.
    pub async fn watch(&self, after: u64, wait: Duration) -> Result<Resources, ClientError> {
        let path = format!("/v1/watch?after={after}&wait_ms={}", wait.as_millis());
        self.get(&path, wait + ANSWER_TIMEOUT).await
    }

    /// Returns the node's report about the fleet.
    pub async fn fleet(&self) -> Result<Report, ClientError> {
        self.get("/v1/fleet", ANSWER_TIMEOUT).await
    }

    async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        limit: Duration,
    ) -> Result<T, ClientError> {
        let answer = timeout(limit, self.exchange(path)).await;
        let (status, body) = answer.map_err(|_| ClientError::Timeout(self.addr, limit))??;
        if status.is_success() {
            return Ok(serde_json::from_slice(&body)?);
        }
        // An answer that did not come from the API has no message.
        let error: ErrorBody = serde_json::from_slice(&body).unwrap_or_default();
        Err(ClientError::Refused { status, message: error.message })
    }

    async fn exchange(&self, path: &str) -> Result<(StatusCode, Bytes), ClientError> {
        let broken = |it| ClientError::Broken(self.addr, it);
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr)).await;
        let stream = stream.map_err(|_| ClientError::Timeout(self.addr, CONNECT_TIMEOUT))?;
        let stream = stream.map_err(|it| ClientError::Connect(self.addr, it))?;
        let (mut tx, conn) = http1::handshake(TokioIo::new(stream)).await.map_err(broken)?;
        // Connection errors are also reported by the request below.
        tokio::spawn(conn);
        let mut req = Request::get(path).header(HOST, self.addr.to_string());
        if let Some(token) = &self.token {
            req = req.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        let req = req.body(Empty::<Bytes>::new()).map_err(|it| ClientError::Refused {
            status: StatusCode::BAD_REQUEST,
            message: format!("{it}: write names without spaces"),
        })?;
        let res = tx.send_request(req).await.map_err(broken)?;
        let status = res.status();
        let body = res.into_body().collect().await.map_err(broken)?.to_bytes();
        Ok((status, body))
    }
}
