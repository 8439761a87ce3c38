//! An endpoint leaves without having said `draining`, at the moment at which machines of the system are lost. No
//! machine that is in touch may pass a request on to it later than `drainS` after the store has taken that.

use std::fs;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{self, Ask, End};
use crate::endpoint::{Call, Endpoint, Work};
use crate::fleet::{Fleet, SEEDS, ZONES};
use crate::route::{OTHER_SERVICES, Route};
use crate::store::Store;

/// `slot-lookup` of the small deployment, with its service.
const ROUTE: Route = Route {
    host: "disponibilidad.example",
    prefix: "/slots/",
    kind: "safe",
    timeout: Duration::from_millis(2_500),
    objective: Duration::from_secs(1),
    max_attempts: 2,
    service: "disponibilidad",
};
const TIME_LIMIT: Duration = Duration::from_secs(5);
const WORK: Duration = Duration::from_millis(320);
const ANSWER_BYTES: usize = 400;
const ENDPOINTS: usize = 9;
const SLOTS: usize = 3;
/// Time from the start of traffic until the endpoint leaves, or until the store is down.
const BEFORE: Duration = Duration::from_secs(10);
/// Time from the end of the store's outage until the endpoint leaves. It is longer than `contactS`, 3 s.
const CALM: Duration = Duration::from_secs(8);
/// `drainS`, counted from the store's acknowledgement.
const DRAIN: Duration = Duration::from_secs(2);
/// An endpoint that leaves serves on for this long, and ends then.
const SERVES_ON: Duration = Duration::from_secs(5);
/// Endpoints leave one after the other, this long after the end of the one before.
const PAUSE: Duration = Duration::from_secs(5);
/// Time from an answer of the store to the machine that reads it until that machine is killed.
const AFTER_ANSWER: Duration = Duration::from_millis(150);
/// Number of endpoints that leave.
const DEPARTURES: usize = 4;

/// What happens beside the departure.
pub struct Trouble {
    /// Machines of the system. All are in one zone.
    pub machines: usize,
    /// Clients that each have one request open.
    pub clients: usize,
    /// How long the store is down, some seconds before.
    pub outage: Option<Duration>,
    /// Whether endpoints of other services join and leave right before the departure.
    pub with_others: bool,
    /// Which machines are lost, and how long each process is away.
    pub lost: Option<(Lost, Duration)>,
}

/// Which machines are lost.
#[derive(Clone, Copy)]
pub enum Lost {
    /// The one that read the store last.
    Reader,
    /// The one that read the store last, and the seeds.
    ReaderAndSeeds,
}

pub fn run(dir: &Path, trouble: &Trouble) -> io::Result<Verdict> {
    let store = Store::default();
    store.put("op/config", Some(&ROUTE.config()));
    let work: Work = Arc::new(|mut call: Call| {
        thread::sleep(WORK);
        call.begin_answer(ANSWER_BYTES) && call.conn.write(&[b'x'; ANSWER_BYTES]).is_ok()
    });
    let start = |i| {
        Endpoint::start(
            &store,
            &format!("i-slots{i}"),
            ROUTE.service,
            ZONES[0],
            SLOTS,
            work.clone(),
        )
    };
    let endpoints: Vec<Endpoint> = (0..ENDPOINTS).map(start).collect();
    let [bookings, archive] = OTHER_SERVICES;
    let mut others = Vec::new();
    if trouble.with_others {
        others.push(Other::start(&store, bookings, 16, 4, 2));
        others.push(Other::start(&store, archive, 6, 1, 0));
    }
    let mut fleet = Fleet::start(dir, &vec![ZONES[0]; trouble.machines], &store)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..trouble.clients)
        .map(|client| {
            let is_over = is_over.clone();
            let nodes: Vec<_> = fleet.nodes.iter().map(|it| it.front).collect();
            thread::spawn(move || ask_in_turn(client, &nodes, &is_over))
        })
        .collect();
    thread::sleep(BEFORE);
    if let Some(outage) = trouble.outage {
        store.set_down(true);
        thread::sleep(outage);
        store.set_down(false);
        thread::sleep(CALM);
    }
    let mut departures = Vec::new();
    for endpoint in &endpoints[..DEPARTURES] {
        departures.push(leave(&store, &mut fleet, endpoint, &mut others, trouble)?);
        thread::sleep(PAUSE);
    }
    is_over.store(true, Ordering::SeqCst);
    let ends: Vec<(String, End)> = clients.into_iter().flat_map(|it| it.join().unwrap()).collect();

    let mut record = fs::File::create(dir.join("record.txt"))?;
    for (id, end) in &ends {
        writeln!(record, "request {id}: {end:?}")?;
    }
    let begin = departures[0].at;
    let since = |at: Instant| match at.checked_duration_since(begin) {
        Some(it) => it.as_secs_f64(),
        None => -begin.duration_since(at).as_secs_f64(),
    };
    for endpoint in &endpoints {
        for (at, id) in endpoint.arrivals.lock().unwrap().iter() {
            writeln!(record, "{} runs {id} at {:+.3} s", endpoint.id, since(*at))?;
        }
    }
    let served =
        ends.iter().filter(|(_, it)| matches!(it, End::Answer { status: 200, .. })).count();
    let (requests, outage) = (ends.len(), trouble.outage);
    writeln!(
        record,
        "the store was down before: {outage:?}; {requests} requests, {served} answered with success"
    )?;
    let mut is_broken = false;
    for (endpoint, Departure { at: left, lost }) in endpoints.iter().zip(&departures) {
        let id = &endpoint.id;
        writeln!(
            record,
            "{:+.3} s: the store takes the departure of {id}; machines killed: {lost:?}",
            since(*left)
        )?;
        // Requests of the killed machines, which are not in touch, do not count.
        let is_in_touch = |id: &str| !lost.iter().any(|it| id.starts_with(&format!("m{it}-")));
        for (at, request) in endpoint.arrivals.lock().unwrap().iter() {
            if *at > *left + DRAIN && is_in_touch(request) {
                is_broken = true;
                let after = at.duration_since(*left).as_secs_f64();
                writeln!(
                    record,
                    "late: {request} reaches {id} {after:.3} s after its departure was taken"
                )?;
            }
        }
    }
    writeln!(record, "{}", if is_broken { "DRAIN is broken" } else { "DRAIN holds" })?;
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

