//! Endpoints that spoil the answers by which a download that broke off is continued.

mod common;

use common::{Exchange, LOOKUP, Path, genuine_answer as answer};

/// Length of a download whose last ten bytes are missing at first.
const TOTAL: usize = 2_000_000;

/// The answer to a request for the bytes of the download after the first `received`.
fn rest(received: usize, lines: &str, body: &str) -> String {
    let range = format!("etag: \"a\"\r\ncontent-range: bytes {received}-{}/{TOTAL}", TOTAL - 1);
    answer("206 Partial Content", &format!("{range}\r\n{lines}"), body)
}

/// Asks for a download that breaks off and is continued with these answers, and waits for the reports about the endpoint.
/// Returns the body that reaches the caller, all dots if it is the true one.
async fn download(path: Path, answers: &[&str], expected_reports: &str) -> String {
    let head = format!("accept-ranges: bytes\r\netag: \"a\"\r\ncontent-length: {TOTAL}");
    let mut all = vec![answer("200 OK", &head, &".".repeat(TOTAL - 10))];
    all.extend(answers.iter().map(|it| (*it).to_owned()));
    let exchange = Exchange::new(path).await;
    let (got, _) = exchange.run(LOOKUP, &all).await;
    let (_, body) = got.split_once("\r\n\r\n").unwrap();
    assert!(body.bytes().all(|it| it == b'.'), "{path:?} {answers:?}");
    let reports = exchange.wait_reports(expected_reports).await;
    assert_eq!(reports, expected_reports, "{path:?} {answers:?}");
    body.to_owned()
}

/// Checks that a download that is continued with a spoilt answer reaches the caller whole with the help of the last one.
async fn check_resumed(path: Path, spoilt: &str, last: &str, expected_reports: &str) {
    let body = download(path, &[spoilt, last], expected_reports).await;
    assert_eq!(body.len(), TOTAL, "{path:?} {spoilt}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_download_is_not_continued_with_an_answer_whose_head_is_spoilt() {
    let last = rest(TOTAL - 10, "content-length: 10", "..........");
    for (lines, body) in [
        ("transfer-encoding: chunke", "a\r\nxxxxxxxxxx\r\n0\r\n\r\n"),
        ("transfer-encoding: gzip, chunked", "a\r\nxxxxxxxxxx\r\n0\r\n\r\n"),
        ("transfer-encoding: chunked\r\ncontent-length: 10", "a\r\nxxxxxxxxxx\r\n0\r\n\r\n"),
        ("content-length: 10,10", "xxxxxxxxxx"),
        ("content-length: 10\r\nno colon", "xxxxxxxxxx"),
    ] {
        let spoilt = rest(TOTAL - 10, lines, body);
        check_resumed(Path::Direct, &spoilt, &last, "Failed Failed Answered").await;
    }
}

/// Guards against bytes that are not those of the missing range.
#[tokio::test(flavor = "multi_thread")]
async fn a_download_is_not_continued_with_an_answer_of_another_length() {
    let last = rest(TOTAL - 10, "content-length: 10", "..........");
    for (lines, body) in [
        ("content-length: 11", "xxxxxxxxxxx"),
        ("content-length: 9", "xxxxxxxxx"),
        ("content-length: 0", ""),
    ] {
        let spoilt = rest(TOTAL - 10, lines, body);
        for path in [Path::Direct, Path::ThroughNode] {
            // That the first answer breaks off behind another node is no evidence.
            let reports = match path {
                Path::Direct => "Failed Failed Answered",
                Path::ThroughNode => "Failed Answered",
            };
            check_resumed(path, &spoilt, &last, reports).await;
        }
    }
}

/// Guards against a download that is cut although another endpoint has the rest of it.
#[tokio::test(flavor = "multi_thread")]
async fn a_download_that_is_continued_with_too_little_is_continued_again() {
    let lines = "connection: close\r\ntransfer-encoding: chunked";
    let spoilt = rest(TOTAL - 10, lines, "7\r\n.......\r\n0\r\n\r\n");
    let last = rest(TOTAL - 3, "content-length: 3", "...");
    check_resumed(Path::Direct, &spoilt, &last, "Failed Failed Answered").await;
}

/// Guards against a download that looks whole although a part of it may be wrong.
#[tokio::test(flavor = "multi_thread")]
async fn a_download_that_is_continued_with_too_much_is_cut() {
    let last = rest(TOTAL - 10, "content-length: 10", "..........");
    for chunks in ["b\r\nxxxxxxxxxxx\r\n0\r\n\r\n", "3\r\n...\r\n8\r\nxxxxxxxx\r\n0\r\n\r\n"] {
        let spoilt = rest(TOTAL - 10, "transfer-encoding: chunked", chunks);
        for (path, expected_reports) in
            [(Path::Direct, "Failed Failed"), (Path::ThroughNode, "Failed")]
        {
            let body = download(path, &[&spoilt, &last], expected_reports).await;
            assert!(body.len() < TOTAL, "{path:?} {spoilt}");
        }
    }
}
