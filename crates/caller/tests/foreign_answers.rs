//! Bytes that look like an answer and are not the endpoint's answer to the request.

mod common;

use std::time::Duration;

use common::{BOOKING, Exchange, Path, Recording, accept_request, exchange};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Generous limit for the end of a connection.
const LIMIT: Duration = Duration::from_secs(4);

const ID: &str = "x-request-id: r1\r\n";
const SIGNED: &str = "x-signature: s\r\n";

/// An answer with a status line, further header lines and a body.
fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n{body}", body.len())
}

fn good() -> String {
    answer("200 OK", &format!("{ID}{SIGNED}"), "good")
}

fn foreign_answers() -> Vec<String> {
    let encoded = format!("{ID}{SIGNED}content-encoding: gzip\r\n");
    let other_id = format!("x-request-id: r2\r\n{SIGNED}");
    vec![
        answer("200 OK", &encoded, "spoilt"),
        answer("200 OK", "", "spoilt"),
        answer("200 OK", SIGNED, "spoilt"),
        answer("200 OK", ID, "spoilt"),
        answer("204 No Content", ID, ""),
        answer("206 Partial Content", ID, "spoilt"),
        answer("200 OK", &other_id, "spoilt"),
        answer("304 Not Modified", "", ""),
        answer("404 Not Found", "", "spoilt"),
        answer("404 Not Found", &encoded, "spoilt"),
        answer("500 Internal Server Error", "", "spoilt"),
        answer("421 Misdirected Request", "", "spoilt"),
        answer("503 Service Unavailable", "x-not-run: 1\r\nretry-after: 9\r\n", "spoilt"),
        answer("503 Service Unavailable", &format!("{encoded}x-not-run: 1\r\n"), "spoilt"),
    ]
}

#[tokio::test]
async fn a_foreign_answer_to_a_booking_reaches_no_caller_and_says_nothing_about_the_outcome() {
    for foreign in foreign_answers() {
        let (got, reports) = exchange(Path::Direct, BOOKING, &[foreign.clone(), good()]).await;
        assert!(got.starts_with("HTTP/1.1 502"), "{foreign}\n{got}");
        assert!(got.contains("x-request-outcome: unknown"), "{foreign}\n{got}");
        assert_eq!(reports, "Failed", "{foreign}");
    }
}

#[tokio::test]
async fn a_lookup_with_a_foreign_answer_is_sent_again() {
    for foreign in foreign_answers() {
        let (got, reports) =
            exchange(Path::Direct, common::LOOKUP, &[foreign.clone(), good()]).await;
        assert!(got.starts_with("HTTP/1.1 200") && got.ends_with("good"), "{foreign}\n{got}");
        assert_eq!(reports, "Failed Answered", "{foreign}");
    }
}

#[tokio::test]
async fn genuine_answers_that_are_no_success_reach_the_caller_unsigned() {
    for status in ["304 Not Modified", "404 Not Found", "500 Internal Server Error"] {
        let (got, _) = exchange(Path::Direct, BOOKING, &[answer(status, ID, "")]).await;
        assert!(got.starts_with(&format!("HTTP/1.1 {status}")), "{got}");
        assert!(!got.contains("x-request-outcome"), "{got}");
    }
}

#[tokio::test]
async fn a_genuine_refusal_to_run_a_booking_is_believed() {
    for refusal in [
        answer("503 Service Unavailable", &format!("{ID}x-not-run: 1\r\n"), ""),
        answer("421 Misdirected Request", ID, ""),
    ] {
        let (got, _) = exchange(Path::Direct, BOOKING, &[refusal.clone(), good()]).await;
        assert!(got.starts_with("HTTP/1.1 200") && got.ends_with("good"), "{refusal}\n{got}");
    }
}

#[tokio::test]
async fn a_caller_without_a_request_id_gets_the_answer_to_the_generated_one() {
    let echoed = format!("x-request-id: {{id}}\r\n{SIGNED}");
    let request = "POST /bookings HTTP/1.1\r\ncontent-length: 0";
    let (got, reports) =
        exchange(Path::Direct, request, &[answer("200 OK", &echoed, "good")]).await;
    assert!(got.starts_with("HTTP/1.1 200") && got.ends_with("good"), "{got}");
    assert_eq!(reports, "Answered");
}

