//! CONFIG: the node that reads the store is paused while an answer of the store is on its way to it. When it continues,
//! partitioned from the store by then, it passes that answer off as the present state of the store, and the other nodes
//! of its zone wait for it while a newer configuration lies in the store.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::{Callers, Load, Outcome, Sent};
use crate::endpoint::{Endpoint, Run};
use crate::fleet::{Fleet, LOOKUP, OTHER_SERVICE, SERVICE};
use crate::node::Signal;
use crate::record::Record;

/// `configApplyS`.
const CONFIG_APPLY: Duration = Duration::from_secs(2);
/// The pause begins this long after the reader's watch: by then the reader has told the others of the answer before.
const PAUSED_AFTER: Duration = Duration::from_millis(110);
/// The pause ends this long after the reader's watch, before others take over for a reader that is silent.
const RESUMED_AFTER: Duration = Duration::from_millis(1_050);
/// Callers, each with one request at a time.
const CALLERS: usize = 24;
/// How long a watch may have waited when the case begins.
const FRESH_WATCH: Duration = Duration::from_millis(10);

/// Time for which an endpoint works on its n-th request.
fn work(_: u64) -> Duration {
    Duration::from_millis(160)
}

pub fn run(record: &Record, is_disrupted: bool) -> io::Result<bool> {
    let start = |id: &str, service| Endpoint::start(id, service, "quito-a", 3, work, record);
    let mut endpoints = Vec::new();
    for i in 0..10 {
        endpoints.push(start(&format!("old-{i}"), SERVICE)?);
        endpoints.push(start(&format!("new-{i}"), OTHER_SERVICE)?);
    }
    let added = start("added", SERVICE)?;
    let fleet = Fleet::start(&["quito-a"; 4], endpoints, record)?;
    let load = Load { callers: CALLERS, kinds: &[LOOKUP] };
    let callers = Callers::start(load, &fleet.balancer, record);
    thread::sleep(Duration::from_secs(4));
    let (reader, watching_since) = await_fresh_watch(&fleet)?;
    let sleep_until = |at: Instant| thread::sleep(at.saturating_duration_since(Instant::now()));
    record.say(format!("node {} reads the store", reader + 1));
    sleep_until(watching_since + PAUSED_AFTER);
    if is_disrupted {
        fleet.nodes[reader].signal(Signal::Stop);
        record.say(format!("node {} is paused", reader + 1));
    }
    fleet.store.put(&added.key(), &added.entry());
    record.say("an endpoint is added, which ends the watch");
    thread::sleep(Duration::from_millis(8));
    fleet.move_lookups();
    let acked = Instant::now();
    record.say("the store has taken version 12, which sends look-ups to the other service");
    if is_disrupted {
        fleet.store.cut(reader);
        record.say(format!("node {} is partitioned from the store", reader + 1));
        sleep_until(watching_since + RESUMED_AFTER);
        fleet.nodes[reader].signal(Signal::Cont);
        record.say(format!("node {} continues", reader + 1));
    }
    sleep_until(acked + 2 * CONFIG_APPLY);
    let sent = callers.stop();
    let runs: Vec<Run> = fleet.endpoints.iter().chain([&added]).flat_map(Endpoint::runs).collect();
    // The reader was paused and is partitioned from the store: it is not in touch.
    let is_in_touch = |it: &Sent| !is_disrupted || it.node != reader;
    let is_of_old_service = |id: &str| !id.starts_with("new-");
    let run_of = |it: &Sent| {
        runs.iter().find(|run| run.request == it.id && is_of_old_service(&run.endpoint))
    };
    let mut late = 0;
    let mut longest = Duration::ZERO;
    for it in &sent {
        let Some(run) = run_of(it).filter(|_| it.sent > acked + CONFIG_APPLY && is_in_touch(it))
        else {
            continue;
        };
        let age = it.sent - acked;
        longest = longest.max(age);
        late += 1;
        let status = match &it.outcome {
            Outcome::Answer(answer) => answer.status(),
            _ => 0,
        };
        record.line(format!(
            "CONFIG: look-up {} was sent to node {} {:.3} s after version 12 was acknowledged, and {} of the old service ran it (status {status})",
            it.id, it.node + 1, age.as_secs_f64(), run.endpoint
        ));
    }
    record.say(format!(
        "{} look-ups sent; {late} were handled by the old version more than 2 s after the new one was acknowledged, the last sent after {:.3} s",
        sent.len(), longest.as_secs_f64()
    ));
    Ok(late == 0)
}

/// Waits until a watch has just begun; returns whose it is, and since when it waits.
fn await_fresh_watch(fleet: &Fleet) -> io::Result<(usize, Instant)> {
    let since = Instant::now();
    while since.elapsed() < Duration::from_secs(5) {
        let latest = fleet.store.latest_watch();
        if let Some(it) = latest.filter(|(_, at)| at.elapsed() < FRESH_WATCH) {
            return Ok(it);
        }
        thread::sleep(Duration::from_millis(1));
    }
    Err(io::Error::other("no node reads the store"))
}
