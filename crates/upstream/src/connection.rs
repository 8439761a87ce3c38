//! An HTTP/1.1 connection, and what follows an answer on it.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::oneshot;

/// What is read ahead on one connection, in bytes, and the longest head of an answer. An endpoint that
/// sends without end fills this much on each of its connections.
const MAX_READ_BYTES: usize = 64 * 1024;

/// An open connection.
pub(crate) struct Connection<B> {
    pub(crate) tx: SendRequest<B>,
    /// Receives what was left on the connection when it ended.
    rest: oneshot::Receiver<Rest>,
}

/// What follows an answer on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rest {
    /// Nothing, or empty lines.
    Nothing,
    /// The start of another answer.
    Answer,
    /// Anything else, such as the rest of a body whose length is spoilt.
    Other,
}

impl<B> Connection<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    /// Starts to speak HTTP on `stream`.
    pub(crate) async fn open<S>(stream: S) -> std::io::Result<Self>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_READ_BYTES);
        let (tx, mut conn) =
            builder.handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
        let (rest_tx, rest) = oneshot::channel();
        tokio::spawn(async move {
            let _ = poll_fn(|cx| conn.poll_without_shutdown(cx)).await;
            let parts = conn.into_parts();
            let _ = rest_tx.send(Rest::of(&parts.read_buf));
        });
        Ok(Self { tx, rest })
    }

    /// Waits, after an answer, until the connection is idle or has ended, and tells what has followed the answer
    /// by then. hyper ends an idle connection on which bytes are left.
    pub(crate) fn poll_rest(&mut self, cx: &mut Context<'_>) -> Poll<Rest> {
        match ready!(self.tx.poll_ready(cx)) {
            Ok(()) => Poll::Ready(Rest::Nothing),
            Err(_) => Pin::new(&mut self.rest).poll(cx).map(|it| it.unwrap_or(Rest::Nothing)),
        }
    }
}

impl Rest {
    fn of(bytes: &[u8]) -> Self {
        const START: &[u8] = b"HTTP/";
        match bytes.trim_ascii_start() {
            [] => Self::Nothing,
            it if it.starts_with(START) || START.starts_with(it) => Self::Answer,
            _ => Self::Other,
        }
    }
}
