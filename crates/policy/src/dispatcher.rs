//! Grants slots on the endpoints of a service: one permit allows one request on one endpoint.
//!
//! The same type serves both modes of dispatch. A node that dispatches only for itself counts its
//! own requests; a node that dispatches a service for the fleet counts the requests of every node
//! that asks for slots. Permits only guide capacity use. No guarantee to callers depends on them,
//! so lost, late and duplicate permits are harmless.

mod admission;
mod advertised;
mod candidate;
mod capacity;
mod concurrency;
mod congestion;
mod contention;
mod counts;
mod crash_suspects;
mod demand;
mod evidence;
mod failure_time;
mod holdings;
mod idle;
mod load;
mod near_first;
mod notices;
mod overlap;
mod placement;
mod rate_limits;
mod remote;
mod returns;
mod speed;
mod waiting;
mod work;
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
use crate::options::DispatchOptions;
use crate::outlier::OutlierDetector;
use crate::permit::{Ask, Grant, PermitId, QueuedReply, Reply, SendKind, Tier};
use crate::queue::Queue;
use crate::rate_limit::RateLimit;
use crate::rotation::{Change, EndpointStatus, Incarnations, Rotation, State};
use crate::suspects::{RequestKey, Suspects};
use crate::time::Time;
use crate::topology::Topology;
use crate::unserved::{Completion, UnservedShare};
use advertised::LapsedEndpoints;
use congestion::Congestion;
use contention::Contended;
use failure_time::FailureTime;
use load::EndpointLoad;
use overlap::{Overlap, OverlapKind};
use placement::Placed;
use remote::Redirection;
use speed::AnswerTime;
use working_set::{Rate, WorkingSet};

pub use contention::Refusal;
pub use counts::{DispatchCounts, FarCounts, IdleEndpoint, Occupancy, PriorityCounts};
pub use evidence::EvidenceReport;
pub(crate) use holdings::Holdings;

/// A permit that is neither released nor renewed for this long expires.
const PERMIT_LIFETIME: Duration = Duration::from_secs(3);
/// Lifetime of a permit whose answer has begun. Such a permit holds no slot, and the outcome of its
/// request is still useful evidence that may arrive late, so it lives longer.
const ANSWERED_PERMIT_LIFETIME: Duration = Duration::from_secs(6);
/// How long the id of an ended permit is kept, to recognise late copies of its ask. Longer than
/// such a copy is in transit, and shorter than the time for which an asker avoids a node after
/// withdrawing an ask there.
const ENDED_PERMIT_RETENTION: Duration = Duration::from_millis(800);
/// An endpoint that shed a request is treated as full for this long, about the time until one of a
/// few slots comes free.
const FULL_AFTER_SHED: Duration = Duration::from_millis(100);
/// A dispatcher that has granted nothing for this long is assumed to have been replaced by another
/// node's dispatcher.
const DISPATCHING_WINDOW: Duration = Duration::from_secs(1);
/// Weight of a new sample in the moving average of the slot hold time.
const HOLD_GAIN: f64 = 0.05;
/// Mean slot hold time assumed before the first sample.
const INITIAL_MEAN_HOLD: Duration = Duration::from_millis(100);

/// Shortest `retry_after` given to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Whether other dispatchers may grant the same slots at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precedence {
    /// The node of this dispatcher ranks first for all nodes that ask for slots.
    First,
    /// The dispatcher serves nodes that cannot reach the first choice, or only its own node. Other
    /// dispatchers may grant the same slots without its knowledge.
    OneOfMany,
}

/// A granted permit whose request has not ended.
#[derive(Clone, Debug)]
struct Permit {
    endpoint: usize,
    route: u32,
    request: RequestKey,
    organisation: u64,
    reporter: Reporter,
    /// Latency objective: an answer within this time is worth most to the caller.
    objective: Duration,
    grant: Grant,
    granted: Time,
    expires: Time,
    /// No further send follows this one: if it fails, the caller gets the failure.
    is_last_send: bool,
    /// The request was sent to an endpoint before.
    is_further: bool,
    /// Counted as not served because it stalled; an answer revises that.
    is_counted_unserved: bool,
    reported: Reported,
    /// Requests in progress at the endpoint when the slot was granted, this one included.
    concurrency: u32,
    /// Whether the endpoint had room for this send only because answers in transit hold no slot.
    overlap_kind: OverlapKind,
}

