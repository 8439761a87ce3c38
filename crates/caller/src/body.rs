//! Bodies of requests and answers, buffered or streamed.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::sync::mpsc;

use crate::body_memory::{BodyMemory, Reservation};
use crate::chunks::Extent;

/// Request bodies up to this length are always kept until the request is answered, so that it can
/// be sent again, and answers up to this length are always buffered.
const ALWAYS_KEPT_BYTES: usize = 64 * 1024;
/// Request bodies up to this length are kept while the node's memory budget for long bodies allows.
const MAX_KEPT_BYTES: usize = 1024 * 1024;

/// Why a body could not be read to its end.
#[derive(Clone, Debug, thiserror::Error)]
pub(crate) enum BodyError {
    #[error("the upstream's answer was truncated and could not be resumed")]
    Upstream,
    #[error("the caller's request body was truncated")]
    Caller,
    #[error("the request is longer than {0} bytes: raise `traffic.max_body_bytes` or send less")]
    TooLong(u64),
}

/// Body of an answer to a caller.
pub(crate) enum ResponseBody {
    /// A complete body.
    Complete(Full<Bytes>),
    /// A body that is still arriving. It is complete only after `Part::End`; a channel that closes
    /// without it aborts the answer, so that a failure of the relay cannot look like a complete
    /// answer.
    Streamed(mpsc::Receiver<RelayItem>),
}

/// A message from the relay to the body of the caller's answer.
pub(crate) enum RelayItem {
    /// Data or trailers.
    Frame(Frame<Bytes>),
    /// The answer is complete.
    End,
}

impl RelayItem {
    /// Number of data bytes.
    pub(crate) fn len(&self) -> u64 {
        match self {
            Self::Frame(frame) => data_len(frame),
            Self::End => 0,
        }
    }
}

/// Number of data bytes of a frame.
pub(crate) fn data_len(frame: &Frame<Bytes>) -> u64 {
    frame.data_ref().map_or(0, |it| it.len() as u64)
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Complete(it) => Pin::new(it).poll_frame(cx).map_err(|never| match never {}),
            Self::Streamed(it) => match ready!(it.poll_recv(cx)) {
                Some(RelayItem::Frame(frame)) => Poll::Ready(Some(Ok(frame))),
                Some(RelayItem::End) => Poll::Ready(None),
                None => Poll::Ready(Some(Err(BodyError::Upstream))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(it) if it.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(it) => it.size_hint(),
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}

/// Body of a request on its way to an upstream.
#[derive(Debug)]
pub(crate) enum RequestBody {
    /// A complete body. Clones share the buffer.
    Complete(Full<Bytes>),
    /// A body that is passed on as it arrives. It can be sent only once.
    Streamed(StreamedBody),
}

/// A request body that is too long to keep: the start that was already read, and the rest.
#[derive(Debug)]
pub(crate) struct StreamedBody {
    start: Bytes,
    rest: Incoming,
    /// Bytes that may still be read from `rest`.
    remaining: u64,
    /// Maximum length of the body.
    limit: u64,
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Complete(it) => Pin::new(it).poll_frame(cx).map_err(|never| match never {}),
            Self::Streamed(it) => it.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Complete(it) => it.is_end_stream(),
            Self::Streamed(it) => it.start.is_empty() && it.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(it) => it.size_hint(),
            Self::Streamed(it) => it.size_hint(),
        }
    }
}

impl StreamedBody {
    /// The part that was read before the send.
    pub(crate) fn start(&self) -> &[u8] {
        &self.start
    }

    /// Length of the complete body, if known.
    pub(crate) fn size_hint(&self) -> SizeHint {
        match self.rest.size_hint().exact() {
            Some(n) => SizeHint::with_exact(n + self.start.remaining() as u64),
            None => SizeHint::default(),
        }
    }

    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.start.is_empty() {
            let start = std::mem::take(&mut self.start);
            return Poll::Ready(Some(Ok(Frame::data(start))));
        }
        let Some(frame) = ready!(Pin::new(&mut self.rest).poll_frame(cx)) else {
            return Poll::Ready(None);
        };
        let frame = frame.map_err(|_| BodyError::Caller);
        if let Ok(Some(data)) = frame.as_ref().map(Frame::data_ref) {
            let Some(remaining) = self.remaining.checked_sub(data.len() as u64) else {
                return Poll::Ready(Some(Err(BodyError::TooLong(self.limit))));
            };
            self.remaining = remaining;
        }
        Poll::Ready(Some(frame))
    }
}

/// Answers up to this length are buffered until they are complete, while the node's memory budget for
/// long answers allows, so that after a truncated one the request can be sent again before the caller
/// has received any of it. The archives that users download are a tenth to a half of this length.
const MAX_BUFFERED_ANSWER_BYTES: usize = 1024 * 1024;

/// The buffered start of an answer.
pub(crate) enum AnswerStart<B> {
    /// The complete body.
    Complete(Bytes),
    /// The first bytes of a body that is too long to buffer, or for which no memory is free, and the rest.
    Partial(Bytes, B),
}