#[tokio::test]
async fn a_download_is_not_continued_with_a_foreign_answer() {
    let total = 2_000_000;
    let last = total - 1;
    let start = format!("{ID}{SIGNED}accept-ranges: bytes\r\netag: \"a\"\r\n");
    let cut = format!(
        "HTTP/1.1 200 OK\r\n{start}content-length: {total}\r\n\r\n{}",
        ".".repeat(total - 1)
    );
    let range = format!("etag: \"a\"\r\ncontent-range: bytes {last}-{last}/{total}\r\n");
    let rest = |headers: &str, body| answer("206 Rest", &format!("{headers}{range}"), body);
    for foreign in [
        rest("", "x"),
        rest(ID, "x"),
        rest(SIGNED, "x"),
        rest(&format!("x-request-id: r2\r\n{SIGNED}x-leaving: 1\r\n"), "x"),
        rest(&format!("{ID}{SIGNED}content-encoding: gzip\r\n"), "x"),
    ] {
        let answers = [cut.clone(), foreign.clone(), rest(&format!("{ID}{SIGNED}"), ".")];
        let exchange = Exchange::new(Path::Direct).await;
        let (got, _) = exchange.run(common::LOOKUP, &answers).await;
        let (_, body) = got.split_once("\r\n\r\n").unwrap();
        assert!(!body.contains('x'), "{foreign}");
        assert_eq!(body.matches('.').count(), total, "{foreign}");
        let expected = "Failed Failed Answered";
        assert_eq!(exchange.wait_reports(expected).await, expected, "{foreign}");
    }
}

/// Guards against an answer to an earlier request that is waiting on the connection when the next request is sent.
#[tokio::test(flavor = "multi_thread")]
async fn the_connection_of_a_foreign_answer_without_a_body_is_closed() {
    for foreign in [
        answer("200 OK", &format!("x-request-id: r2\r\n{SIGNED}"), ""),
        answer("404 Not Found", "", ""),
        answer("503 Full", "x-not-run: 1\r\n", ""),
        answer("600 Oh", ID, ""),
        format!("HTTP/1.1 204 No Content\r\n{ID}\r\n"),
    ] {
        let endpoint = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let recording = Recording::new(Path::Direct, endpoint.local_addr().unwrap());
        let answering = async {
            let (mut first, _) = accept_request(&endpoint).await;
            first.write_all(foreign.as_bytes()).await.unwrap();
            let mut buf = [0; 4096];
            let read = timeout(LIMIT, first.read(&mut buf))
                .await
                .expect("the connection is closed")
                .unwrap();
            assert_eq!(read, 0, "the connection is used again: {foreign}");
            let (mut second, _) = accept_request(&endpoint).await;
            second.write_all(good().as_bytes()).await.unwrap();
        };
        let (got, ()) = tokio::join!(common::send(recording, common::LOOKUP), answering);
        assert!(got.starts_with("HTTP/1.1 200") && got.ends_with("good"), "{foreign}\n{got}");
    }
}

/// Guards against a success that reaches the caller without the endpoint's signature.
#[tokio::test]
async fn an_answer_whose_signature_is_for_one_connection_only_is_refused() {
    for connection in ["x-signature", "close, X-Signature", "close\r\nconnection: x-signature"] {
        let unsigned =
            answer("200 OK", &format!("{ID}{SIGNED}connection: {connection}\r\n"), "spoilt");
        let (got, reports) = exchange(Path::Direct, BOOKING, &[unsigned]).await;
        assert!(got.starts_with("HTTP/1.1 502"), "{connection}\n{got}");
        assert_eq!(reports, "Failed", "{connection}");
    }
}

#[tokio::test]
async fn an_answer_with_the_id_of_another_request_beside_the_right_one_is_refused() {
    for ids in
        ["x-request-id: r1\r\nx-request-id: r2\r\n", "x-request-id: r2\r\nx-request-id: r1\r\n"]
    {
        let crossed = answer("200 OK", &format!("{ids}{SIGNED}"), "spoilt");
        let (got, reports) = exchange(Path::Direct, BOOKING, &[crossed]).await;
        assert!(got.starts_with("HTTP/1.1 502"), "{ids}\n{got}");
        assert_eq!(reports, "Failed", "{ids}");
    }
}