/// What has been reported of a request while it was open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reported {
    /// Nothing so far.
    Nothing,
    /// A stall. Outlier detection has counted the silence; the outcome must not count again.
    Stalled,
    /// The answer has begun and was counted; its completion must not count again.
    AnswerBegan,
    /// The answer has begun and then stalled.
    AnswerStalled,
}

impl Reported {
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

/// Slots, health estimates and verdicts of one service on one node.
#[derive(Debug)]
pub struct Dispatcher {
    detector: OutlierDetector,
    likelihoods: Likelihoods,
    /// Time of the last refresh of `likelihoods`.
    likelihoods_refreshed: Time,
    /// Same order as the endpoints of the rotation.
    loads: Vec<EndpointLoad>,
    /// Advertisements of endpoints whose registry entry is gone.
    lapsed: LapsedEndpoints,
    permits: FxHashMap<PermitId, Permit>,
    /// Permits that ended or were withdrawn recently. An ask for one of them is a late copy; if it
    /// were granted, its slot would stay in use until the permit expires.
    ended: FxHashMap<PermitId, Time>,
    queue: Queue<Ask>,
    /// Time of the last attempt to serve the queue.
    last_drain: Time,
    /// Moving average of the time for which a slot is held.
    mean_hold: Duration,
    congestion: Congestion,
    contended: Contended,
    options: DispatchOptions,
    budget: Budget,
    /// Total of refused repeats at the last call of `newly_refused`.
    refusals_reported: u64,
    /// Outcomes of the service's requests, from which `pressure` is derived.
    unserved: UnservedShare,
    /// Requests during which endpoints have crashed.
    suspects: Suspects,
    /// Whether queued requests may have been rejected since the queue was last checked.
    has_new_rejections: bool,
    overlap: Overlap,
    /// Age from which on open sends are evidence of health.
    failure_time: FailureTime,
    /// Answer times of all endpoints.
    answer_time: AnswerTime,
    counts: DispatchCounts,
    /// Time of the last grant.
    last_grant: Option<Time>,
    /// Whether so many requests fail that endpoints are tried again sooner, as of the last choice.
    pressure: Pressure,
    /// Idle time after which an endpoint is due for a probe request, and when this value was
    /// computed.
    probe_after: (Duration, Time),
    working_set: WorkingSet,
    /// Rate of sends to all endpoints together.
    rate: Rate,
    /// By route: the number of its requests that go to other services for each one that comes to
    /// this service. Routes that lead only here have no entry.
    elsewhere_ratios: FxHashMap<u32, f64>,
    /// Share of the endpoints that the floor requires to be in use.
    floor_share: f64,
    topology: Topology,
    /// Hash of this node's region, if known.
    region: Option<u64>,
    /// Request rate that a cold endpoint can take, if the service configures one.
    cold_rate: Option<RateLimit>,
    /// How long an endpoint stays cold after its start.
    warm_up: Duration,
    precedence: Precedence,
    /// Number of nodes in the fleet, this one included.
    nodes: usize,
    /// Whether the repeat budget is so low that a failed send may have no successor, as of the last
    /// choice.
    is_budget_short: bool,
    redirection: Redirection,
}

impl Dispatcher {
    /// Creates a dispatcher for `service`. `routes` are the routes that lead to it.
    pub fn new(now: Time, service: &Service, routes: &[RouteTerms], budget: BudgetLimits) -> Self {
        let mut it = Self {
            detector: OutlierDetector::new(now, service, routes),
            likelihoods: Likelihoods::default(),
            likelihoods_refreshed: now,
            loads: service
                .endpoints
                .iter()
                .map(|it| EndpointLoad::new(now, &it.failure_domain))
                .collect(),
            lapsed: LapsedEndpoints::default(),
            permits: FxHashMap::default(),
            ended: FxHashMap::default(),
            queue: Queue::new(),
            last_drain: Time::default(),
            mean_hold: INITIAL_MEAN_HOLD,
            congestion: Congestion::default(),
            contended: Contended::default(),
            options: DispatchOptions::default(),
            budget: Budget::new(now, budget),
            refusals_reported: 0,
            unserved: UnservedShare::default(),
            suspects: Suspects::default(),
            has_new_rejections: false,
            overlap: Overlap::default(),
            failure_time: FailureTime::default(),
            answer_time: AnswerTime::default(),
            counts: DispatchCounts::default(),
            last_grant: None,
            pressure: Pressure::None,
            probe_after: (PROBE_AFTER, now),
            working_set: WorkingSet::default(),
            rate: Rate::default(),
            elsewhere_ratios: elsewhere_ratios(routes),
            floor_share: floor_share(service),
            topology: Topology::default(),
            region: None,
            cold_rate: cold_rate(service),
            warm_up: warm_up(service),
            precedence: Precedence::First,
            nodes: 1,
            is_budget_short: false,
            redirection: Redirection::default(),
        };
        it.update_cold_limits(now);
        it.working_set.rebuild(now, &it.loads);
        it
    }

