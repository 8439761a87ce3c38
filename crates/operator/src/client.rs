//! A typed client of the API: one request on a connection of its own.

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

/// Time for a connection to come up: nodes are on the same network.
const CONNECT: Duration = Duration::from_secs(3);
/// Time for an answer, a watch aside.
const ANSWER: Duration = Duration::from_secs(10);

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// No connection.
    #[error("{0} cannot be reached ({1}): check the address of the node's `operator.listen`")]
    Connect(SocketAddr, std::io::Error),
    /// No answer in time.
    #[error("{0} did not answer within {1:?}: ask another node")]
    Timeout(SocketAddr, Duration),
    /// The connection broke.
    #[error("{0} broke off ({1}): ask again")]
    Broken(SocketAddr, hyper::Error),
    /// The node refuses.
    #[error("{message} ({status})")]
    Refused {
        /// Its status.
        status: StatusCode,
        /// What it says.
        message: String,
    },
    /// The answer is of another version.
    #[error("the answer cannot be read ({0}): use the program of the node's version")]
    Syntax(#[from] serde_json::Error),
}

/// A client of one node.
#[derive(Clone, Debug)]
pub struct Client {
    /// Address of the node's API.
    pub addr: SocketAddr,
    /// Text of its token, if it has one.
    pub token: Option<String>,
}

/// What the API says of an error.
#[derive(Debug, Default, Deserialize)]
struct ErrorBody {
    #[serde(default)]
    message: String,
}

impl Client {
    /// Documents in force, all or of one kind.
    pub async fn resources(&self, kind: Option<&str>) -> Result<Resources, ClientError> {
        let query = kind.map_or(String::new(), |it| format!("?kind={it}"));
        self.get(&format!("/v1/resources{query}"), ANSWER).await
    }

    /// One document in force.
    pub async fn resource(&self, kind: &str, name: &str) -> Result<ResourceView, ClientError> {
        self.get(&format!("/v1/resources/{kind}/{name}"), ANSWER).await
    }

    /// Waits until a version above `after` is in force, or `wait` has passed.
    pub async fn watch(&self, after: u64, wait: Duration) -> Result<Resources, ClientError> {
        let path = format!("/v1/watch?after={after}&wait_ms={}", wait.as_millis());
        self.get(&path, wait + ANSWER).await
    }

    /// The fleet as the node sees it.
    pub async fn fleet(&self) -> Result<Report, ClientError> {
        self.get("/v1/fleet", ANSWER).await
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
        // An answer that is none of the API's own has no message.
        let error: ErrorBody = serde_json::from_slice(&body).unwrap_or_default();
        Err(ClientError::Refused { status, message: error.message })
    }

    async fn exchange(&self, path: &str) -> Result<(StatusCode, Bytes), ClientError> {
        let broken = |it| ClientError::Broken(self.addr, it);
        let stream = timeout(CONNECT, TcpStream::connect(self.addr)).await;
        let stream = stream.map_err(|_| ClientError::Timeout(self.addr, CONNECT))?;
        let stream = stream.map_err(|it| ClientError::Connect(self.addr, it))?;
        let (mut tx, conn) = http1::handshake(TokioIo::new(stream)).await.map_err(broken)?;
        // How the connection ends shows in the answer.
        tokio::spawn(conn);
        let mut req = Request::get(path).header(HOST, self.addr.to_string());
        if let Some(token) = &self.token {
            req = req.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        let req = req.body(Empty::<Bytes>::new()).map_err(|it| ClientError::Refused {
            status: StatusCode::BAD_REQUEST,
            message: format!("{it}: write names without blanks"),
        })?;
        let res = tx.send_request(req).await.map_err(broken)?;
        let status = res.status();
        let body = res.into_body().collect().await.map_err(broken)?.to_bytes();
        Ok((status, body))
    }
}
