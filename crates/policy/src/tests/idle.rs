//! How long failed endpoints stay idle: how many bookings are lost by probing them, and whether the
//! availability floor holds.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use resources::{Bias, Floor};

use super::fixture::{BUDGET, SECOND, TERMS, ask, service};
use crate::{Ask, Dispatcher, Kind, PermitId, QueuedReply, Reply, RouteTerms, SendKind, Time};

/// How endpoints become unhealthy.
#[derive(Clone, Copy, Debug)]
struct FaultModel {
    /// Share of the endpoints that is unhealthy at a time.
    share: f64,
    /// Time after which the set of unhealthy endpoints changes.
    lasts: Duration,
    /// Share of the requests that fails at an unhealthy endpoint.
    fails: f64,
}

/// A period in which a share of the endpoints fails, as when a failure domain is lost.
#[derive(Clone, Copy, Debug)]
struct Outage {
    from: Time,
    to: Time,
    share: f64,
}

/// The route also leads to other services, which do not serve all of their requests.
#[derive(Clone, Copy, Debug)]
struct Split {
    /// Share of the route's requests that come to this service.
    share: f64,
    /// Share of the other requests that is not served.
    unserved: f64,
    /// Start of the failures at the other services.
    from: Time,
}

/// Load on a service for some seconds.
#[derive(Clone, Debug)]
pub(super) struct Load {
    endpoints: usize,
    /// Share of the slots that is in use if nothing fails.
    use_of_slots: f64,
    faults: FaultModel,
    outage: Option<Outage>,
    /// Share of the requests that may be repeated.
    repeatable: f64,
    split: Option<Split>,
    /// Share of the endpoints that are in trouble which the dispatcher cannot see. The availability
    /// target does not count these endpoints.
    troubled: f64,
    seconds: u64,
    seed: u64,
}

/// One send or refusal, as the availability target counts it.
#[derive(Clone, Copy, Debug)]
struct Record {
    at: Time,
    endpoint: Option<usize>,
    end: End,
}

/// Result of a send for its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Served,
    Unserved,
    SentAgain,
}

/// Slots per endpoint.
const SLOTS: f64 = 3.0;
/// Mean service time of a request.
const WORK: Duration = Duration::from_millis(230);
/// Share of the requests that fail at a healthy endpoint.
const ISOLATED_FAILURES: f64 = 0.012;
/// Share of the healthy endpoints that must get work.
const FLOOR: f64 = 0.7;
/// Fewest healthy endpoints for which the floor is checked: one of three may get no work by chance.
const MIN_HEALTHY: usize = 8;
/// Requests per endpoint in two seconds below which some endpoints get none by chance.
const MIN_REQUESTS_PER_ENDPOINT: usize = 4;

/// Share of the requests that was not served.
fn unserved_share<'a>(records: impl Iterator<Item = &'a Record>) -> f64 {
    let ended: Vec<_> = records.filter(|it| it.end != End::SentAgain).collect();
    let unserved = ended.iter().filter(|it| it.end == End::Unserved).count();
    unserved as f64 / ended.len().max(1) as f64
}

/// Normal operation; tests set the size and the seed.
const NORMAL_OPERATION: Load = Load {
    endpoints: 0,
    use_of_slots: 0.0,
    faults: USUAL_FAULTS,
    outage: None,
    repeatable: 0.0,
    split: None,
    troubled: 0.0,
    seconds: 24,
    seed: 0,
};

impl Load {
    /// Bookings in normal operation.
    pub(super) fn bookings(endpoints: usize, use_of_slots: f64, seconds: u64) -> Self {
        Self { endpoints, use_of_slots, seconds, seed: 1, ..NORMAL_OPERATION }
    }

    /// Number of sends in two seconds below which the floor is not checked.
    fn min_sends(&self) -> usize {
        let each = if self.split.is_some() { 1 } else { MIN_REQUESTS_PER_ENDPOINT };
        each * self.endpoints
    }
}

/// Simulates the endpoints of a service, its callers and one dispatcher.
pub(super) struct Simulation {
    load: Load,
    rng: StdRng,
    /// Per endpoint: the end of its current period, and whether it is unhealthy in that period.
    health: Vec<(Time, bool)>,
    /// Ends of the open requests: time, sequence number, endpoint, and whether it is served.
    ends: BinaryHeap<Reverse<(Time, u64, usize, bool)>>,
    records: Vec<Record>,
    /// First sends of requests that may be repeated.
    repeatable: HashSet<u64>,
    /// Times of the failures of each endpoint.
    failures: Vec<Vec<Time>>,
    /// Endpoints evaluated for all requests together.
    pub(super) endpoints_evaluated: u64,
}

