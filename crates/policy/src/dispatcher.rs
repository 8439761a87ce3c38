//! Hands out the slots of a service's endpoints: one permit is one request on one endpoint.
//!
//! The same machine serves two ways of dispatch. A node that dispatches for itself alone counts its
//! own requests. A node that dispatches a service for the fleet counts the requests of every node
//! that asks it. A permit is advice about capacity; no guarantee to callers rests on it, so lost,
//! late and doubled permits do no harm.

mod choice;
mod congestion;
mod counts;
mod evidence;
mod load;
mod notices;
mod overlap;
mod paced;
mod rest;
mod said;
mod suspicion;
mod waiting;
mod working_set;

use std::time::Duration;

use rand::{Rng, RngExt};
use resources::Service;
use rustc_hash::FxHashMap;

use crate::baseline::RouteTerms;
use crate::belief::{PROBE_AFTER, Pressure};
use crate::budget::{Budget, BudgetLimits, RepeatsReport, Spend};
use crate::likelihoods::Likelihoods;
use crate::observation::{Kind, Observation, Reporter};
use crate::outlier::OutlierDetector;
use crate::permit::{Ask, Grant, PermitId, QueuedReply, Reply, SendKind, Tier};
use crate::queue::Queue;
use crate::rate_limit::RateLimit;
use crate::rotation::{Change, EndpointStatus, Incarnations, Rotation, State};
use crate::suspects::{RequestKey, Suspects};
use crate::time::Time;
use crate::topology::Topology;
use crate::unserved::{Completion, UnservedShare};
use congestion::Congestion;
use load::Load;
use overlap::{Overlap, Sent};
use said::Remembered;
use working_set::{Rate, WorkingSet};

pub use counts::{DispatchCounts, IdleEndpoint, Occupancy};
pub use evidence::EvidenceReport;

/// A permit that is neither released nor renewed for this long is taken back.
const PERMIT_LIFETIME: Duration = Duration::from_secs(3);
/// The same for one whose answer has begun. It holds no slot, and how it ends is worth knowing: that word may come late.
const ANSWERED_LIFETIME: Duration = Duration::from_secs(6);
/// For how long a permit that came back is remembered: longer than a copy of its ask travels. Whoever has withdrawn a wish
/// here passes this node over for longer.
const REMEMBER_ENDED: Duration = Duration::from_millis(800);
/// An endpoint that shed a request is taken for full for this long, about the time in which one of a few
/// slots comes free.
const FULL_FOR: Duration = Duration::from_millis(100);
/// A dispatcher that has handed out nothing for this long has been replaced by another one.
const IN_CHARGE_FOR: Duration = Duration::from_secs(1);
/// Weight of a new sample in the mean time that a slot is held.
const HOLD_GAIN: f64 = 0.05;
/// Mean hold time before any sample.
const FIRST_HOLD: Duration = Duration::from_millis(100);

/// Shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Which part a dispatcher has in handing out the slots of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precedence {
    /// Its node is the first choice of all that ask.
    First,
    /// It is asked by those that do not reach the first choice, or picks for its own node alone. Others may do the same
    /// unseen.
    OneOfMany,
}

/// A slot in use.
#[derive(Clone, Debug)]
struct Permit {
    endpoint: usize,
    route: u32,
    request: RequestKey,
    reporter: Reporter,
    /// Time within which an answer is worth most to the caller.
    objective: Duration,
    grant: Grant,
    granted: Time,
    expires: Time,
    /// If it fails, the caller gets the failure.
    is_last_send: bool,
    /// Another send of the request was before it.
    is_further: bool,
    told: Told,
    /// Whether answers that travel make its endpoint look full.
    sent: Sent,
}

/// What was told of a request while it was open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Nothing,
    /// A stall: for a verdict, what follows is the same evidence again.
    Stalled,
    /// Its answer has begun: a whole one is the same evidence again.
    AnswerBegan,
    /// Its answer has begun and then stopped moving.
    AnswerStalled,
}

impl Told {
    fn has_answer(self) -> bool {
        matches!(self, Self::AnswerBegan | Self::AnswerStalled)
    }
}

impl Permit {
    fn observation(&self, kind: Kind, elapsed: Duration) -> Observation {
        Observation {
            reporter: self.reporter,
            endpoint: self.endpoint,
            route: self.route,
            kind,
            elapsed,
        }
    }
}