    /// Sets the regions of the failure domains and this node's own failure domain.
    pub fn set_topology(&mut self, topology: Topology, own_failure_domain: u64) {
        self.topology = topology;
        self.region = self.topology.region_of(own_failure_domain);
        self.update_regions();
    }

    /// Whether an endpoint is in another region than this node. Nodes of that region come first in
    /// granting its slots.
    fn is_in_other_region(&self, load: &EndpointLoad) -> bool {
        matches!((load.region, self.region), (Some(its), Some(own)) if its != own)
    }

    fn update_regions(&mut self) {
        for it in &mut self.loads {
            it.region = self.topology.region_of(it.failure_domain);
        }
    }

    /// Whether other dispatchers may grant the same slots.
    pub fn precedence(&self) -> Precedence {
        self.precedence
    }

    /// Applies a change of the nodes that grant the slots of the service.
    pub fn set_precedence(&mut self, precedence: Precedence) {
        self.precedence = precedence;
    }

    /// Applies a new configuration or a change of the endpoints. Permits on endpoints that stay are
    /// kept; permits on a restarted endpoint ended with its previous incarnation.
    pub fn reconfigure(&mut self, now: Time, service: &Service, routes: &[RouteTerms]) {
        let before = Incarnations::of(self.endpoints());
        self.detector.reconfigure(now, service, routes);
        self.floor_share = floor_share(service);
        self.cold_rate = cold_rate(service);
        self.warm_up = warm_up(service);
        self.elsewhere_ratios = elsewhere_ratios(routes);
        let old = std::mem::take(&mut self.loads);
        let is_in_use = self.last_grant.is_some();
        let load_of = |it: &EndpointStatus| {
            let known = before.position(it).map(|i| old[i].clone());
            known.unwrap_or_else(|| match before.knows(&it.id) {
                true => EndpointLoad::restarted(now, &it.failure_domain),
                false if is_in_use => {
                    EndpointLoad::new(now, &it.failure_domain).recently_joined(&it.id)
                }
                false => EndpointLoad::new(now, &it.failure_domain),
            })
        };
        self.loads = self.endpoints().iter().map(load_of).collect();
        self.update_regions();
        self.restore_advertised(now);
        self.update_cold_limits(now);
        // The new position of each endpoint by its old one.
        let mut new_positions = vec![None; old.len()];
        for (i, it) in self.detector.rotation.endpoints().iter().enumerate() {
            if let Some(old_position) = before.position(it) {
                new_positions[old_position] = Some(i);
            }
        }
        for (id, started_ms, i) in before.iter().filter(|(.., i)| new_positions[*i].is_none()) {
            self.lapsed.keep(now, id, started_ms, &old[i].advertised);
        }
        self.permits.retain(|_, it| {
            let to = new_positions[it.endpoint];
            it.endpoint = to.unwrap_or_default();
            to.is_some()
        });
        self.working_set.rebuild(now, &self.loads);
    }