impl Simulation {
    pub(super) fn new(load: Load) -> Self {
        let mut rng = StdRng::seed_from_u64(load.seed);
        let lasts = load.faults.lasts;
        let health = (0..load.endpoints)
            .map(|_| {
                let until = Time(0) + lasts.mul_f64(rng.random());
                (until, rng.random_bool(load.faults.share))
            })
            .collect();
        let failures = vec![Vec::new(); load.endpoints];
        let (ends, records, repeatable) = Default::default();
        Self { load, rng, health, ends, records, repeatable, failures, endpoints_evaluated: 0 }
    }

    fn is_unhealthy(&mut self, now: Time, i: usize) -> bool {
        while now >= self.health[i].0 {
            let until = self.health[i].0 + self.load.faults.lasts;
            self.health[i] = (until, self.rng.random_bool(self.load.faults.share));
        }
        let is_out = self.load.outage.is_some_and(|it| {
            (it.from..it.to).contains(&now) && (i as f64) < it.share * self.load.endpoints as f64
        });
        self.health[i].1 || is_out
    }

    /// Starts a request on an endpoint. Unhealthy endpoints fail as soon as the work begins.
    fn begin(&mut self, now: Time, seq: u64, i: usize) {
        let fails =
            if self.is_unhealthy(now, i) { self.load.faults.fails } else { ISOLATED_FAILURES };
        let fails = self.rng.random_bool(fails);
        let took = match fails {
            true => Duration::from_millis(5),
            false => WORK.mul_f64(0.2 - (1.0 - self.rng.random::<f64>()).ln() * 0.8),
        };
        if fails {
            self.failures[i].push(now);
        }
        let end = match fails {
            true if self.repeatable.contains(&seq) => End::SentAgain,
            true => End::Unserved,
            false => End::Served,
        };
        self.records.push(Record { at: now, endpoint: Some(i), end });
        self.ends.push(Reverse((now + took, seq, i, !fails)));
    }

    fn take(&mut self, now: Time, dispatcher: &Dispatcher, settled: Vec<QueuedReply>) {
        for it in settled {
            self.reply(now, dispatcher, it.id, it.reply);
        }
    }

    fn reply(&mut self, now: Time, dispatcher: &Dispatcher, id: PermitId, reply: Reply) {
        match reply {
            Reply::Granted(it) => {
                let i = dispatcher.endpoints().iter().position(|e| e.id == it.endpoint).unwrap();
                self.begin(now, id.seq, i);
            }
            Reply::Refused { .. } | Reply::Rejected { .. } => {
                self.records.push(Record { at: now, endpoint: None, end: End::Unserved });
            }
            Reply::Queued | Reply::Full | Reply::Elsewhere { .. } => {}
        }
    }

    /// Plays the load against one dispatcher that gets all evidence.
    pub(super) fn play(mut self) -> Self {
        let per_domain = self.load.endpoints.div_ceil(4);
        let sizes: Vec<_> = (0..4)
            .map(|i| self.load.endpoints.saturating_sub(i * per_domain).min(per_domain))
            .collect();
        let mut service = service(&sizes, 1, Bias::Speed);
        service.floor = Floor::Percent((FLOOR * 100.0) as u8);
        let share = self.load.split.map_or(1.0, |it| it.share);
        let terms = [RouteTerms { share, ..TERMS }];
        let mut dispatcher = Dispatcher::new(Time(0), &service, &terms, BUDGET);
        let mut rng = StdRng::seed_from_u64(self.load.seed);
        let mut unreported = 0;
        let slots = self.load.endpoints as f64 * SLOTS;
        let every = WORK.div_f64(slots * self.load.use_of_slots);
        let end = Time(0) + SECOND * self.load.seconds as u32;
        let (mut next, mut tick, mut seq) = (Time(0), Time(0), 0);
        while next < end {
            let ending = self.ends.peek().map_or(end, |Reverse((at, ..))| *at);
            if ending <= next && ending <= tick {
                let Some(Reverse((now, seq, i, is_served))) = self.ends.pop() else { break };
                let id = ask(seq, true).id;
                let kind = if is_served { Kind::Answered } else { Kind::Failed };
                let settled = dispatcher.release(now, id, kind, WORK, &mut rng);
                self.take(now, &dispatcher, settled);
                if !is_served && self.repeatable.remove(&seq) {
                    let avoid = vec![dispatcher.endpoints()[i].addr];
                    let send = SendKind::Further;
                    let ask = Ask { is_last: true, avoid, send, ..ask(seq + 1, true) };
                    let id = ask.id;
                    let reply = dispatcher.ask(now, ask, &mut rng);
                    self.reply(now, &dispatcher, id, reply);
                }
            } else if tick <= next {
                let settled = dispatcher.tick(tick, &mut rng);
                self.take(tick, &dispatcher, settled);
                dispatcher.unserved_elsewhere(tick, std::mem::take(&mut unreported));
                tick = tick + Duration::from_millis(100);
            } else {
                let repeatable = self.rng.random_bool(self.load.repeatable);
                if repeatable {
                    self.repeatable.insert(seq);
                }
                let ask = Ask { repeatable, is_last: !repeatable, ..ask(seq, true) };
                let id = ask.id;
                let reply = dispatcher.ask(next, ask, &mut rng);
                self.reply(next, &dispatcher, id, reply);
                unreported += self.elsewhere(next);
                next = next + every;
                // The odd number in between is for a second send.
                seq += 2;
            }
        }
        self.records.sort_by_key(|it| it.at);
        self.endpoints_evaluated = dispatcher.take_counts().endpoints_evaluated;
        self
    }

