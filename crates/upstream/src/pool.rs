//! A pool of HTTP/1.1 connections per endpoint. HTTP/1.1 suffices because an endpoint has few
//! slots, and with one request per connection, closing the connection cancels exactly that request.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use clock::Moment;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body::Body;
use parking_lot::Mutex;
use rustc_hash::FxHashMap;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::{Sleep, sleep};

use crate::connection::{Connection, Rest};
use crate::{AnswerBody, Connector};

/// Maximum number of idle connections per endpoint.
const MAX_IDLE: usize = 32;
/// Maximum idle time of a connection. It is shorter than the idle timeout of typical upstreams,
/// because the outcome of a request is unknown if the upstream closes the connection at the same
/// moment.
const IDLE_LIFETIME: Duration = Duration::from_secs(7);

/// Idle connections are used for this fraction of the time that the endpoint announces in
/// `Keep-Alive`. Existing endpoints announce ten seconds, in whole seconds.
const KEEP_ALIVE_FRACTION: f64 = 0.7;

/// Time limit of the check whether an endpoint's process has ended. A host whose process has ended
/// refuses the connection within a round trip; a host that is cut off does not answer at all, and
/// the caller waits meanwhile.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a connection may be busy after its answer before the answer counts as whole. An endpoint may
/// answer before it has read all of a long request.
const MAX_BUSY_AFTER_ANSWER: Duration = Duration::from_millis(5);

/// Whether a send may use an idle connection.
///
/// A new connection proves that the endpoint is reachable before anything is written. A request
/// that must not be repeated is therefore not lost on a network path that has failed while the
/// connection was idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// The send may use an idle connection.
    Allowed,
    /// The send opens a new connection, which is closed after the answer.
    Never,
}

/// What an address does with a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// It accepts the connection.
    Accepts,
    /// It refuses the connection.
    Refuses,
    /// It does not answer.
    Silent,
}

/// Why a send got no answer.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// No connection could be opened; nothing was written.
    #[error("no connection to the upstream ({0})")]
    Connect(std::io::Error),
    /// The connection closed before anything was written.
    #[error("the connection closed before the request was written")]
    NotWritten,
    /// The connection broke after a part of the request may have been written; the request may have
    /// run.
    #[error("the connection broke after the request was written ({0})")]
    Broken(hyper::Error),
}

impl Failure {
    /// Whether the upstream certainly has not run the request.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::NotWritten)
    }
}

/// A failed send.
#[derive(Debug)]
pub struct SendError<B> {
    /// Why the send failed.
    pub failure: Failure,
    /// The request, if nothing of it was written, so that it can be sent elsewhere.
    pub req: Option<Request<B>>,
}

/// Connections to all endpoints, shared by the traffic threads.
pub struct Pool<B> {
    inner: Arc<Inner<B>>,
}

/// The state shared by all clones of a pool.
pub(crate) struct Inner<B> {
    idle: Mutex<FxHashMap<SocketAddr, Vec<Idle<B>>>>,
    connector: Connector,
}

/// An idle connection and the time until which it may be used.
struct Idle<B> {
    conn: Connection<B>,
    expires: Moment,
}

impl<B> Clone for Pool<B> {
    fn clone(&self) -> Self {
        Self { inner: self.inner.clone() }
    }
}

impl<B> Pool<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    /// An empty pool.
    pub fn new(connector: Connector) -> Self {
        let idle = Mutex::new(FxHashMap::default());
        Self { inner: Arc::new(Inner { idle, connector }) }
    }

    /// Opens the connections of this pool.
    pub fn connector(&self) -> &Connector {
        &self.inner.connector
    }

    /// Sends a request on a connection that leads to an endpoint by another way, and waits for the
    /// head of its answer. The connection is closed after the answer.
    pub async fn send_on<S>(
        &self,
        stream: S,
        addr: SocketAddr,
        req: Request<B>,
    ) -> Result<Response<AnswerBody<B>>, SendError<B>>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        match Connection::open(stream).await {
            Ok(conn) => self.exchange(addr, conn, req, Reuse::Never).await,
            Err(error) => Err(SendError { failure: Failure::Connect(error), req: Some(req) }),
        }
    }

    /// Sends a request and waits for the head of its answer. Dropping the future closes the
    /// connection, which tells the upstream to cancel the request.
    pub async fn send(
        &self,
        addr: SocketAddr,
        mut req: Request<B>,
        reuse: Reuse,
    ) -> Result<Response<AnswerBody<B>>, SendError<B>> {
        while let Some(conn) = self.inner.take(addr).filter(|_| reuse == Reuse::Allowed) {
            match self.exchange(addr, conn, req, reuse).await {
                // The upstream has closed the idle connection. Nothing was written, and a closed
                // idle connection is no sign of a failure.
                Err(SendError { failure: Failure::NotWritten, req: Some(unsent) }) => req = unsent,
                result => return result,
            }
        }
        match self.connect(addr).await {
            Ok(conn) => self.exchange(addr, conn, req, reuse).await,
            Err(error) => Err(SendError { failure: Failure::Connect(error), req: Some(req) }),
        }
    }

    /// Whether the process behind an address has ended, that is, its port refuses connections, as
    /// far as this VM can tell. Meant to be called right after a connection broke, because a reset
    /// alone may also come from a running process.
    pub async fn probe(&self, addr: SocketAddr) -> Probe {
        match self.inner.connector.connect_within(addr, PROBE_TIMEOUT).await {
            Ok(_) => Probe::Accepts,
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => Probe::Refuses,
            Err(_) => Probe::Silent,
        }
    }

    /// Sends a request on a given connection.
    async fn exchange(
        &self,
        addr: SocketAddr,
        mut conn: Connection<B>,
        req: Request<B>,
        reuse: Reuse,
    ) -> Result<Response<AnswerBody<B>>, SendError<B>> {
        let method = req.method().clone();
        match conn.tx.try_send_request(req).await {
            Ok(res) => {
                let conn = AnsweringConnection {
                    conn,
                    addr,
                    reuse,
                    max_idle: max_idle_time(res.headers()),
                    has_length: is_delimited_by_length(&method, &res),
                    busy_limit: None,
                    pool: self.inner.clone(),
                };
                Ok(res.map(|body| AnswerBody::new(body, conn)))
            }
            Err(mut error) => {
                let req = error.take_message();
                let failure = match req {
                    Some(_) => Failure::NotWritten,
                    None => Failure::Broken(error.into_error()),
                };
                Err(SendError { failure, req })
            }
        }
    }

    /// Opens a connection.
    async fn connect(&self, addr: SocketAddr) -> std::io::Result<Connection<B>> {
        Connection::open(self.inner.connector.connect(addr).await?).await
    }
}

