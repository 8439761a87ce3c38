//! Endpoints that stop in the middle of an answer and close: what has no whole head is never an answer, and a body that is
//! too short never looks whole.

mod common;

use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Generous limit for one case.
const LIMIT: Duration = Duration::from_secs(40);
/// Pause between the two packets of an answer.
const PAUSE: Duration = Duration::from_millis(30);
/// Cases that run at the same time.
const AT_ONCE: usize = 32;

/// What an endpoint does with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Manner {
    /// It answers the first request with a part of the answer.
    Fresh,
    /// It answers the first request, and the next one with a part of the answer.
    Kept,
    /// It sends the part in two packets.
    InTwo,
    /// It sends the part, and stays silent.
    Silent,
}

/// Sends `part` of an answer. Returns what the caller of that request gets, and whether the request came on the first
/// connection.
async fn run(part: Arc<str>, manner: Manner) -> (String, bool) {
    let endpoint = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = common::listen(common::Slots(common::grant(endpoint.local_addr().unwrap()))).await;
    let answering = tokio::spawn(async move {
        let (mut stream, _) = endpoint.accept().await.unwrap();
        let mut buf = [0; 4096];
        if manner == Manner::Kept {
            let _ = stream.read(&mut buf).await.unwrap();
            let whole = common::genuine("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole");
            stream.write_all(whole.as_bytes()).await.unwrap();
        }
        // The proxy may have opened another connection before the first one was idle.
        let (mut stream, n) = tokio::select! {
            n = stream.read(&mut buf) => (stream, n.unwrap()),
            it = endpoint.accept() => (it.unwrap().0, 0),
        };
        let is_kept = n > 0;
        if !is_kept {
            let _ = stream.read(&mut buf).await.unwrap();
        }
        let (first, rest) = match manner {
            Manner::InTwo => part.as_bytes().split_at(part.len() / 2),
            _ => (part.as_bytes(), &[][..]),
        };
        stream.write_all(first).await.unwrap();
        if !rest.is_empty() {
            stream.flush().await.unwrap();
            sleep(PAUSE).await;
            let _ = stream.write_all(rest).await;
        }
        if manner == Manner::Silent {
            let _ = stream.read(&mut buf).await;
        }
        is_kept
    });
    if manner == Manner::Kept {
        let first = ask(addr).await;
        assert!(first.ends_with("whole"), "{first}");
        sleep(PAUSE).await;
    }
    let answer = ask(addr).await;
    let is_kept = timeout(LIMIT, answering).await.expect("the endpoint is asked").unwrap();
    (answer, is_kept)
}

async fn ask(addr: std::net::SocketAddr) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let request = format!("{}\r\nhost: h\r\nconnection: close\r\n\r\n", common::LOOKUP);
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    // A truncated answer is returned as far as it was received.
    let _ = timeout(LIMIT, stream.read_to_end(&mut answer)).await.expect("the request ends");
    String::from_utf8_lossy(&answer).into_owned()
}

const LENGTH: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 4\r\n\r\nbody";
const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n";
const NO_LENGTH: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\nbody";
const OLD: &str = "HTTP/1.0 200 OK\r\ncontent-length: 4\r\n\r\nbody";
const NO_BODY: &str = "HTTP/1.1 204 No Content\r\netag: \"1\"\r\n\r\n";

/// Whether the caller's answer is a success with these bytes as its whole body.
fn is_success(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 2")
}

/// Checks the first `len` bytes of an answer. Returns whether they came on the first connection.
async fn check(form: String, len: usize, manner: Manner) -> bool {
    let part: Arc<str> = form[..len].into();
    let (answer, is_kept) = run(part.clone(), manner).await;
    let context = format!("{manner:?}, {part:?}: {answer:?}");
    let head_len = form.rfind("\r\n\r\n").map_or(0, |_| form.find("\r\n\r\n").unwrap() + 4);
    // The interim answer has a head of its own.
    let head_len = match form.strip_prefix("HTTP/1.1 100 Continue\r\n\r\n") {
        Some(rest) => form.len() - rest.len() + rest.find("\r\n\r\n").unwrap() + 4,
        None => head_len,
    };
    assert!(!answer.is_empty(), "{context}");
    if len < head_len {
        assert!(!is_success(&answer), "a head that is not whole became a success: {context}");
    } else if len < form.len() && !form.contains("text/plain\r\n\r\n") && is_success(&answer) {
        let is_whole = answer.ends_with("body") || answer.ends_with("0\r\n\r\n");
        assert!(!is_whole, "a cut body looks whole: {context}");
    }
    is_kept
}

async fn check_all(forms: &[String], manner: Manner, step: usize) {
    let cases = forms
        .iter()
        .flat_map(|form| (1..form.len()).step_by(step).map(move |len| (form.clone(), len)));
    let cases: Vec<_> = cases.collect();
    assert!(cases.len() > 20);
    let mut kept = 0;
    for batch in cases.chunks(AT_ONCE) {
        let running: Vec<_> = batch
            .iter()
            .map(|(form, len)| tokio::spawn(check(form.clone(), *len, manner)))
            .collect();
        for it in running {
            kept += usize::from(it.await.unwrap());
        }
    }
    assert!(kept > cases.len() / 2, "{kept} of {} on the first connection", cases.len());
}

fn forms() -> Vec<String> {
    let forms = [LENGTH, CHUNKED, NO_LENGTH, OLD, NO_BODY].map(common::genuine);
    let interim = format!("HTTP/1.1 100 Continue\r\n\r\n{}", common::genuine(LENGTH));
    forms.into_iter().chain([interim]).collect()
}

/// Guards against a success without the endpoint's body, after an endpoint that stopped in the head of its answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_cut_at_any_byte_is_no_whole_success() {
    check_all(&forms(), Manner::Fresh, 1).await;
}

/// Guards against the same on a connection that has carried an answer before, whose rest could be taken for the next one.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_cut_on_a_kept_connection_is_no_whole_success() {
    check_all(&forms(), Manner::Kept, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_cut_after_several_packets_is_no_whole_success() {
    check_all(&forms(), Manner::InTwo, 3).await;
}

/// The request ends by its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_after_which_the_endpoint_stays_silent_is_no_whole_success() {
    let forms: Vec<_> =
        forms().into_iter().filter(|it| !it.contains("text/plain\r\n\r\n")).collect();
    check_all(&forms, Manner::Silent, 7).await;
}