    /// Number of endpoints that got work.
    pub(super) fn reached(&self) -> usize {
        self.records.iter().filter_map(|it| it.endpoint).collect::<HashSet<_>>().len()
    }

    /// Adds the route's requests to other services; returns how many are not served.
    fn elsewhere(&mut self, at: Time) -> u32 {
        let Some(split) = self.load.split else { return 0 };
        let others = (1.0 / split.share - 1.0) as u32;
        let unserved = (0..others)
            .filter(|_| at >= split.from && self.rng.random_bool(split.unserved))
            .count() as u32;
        let end = |i| if i < unserved { End::Unserved } else { End::Served };
        self.records.extend((0..others).map(|i| Record { at, endpoint: None, end: end(i) }));
        unserved
    }

    /// Share of the requests sent from `from` on that was not served.
    pub(super) fn unserved(&self, from: Time) -> f64 {
        unserved_share(self.records.iter().filter(|it| it.at >= from))
    }

    /// The first window of two seconds in which more healthy endpoints are idle than the floor
    /// allows, whether the floor applies or not: the event that makes it apply may come right after
    /// the window.
    fn too_many_idle(&self) -> Option<String> {
        let window = SECOND * 2;
        let steps = (self.load.seconds - 8) * 10;
        (0..steps).map(|i| Time(0) + SECOND * 6 + Duration::from_millis(100 * i)).find_map(|from| {
            let to = from + window;
            let troubled = (self.load.troubled * self.load.endpoints as f64) as usize;
            // An endpoint with an isolated failure counts as healthy again after two seconds.
            let failed =
                |i: usize| self.failures[i].iter().any(|it| *it + window > from && *it < to);
            let healthy: Vec<_> =
                (troubled..self.load.endpoints).filter(|it| !failed(*it)).collect();
            let is_reached = |i: usize| {
                let mut to_it = self.records.iter().filter(|it| it.endpoint == Some(i));
                to_it.any(|it| (from..to).contains(&it.at))
            };
            let reached = healthy.iter().filter(|i| is_reached(**i)).count();
            let is_below =
                healthy.len() >= MIN_HEALTHY && (reached as f64) < FLOOR * healthy.len() as f64;
            is_below.then(|| format!("{from:?}: {reached} of {} healthy endpoints", healthy.len()))
        })
    }

