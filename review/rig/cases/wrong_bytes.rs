//! MIXED: half of the endpoints spoil three in a hundred of their answers.

use std::io;
use std::thread;
use std::time::Duration;

use crate::caller::{Callers, Load, Outcome, Sent};
use crate::endpoint::{Endpoint, Run};
use crate::fleet::{BOOKING, Fleet, LOOKUP, SERVICE};
use crate::http::Message;
use crate::record::Record;

/// Callers, each with one request at a time.
const CALLERS: usize = 16;
/// How long answers are spoilt.
const SPOILT_FOR: Duration = Duration::from_secs(10);

/// Time for which an endpoint works on its n-th request.
fn work(_: u64) -> Duration {
    Duration::from_millis(160)
}

/// Why a success breaks the rule; `None` if it does not.
fn fault_of(answer: &Message, run: Option<&Run>) -> Option<&'static str> {
    let has_body = run.is_some_and(|run| run.body.as_bytes() == answer.body);
    match answer.header("x-response-signature") {
        None => Some("it lacks the signature of the endpoint"),
        Some(_) if !has_body => Some("its bytes are not the body of the endpoint"),
        Some(_) => None,
    }
}

pub fn run(record: &Record, is_disrupted: bool) -> io::Result<bool> {
    let zones = ["quito-a", "quito-b", "ibarra"];
    let endpoint =
        |i: usize| Endpoint::start(&format!("i-{i}"), SERVICE, zones[i % 3], 3, work, record);
    let endpoints = (0..6).map(endpoint).collect::<io::Result<Vec<_>>>()?;
    let fleet = Fleet::start(&zones, endpoints, record)?;
    let load = Load { callers: CALLERS, kinds: &[BOOKING, BOOKING, LOOKUP, LOOKUP] };
    let callers = Callers::start(load, &fleet.balancer, record);
    thread::sleep(Duration::from_secs(2));
    if is_disrupted {
        fleet.endpoints[..3].iter().for_each(|it| it.spoil(true));
        record.say("i-0, i-1 and i-2 spoil three in a hundred of their answers for 10 s");
    }
    thread::sleep(SPOILT_FOR);
    fleet.endpoints.iter().for_each(|it| it.spoil(false));
    thread::sleep(Duration::from_secs(1));
    let sent = callers.stop();
    let runs: Vec<Run> = fleet.endpoints.iter().flat_map(Endpoint::runs).collect();
    let fault = |it: &Sent| match &it.outcome {
        Outcome::Answer(answer) if (200..300).contains(&answer.status()) => {
            let own = runs.iter().filter(|run| run.request == it.id);
            let own = own.max_by_key(|run| run.body.as_bytes() == answer.body);
            fault_of(answer, own)
        }
        _ => None,
    };
    let mut mixed = [0, 0];
    for it in &sent {
        let Some(why) = fault(it) else { continue };
        mixed[usize::from(it.kind == LOOKUP.name)] += 1;
        record.line(format!("MIXED: {} {} was answered with a success: {why}", it.kind, it.id));
    }
    let spoilt = runs.iter().filter(|it| it.is_spoilt).count();
    record.say(format!(
        "{} requests sent, {spoilt} answers spoilt; passed on as a success: {} to bookings, {} to look-ups",
        sent.len(), mixed[0], mixed[1]
    ));
    Ok(mixed == [0, 0])
}
