//! Downloads whose endpoint connection goes silent for good in the middle of the answer.

use std::fs;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{self, Ask, End, Outcome};
use crate::endpoint::{Call, Endpoint, Work, time_limit};
use crate::fleet::{Fleet, ZONES};
use crate::route::Route;
use crate::store::Store;

/// The route's `timeoutS`.
const TIMEOUT: Duration = Duration::from_secs(5);
/// The client's time limit.
const TIME_LIMIT: Duration = Duration::from_secs(10);
/// Length of an answer. Each is sent in pieces, over about 1.5 s.
const ANSWER_BYTES: usize = 3_000_000;
const PIECES: usize = 20;
const PIECE_PAUSE: Duration = Duration::from_millis(75);
/// Time within which a final answer is due after `timeoutS`.
const SLACK: Duration = Duration::from_millis(500);
/// The rule counts from this many requests.
const MIN_COUNT: usize = 8;
const ENDPOINTS: usize = 6;
const SLOTS: usize = 3;
const DOWNLOADS: usize = 15;

const ROUTE: Route = Route {
    host: "archivo.example",
    prefix: "/archive/",
    kind: "download",
    timeout: TIMEOUT,
    objective: Duration::from_millis(800),
    max_attempts: 2,
    service: "archivo",
};

/// Sends a download in pieces. A connection that was open when the trouble came says nothing any more.
fn download(is_over: Arc<AtomicBool>) -> Work {
    Arc::new(move |mut call: Call| {
        let was_open_before = !is_over.load(Ordering::SeqCst);
        let limit = time_limit(call.head);
        if !call.begin_answer(ANSWER_BYTES) {
            return false;
        }
        let piece = vec![b'x'; ANSWER_BYTES / PIECES];
        for _ in 0..PIECES {
            if was_open_before && is_over.load(Ordering::SeqCst) {
                // Nothing passes any more in either direction, and nothing tells either side.
                thread::sleep(Duration::from_secs(60));
                return false;
            }
            if Instant::now() > limit || call.conn.write(&piece).is_err() {
                return false;
            }
            thread::sleep(PIECE_PAUSE);
        }
        true
    })
}

pub fn run(dir: &Path, with_trouble: bool) -> io::Result<Verdict> {
    let store = Store::default();
    store.put("op/config", Some(&ROUTE.config()));
    let is_silent = Arc::new(AtomicBool::new(false));
    let _endpoints: Vec<Endpoint> = (0..ENDPOINTS)
        .map(|i| {
            let work = download(is_silent.clone());
            Endpoint::start(
                &store,
                &format!("i-archive{i}"),
                ROUTE.service,
                ZONES[i % 3],
                SLOTS,
                work,
            )
        })
        .collect();
    let fleet = Fleet::start(dir, &ZONES, &store)?;
    thread::sleep(Duration::from_secs(8));
    let mut record = fs::File::create(dir.join("record.txt"))?;
    let mut clients = Vec::new();
    for i in 0..DOWNLOADS {
        let node = fleet.nodes[i % fleet.nodes.len()].front;
        let ask = Ask {
            method: "GET",
            host: ROUTE.host,
            path: format!("/archive/month-{i}"),
            id: format!("{:016x}", 0x5eed_0000 + i),
            body: Vec::new(),
            time_limit: TIME_LIMIT,
        };
        clients.push(thread::spawn(move || (ask.clone(), client::send(node, &ask))));
        thread::sleep(Duration::from_millis(30));
    }
    thread::sleep(Duration::from_millis(500));
    if with_trouble {
        is_silent.store(true, Ordering::SeqCst);
        writeln!(record, "the connections to the endpoints that are open go silent")?;
    }
    let ends: Vec<(Ask, Outcome)> = clients.into_iter().map(|it| it.join().unwrap()).collect();
    for (ask, it) in &ends {
        writeln!(
            record,
            "{} {}: {:?} after {:.2} s",
            ask.id,
            ask.path,
            it.end,
            it.elapsed.as_secs_f64()
        )?;
    }
    let late: Vec<_> = ends.iter().filter(|(_, it)| it.elapsed > TIMEOUT).collect();
    let without_answer = late.iter().filter(|(_, it)| it.elapsed > TIMEOUT + SLACK).count();
    let (late, served) = (
        late.len(),
        ends.iter().filter(|(_, it)| matches!(it.end, End::Answer { status: 200, .. })).count(),
    );
    writeln!(
        record,
        "{} requests, {served} served; {late} ran past timeoutS = {} s, and {without_answer} of them had no final \
         answer {} s after that",
        ends.len(),
        TIMEOUT.as_secs(),
        SLACK.as_secs_f64()
    )?;
    let is_broken = without_answer >= MIN_COUNT && without_answer * 4 > late;
    writeln!(record, "{}", if is_broken { "CONFIG is broken" } else { "CONFIG holds" })?;
    drop(fleet);
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}