    /// The first window of two seconds in which the availability floor applies and is violated.
    fn below_floor(&self) -> Option<String> {
        let window = SECOND * 2;
        let steps = (self.load.seconds - 4) * 10;
        (0..steps).map(|i| Time(0) + SECOND * 2 + Duration::from_millis(100 * i)).find_map(|from| {
            let to = from + window;
            let records: Vec<_> =
                self.records.iter().filter(|it| (from..to).contains(&it.at)).collect();
            let share = unserved_share(records.iter().copied());
            let here = records.iter().filter(|it| it.endpoint.is_some()).count();
            if here < self.load.min_sends() || share <= 0.1 || share >= 0.5 {
                return None;
            }
            let is_out = |i: usize| {
                self.load.outage.is_some_and(|it| {
                    let until = it.to + SECOND * 8;
                    (i as f64) < it.share * self.load.endpoints as f64
                        && it.from < to
                        && until > from
                })
            };
            let failed = |i: usize| {
                let latest = from.0.saturating_sub(window.as_micros() as u64);
                self.failures[i].iter().any(|it| (Time(latest)..to).contains(it))
            };
            let healthy: Vec<_> =
                (0..self.load.endpoints).filter(|i| !is_out(*i) && !failed(*i)).collect();
            let is_reached = |i: usize| records.iter().any(|it| it.endpoint == Some(i));
            let reached = healthy.iter().filter(|i| is_reached(**i)).count();
            let is_below = reached > 0
                && healthy.len() >= MIN_HEALTHY
                && (reached as f64) < FLOOR * healthy.len() as f64;
            let n = healthy.len();
            is_below.then(|| format!("{from:?}: {reached} of {n} healthy, {share:.2} unserved"))
        })
    }
}

/// Faults in normal operation.
const USUAL_FAULTS: FaultModel =
    FaultModel { share: 0.3, lasts: Duration::from_secs(9), fails: 0.75 };

/// Seeds over which losses are averaged; the loss of a single seed is off by up to 0.002.
const SEEDS: u64 = 4;

/// Bookings with three of ten endpoints unhealthy at any time and all evidence in one place. When
/// every endpoint was probed 3.6 s after its last request, 4.6, 3.6 and 3.2 % were lost. With no
/// probes while slots are spare it would be 2.6, 2.5 and 2.4 %, but the floor would be violated.
#[test]
fn while_slots_are_spare_few_bookings_are_lost_to_probes() {
    for (endpoints, use_of_slots, most) in
        [(431, 0.19, 0.040), (431, 0.32, 0.031), (99, 0.3, 0.030)]
    {
        let load = Load { endpoints, use_of_slots, ..NORMAL_OPERATION };
        let lost = (1..=SEEDS).map(|seed| {
            let load = Load { seed, ..load.clone() };
            Simulation::new(load).play().unserved(Time(0) + SECOND * 8)
        });
        let lost = lost.sum::<f64>() / SEEDS as f64;
        assert!(lost < most, "{endpoints} endpoints at {use_of_slots}: {lost:.4}");
    }
}

fn loads() -> impl Strategy<Value = Load> {
    let faults = (0.0..0.5, 1_000..12_000u64, 0.3..1.0).prop_map(|(share, ms, fails)| FaultModel {
        share,
        lasts: Duration::from_millis(ms),
        fails,
    });
    let outage =
        proptest::option::of((9_000..14_000u64, 100..4_000u64, 0.05..0.9)).prop_map(|it| {
            it.map(|(from, ms, share)| Outage {
                from: Time(0) + Duration::from_millis(from),
                to: Time(0) + Duration::from_millis(from + ms),
                share,
            })
        });
    let size = prop_oneof![2..20usize, 20..100usize, 100..300usize];
    (size, 0.1..0.95, faults, outage, 0.0..1.0, any::<u64>()).prop_map(
        |(endpoints, use_of_slots, faults, outage, repeatable, seed)| Load {
            endpoints,
            use_of_slots,
            faults,
            outage,
            repeatable,
            split: None,
            troubled: 0.0,
            seconds: 18,
            seed,
        },
    )
}

/// The same loads on split routes, with fewer requests for this service.
fn split_loads() -> impl Strategy<Value = Load> {
    let from = (0..14_000u64).prop_map(|ms| Time(0) + Duration::from_millis(ms));
    let split = (0.2..0.8, 0.0..0.8, from);
    let split = split.prop_map(|(share, unserved, from)| Split { share, unserved, from });
    (loads(), split, 0.03..0.4).prop_map(|(load, split, use_of_slots)| Load {
        split: Some(split),
        use_of_slots,
        ..load
    })
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::with_cases(12) })]

    /// There are never so many idle endpoints that the floor is violated while it applies.
    #[test]
    fn the_floor_holds_whichever_endpoints_are_idle(load in loads()) {
        let below = Simulation::new(load).play().below_floor();
        prop_assert!(below.is_none(), "{}", below.unwrap());
    }

    /// The floor also holds while most unserved requests are those of other services.
    #[test]
    fn the_floor_holds_on_split_routes(load in split_loads()) {
        let below = Simulation::new(load).play().below_floor();
        prop_assert!(below.is_none(), "{}", below.unwrap());
    }
}