/// Slots and verdicts of one service on one node.
#[derive(Debug)]
pub struct Dispatcher {
    judge: OutlierDetector,
    signs: Likelihoods,
    /// When the signs were last refreshed.
    refreshed: Time,
    /// In the order of the rotation.
    loads: Vec<Load>,
    remembered: Remembered,
    permits: FxHashMap<PermitId, Permit>,
    /// Permits that came back or were withdrawn lately. An ask for one is a late copy: granted, its slot would be held
    /// until the permit expires.
    ended: FxHashMap<PermitId, Time>,
    queue: Queue<Ask>,
    /// When those that wait were last looked at.
    drained: Time,
    mean_hold: Duration,
    congestion: Congestion,
    budget: Budget,
    /// Repeats refused when that was last told.
    refused_before: u64,
    served: UnservedShare,
    suspects: Suspects,
    /// A request that waits may have come to be rejected.
    has_rejected: bool,
    overlap: Overlap,
    counts: DispatchCounts,
    granted_at: Option<Time>,
    /// Whether so much fails that endpoints are tried again sooner; as of the last choice.
    strain: Pressure,
    /// Time without work after which an endpoint is due, and when that was worked out.
    due_after: (Duration, Time),
    working_set: WorkingSet,
    /// Sends to all endpoints.
    rate: Rate,
    /// Requests of a route that go to other services for each one that comes here; routes that lead to this service
    /// alone are left out.
    elsewhere: FxHashMap<u32, f64>,
    /// The share of the endpoints that the floor wants in use.
    floor_share: f64,
    topology: Topology,
    /// Hash of the region of this node, if that is known.
    region: Option<u64>,
    /// What a cold endpoint bears, if its service says so.
    cold_rate: Option<RateLimit>,
    /// Time for which an endpoint is cold after its start.
    warm_up: Duration,
    precedence: Precedence,
    /// Nodes of the fleet.
    nodes: usize,
    /// So little of the budget is left that a send that fails may not be followed by another; as of
    /// the last choice.
    is_budget_short: bool,
}

impl Dispatcher {
    /// A dispatcher for `service`. `routes` lead to it.
    pub fn new(now: Time, service: &Service, routes: &[RouteTerms], budget: BudgetLimits) -> Self {
        let mut it = Self {
            judge: OutlierDetector::new(now, service, routes),
            signs: Likelihoods::default(),
            refreshed: now,
            loads: service.endpoints.iter().map(|it| Load::new(now, &it.failure_domain)).collect(),
            remembered: Remembered::default(),
            permits: FxHashMap::default(),
            ended: FxHashMap::default(),
            queue: Queue::new(),
            drained: Time::default(),
            mean_hold: FIRST_HOLD,
            congestion: Congestion::default(),
            budget: Budget::new(now, budget),
            refused_before: 0,
            served: UnservedShare::default(),
            suspects: Suspects::default(),
            has_rejected: false,
            overlap: Overlap::default(),
            counts: DispatchCounts::default(),
            granted_at: None,
            strain: Pressure::None,
            due_after: (PROBE_AFTER, now),
            working_set: WorkingSet::default(),
            rate: Rate::default(),
            elsewhere: elsewhere(routes),
            floor_share: floor_share(service),
            topology: Topology::default(),
            region: None,
            cold_rate: cold_rate(service),
            warm_up: warm_up(service),
            precedence: Precedence::First,
            nodes: 1,
            is_budget_short: false,
        };
        it.chill(now);
        it.working_set.rebuild(now, &it.loads);
        it
    }

    /// Tells which failure domain is in which region, and in which one this node is.
    pub fn set_topology(&mut self, topology: Topology, own_failure_domain: u64) {
        self.topology = topology;
        self.region = self.topology.region_of(own_failure_domain);
        self.locate();
    }

    /// Whether an endpoint is in another region than this node, where other nodes hand out its slots first.
    fn is_elsewhere(&self, load: &Load) -> bool {
        matches!((load.region, self.region), (Some(its), Some(own)) if its != own)
    }

    fn locate(&mut self) {
        for it in &mut self.loads {
            it.region = self.topology.region_of(it.failure_domain);
        }
    }

    /// Which part it has in handing out slots.
    pub fn precedence(&self) -> Precedence {
        self.precedence
    }