/// A service that gets no requests.
struct Other {
    service: &'static str,
    /// The endpoints that it began with and that have not left.
    endpoints: Vec<Endpoint>,
    /// Endpoints that join at each change, and that say `draining`.
    joining: usize,
    leaving: usize,
    joined: usize,
}

impl Other {
    fn start(
        store: &Store,
        service: &'static str,
        count: usize,
        joining: usize,
        leaving: usize,
    ) -> Self {
        let endpoints = (0..count).map(|i| idle(store, service, i)).collect();
        Self { service, endpoints, joining, leaving, joined: count }
    }

    /// Endpoints join, and others say that they leave, which are returned.
    fn change(&mut self, store: &Store) -> Vec<Endpoint> {
        for _ in 0..self.joining {
            idle(store, self.service, self.joined);
            self.joined += 1;
        }
        let leaving: Vec<Endpoint> = self.endpoints.drain(..self.leaving).collect();
        leaving.iter().for_each(|it| it.say_draining(store));
        leaving
    }
}

/// Starts an endpoint that is never asked.
fn idle(store: &Store, service: &str, number: usize) -> Endpoint {
    let work: Work = Arc::new(|_| false);
    Endpoint::start(store, &format!("i-{service}{number}"), service, ZONES[0], SLOTS, work)
}

/// The departure of one endpoint.
struct Departure {
    /// When the store had taken it.
    at: Instant,
    /// The machines that were killed.
    lost: Vec<usize>,
}

/// Kills the machines that are to be lost, lets an endpoint leave, starts the machines again and ends the endpoint.
fn leave(
    store: &Store,
    fleet: &mut Fleet,
    endpoint: &Endpoint,
    others: &mut [Other],
    trouble: &Trouble,
) -> io::Result<Departure> {
    let reader = store.next_reader();
    thread::sleep(AFTER_ANSWER);
    let lost: Vec<usize> = match trouble.lost {
        None => Vec::new(),
        Some((Lost::Reader, _)) => vec![reader],
        Some((Lost::ReaderAndSeeds, _)) => {
            (0..trouble.machines).filter(|it| *it == reader || *it < SEEDS).collect()
        }
    };
    lost.iter().for_each(|it| fleet.nodes[*it].kill());
    let leaving = others.iter_mut().map(|it| it.change(store)).collect::<Vec<_>>().concat();
    endpoint.leave_silently(store);
    let at = Instant::now();
    let away = trouble.lost.map_or(Duration::ZERO, |(_, away)| away);
    thread::sleep(away);
    for it in &lost {
        fleet.nodes[*it].start()?;
    }
    thread::sleep(SERVES_ON.saturating_sub(away));
    endpoint.end();
    for it in leaving {
        it.leave_silently(store);
        it.end();
    }
    Ok(Departure { at, lost })
}

/// Sends one request after the other, to the machines in turn. The machine is named in the id.
fn ask_in_turn(client: usize, nodes: &[SocketAddr], is_over: &AtomicBool) -> Vec<(String, End)> {
    let mut ends = Vec::new();
    for i in 0.. {
        if is_over.load(Ordering::SeqCst) {
            break;
        }
        let machine = (client + i) % nodes.len();
        let ask = Ask {
            method: "GET",
            host: ROUTE.host,
            path: format!("{}{client}/{i}", ROUTE.prefix),
            id: format!("m{machine}-c{client}-{i}"),
            body: Vec::new(),
            time_limit: TIME_LIMIT,
        };
        let end = client::send(nodes[machine], &ask).end;
        ends.push((ask.id, end));
        thread::sleep(Duration::from_millis(20));
    }
    ends
}