/// Guards against idle endpoints on split routes. Four of thirteen healthy endpoints of a download
/// service got no work for two seconds, while 101 of 274 downloads were not served. The downloads
/// were split over three services, and another service refused most of its requests; of the 80
/// requests a second that came to this service nearly all were answered. Its dispatcher therefore
/// saw no pressure, left endpoints idle for 3.6 s and longer, and chose at random among the others:
/// with 1.2 requests per endpoint in two seconds, many of them get none.
///
/// A log of this fault shows 72 to 82 first sends a second for 130 endpoints, none unserved, and 4
/// to 37 endpoints idle for two to six seconds, while 154 of 623 downloads of the route were not
/// served.
#[test]
fn the_floor_holds_while_other_services_of_a_split_route_refuse() {
    let of = |endpoints, use_of_slots, share, unserved, seed| Load {
        endpoints,
        use_of_slots,
        faults: USUAL_FAULTS,
        outage: None,
        repeatable: 1.0,
        split: Some(Split { share, unserved, from: Time(0) + SECOND * 4 }),
        troubled: 0.0,
        seconds: 18,
        seed,
    };
    for seed in 1..=3 {
        for load in [
            of(130, 0.05, 0.25, 0.3, seed),
            of(57, 0.1, 0.34, 0.45, seed),
            of(24, 0.08, 0.5, 0.5, seed),
        ] {
            let below = Simulation::new(load.clone()).play().below_floor();
            assert!(below.is_none(), "{load:?}: {}", below.unwrap());
        }
    }
}

/// Guards against too many idle endpoints just before a loss of requests. Four of eleven healthy
/// endpoints of a hand-in service got no work for two seconds, while 30 of 179 hand-ins were not
/// served. Eight of 19 endpoints were in trouble that the dispatcher does not see, and some of the
/// others failed for seconds at a time. Endpoints that had failed were left idle in normal
/// operation; then all processes of the fleet ended and the open requests were lost. So the floor
/// began to apply after the evaluated window of two seconds.
///
/// The cause: the number of idle endpoints was bounded by a share of all endpoints that looked
/// healthy, although the availability target counts far fewer, and an endpoint counted as idle
/// after 3.6 s instead of two.
///
/// In a run in normal operation with 99 endpoints, 7 of 22 log lines of the dispatching node showed
/// more than three tenths of the endpoints that the node itself took for healthy idle for two
/// seconds (18 of 48 at worst). This model finds work at 12 of 18 healthy endpoints where 40 % are
/// in trouble.
#[test]
fn in_normal_operation_no_more_endpoints_are_idle_than_the_floor_allows() {
    for seed in 1..=6 {
        for (endpoints, use_of_slots, troubled) in
            [(19, 0.37, 0.43), (19, 0.37, 0.0), (60, 0.3, 0.4)]
        {
            let load = Load { endpoints, use_of_slots, troubled, seed, ..NORMAL_OPERATION };
            let idle = Simulation::new(load.clone()).play().too_many_idle();
            assert!(idle.is_none(), "{load:?}: {}", idle.unwrap());
        }
    }
}

/// Guards against idle endpoints where requests are repeatable. Six of seven healthy endpoints of a
/// lookup service got no work for two seconds, while 171 of 995 lookups were not served. Faults of
/// links and of the platform affected nearly all of its 199 endpoints, so the availability target
/// counted only the few others. A fifth of the endpoints was left idle in normal operation; then
/// all processes of the fleet ended. The cause: the number of idle endpoints was bounded by a share
/// of all endpoints that looked healthy, which is no bound for a few of them.
///
/// In each of the last ten seconds the dispatching node had 24 to 56 endpoints idle for two
/// seconds. Most of them were probably healthy, four seconds after their last failure. Lookups may
/// be repeated: one that meets an unhealthy endpoint costs a repeat, and the caller still gets an
/// answer.
#[test]
fn repeatable_work_leaves_no_endpoint_idle() {
    for seed in 1..=4 {
        let load = Load {
            endpoints: 199,
            use_of_slots: 0.32,
            faults: USUAL_FAULTS,
            outage: None,
            repeatable: 1.0,
            split: None,
            troubled: 0.88,
            seconds: 16,
            seed,
        };
        let idle = Simulation::new(load.clone()).play().too_many_idle();
        assert!(idle.is_none(), "{load:?}: {}", idle.unwrap());
    }
}