    /// Follows a change of who hands out the slots of the service.
    pub fn set_precedence(&mut self, precedence: Precedence) {
        self.precedence = precedence;
    }

    /// Follows a new configuration or a change of the endpoints. Permits on endpoints that stay are
    /// kept; those on one that has started again went with its life before.
    pub fn reconfigure(&mut self, now: Time, service: &Service, routes: &[RouteTerms]) {
        let before = Incarnations::of(self.endpoints());
        self.judge.reconfigure(now, service, routes);
        self.floor_share = floor_share(service);
        self.cold_rate = cold_rate(service);
        self.warm_up = warm_up(service);
        self.elsewhere = elsewhere(routes);
        let old = std::mem::take(&mut self.loads);
        let is_in_use = self.granted_at.is_some();
        let load_of = |it: &EndpointStatus| {
            let known = before.position(it).map(|i| old[i].clone());
            known.unwrap_or_else(|| match before.knows(&it.id) {
                true => Load::again(now, &it.failure_domain),
                false if is_in_use => Load::new(now, &it.failure_domain).joining(&it.id),
                false => Load::new(now, &it.failure_domain),
            })
        };
        self.loads = self.endpoints().iter().map(load_of).collect();
        self.locate();
        self.recall(now);
        self.chill(now);
        // Where each endpoint stands now, by where it stood before.
        let mut moved = vec![None; old.len()];
        for (i, it) in self.judge.rotation.endpoints().iter().enumerate() {
            if let Some(was) = before.position(it) {
                moved[was] = Some(i);
            }
        }
        for (id, started_ms, i) in before.iter().filter(|(.., i)| moved[*i].is_none()) {
            self.remembered.keep(now, id, started_ms, &old[i].said);
        }
        self.permits.retain(|_, it| {
            let to = moved[it.endpoint];
            it.endpoint = to.unwrap_or_default();
            to.is_some()
        });
        self.working_set.rebuild(now, &self.loads);
    }

    /// Answers a request for a slot.
    pub fn ask(&mut self, now: Time, ask: Ask, rng: &mut impl Rng) -> Reply {
        if let Some(permit) = self.permits.get(&ask.id) {
            return Reply::Granted(permit.grant.clone());
        }
        if self.queue.any(|it| it.id == ask.id) {
            return Reply::Queued;
        }
        if self.ended.contains_key(&ask.id) {
            return Reply::Full;
        }
        if let Some(retry_after) = self.suspects.rejected(now, ask.request) {
            self.counts.rejected += 1;
            return Reply::Rejected { retry_after };
        }
        self.hear_limits(now, &ask);
        if ask.brings_share {
            self.budget.hold_share(now, ask.reporter.node);
        }
        match ask.send {
            SendKind::First => {
                self.counts.first += 1;
                self.budget.first_send(now);
                if let Some(others) = self.elsewhere.get(&ask.route) {
                    self.served.note_elsewhere(now, *others);
                }
            }
            SendKind::FirstAgain => {}
            SendKind::Further if self.budget.allows(now, Spend::of(&ask)) => {}
            // A hedge that is refused leaves its request where it was.
            SendKind::Further if !ask.wait => return Reply::Full,
            SendKind::Further => {
                self.counts.repeats_refused += 1;
                self.served.note(now, Completion::Unserved);
                return Reply::Refused { retry_after: self.mean_hold.max(MIN_RETRY_AFTER) };
            }
        }
        self.look_around(now);
        if let Some(choice) = self.choose_from_few(now, &ask, rng) {
            return Reply::Granted(self.grant(now, &ask, choice));
        }
        let survey = self.survey(now);
        self.counts.looks += survey.len() as u64;
        let choice = self.choose(&survey, &ask, || rng.random());
        if let Some(choice) = choice {
            if self.queue.len() == 0 {
                self.congestion.note_free_slot(now, ask.objective);
            }
            return Reply::Granted(self.grant(now, &ask, choice));
        }
        if !ask.wait {
            return Reply::Full;
        }
        if let Some(retry_after) = self.closed_for(now, &ask) {
            self.counts.queue_refused += 1;
            self.note_unserved(now, 1);
            return Reply::Refused { retry_after };
        }
        let slots = survey.capacity();
        self.enqueue(now, ask, slots)
    }