    /// Answers a request for a slot.
    pub fn ask(&mut self, now: Time, ask: Ask, rng: &mut impl Rng) -> Reply {
        self.note_return(ask.id);
        self.ask_or_redirect(now, ask, false, rng)
    }

    fn ask_or_redirect(
        &mut self,
        now: Time,
        ask: Ask,
        may_redirect: bool,
        rng: &mut impl Rng,
    ) -> Reply {
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
        self.take_over_limits(now, &ask);
        if ask.brings_share {
            self.budget.hold_share(now, ask.reporter.node);
        }
        match ask.send {
            SendKind::First => {
                self.counts.first += 1;
                self.budget.first_send(now);
                if let Some(others) = self.elsewhere_ratios.get(&ask.route) {
                    self.unserved.note_elsewhere(now, *others);
                }
            }
            SendKind::FirstAgain => {}
            SendKind::Further if self.budget.allows(now, Spend::of(&ask)) => {}
            // If a hedge is refused, the send that it accompanies goes on.
            SendKind::Further if !ask.wait => return Reply::Full,
            SendKind::Further => {
                self.counts.repeats_refused += 1;
                self.unserved.note(now, Completion::Unserved);
                return Reply::Refused { retry_after: self.mean_hold.max(MIN_RETRY_AFTER) };
            }
        }
        self.note_demand(now, &ask);
        self.refresh_inputs(now);
        if let Some(choice) = self.choose_from_candidates(now, &ask, rng) {
            return Reply::Granted(self.grant(now, &ask, choice));
        }
        let survey = self.survey(now);
        self.counts.endpoints_evaluated += survey.len() as u64;
        let choice = self.choose(&survey, &ask, || rng.random());
        let is_bad = choice.is_none_or(|it| it.tier >= Tier::Last);
        if may_redirect
            && is_bad
            && ask.wait
            && let Some(reply) = self.redirect(now, &ask, &survey, rng)
        {
            return reply;
        }
        if let Some(choice) = choice {
            if self.queue.len() == 0 {
                self.congestion.note_free_slot(now, ask.objective);
            }
            return Reply::Granted(self.grant(now, &ask, choice));
        }
        if !ask.wait {
            return Reply::Full;
        }
        if self.is_likely_shed(&survey, &ask) {
            self.counts.refused_as_shed += 1;
            self.note_unserved(now, 1);
            return Reply::Refused { retry_after: self.mean_hold.max(MIN_RETRY_AFTER) };
        }
        if let Some(retry_after) = self.retry_after_if_closed(now, &ask) {
            self.refuse(now, &ask, Refusal::Closed, retry_after);
            return Reply::Refused { retry_after };
        }
        let slots = survey.capacity();
        self.enqueue(now, ask, slots, may_redirect, rng)
    }

    /// Chooses a good endpoint among a few candidates, if the service uses a working set.
    fn choose_from_candidates(
        &mut self,
        now: Time,
        ask: &Ask,
        rng: &mut impl Rng,
    ) -> Option<Placed> {
        let positions = self.first_candidates(now, ask)?;
        let survey = self.survey_of(now, positions.into_iter().map(|it| it as usize));
        self.counts.endpoints_evaluated += survey.len() as u64;
        let choice = self.choose(&survey, ask, || rng.random());
        choice.filter(|it| it.tier < Tier::Last)
    }

    /// Takes a slot back and learns from the outcome of its request. Returns replies for queued
    /// requests that got a slot.
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
        let held_slot = load.end_request(id);
        if kind == Kind::Shed {
            load.full_until = load.full_until.max(now + FULL_AFTER_SHED);
            self.note_shed(now, permit.overlap_kind);
            self.note_shed_by(now, &permit);
        }
        if kind == Kind::Answered && !permit.reported.has_answer() {
            self.note_answer(now, &permit, elapsed);
            self.note_answer_time(now, &permit, elapsed);
        }
        self.note_accepted(now, &permit, kind);
        if kind == Kind::Answered && held_slot {
            self.note_hold(permit.route, now.since(permit.granted));
        }
        self.learn(now, permit, kind, elapsed);
        self.drain(now, rng)
    }

