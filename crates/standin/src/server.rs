//! A minimal HTTP/1.1 server for the stand-ins.

use std::convert::Infallible;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use percent_encoding::percent_decode_str;
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::JoinSet;

/// Body of an answer. An error closes the connection.
pub type Body = BoxBody<Bytes, std::io::Error>;

/// Result of a request handler. An error makes the server close the connection without an answer.
pub type Answer = Result<Response<Body>, std::io::Error>;

/// Handles requests on a listener with `f` forever. Dropping the future closes the listener and all connections.
pub async fn serve<F, Fut>(listener: TcpListener, f: F)
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Answer> + Send + 'static,
{
    let mut connections = JoinSet::new();
    // Rebound after `connections`, so that the listener is dropped first, as when a process exits: a peer whose
    // connection breaks must find the port closed.
    let listener = listener;
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        let f = f.clone();
        while connections.try_join_next().is_some() {}
        connections.spawn(async move {
            let service = service_fn(f);
            let conn = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            let _ = conn.await;
        });
    }
}

/// Number of attempts to bind an address.
const BIND_ATTEMPTS: u32 = 100;
/// Pause between attempts to bind an address.
const BIND_PAUSE: Duration = Duration::from_millis(10);

/// Binds an address that was found free, with retries. A child process that another thread spawns inherits the
/// sockets that the search for free addresses has open, and holds them until it executes its own program.
pub async fn bind(addr: SocketAddr) -> std::io::Result<TcpListener> {
    for _ in 0..BIND_ATTEMPTS {
        match TcpListener::bind(addr).await {
            Err(error) if error.kind() == ErrorKind::AddrInUse => {
                tokio::time::sleep(BIND_PAUSE).await;
            }
            bound => return bound,
        }
    }
    TcpListener::bind(addr).await
}

/// Reserves an address without listening on it: connections are refused, and no other socket can bind the address.
pub fn reserve(addr: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    Ok(socket)
}

/// Creates an answer with a body of known length.
pub fn answer(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut res = Response::new(full(body));
    *res.status_mut() = status;
    res
}

/// Creates a JSON answer.
pub fn json(value: &impl serde::Serialize) -> Response<Body> {
    answer(StatusCode::OK, serde_json::to_vec(value).expect("the value serializes to JSON"))
}

/// Creates a body of known length.
pub fn full(body: impl Into<Bytes>) -> Body {
    Full::new(body.into()).map_err(|never: Infallible| match never {}).boxed()
}

/// Returns a parsed parameter of the query string.
pub fn query<T: std::str::FromStr>(req: &Request<Incoming>, name: &str) -> Option<T> {
    let query = req.uri().query()?;
    let pairs = query.split('&').filter_map(|it| it.split_once('='));
    let text = |it: &str| percent_decode_str(it).decode_utf8().ok().map(|it| it.into_owned());
    let mut found = pairs.filter(|(key, _)| *key == name);
    found.find_map(|(_, value)| text(value)?.parse().ok())
}