    /// A good endpoint among the few that are looked at first, if the service has a working set.
    fn choose_from_few(
        &mut self,
        now: Time,
        ask: &Ask,
        rng: &mut impl Rng,
    ) -> Option<(usize, Tier)> {
        let few = self.candidates(now, ask)?;
        let survey = self.survey_of(now, few.into_iter().map(|it| it as usize));
        self.counts.looks += survey.len() as u64;
        let choice = self.choose(&survey, ask, || rng.random());
        choice.filter(|(_, tier)| *tier < Tier::Last)
    }

    /// Takes a slot back and learns from how the request ended. Returns replies for those that
    /// waited for it.
    pub fn release(
        &mut self,
        now: Time,
        id: PermitId,
        kind: Kind,
        elapsed: Duration,
        rng: &mut impl Rng,
    ) -> Vec<QueuedReply> {
        let Some(permit) = self.permits.remove(&id) else { return Vec::new() };
        self.counts.released += 1;
        self.ended.insert(id, now);
        let load = &mut self.loads[permit.endpoint];
        let held_slot = load.give_back(id);
        if kind == Kind::Shed {
            load.full_until = load.full_until.max(now + FULL_FOR);
            self.note_shed(now, permit.sent);
        }
        if kind == Kind::Answered && !permit.told.has_answer() {
            self.note_answer(now, &permit, elapsed);
        }
        if kind == Kind::Answered && held_slot {
            self.note_hold(now.since(permit.granted));
        }
        self.learn(now, permit, kind, elapsed);
        self.drain(now, rng)
    }

    /// Gives a slot back without learning anything from it, as when the caller has left.
    pub fn cancel(&mut self, now: Time, id: PermitId, rng: &mut impl Rng) -> Vec<QueuedReply> {
        let withdrawn = self.queue.extract(|it| it.item.id == id);
        self.counts.withdrawn += withdrawn.len() as u32;
        self.note_unserved(now, withdrawn.len());
        self.leave_queue(withdrawn.iter().map(|it| &it.item));
        self.ended.insert(id, now);
        let Some(permit) = self.permits.remove(&id) else { return Vec::new() };
        self.counts.released += 1;
        self.loads[permit.endpoint].give_back(id);
        self.drain(now, rng)
    }

    /// Keeps a permit of a long request alive.
    pub fn renew(&mut self, now: Time, id: PermitId) {
        if let Some(permit) = self.permits.get_mut(&id) {
            permit.expires = permit.expires.max(now + PERMIT_LIFETIME);
        }
    }

    /// Follows a change of the budget for repeats.
    pub fn set_budget(&mut self, now: Time, limits: BudgetLimits) {
        self.budget.set_limits(now, limits);
    }

