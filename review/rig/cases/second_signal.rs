//! LOST: a node that drains after SIGTERM gets SIGTERM once more within `graceS`.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::{Callers, Load, Outcome, Sent};
use crate::endpoint::{Endpoint, Run};
use crate::fleet::{BOOKING, Fleet, ROUTE_TIMEOUT, SERVICE};
use crate::node::Signal;
use crate::record::Record;

/// Number of the node that is stopped.
const STOPPED: usize = 0;
/// `graceS`.
const GRACE: Duration = Duration::from_secs(6);
/// Time from the first SIGTERM to the second.
const SECOND_AFTER: Duration = Duration::from_millis(1_000);
/// Callers, each with one request at a time.
const CALLERS: usize = 120;

/// Time for which a caller rests before its n-th request, on a connection that it keeps.
fn rest(n: u64) -> Duration {
    Duration::from_millis([1_000, 4_000, 2_000, 3_000, 5_000, 2_500][n as usize % 6])
}

/// Time for which an endpoint works on its n-th request.
fn work(n: u64) -> Duration {
    Duration::from_millis([240, 400, 900, 1_500][n as usize % 4])
}

pub fn run(record: &Record, is_disrupted: bool) -> io::Result<bool> {
    let zones = ["quito-a", "quito-b", "ibarra"];
    let endpoint =
        |i: usize| Endpoint::start(&format!("i-{i}"), SERVICE, zones[i % 3], 3, work, record);
    let endpoints = (0..18).map(endpoint).collect::<io::Result<Vec<_>>>()?;
    let mut fleet = Fleet::start(&zones, endpoints, record)?;
    let load = Load { callers: CALLERS, kinds: &[BOOKING], rest };
    let callers = Callers::start(load, &fleet.balancer, record);
    thread::sleep(Duration::from_secs(8));
    let stopped_at = Instant::now();
    fleet.nodes[STOPPED].signal(Signal::Term);
    record.say("SIGTERM to node 1");
    if is_disrupted {
        thread::sleep(SECOND_AFTER);
        fleet.nodes[STOPPED].signal(Signal::Term);
        record.say("SIGTERM to node 1 once more, 1 s after the first");
    }
    let has_ended = fleet.nodes[STOPPED].wait_end(GRACE + Duration::from_secs(1));
    record.say(format!(
        "node 1 ended {:.3} s after the first SIGTERM",
        stopped_at.elapsed().as_secs_f64()
    ));
    if !has_ended {
        return Err(io::Error::other("the node did not end within its grace period"));
    }
    thread::sleep(Duration::from_secs(1));
    let sent = callers.stop();
    let runs: Vec<Run> = fleet.endpoints.iter().flat_map(Endpoint::runs).collect();
    // The last sixth of `graceS` excuses a request on which an endpoint still works.
    let last_sixth = stopped_at + GRACE.mul_f64(5.0 / 6.0);
    let is_lost = |it: &&Sent| {
        let run = runs.iter().find(|run| run.request == it.id && run.began.is_some());
        matches!(it.outcome, Outcome::Closed)
            && it.node == STOPPED
            && run.is_some()
            && it.ended - it.sent < ROUTE_TIMEOUT
            && it.ended < last_sixth
    };
    let lost: Vec<&Sent> = sent.iter().filter(is_lost).collect();
    for it in &lost {
        let run = runs.iter().find(|run| run.request == it.id).expect("it was passed on");
        record.line(format!(
            "LOST: {} {}: node 1 had read it and passed it on to {}, and closed the connection {:.3} s after it was sent",
            it.kind, it.id, run.endpoint, (it.ended - it.sent).as_secs_f64()
        ));
    }
    let bookings = lost.iter().filter(|it| it.kind == BOOKING.name).count();
    record.say(format!(
        "{} requests sent, {} lost at the stop, {bookings} of them bookings",
        sent.len(),
        lost.len()
    ));
    Ok(lost.is_empty())
}
