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
/// its connection: a clean close means that the body is complete, a reset that it is truncated.
pub struct AnswerBody<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    body: Incoming,
    /// `None` once the body has ended.
    conn: Option<AnsweringConnection<B>>,
    state: State,
}

/// How far a body was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Frames may come, and then what follows the body is checked.
    Reading,
    /// Frames may come, and nothing is checked after them.
    ReadingUnchecked,
    /// All frames have come, and what follows them is checked.
    Checking,
}

impl<B> AnswerBody<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    pub(crate) fn new(body: Incoming, conn: AnsweringConnection<B>) -> Self {
        Self { body, conn: Some(conn), state: State::Reading }
    }

    /// Returns the connection of an answer that is not read to the pool, if the answer has no body. To be
    /// called once the head is known to belong to the request; after any other head the connection may
    /// carry further answers that belong to none.
    pub fn release_if_empty(mut self) {
        if self.body.is_end_stream() {
            self.release();
        }
    }

    /// Skips the check of what follows the body, for a reader that has passed the body on before its end.
    pub fn skip_check(&mut self) {
        self.state = State::ReadingUnchecked;
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
        if self.state == State::Reading && self.body.is_end_stream() {
            self.state = State::Checking;
        }
        if self.state != State::Checking {
            match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                Some(Ok(frame)) => {
                    if self.state == State::ReadingUnchecked && self.body.is_end_stream() {
                        self.release();
                    }
                    return Poll::Ready(Some(Ok(frame)));
                }
                Some(Err(error)) => {
                    self.conn = None;
                    return Poll::Ready(Some(Err(error.into())));
                }
                None if self.state == State::ReadingUnchecked => {
                    self.release();
                    return Poll::Ready(None);
                }
                None => self.state = State::Checking,
            }
        }
        let Some(conn) = &mut self.conn else { return Poll::Ready(None) };
        if ready!(conn.poll_has_excess(cx)) {
            self.conn = None;
            return Poll::Ready(Some(Err(AnswerError::Excess)));
        }
        self.release();
        Poll::Ready(None)
    }

    fn is_end_stream(&self) -> bool {
        self.conn.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