impl<B> AnswerStart<B> {
    /// The bytes that were read.
    pub(crate) fn bytes(&self) -> &[u8] {
        match self {
            Self::Complete(buf) | Self::Partial(buf, _) => buf,
        }
    }

    /// Whether they are the whole body.
    pub(crate) fn extent(&self) -> Extent {
        match self {
            Self::Complete(_) => Extent::Whole,
            Self::Partial(..) => Extent::Start,
        }
    }
}

/// Reads an answer until it ends or cannot be buffered any further.
pub(crate) struct AnswerReader<'a, B> {
    /// `None` once the start was returned.
    body: Option<B>,
    buf: BytesMut,
    memory: &'a BodyMemory,
    reservation: Reservation,
}

impl<'a, B> AnswerReader<'a, B>
where
    B: Body<Data = Bytes> + Unpin,
{
    /// Starts to read `body`. What is buffered of a long body counts against `memory` for as long as
    /// any of it is held.
    pub(crate) fn new(body: B, memory: &'a BodyMemory) -> Self {
        let reservation = Reservation::default();
        Self { body: Some(body), buf: BytesMut::new(), memory, reservation }
    }

    /// Reads the next frame. Returns the start of the answer once it is complete or cannot be buffered
    /// any further. Cancel safe.
    pub(crate) async fn read_frame(&mut self) -> Result<Option<AnswerStart<B>>, B::Error> {
        if self.may_buffer() {
            let Some(body) = &mut self.body else { return Ok(None) };
            match body.frame().await {
                None => return Ok(Some(AnswerStart::Complete(self.take_buf()))),
                Some(frame) => {
                    if let Ok(data) = frame?.into_data() {
                        self.buf.extend_from_slice(&data);
                    }
                }
            }
            if self.may_buffer() {
                return Ok(None);
            }
        }
        let start = self.take_buf();
        Ok(self.body.take().map(|body| AnswerStart::Partial(start, body)))
    }

    /// Whether what was read and the known remainder may be buffered.
    fn may_buffer(&mut self) -> bool {
        let Some(body) = &self.body else { return true };
        let known_len = (self.buf.len() as u64).saturating_add(body.size_hint().lower());
        match usize::try_from(known_len) {
            Ok(len) if len <= ALWAYS_KEPT_BYTES => true,
            Ok(len) if len <= MAX_BUFFERED_ANSWER_BYTES => {
                let is_reserved = self.memory.grow(&mut self.reservation, len);
                if is_reserved {
                    // A buffer that grows by itself takes up to twice its length.
                    self.buf.reserve(len - self.buf.len());
                }
                is_reserved && self.memory.grow(&mut self.reservation, self.buf.capacity())
            }
            _ => false,
        }
    }

    fn take_buf(&mut self) -> Bytes {
        std::mem::take(&mut self.reservation).attach_to(self.buf.split().freeze())
    }
}

/// The body of a caller's request after its start, or all of it, has been read.
pub(crate) enum ReceivedBody {
    /// The complete body without its trailers, and its share of the memory budget.
    Complete(Bytes, #[expect(dead_code, reason = "releases the reservation on drop")] Reservation),
    /// A body that is too long to keep.
    Streamed(StreamedBody),
    /// The body was streamed to an endpoint and cannot be sent again.
    Consumed,
}

impl ReceivedBody {
    /// Reads a body until it ends or is too long to keep.
    pub(crate) async fn read(
        mut body: Incoming,
        limit: u64,
        body_memory: &BodyMemory,
    ) -> Result<Self, BodyError> {
        if body.size_hint().lower() > limit {
            return Err(BodyError::TooLong(limit));
        }
        let mut buf = BytesMut::new();
        let mut reservation = Reservation::default();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyError::Caller)?;
            let Ok(data) = frame.into_data() else { continue };
            buf.extend_from_slice(&data);
            if buf.len() as u64 > limit {
                return Err(BodyError::TooLong(limit));
            }
            // Memory for the known remainder is reserved at once: a body that gets only a part of
            // the memory that it needs would occupy that part without any use.
            let known_len = buf.len() + body.size_hint().lower() as usize;
            let is_kept = known_len <= ALWAYS_KEPT_BYTES
                || known_len <= MAX_KEPT_BYTES && body_memory.grow(&mut reservation, known_len);
            if buf.len() > ALWAYS_KEPT_BYTES && !is_kept {
                let remaining = limit - buf.len() as u64;
                let start = buf.freeze();
                return Ok(Self::Streamed(StreamedBody { start, rest: body, remaining, limit }));
            }
        }
        Ok(Self::Complete(buf.freeze(), reservation))
    }

    /// The body for the next send, or `None` if it cannot be sent again.
    pub(crate) fn next(&mut self) -> Option<RequestBody> {
        if let Self::Complete(it, _) = self {
            return Some(RequestBody::Complete(Full::new(it.clone())));
        }
        match std::mem::replace(self, Self::Consumed) {
            Self::Streamed(it) => Some(RequestBody::Streamed(it)),
            _ => None,
        }
    }

    /// Takes back a body of which nothing was sent.
    pub(crate) fn put_back(&mut self, body: RequestBody) {
        if let RequestBody::Streamed(it) = body {
            *self = Self::Streamed(it);
        }
    }
}
