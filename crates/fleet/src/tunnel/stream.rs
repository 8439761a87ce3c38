//! The asking node's side of an open tunnel.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncBufRead, AsyncRead, AsyncWrite, BufReader, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{Sleep, sleep};

use super::{KEEP_ALIVE, SILENCE_TIMEOUT};

/// An open tunnel to an endpoint. Reads end only where the endpoint has closed its connection; the loss
/// of the peer is an error.
#[derive(Debug)]
pub struct TunnelStream {
    from_peer: BufReader<OwnedReadHalf>,
    to_peer: OwnedWriteHalf,
    frame: Frame,
    /// Runs while a read waits for the peer.
    silence: Option<Pin<Box<Sleep>>>,
}

/// The part of the current frame that is still to be read.
#[derive(Clone, Copy, Debug)]
enum Frame {
    /// The header, of which the first byte may have been read.
    Header(Option<u8>),
    /// This many bytes of the endpoint.
    Data(usize),
    /// Nothing: the endpoint has closed its connection.
    End,
}

impl Frame {
    fn after_header(len: u16) -> Self {
        match len {
            0 => Self::End,
            KEEP_ALIVE => Self::Header(None),
            n => Self::Data(n.into()),
        }
    }
}

impl TunnelStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        let (from_peer, to_peer) = stream.into_split();
        let from_peer = BufReader::new(from_peer);
        Self { from_peer, to_peer, frame: Frame::Header(None), silence: None }
    }

    /// Waits for bytes of the peer.
    fn poll_peer(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let Poll::Ready(received) = Pin::new(&mut self.from_peer).poll_fill_buf(cx) {
            self.silence = None;
            return Poll::Ready(match received? {
                [] => Err(io::ErrorKind::UnexpectedEof.into()),
                _ => Ok(()),
            });
        }
        let silence = self.silence.get_or_insert_with(|| Box::pin(sleep(SILENCE_TIMEOUT)));
        ready!(silence.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let it = &mut *self;
        let filled = buf.filled().len();
        loop {
            if matches!(it.frame, Frame::End) || buf.remaining() == 0 {
                return Poll::Ready(Ok(()));
            }
            ready!(it.poll_peer(cx))?;
            let received = it.from_peer.buffer();
            let used = match it.frame {
                Frame::Header(None) => {
                    it.frame = Frame::Header(Some(received[0]));
                    1
                }
                Frame::Header(Some(first)) => {
                    it.frame = Frame::after_header(u16::from_be_bytes([first, received[0]]));
                    1
                }
                Frame::Data(left) => {
                    let n = left.min(received.len()).min(buf.remaining());
                    buf.put_slice(&received[..n]);
                    it.frame = match left - n {
                        0 => Frame::Header(None),
                        left => Frame::Data(left),
                    };
                    n
                }
                Frame::End => 0,
            };
            Pin::new(&mut it.from_peer).consume(used);
            if buf.filled().len() > filled {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.to_peer).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.to_peer).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.to_peer).poll_shutdown(cx)
    }
}
