//! The body of an answer. Its connection goes back to the pool only when the body has ended whole;
//! after a late, cancelled or broken exchange the connection is closed.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http::{HeaderMap, StatusCode, header};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;

use crate::pool::Inner;

/// Body of an answer; hyper checks its length or final chunk.
pub struct AnswerBody<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    body: Incoming,
    conn: Option<(SendRequest<B>, SocketAddr, Arc<Inner<B>>)>,
}

impl<B> AnswerBody<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    pub(crate) fn new(
        body: Incoming,
        tx: SendRequest<B>,
        addr: SocketAddr,
        pool: Arc<Inner<B>>,
    ) -> Self {
        let mut it = Self { body, conn: Some((tx, addr, pool)) };
        if it.body.is_end_stream() {
            it.give_back();
        }
        it
    }

    fn give_back(&mut self) {
        if let Some((tx, addr, pool)) = self.conn.take() {
            tokio::spawn(async move { pool.put(addr, tx).await });
        }
    }
}

impl<B> Body for AnswerBody<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        match &frame {
            None => self.give_back(),
            Some(Err(_)) => self.conn = None,
            Some(Ok(_)) if self.body.is_end_stream() => self.give_back(),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Whether the end of an answer can be told from a broken connection. An answer that ends with the
/// connection cannot be proved whole.
pub fn is_delimited(status: StatusCode, headers: &HeaderMap) -> bool {
    let empty = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    empty
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}
