//! A pool of HTTP/1.1 connections per endpoint. HTTP/1.1 is enough here: an endpoint has few slots,
//! and one request per connection lets a cancellation close exactly that request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use rustc_hash::FxHashMap;
use tokio::net::TcpStream;

use crate::AnswerBody;

/// Idle connections kept per endpoint.
const MAX_IDLE: usize = 32;
/// Idle connections older than this are closed, before a usual upstream would close them: a request
/// that meets a closing connection ends as unknown.
const IDLE_LIFETIME: Duration = Duration::from_secs(4);

/// How far a request got that has no answer.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// No connection; nothing was written.
    #[error("no connection to the upstream ({0})")]
    Connect(std::io::Error),
    /// The connection closed before anything was written.
    #[error("the connection closed before the request was written")]
    NotWritten,
    /// Something was written; the request may have run.
    #[error("the connection broke after the request was written ({0})")]
    Broken(hyper::Error),
}

impl Failure {
    /// Whether the upstream provably has not run the request.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::NotWritten)
    }
}

/// A failed send, with the request if nothing of it was written.
#[derive(Debug)]
pub struct SendError<B> {
    /// How far the request got.
    pub failure: Failure,
    /// The request, to be sent elsewhere.
    pub req: Option<Request<B>>,
}

/// Connections to all endpoints, shared by the traffic threads.
pub struct Pool<B> {
    inner: Arc<Inner<B>>,
}

pub(crate) struct Inner<B> {
    idle: Mutex<FxHashMap<SocketAddr, Vec<Idle<B>>>>,
    connect_timeout: Duration,
}

struct Idle<B> {
    tx: SendRequest<B>,
    since: Instant,
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
    /// An empty pool that waits for a new connection for `connect_timeout` at most.
    pub fn new(connect_timeout: Duration) -> Self {
        let idle = Mutex::new(FxHashMap::default());
        Self { inner: Arc::new(Inner { idle, connect_timeout }) }
    }

    /// Sends one request and waits for the head of its answer. Dropping the future closes the
    /// connection, which tells the upstream to cancel.
    pub async fn send(
        &self,
        addr: SocketAddr,
        mut req: Request<B>,
    ) -> Result<Response<AnswerBody<B>>, SendError<B>> {
        while let Some(tx) = self.inner.take(addr) {
            match self.exchange(addr, tx, req).await {
                // An idle connection that the upstream has closed meanwhile proves nothing about
                // the endpoint, and nothing was written to it.
                Err(SendError { failure: Failure::NotWritten, req: Some(back) }) => req = back,
                done => return done,
            }
        }
        match self.connect(addr).await {
            Ok(tx) => self.exchange(addr, tx, req).await,
            Err(error) => Err(SendError { failure: Failure::Connect(error), req: Some(req) }),
        }
    }

    /// Closes the idle connections to an endpoint that is leaving.
    pub fn forget(&self, addr: SocketAddr) {
        self.inner.idle.lock().remove(&addr);
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        mut tx: SendRequest<B>,
        req: Request<B>,
    ) -> Result<Response<AnswerBody<B>>, SendError<B>> {
        match tx.try_send_request(req).await {
            Ok(res) => Ok(self.answer(addr, tx, res)),
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

    fn answer(
        &self,
        addr: SocketAddr,
        tx: SendRequest<B>,
        res: Response<Incoming>,
    ) -> Response<AnswerBody<B>> {
        res.map(|body| AnswerBody::new(body, tx, addr, self.inner.clone()))
    }

    async fn connect(&self, addr: SocketAddr) -> std::io::Result<SendRequest<B>> {
        let connect = TcpStream::connect(addr);
        let stream = tokio::time::timeout(self.inner.connect_timeout, connect).await??;
        stream.set_nodelay(true)?;
        let (tx, conn) =
            http1::handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
        tokio::spawn(conn);
        Ok(tx)
    }
}

impl<B> Inner<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    fn take(&self, addr: SocketAddr) -> Option<SendRequest<B>> {
        let mut idle = self.idle.lock();
        let conns = idle.get_mut(&addr)?;
        while let Some(it) = conns.pop() {
            if it.tx.is_ready() && it.since.elapsed() < IDLE_LIFETIME {
                return Some(it.tx);
            }
        }
        None
    }

    /// Keeps a connection whose exchange has ended whole, once it is ready for the next one.
    pub(crate) async fn put(&self, addr: SocketAddr, mut tx: SendRequest<B>) {
        if tx.ready().await.is_err() {
            return;
        }
        let mut idle = self.idle.lock();
        let conns = idle.entry(addr).or_default();
        conns.retain(|it| it.since.elapsed() < IDLE_LIFETIME);
        if conns.len() < MAX_IDLE {
            conns.push(Idle { tx, since: Instant::now() });
        }
    }
}
