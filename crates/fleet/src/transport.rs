//! UDP transport: signs and sends frames, receives and checks them, and counts both.

use std::io;
use std::net::SocketAddr;

use tokio::net::UdpSocket;

use crate::wire::{Frame, Keys, MAX_FRAME_BYTES, WireError};

/// Numbers of frames and bytes. Frames about slots are counted apart, because their number depends
/// on the number of requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Bytes of control frames sent.
    pub control_out: u64,
    /// Bytes of control frames received.
    pub control_in: u64,
    /// Frames about slots, sent and received.
    pub permit_frames: u64,
    /// Bytes about slots, sent and received.
    pub permit_bytes: u64,
    /// Frames dropped because their length, version, signature or body was wrong.
    pub dropped: u64,
    /// Frames dropped by the fault injection of tests.
    pub cut: u64,
}

/// A socket for frames.
#[derive(Debug)]
pub struct Transport {
    socket: UdpSocket,
    keys: Keys,
    counts: Counts,
    /// Addresses to which no frames are sent, for failure tests.
    cut: Vec<SocketAddr>,
}

impl Transport {
    /// Binds the socket.
    pub async fn bind(addr: SocketAddr, keys: Keys) -> io::Result<Self> {
        let socket = UdpSocket::bind(addr).await?;
        Ok(Self { socket, keys, counts: Counts::default(), cut: Vec::new() })
    }

    /// The address of the socket.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// The counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Replaces the keys.
    pub fn set_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// Drops frames to these addresses, which simulates a network cut in one direction. For failure
    /// tests.
    pub fn set_cut(&mut self, to: Vec<SocketAddr>) {
        self.cut = to;
    }

    /// Sends a frame; returns its length, or 0 if it was not sent. Loss is normal for datagrams.
    pub fn send(&mut self, to: SocketAddr, frame: &Frame) -> usize {
        if self.cut.contains(&to) {
            self.counts.cut += 1;
            return 0;
        }
        let Some(buf) = frame.encode(&self.keys) else { return 0 };
        // A full socket buffer counts as a normal loss.
        let Ok(n) = self.socket.try_send_to(&buf, to) else { return 0 };
        match frame.message.is_about_requests() {
            true => self.count_permit(n),
            false => self.counts.control_out += n as u64,
        }
        n
    }

    /// Waits until a datagram may be available.
    pub async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// Receives the next available frame that passes all checks; returns `None` if there is none.
    pub fn receive(&mut self) -> Option<(SocketAddr, Frame, usize)> {
        let mut buf = [0; MAX_FRAME_BYTES + 1];
        loop {
            let (n, from) = self.socket.try_recv_from(&mut buf).ok()?;
            match self.decode(&buf[..n]) {
                Ok(frame) => return Some((from, frame, n)),
                Err(_) => self.counts.dropped += 1,
            }
        }
    }

    fn decode(&mut self, buf: &[u8]) -> Result<Frame, WireError> {
        let frame = Frame::decode(buf, &self.keys)?;
        match frame.message.is_about_requests() {
            true => self.count_permit(buf.len()),
            false => self.counts.control_in += buf.len() as u64,
        }
        Ok(frame)
    }

    fn count_permit(&mut self, n: usize) {
        self.counts.permit_frames += 1;
        self.counts.permit_bytes += n as u64;
    }
}
