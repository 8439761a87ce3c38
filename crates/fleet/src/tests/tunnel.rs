use std::io::ErrorKind;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::tunnel::TunnelStream;

/// A tunnel and the peer's end of its connection.
async fn tunnel() -> (TunnelStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (stream, accepted) =
        tokio::join!(TcpStream::connect(listener.local_addr().unwrap()), listener.accept());
    (TunnelStream::new(stream.unwrap()), accepted.unwrap().0)
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_falls_silent_is_noticed() {
    let (mut tunnel, _peer) = tunnel().await;
    let error = tunnel.read(&mut [0; 9]).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::TimedOut);
}

#[tokio::test]
async fn a_header_that_arrives_in_two_parts_and_keep_alives_are_no_data() {
    let (mut tunnel, mut peer) = tunnel().await;
    for part in [&[0xff][..], &[0xff, 0], &[3, b'a', b'b'], &[b'c', 0xff, 0xff, 0, 0]] {
        peer.write_all(part).await.unwrap();
        tokio::task::yield_now().await;
    }
    let mut received = vec![b'-'];
    tunnel.read_to_end(&mut received).await.unwrap();
    assert_eq!(received, b"-abc");
}
