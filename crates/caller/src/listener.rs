//! Accepts connections from callers over HTTP/1.1 and HTTP/2, and drains them at a planned stop.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use slog::{Logger, debug, warn};
use tokio::net::{TcpListener, TcpStream};
use upstream::{Connector, Pool};

use crate::body_memory::BodyMemory;
use crate::cx::Cx;
use crate::exchange::serve;
use crate::unreachable::UnreachableEndpoints;
use crate::{Dispatch, HeaderNames, Metrics, PlannedStop, SharedSnapshot};

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum length of a request body in bytes. The configuration may set a lower one.
    pub max_body_bytes: u64,
    /// Time limit for reading the part of a request body that is read before the first send.
    pub read_timeout: Duration,
    /// Maximum number of requests in flight. Further ones are refused at once.
    pub max_in_flight: usize,
    /// Memory budget in bytes for long request bodies that are kept for a repeat. Bodies that do
    /// not fit are streamed.
    pub held_body_bytes: usize,
    /// Memory budget in bytes for long answers that are buffered until they are complete. Answers that
    /// do not fit are streamed.
    pub held_answer_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 64 * 1024 * 1024,
            read_timeout: Duration::from_secs(10),
            max_in_flight: 4_096,
            held_body_bytes: 32 * 1024 * 1024,
            held_answer_bytes: 32 * 1024 * 1024,
        }
    }
}

/// Time limit for a new connection to an endpoint if no connector is set.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Delay after a failed accept, as when file descriptors run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Smallest connection buffer size that hyper accepts.
const MIN_BUF_BYTES: usize = 8 * 1024;
/// Maximum number of concurrent requests on an HTTP/2 connection.
const MAX_STREAMS: u32 = 256;

/// Builds a [`Listener`].
pub struct ListenerBuilder<D> {
    cx: Cx<D>,
}

impl<D: Dispatch> ListenerBuilder<D> {
    /// A listener that serves the configuration in `shared` with slots from `dispatch`.
    pub fn new(shared: SharedSnapshot, dispatch: D, names: HeaderNames, metrics: Metrics) -> Self {
        let limits = Limits::default();
        let cx = Cx {
            shared,
            dispatch,
            pool: Pool::new(Connector::new(DEFAULT_CONNECT_TIMEOUT)),
            unreachable: UnreachableEndpoints::default(),
            body_memory: BodyMemory::new(limits.held_body_bytes, metrics.held_body_bytes.clone()),
            answer_memory: BodyMemory::new(
                limits.held_answer_bytes,
                metrics.held_answer_bytes.clone(),
            ),
            names,
            limits,
            metrics,
            stop: PlannedStop::default(),
            log: Logger::root(slog::Discard, slog::o!()),
        };
        Self { cx }
    }

    /// Sets the logger. By default nothing is logged.
    pub fn log(mut self, log: Logger) -> Self {
        self.cx.log = log;
        self
    }

    /// Sets the planned stop. Once it has begun, answers ask callers to close the connection.
    pub fn planned_stop(mut self, stop: PlannedStop) -> Self {
        self.cx.stop = stop;
        self
    }

    /// Sets the limits.
    pub fn limits(mut self, limits: Limits) -> Self {
        self.cx.body_memory =
            BodyMemory::new(limits.held_body_bytes, self.cx.metrics.held_body_bytes.clone());
        self.cx.answer_memory =
            BodyMemory::new(limits.held_answer_bytes, self.cx.metrics.held_answer_bytes.clone());
        self.cx.limits = limits;
        self
    }

    /// Sets how connections to endpoints are opened.
    pub fn connector(mut self, connector: Connector) -> Self {
        self.cx.pool = Pool::new(connector);
        self
    }

    /// Binds the address.
    pub async fn bind(self, addr: SocketAddr) -> std::io::Result<Listener<D>> {
        Ok(Listener { tcp: TcpListener::bind(addr).await?, cx: Arc::new(self.cx) })
    }
}

/// A bound socket that accepts connections from callers.
pub struct Listener<D> {
    tcp: TcpListener,
    cx: Arc<Cx<D>>,
}

impl<D: Dispatch> Listener<D> {
    /// The local address.
    pub fn addr(&self) -> std::io::Result<SocketAddr> {
        self.tcp.local_addr()
    }

    /// Serves until the planned stop has lasted for its lag, then stops accepting connections and waits
    /// for the requests in flight.
    pub async fn serve(self) {
        let graceful = GracefulShutdown::new();
        let check_paths = tokio::spawn(self.cx.pool.connector().clone().check_paths());
        let stop = self.cx.stop.clone();
        let mut lag_is_over = pin!(stop.wait_until(stop.times().lag));
        loop {
            let accepted = tokio::select! {
                it = self.tcp.accept() => it,
                () = &mut lag_is_over => break,
            };
            match accepted {
                Ok((stream, _)) => self.spawn(stream, &graceful),
                Err(error) => {
                    warn!(self.cx.log, "accept failed: raise the limit of open files";
                        "error" => %error);
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
        drop(self.tcp);
        graceful.shutdown().await;
        check_paths.abort();
    }

    /// Spawns a task that serves one connection.
    fn spawn(&self, stream: TcpStream, graceful: &GracefulShutdown) {
        let _ = stream.set_nodelay(true);
        let cx = self.cx.clone();
        let service = service_fn(move |req| {
            let cx = cx.clone();
            async move { Ok::<_, Infallible>(serve(cx, req).await) }
        });
        let limits = self.cx.shared.load().config.limits.clone();
        let mut builder = auto::Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            // hyper applies this timeout also to the idle time between two requests.
            .header_read_timeout(limits.next_head())
            .max_buf_size(limits.head_bytes.max(MIN_BUF_BYTES));
        builder
            .http2()
            .timer(TokioTimer::new())
            .max_header_list_size(limits.head_bytes as u32)
            .max_concurrent_streams(MAX_STREAMS);
        let conn = builder.serve_connection(TokioIo::new(stream), service).into_owned();
        let conn = graceful.watch(conn);
        let log = self.cx.log.clone();
        tokio::spawn(async move {
            if let Err(error) = conn.await {
                debug!(log, "caller connection failed"; "error" => %error);
            }
        });
    }
}