    /// Follows a change of the number of nodes in the fleet, this one included.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes;
        self.budget.set_nodes(nodes);
    }

    /// Moves what time alone moves and returns replies for those that waited. Costs next to nothing
    /// while nothing happens: a node holds a dispatcher for every service.
    pub fn tick(&mut self, now: Time, rng: &mut impl Rng) -> Vec<QueuedReply> {
        let is_idle = self.permits.is_empty() && self.ended.is_empty() && self.queue.len() == 0;
        if is_idle && self.judge.is_idle() {
            return Vec::new();
        }
        self.judge.tick(now);
        self.refresh_signs(now);
        self.suspects.tick(now);
        self.ended.retain(|_, at| now.since(*at) < REMEMBER_ENDED);
        let (loads, counts) = (&mut self.loads, &mut self.counts);
        self.permits.retain(|id, it| {
            let keep = now < it.expires;
            if !keep {
                counts.expired += u32::from(loads[it.endpoint].give_back(*id));
            }
            keep
        });
        let late = self.queue.extract(|it| it.deadline <= now);
        self.counts.waited_in_vain += late.len() as u32;
        self.note_unserved(now, late.len());
        self.leave_queue(late.iter().map(|it| &it.item));
        let mut settled: Vec<_> = late.into_iter().map(|it| self.refusal(it.item.id)).collect();
        settled.extend(self.drain(now, rng));
        settled
    }

    /// Forgets evidence and what is past its deadline after a pause of this process.
    pub fn wake(&mut self, now: Time, rng: &mut impl Rng) -> Vec<QueuedReply> {
        self.judge.discard_evidence();
        self.tick(now, rng)
    }

    /// The endpoints as this node sees them.
    pub fn endpoints(&self) -> &[EndpointStatus] {
        self.judge.rotation.endpoints()
    }

    /// The rotation, for the report.
    pub fn rotation(&self) -> &Rotation {
        &self.judge.rotation
    }

    /// Path, shared and reporter faults recognised so far.
    pub fn faults_excused(&self) -> [u64; 3] {
        [self.judge.path_faults, self.judge.shared_faults, self.judge.reporter_faults]
    }

    /// Whether it hands out slots. One that does not hears of failures only, and must not spread
    /// what it makes of them.
    pub fn is_in_charge(&self, now: Time) -> bool {
        self.granted_at.is_some_and(|it| now.since(it) < IN_CHARGE_FOR)
    }

    /// Figures of the budget for repeats.
    pub fn repeats(&mut self, now: Time) -> RepeatsReport {
        self.budget.report(now)
    }

    /// Figures of the budget for repeats if some were refused since the last call; `refused` counts these
    /// alone.
    pub fn newly_refused(&mut self, now: Time) -> Option<RepeatsReport> {
        let all = self.budget.refused();
        let refused = all - std::mem::replace(&mut self.refused_before, all);
        (refused > 0).then(|| RepeatsReport { refused, ..self.budget.report(now) })
    }

    /// Requests that wait for a slot.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// State changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        self.judge.rotation.take_changes()
    }

    fn grant(&mut self, now: Time, ask: &Ask, (endpoint, tier): (usize, Tier)) -> Grant {
        let it = &self.endpoints()[endpoint];
        let grant = Grant {
            endpoint: it.id.clone(),
            started_ms: it.started_ms,
            addr: it.addr,
            stall_after: self.judge.baseline.stall_after(ask.route),
            hedge_after: self.judge.baseline.hedge_after(ask.route),
            health: self.doubt(now, endpoint),
            trial: tier == Tier::Trial || matches!(it.state, State::Trial { .. }),
            tier,
            is_watched: self.suspects.is_watched(ask.request),
            is_rate_limited: self.loads[endpoint].said.pace.limit().is_some(),
        };
        let permit = Permit {
            endpoint,
            route: ask.route,
            request: ask.request,
            reporter: ask.reporter,
            objective: ask.objective,
            grant: grant.clone(),
            granted: now,
            expires: now + PERMIT_LIFETIME,
            is_last_send: ask.is_last,
            is_further: ask.send == SendKind::Further,
            told: Told::Nothing,
            sent: self.sent_to(now, endpoint),
        };
        if ask.send == SendKind::Further {
            self.counts.repeats += 1;
            self.budget.spend(now);
        }
        self.counts.to_limited += u32::from(grant.is_rate_limited);
        let sharers = self.sharers(&self.loads[endpoint]);
        self.loads[endpoint].said.pace.sent(now, sharers);
        self.working_set.note(now, endpoint, &self.loads[endpoint]);
        self.rate.add(now);
        self.loads[endpoint].take(now, ask);
        self.granted_at = Some(now);
        self.permits.insert(ask.id, permit);
        grant
    }

    fn note_hold(&mut self, held: Duration) {
        let mean = self.mean_hold.as_secs_f64();
        let next = mean + HOLD_GAIN * (held.as_secs_f64() - mean);
        self.mean_hold = Duration::from_secs_f64(next);
    }
}

fn floor_share(service: &Service) -> f64 {
    let total = service.endpoints.len();
    service.floor.endpoints(total) as f64 / total.max(1) as f64
}

fn cold_rate(service: &Service) -> Option<RateLimit> {
    let rate = service.cold_rate_per_s;
    (rate > 0.0).then(|| RateLimit::from_per_second(rate)).flatten()
}

fn warm_up(service: &Service) -> Duration {
    Duration::from_millis(service.warm_up_ms.into())
}

/// Requests that go to other services for each one that comes here, by route.
fn elsewhere(routes: &[RouteTerms]) -> FxHashMap<u32, f64> {
    let split = routes.iter().filter(|it| it.share > 0.0 && it.share < 1.0);
    split.map(|it| (it.id, 1.0 / it.share - 1.0)).collect()
}

impl Spend {
    /// A hedge does not wait; what has failed does.
    fn of(ask: &Ask) -> Self {
        if ask.wait { Self::OnFailure } else { Self::OnHedge }
    }
}
