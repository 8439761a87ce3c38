//! DRAIN: an endpoint leaves while the node that hands out the slots of its service is paused. After the pause that node
//! hands the endpoint out again, and nodes that were never disturbed send it new work.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::{Callers, Load, Outcome};
use crate::endpoint::{Endpoint, Run};
use crate::fleet::{BOOKING, Fleet, SERVICE};
use crate::node::Signal;
use crate::record::Record;

/// `drainS`.
const DRAIN: Duration = Duration::from_secs(2);
/// Time from the beginning of the pause until the entry goes.
const LEAVES_AFTER: Duration = Duration::from_millis(200);
/// Time from the removal of the entry to the end of the pause.
const RESUMED_AFTER: Duration = Duration::from_millis(2_200);
/// How long the leaving endpoint serves on after its entry has gone: `drainS` and a little longer.
const ENDS_AFTER: Duration = Duration::from_millis(3_200);
/// Callers, each with one request at a time: a little more than the endpoints have slots, as when many come at once.
const CALLERS: usize = 36;
/// Number of the endpoint that leaves.
const LEAVER: usize = 0;

/// Time for which an endpoint works on its n-th request.
fn work(n: u64) -> Duration {
    Duration::from_millis([160, 240, 240, 320, 600][n as usize % 5])
}

pub fn run(record: &Record, is_disrupted: bool) -> io::Result<bool> {
    let zones = ["quito-a", "quito-a", "quito-b", "quito-b", "ibarra", "ibarra"];
    let endpoint =
        |i: usize| Endpoint::start(&format!("i-{i}"), SERVICE, zones[i], 3, work, record);
    let endpoints = (0..zones.len()).map(endpoint).collect::<io::Result<Vec<_>>>()?;
    let fleet = Fleet::start(&zones, endpoints, record)?;
    let load = Load { callers: CALLERS, kinds: &[BOOKING] };
    let callers = Callers::start(load, &fleet.balancer, record);
    thread::sleep(Duration::from_secs(4));
    let dispatcher = fleet.dispatcher()?;
    record.say(format!("node {} hands out the slots", dispatcher + 1));
    if is_disrupted {
        fleet.nodes[dispatcher].signal(Signal::Stop);
        record.say(format!("node {} is paused", dispatcher + 1));
    }
    thread::sleep(LEAVES_AFTER);
    let leaver = &fleet.endpoints[LEAVER];
    fleet.store.remove(&leaver.key());
    let acked = Instant::now();
    record.say(format!(
        "endpoint {} leaves: the store has taken that its entry goes, and it serves on",
        leaver.id
    ));
    thread::sleep(RESUMED_AFTER);
    if is_disrupted {
        fleet.nodes[dispatcher].signal(Signal::Cont);
        record.say(format!("node {} continues", dispatcher + 1));
    }
    thread::sleep((acked + ENDS_AFTER).saturating_duration_since(Instant::now()));
    leaver.end();
    record.say(format!("endpoint {} ends", leaver.id));
    thread::sleep(Duration::from_secs(2));
    let sent = callers.stop();
    let sent_as = |run: &Run| sent.iter().find(|it| it.id == run.request);
    // A node that was paused is not in touch.
    let is_in_touch = |node: usize| !is_disrupted || node != dispatcher;
    let runs = leaver.runs();
    let late = runs.iter().filter(|run| run.arrived > acked + DRAIN);
    let late: Vec<&Run> =
        late.filter(|run| sent_as(run).is_some_and(|it| is_in_touch(it.node))).collect();
    let mut lost = 0;
    for run in &late {
        let Some(it) = sent_as(run) else { continue };
        let is_served = matches!(&it.outcome, Outcome::Answer(it) if it.status() == 200);
        lost += usize::from(!is_served);
        let end = if is_served { "" } else { "; it was lost when the endpoint ended" };
        record.line(format!(
            "DRAIN: booking {} reached {} {:.3} s after the store had taken that it leaves, from node {}{end}",
            run.request, run.endpoint, (run.arrived - acked).as_secs_f64(), it.node + 1
        ));
    }
    record.say(format!(
        "{} bookings sent; {} reached {} more than 2 s after it had left, from nodes in touch; {lost} of them were lost",
        sent.len(), late.len(), leaver.id
    ));
    Ok(late.is_empty())
}
