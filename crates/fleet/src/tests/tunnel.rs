use std::io::ErrorKind;

use proptest::prelude::*;
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

/// What a peer sends.
#[derive(Clone, Debug)]
enum Part {
    Data(Vec<u8>),
    KeepAlive,
}

fn part() -> impl Strategy<Value = Part> {
    prop_oneof![
        3 => prop::collection::vec(any::<u8>(), 1..2_000).prop_map(Part::Data),
        1 => Just(Part::KeepAlive),
    ]
}

fn encode(parts: &[Part]) -> Vec<u8> {
    let mut out = Vec::new();
    for it in parts {
        match it {
            Part::Data(data) => {
                out.extend((data.len() as u16).to_be_bytes());
                out.extend(data);
            }
            Part::KeepAlive => out.extend(u16::MAX.to_be_bytes()),
        }
    }
    out
}

/// Sends bytes in two writes; returns what was read and whether the read ended without an error.
fn read_all(sent: &[u8], split: usize) -> (Vec<u8>, bool) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let (mut tunnel, mut peer) = tunnel().await;
        let sending = async {
            peer.write_all(&sent[..split]).await.unwrap();
            tokio::task::yield_now().await;
            peer.write_all(&sent[split..]).await.unwrap();
            drop(peer);
        };
        let mut received = Vec::new();
        let ((), read) = tokio::join!(sending, tunnel.read_to_end(&mut received));
        (received, read.is_ok())
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn an_answer_is_complete_only_with_its_last_frame(
        parts in prop::collection::vec(part(), 0..8),
        split in any::<prop::sample::Index>(),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut sent = encode(&parts);
        sent.extend([0, 0]);
        let data: Vec<u8> = parts.into_iter().flat_map(|it| match it {
            Part::Data(data) => data,
            Part::KeepAlive => Vec::new(),
        }).collect();
        prop_assert_eq!(read_all(&sent, split.index(sent.len())), (data.clone(), true));
        let cut = &sent[..cut.index(sent.len())];
        let (received, is_complete) = read_all(cut, cut.len() / 2);
        prop_assert!(!is_complete);
        prop_assert!(data.starts_with(&received));
    }
}
