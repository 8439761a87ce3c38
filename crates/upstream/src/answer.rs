//! The body of an answer. Its connection returns to the pool only after the complete body was read, or
//! after the head if there is no body. After a timeout, a cancellation, an error or an answer that is
//! dropped unread the connection is closed.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

use crate::pool::ReusableConnection;

/// The body of an answer. hyper checks its length or its final chunk. A body with neither ends with
/// its connection: a clean close means that the body is complete, a reset that it is truncated.
pub struct AnswerBody<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    body: Incoming,
    conn: Option<ReusableConnection<B>>,
}

impl<B> AnswerBody<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    pub(crate) fn new(body: Incoming, conn: Option<ReusableConnection<B>>) -> Self {
        Self { body, conn }
    }

    /// Returns the connection to the pool if the answer has no body. To be called once the head is known to belong to the
    /// request; after any other head the connection may carry further answers that belong to none.
    pub fn release_if_empty(&mut self) {
        if self.body.is_end_stream() {
            self.return_to_pool();
        }
    }

    fn return_to_pool(&mut self) {
        if let Some(conn) = self.conn.take() {
            conn.return_to_pool();
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
            None => self.return_to_pool(),
            Some(Err(_)) => self.conn = None,
            Some(Ok(_)) if self.body.is_end_stream() => self.return_to_pool(),
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