    /// Withdraws a queued ask, or takes a slot back without learning anything from its request, for
    /// example when the caller has left.
    pub fn cancel(&mut self, now: Time, id: PermitId, rng: &mut impl Rng) -> Vec<QueuedReply> {
        let withdrawn = self.queue.extract(|it| it.item.id == id);
        self.counts.withdrawn += withdrawn.len() as u32;
        self.note_unserved(now, withdrawn.len());
        self.release_reserved_repeats(withdrawn.iter().map(|it| &it.item));
        self.contended.evicted.retain(|it| it.id != id);
        self.ended.insert(id, now);
        let Some(permit) = self.permits.remove(&id) else { return Vec::new() };
        self.counts.released += 1;
        self.loads[permit.endpoint].end_request(id);
        self.drain(now, rng)
    }

    /// Extends the permit of a long request.
    pub fn renew(&mut self, now: Time, id: PermitId) {
        if let Some(permit) = self.permits.get_mut(&id) {
            permit.expires = permit.expires.max(now + PERMIT_LIFETIME);
        }
    }

    /// Applies a change of the repeat budget.
    pub fn set_budget(&mut self, now: Time, limits: BudgetLimits) {
        self.budget.set_limits(now, limits);
    }

    /// Applies a change of the number of nodes in the fleet, this one included.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes;
        self.budget.set_nodes(nodes);
    }

    /// Advances everything that depends on time alone and returns replies for queued requests.
    /// Nearly free for an idle service, because a node has a dispatcher for every service.
    pub fn tick(&mut self, now: Time, rng: &mut impl Rng) -> Vec<QueuedReply> {
        let is_idle = self.permits.is_empty() && self.ended.is_empty() && self.queue.len() == 0;
        if is_idle && self.detector.is_idle() {
            return self.take_evicted();
        }
        self.detector.tick(now);
        self.refresh_likelihoods(now);
        self.suspects.tick(now);
        self.ended.retain(|_, at| now.since(*at) < ENDED_PERMIT_RETENTION);
        let (loads, counts) = (&mut self.loads, &mut self.counts);
        self.permits.retain(|id, it| {
            let keep = now < it.expires;
            if !keep {
                counts.expired += u32::from(loads[it.endpoint].end_request(*id));
            }
            keep
        });
        let late = self.queue.extract(|it| it.deadline <= now);
        self.counts.expired_waiting += late.len() as u32;
        self.note_unserved(now, late.len());
        self.release_reserved_repeats(late.iter().map(|it| &it.item));
        let mut settled: Vec<_> = late.into_iter().map(|it| self.refusal(it.item.id)).collect();
        settled.extend(self.drain(now, rng));
        self.redirection.tick(now);
        settled.extend(self.redirect_queued(now, rng));
        settled
    }

    /// After a pause of this process: forgets evidence, and ends what has expired in the meantime.
    pub fn wake(&mut self, now: Time, rng: &mut impl Rng) -> Vec<QueuedReply> {
        self.detector.discard_evidence();
        self.failure_time.clear();
        self.loads.iter_mut().for_each(|it| it.concurrency = Default::default());
        self.tick(now, rng)
    }

    /// The endpoints and their states, as this node knows them.
    pub fn endpoints(&self) -> &[EndpointStatus] {
        self.detector.rotation.endpoints()
    }

    /// The rotation, for reports.
    pub fn rotation(&self) -> &Rotation {
        &self.detector.rotation
    }

    /// Numbers of path, shared and reporter faults recognised so far.
    pub fn faults_excused(&self) -> [u64; 3] {
        [self.detector.path_faults, self.detector.shared_faults, self.detector.reporter_faults]
    }

    /// Whether this dispatcher currently grants slots. One that does not receives only reports of
    /// failures, so its conclusions must not be passed on to other nodes.
    pub fn is_dispatching(&self, now: Time) -> bool {
        self.last_grant.is_some_and(|it| now.since(it) < DISPATCHING_WINDOW)
    }

    /// Whether requests hold slots that this dispatcher granted, however long ago.
    pub fn holds_permits(&self) -> bool {
        !self.permits.is_empty()
    }

    /// Whether this dispatcher neither grants slots, nor holds some that are in use, nor has a queue.
    pub fn is_unused(&self, now: Time) -> bool {
        !self.is_dispatching(now) && !self.holds_permits() && self.queued() == 0
    }

    /// State of the repeat budget.
    pub fn repeats(&mut self, now: Time) -> RepeatsReport {
        self.budget.report(now)
    }

    /// State of the repeat budget if repeats were refused since the last call; `refused` counts
    /// only these.
    pub fn newly_refused(&mut self, now: Time) -> Option<RepeatsReport> {
        let all = self.budget.refused();
        let refused = all - std::mem::replace(&mut self.refusals_reported, all);
        (refused > 0).then(|| RepeatsReport { refused, ..self.budget.report(now) })
    }

    /// Number of requests that wait for a slot.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// State changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        self.detector.rotation.take_changes()
    }

    fn grant(&mut self, now: Time, ask: &Ask, choice: Placed) -> Grant {
        let Placed { endpoint, tier, .. } = choice;
        let it = &self.endpoints()[endpoint];
        let grant = Grant {
            endpoint: it.id.clone(),
            started_ms: it.started_ms,
            addr: it.addr,
            stall_after: self.detector.baseline.stall_after(ask.route),
            hedge_after: self.detector.baseline.hedge_after(ask.route),
            health: self.health_estimate(now, endpoint),
            trial: tier == Tier::Trial || matches!(it.state, State::Trial { .. }),
            tier,
            is_watched: self.suspects.is_watched(ask.request),
            is_rate_limited: self.loads[endpoint].advertised.pacer.limit().is_some(),
        };
        let permit = Permit {
            endpoint,
            route: ask.route,
            request: ask.request,
            organisation: ask.organisation,
            reporter: ask.reporter,
            objective: ask.objective,
            grant: grant.clone(),
            granted: now,
            expires: now + PERMIT_LIFETIME,
            is_last_send: ask.is_last,
            is_further: ask.send == SendKind::Further,
            is_counted_unserved: false,
            reported: Reported::Nothing,
            concurrency: self.loads[endpoint].in_use() + 1,
            overlap_kind: self.overlap_kind(now, endpoint),
        };
        if ask.send == SendKind::Further {
            self.counts.repeats += 1;
            self.budget.spend(now);
        }
        self.counts.to_limited += u32::from(grant.is_rate_limited);
        let sharers = self.sharers(&self.loads[endpoint]);
        self.loads[endpoint].advertised.pacer.sent(now, sharers);
        self.working_set.note_request(now, endpoint, &self.loads[endpoint]);
        self.rate.add(now);
        self.note_granted(now, ask);
        self.loads[endpoint].begin_request(now, ask);
        self.last_grant = Some(now);
        self.counts.note_placement(&choice);
        self.permits.insert(ask.id, permit);
        grant
    }

    fn note_hold(&mut self, route: u32, held: Duration) {
        self.contended.work.add(route, held);
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

/// For each route that is split: the number of its requests that go to other services for each one
/// that comes here.
fn elsewhere_ratios(routes: &[RouteTerms]) -> FxHashMap<u32, f64> {
    let split = routes.iter().filter(|it| it.share > 0.0 && it.share < 1.0);
    split.map(|it| (it.id, 1.0 / it.share - 1.0)).collect()
}

impl Spend {
    /// Only a hedge is asked for without waiting; any other further send follows a failure.
    fn of(ask: &Ask) -> Self {
        if ask.wait { Self::OnFailure } else { Self::OnHedge }
    }
}