impl<B> Inner<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    /// Takes an idle connection that can still be used.
    fn take(&self, addr: SocketAddr) -> Option<Connection<B>> {
        let mut idle = self.idle.lock();
        let conns = idle.get_mut(&addr)?;
        while let Some(it) = conns.pop() {
            if it.conn.tx.is_ready() && Moment::now() < it.expires {
                return Some(it.conn);
            }
        }
        None
    }

    /// Adds a connection that is ready for the next request.
    fn put(&self, addr: SocketAddr, conn: Connection<B>, max_idle: Duration) {
        let now = Moment::now();
        let mut idle = self.idle.lock();
        let conns = idle.entry(addr).or_default();
        conns.retain(|it| now < it.expires);
        if conns.len() < MAX_IDLE {
            conns.push(Idle { conn, expires: now + max_idle });
        }
    }
}

/// A connection whose answer is being read.
pub(crate) struct AnsweringConnection<B> {
    conn: Connection<B>,
    addr: SocketAddr,
    reuse: Reuse,
    max_idle: Duration,
    /// Whether a length in the head delimits the body.
    has_length: bool,
    /// Ends the wait for a connection that is busy after its answer.
    busy_limit: Option<Pin<Box<Sleep>>>,
    pool: Arc<Inner<B>>,
}

impl<B> AnsweringConnection<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    /// Returns whether bytes follow the body that may belong to it. Waits for that until the connection is idle, has
    /// ended, or was busy for too long.
    pub(crate) fn poll_has_excess(&mut self, cx: &mut Context<'_>) -> Poll<bool> {
        if !self.has_length {
            return Poll::Ready(false);
        }
        if let Poll::Ready(rest) = self.conn.poll_rest(cx) {
            return Poll::Ready(rest == Rest::Other);
        }
        let limit = self.busy_limit.get_or_insert_with(|| Box::pin(sleep(MAX_BUSY_AFTER_ANSWER)));
        limit.as_mut().poll(cx).map(|()| false)
    }

    /// Returns the connection to the pool if it may be used again.
    pub(crate) fn release(self) {
        // A connection that will not be used again is closed after its answer, because endpoints
        // accept few connections.
        if self.reuse == Reuse::Never {
            return;
        }
        let Self { mut conn, addr, max_idle, pool, .. } = self;
        if conn.tx.is_ready() {
            return pool.put(addr, conn, max_idle);
        }
        tokio::spawn(async move {
            if conn.tx.ready().await.is_ok() {
                pool.put(addr, conn, max_idle);
            }
        });
    }
}

/// Whether a length in the head delimits the body of an answer.
fn is_delimited_by_length<B>(method: &Method, res: &Response<B>) -> bool {
    let headers = res.headers();
    let has_no_body = *method == Method::HEAD
        || matches!(res.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    !has_no_body
        && headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING)
}

/// How long a connection may stay idle. Respects `Keep-Alive: timeout=…` in the answer.
fn max_idle_time(headers: &HeaderMap) -> Duration {
    let announced = headers.get("keep-alive").and_then(|it| it.to_str().ok());
    let seconds = announced.and_then(|it| {
        let parts = it.split(',').filter_map(|part| part.trim().strip_prefix("timeout="));
        parts.filter_map(|it| it.trim().parse().ok()).next()
    });
    seconds.map_or(IDLE_LIFETIME, |it| {
        Duration::from_secs(it).mul_f64(KEEP_ALIVE_FRACTION).min(IDLE_LIFETIME)
    })
}
