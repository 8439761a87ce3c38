//! The body of an answer. Its connection returns to the pool only after the complete body was read, or
//! after the head if there is no body. After a timeout, a cancellation, an error or an answer that is
//! dropped unread the connection is closed.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

use crate::pool::AnsweringConnection;

/// Why the body of an answer cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum AnswerError {
    /// The connection broke before the body was complete, or the body is malformed.
    #[error("the connection broke before the answer was complete ({0})")]
    Broken(#[from] hyper::Error),
    /// Further bytes followed a body of the announced length, so that the length may be wrong.
    #[error("more bytes follow the body than its head announces")]
    Excess,
}

/// The body of an answer. hyper checks its length or its final chunk. A body with neither ends with
/// its connection: a clean close means that the body is complete, a reset that it is truncated. The last
/// frame of a body of known length comes only if nothing follows it that may belong to the body, so that
/// a body that was passed on meanwhile is visibly cut otherwise.
pub struct AnswerBody<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    body: Incoming,
    /// `None` once the body has ended.
    conn: Option<AnsweringConnection<B>>,
    /// The last frame of a body of known length, until what follows it is checked.
    last: Option<Frame<Bytes>>,
}

impl<B> AnswerBody<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    pub(crate) fn new(body: Incoming, conn: AnsweringConnection<B>) -> Self {
        Self { body, conn: Some(conn), last: None }
    }

    /// Returns the connection of an answer that is not read to the pool, if the answer has no body. To be
    /// called once the head is known to belong to the request; after any other head the connection may
    /// carry further answers that belong to none.
    pub fn release_if_empty(mut self) {
        if self.body.is_end_stream() {
            self.release();
        }
    }

    fn release(&mut self) {
        if let Some(conn) = self.conn.take() {
            conn.release();
        }
    }
}

impl<B> Body for AnswerBody<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        if self.conn.is_some() && self.last.is_none() && !self.body.is_end_stream() {
            match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                Some(Ok(frame)) if self.body.is_end_stream() => self.last = Some(frame),
                Some(Ok(frame)) => return Poll::Ready(Some(Ok(frame))),
                Some(Err(error)) => {
                    self.conn = None;
                    return Poll::Ready(Some(Err(error.into())));
                }
                None => {}
            }
        }
        let Some(conn) = &mut self.conn else { return Poll::Ready(None) };
        if ready!(conn.poll_has_excess(cx)) {
            self.conn = None;
            return Poll::Ready(Some(Err(AnswerError::Excess)));
        }
        self.release();
        Poll::Ready(self.last.take().map(Ok))
    }

    fn is_end_stream(&self) -> bool {
        self.conn.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
