//! Hands out the slots of a service's endpoints: one permit is one request on one endpoint.
//!
//! The same machine serves two ways of dispatch. A node that dispatches for itself alone counts its
//! own requests. A node that dispatches a service for the fleet counts the requests of every node
//! that asks it. A permit is advice about capacity; no guarantee to callers rests on it, so lost,
//! late and doubled permits do no harm.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, RngExt};
use resources::{Name, Priority, Service};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::belief::{Belief, Strain, TRY_AGAIN, Use};
use crate::judge::{Judge, Kind, Observation, Reporter};
use crate::queue::{Queue, Waiting};
use crate::rendezvous::{NodeId, stable_hash};
use crate::retry::{Budget, BudgetLimits, Spend};
use crate::rotation::{Change, EndpointStatus, Rotation, State};
use crate::served::{Ending, Served};
use crate::time::Time;

/// A permit that is neither released nor renewed for this long is taken back.
const PERMIT_LIFETIME: Duration = Duration::from_secs(3);
/// An endpoint that shed a request is taken for full for this long: about a third of the mean time
/// of a request on the users' sites.
const FULL_FOR: Duration = Duration::from_millis(100);
/// A dispatcher that has handed out nothing for this long has been replaced by another one.
const IN_CHARGE_FOR: Duration = Duration::from_secs(1);
/// Part of the endpoints that may be left alone although they may be well; the users' floor lets three
/// tenths go without work. With 0.15, calm days lost 0.03 to 0.04 of worth to trials of endpoints
/// that were still sick.
const IDLE_PART: f64 = 0.27;
/// What an endpoint of another failure domain counts for, in slots in use, when short answers are
/// placed. Traffic between failure domains has a price; a busy slot costs more.
const FAR_SLOTS: u32 = 2;
/// Waiting requests for each slot at most.
const QUEUE_PER_SLOT: usize = 8;
/// Waiting requests at most, whatever the number of slots, so that a turn of the queue stays short.
const MAX_QUEUE: usize = 512;
/// Weight of a new sample in the mean time that a slot is held.
const HOLD_GAIN: f64 = 0.05;
/// Mean hold time before any sample.
const FIRST_HOLD: Duration = Duration::from_millis(100);
/// Shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Identity of a permit, chosen by the node that asks; asking twice is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PermitId {
    /// The node that asks.
    pub node: NodeId,
    /// Unique within the life of that node's process.
    pub seq: u64,
}

/// A request for a slot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// Identity of the permit asked for.
    pub id: PermitId,
    /// Who asks.
    pub reporter: Reporter,
    /// Hash of the route's name.
    pub route: u32,
    /// Whether the request may run twice; only such requests go to an endpoint on trial.
    pub repeatable: bool,
    /// Which work goes first.
    pub priority: Priority,
    /// Hash of the caller's organisation.
    pub organisation: u64,
    /// Weight of the organisation.
    pub weight: u32,
    /// Whether the answer is long, so that the own failure domain goes first.
    pub bulky: bool,
    /// Whether an endpoint was reached before for the same request: it counts against the budget.
    pub repeated: bool,
    /// Endpoints that the asker cannot reach or has tried already; used last.
    pub avoid: Vec<SocketAddr>,
    /// Time left until the request's deadline.
    pub left: Duration,
    /// A longer wait for a good endpoint is worse than an endpoint that may fail.
    pub patience: Duration,
    /// Whether to wait for a slot, or else to take a suspect endpoint. Without it, as for a hedge,
    /// the answer is `Full` unless a good endpoint is free.
    pub wait: bool,
}

/// A slot on an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Identity of the endpoint.
    pub endpoint: Name,
    /// Its address.
    pub addr: SocketAddr,
    /// Report the request as stalled when it is open for longer than this.
    pub stall_after: Duration,
    /// Whether the endpoint is on trial: hedge at once so that the caller does not pay.
    pub trial: bool,
    /// How good a choice the endpoint was.
    pub tier: Tier,
}

/// Answer to an `Ask`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Send the request now.
    Granted(Grant),
    /// A later reply follows.
    Queued,
    /// No good endpoint is free here.
    Full,
    /// Give up now.
    Refused {
        /// When to come back.
        retry_after: Duration,
    },
}

/// A reply to an earlier ask.
#[derive(Clone, Debug, PartialEq)]
pub struct Settled {
    /// The permit asked for.
    pub id: PermitId,
    /// The answer.
    pub reply: Reply,
}

/// A slot in use.
#[derive(Clone, Debug)]
struct Permit {
    endpoint: usize,
    route: u32,
    reporter: Reporter,
    grant: Grant,
    granted: Time,
    expires: Time,
    /// If it fails, the caller gets the failure.
    is_last_send: bool,
    /// A stall was reported: what follows is the same evidence again.
    stalled: bool,
}

/// Slots and verdicts of one service on one node.
#[derive(Debug)]
pub struct Dispatcher {
    judge: Judge,
    /// In the order of the rotation.
    loads: Vec<Load>,
    permits: FxHashMap<PermitId, Permit>,
    queue: Queue<Ask>,
    mean_hold: Duration,
    budget: Budget,
    served: Served,
    granted_at: Option<Time>,
    /// So much fails that endpoints are tried again sooner; as of the last choice.
    is_strained: bool,
    /// An endpoint that is tried again because too many are left alone; as of the last choice.
    to_try: Option<usize>,
}

/// What this dispatcher knows of one endpoint's slots and of its latest failures.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    in_use: u32,
    full_until: Time,
    /// Used last until then, on the word of the peer that dispatches the endpoint.
    hinted_until: Time,
    belief: Belief,
}

/// Sizes of the budgets for repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budgets {
    /// Of a node that dispatches a service for the fleet.
    pub fleet: BudgetLimits,
    /// Of a node that picks for itself.
    pub alone: BudgetLimits,
}

impl Dispatcher {
    /// A dispatcher for `service`. `routes` are hashes of the names of the routes that lead to it.
    pub fn new(now: Time, service: &Service, routes: &[u32], budget: BudgetLimits) -> Self {
        Self {
            judge: Judge::new(now, service, routes),
            loads: vec![Load::default(); service.endpoints.len()],
            permits: FxHashMap::default(),
            queue: Queue::new(),
            mean_hold: FIRST_HOLD,
            budget: Budget::new(budget),
            served: Served::default(),
            granted_at: None,
            is_strained: false,
            to_try: None,
        }
    }

    /// Follows a new configuration or a change of the endpoints. Permits on endpoints that stay are
    /// kept.
    pub fn reconfigure(&mut self, now: Time, service: &Service, routes: &[u32]) {
        let before: Vec<_> = self.endpoints().iter().map(|it| it.id.clone()).collect();
        self.judge.reconfigure(now, service, routes);
        let after: Vec<_> = self.endpoints().iter().map(|it| it.id.clone()).collect();
        let old = std::mem::take(&mut self.loads);
        let load_of = |id: &Name| before.iter().position(|it| it == id).map(|i| old[i]);
        self.to_try = None;
        self.loads = after.iter().map(|id| load_of(id).unwrap_or_default()).collect();
        self.permits.retain(|_, it| {
            let moved = after.iter().position(|id| *id == before[it.endpoint]);
            it.endpoint = moved.unwrap_or_default();
            moved.is_some()
        });
    }

    /// Answers a request for a slot.
    pub fn ask(&mut self, now: Time, ask: Ask, rng: &mut impl Rng) -> Reply {
        if let Some(permit) = self.permits.get(&ask.id) {
            return Reply::Granted(permit.grant.clone());
        }
        if self.queue.any(|it| it.id == ask.id) {
            return Reply::Queued;
        }
        if ask.repeated && !self.budget.take(Spend::of(&ask)) {
            self.served.note(now, Ending::Unserved);
            return Reply::Refused { retry_after: self.mean_hold.max(MIN_RETRY_AFTER) };
        }
        if !ask.repeated {
            self.budget.first_send();
        }
        self.find_strain(now);
        if let Some(endpoint) = self.choose(now, &ask, || rng.random()) {
            return Reply::Granted(self.grant(now, &ask, endpoint));
        }
        if !ask.wait {
            return Reply::Full;
        }
        self.enqueue(now, ask)
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
    ) -> Vec<Settled> {
        let Some(permit) = self.permits.remove(&id) else { return Vec::new() };
        let load = &mut self.loads[permit.endpoint];
        load.in_use -= 1;
        if kind == Kind::Shed {
            load.full_until = now + FULL_FOR;
        }
        self.note_hold(kind, now.since(permit.granted));
        if !permit.stalled {
            self.learn(now, permit, kind, elapsed);
        }
        self.drain(now, rng)
    }

    /// Gives a slot back without learning anything from it, as when the caller has left.
    pub fn cancel(&mut self, now: Time, id: PermitId, rng: &mut impl Rng) -> Vec<Settled> {
        self.queue.extract(|it| it.item.id == id);
        let Some(permit) = self.permits.remove(&id) else { return Vec::new() };
        self.loads[permit.endpoint].in_use -= 1;
        self.drain(now, rng)
    }

    /// Learns that a request is stalled while it is still open.
    pub fn stalled(&mut self, now: Time, id: PermitId, elapsed: Duration) {
        let Some(permit) = self.permits.get_mut(&id) else { return };
        if !std::mem::replace(&mut permit.stalled, true) {
            let permit = permit.clone();
            self.learn(now, permit, Kind::Stalled, elapsed);
        }
    }

    /// Keeps a permit of a long request alive.
    pub fn renew(&mut self, now: Time, id: PermitId) {
        if let Some(permit) = self.permits.get_mut(&id) {
            permit.expires = now + PERMIT_LIFETIME;
        }
    }

    /// Learns from a request that another dispatcher gave the slot for.
    pub fn observe(&mut self, now: Time, id: &str, observation: Observation) {
        if let Some(endpoint) = self.judge.rotation.position(id) {
            self.note(now, Observation { endpoint, ..observation });
        }
    }

    /// Follows a change of the budget for repeats.
    pub fn set_budget(&mut self, limits: BudgetLimits) {
        self.budget.set_limits(limits);
    }

    /// Takes over what another dispatcher of the same service knows of failures.
    pub fn with_beliefs_of(mut self, other: &Self) -> Self {
        for (it, load) in self.judge.rotation.endpoints().iter().zip(&mut self.loads) {
            if let Some(i) = other.judge.rotation.position(&it.id) {
                load.belief = other.loads[i].belief;
            }
        }
        self
    }

    /// Uses an endpoint last until `until`, on the word of the peer that dispatches it.
    pub fn hint(&mut self, until: Time, addr: SocketAddr) {
        for (it, load) in self.judge.rotation.endpoints().iter().zip(&mut self.loads) {
            if it.addr == addr {
                load.hinted_until = until;
            }
        }
    }

    /// Moves what time alone moves and returns replies for those that waited. Costs next to nothing
    /// while nothing happens: a node holds a dispatcher for every service.
    pub fn tick(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Settled> {
        if self.permits.is_empty() && self.queue.len() == 0 && self.judge.is_idle() {
            return Vec::new();
        }
        self.judge.tick(now);
        let loads = &mut self.loads;
        self.permits.retain(|_, it| {
            let keep = now < it.expires;
            if !keep {
                loads[it.endpoint].in_use -= 1;
            }
            keep
        });
        let late = self.queue.extract(|it| it.deadline <= now);
        let mut settled: Vec<_> = late.into_iter().map(|it| self.refusal(it.item.id)).collect();
        settled.extend(self.drain(now, rng));
        settled
    }

    /// Endpoints that are used last because of their latest failures, with the time until when.
    pub fn set_back(&self, now: Time) -> impl Iterator<Item = SocketAddr> + '_ {
        let endpoints = self.endpoints().iter().zip(&self.loads);
        endpoints
            .filter(move |(_, load)| load.belief.usage(now, Strain::None) == Use::Last)
            .map(|(it, _)| it.addr)
    }

    /// Forgets evidence and what is past its deadline after a pause of this process.
    pub fn wake(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Settled> {
        self.judge.forget();
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

    /// Score of the sequential test and slots in use of an endpoint, for the report.
    pub fn evidence_of(&self, endpoint: usize) -> (f64, u32) {
        (self.judge.score(endpoint), self.loads[endpoint].in_use)
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

    /// Requests that wait for a slot.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// State changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        self.judge.rotation.take_changes()
    }

    fn grant(&mut self, now: Time, ask: &Ask, endpoint: usize) -> Grant {
        let tier = self.tier(now, endpoint, ask).unwrap_or(Tier::Last);
        let it = &self.endpoints()[endpoint];
        let grant = Grant {
            endpoint: it.id.clone(),
            addr: it.addr,
            stall_after: self.judge.baseline.stall_after(ask.route),
            trial: matches!(it.state, State::Trial { .. }),
            tier,
        };
        let permit = Permit {
            endpoint,
            route: ask.route,
            reporter: ask.reporter,
            grant: grant.clone(),
            granted: now,
            expires: now + PERMIT_LIFETIME,
            is_last_send: !ask.repeatable || ask.repeated,
            stalled: false,
        };
        self.loads[endpoint].in_use += 1;
        self.granted_at = Some(now);
        self.permits.insert(ask.id, permit);
        grant
    }

    /// The free endpoint of the best tier with the least cost; ties are broken at random.
    ///
    /// An endpoint of the last tier is taken only by those that wait, and only if waiting for a
    /// good one would be in vain or take longer than the asker's patience.
    fn choose(&self, now: Time, ask: &Ask, mut tie: impl FnMut() -> u32) -> Option<usize> {
        let mut best = None;
        let mut good_slots = 0;
        for (i, load) in self.loads.iter().enumerate() {
            let Some(tier) = self.tier(now, i, ask) else { continue };
            let usable = self.usable_slots(now, i);
            if tier < Tier::Last {
                good_slots += usable as usize;
            }
            if load.in_use >= usable {
                continue;
            }
            let key = (tier, self.doubt(now, i, tier), self.cost(i, ask), tie());
            if best.is_none_or(|(other, _)| key < other) {
                best = Some((key, i));
            }
        }
        let ((tier, ..), i) = best?;
        let is_impatient = || self.expected_wait(good_slots, ask.priority) > ask.patience;
        let take_last = ask.wait && (good_slots == 0 || is_impatient());
        (tier < Tier::Last || take_last).then_some(i)
    }

    fn find_strain(&mut self, now: Time) {
        self.is_strained = self.served.is_strained(now);
        let is_idle = |i: &usize| self.loads[*i].belief.is_idle(now);
        let idle: Vec<usize> = (0..self.loads.len()).filter(is_idle).collect();
        let too_many = idle.len() as f64 > self.loads.len() as f64 * IDLE_PART;
        let sick = |i: &usize| self.loads[*i].belief.sick(now);
        let likeliest_well = idle.into_iter().min_by(|a, b| sick(a).total_cmp(&sick(b)));
        self.to_try = likeliest_well.filter(|_| too_many);
    }

    fn strain(&self, i: usize) -> Strain {
        match self.is_strained {
            true => Strain::Unserved,
            false if self.to_try == Some(i) => Strain::Idle,
            false => Strain::None,
        }
    }

    /// Whether an endpoint that is out of rotation is tried all the same, one request at a time,
    /// because a part of the requests is not served.
    fn is_needed(&self, now: Time, i: usize) -> bool {
        let it = &self.endpoints()[i];
        let is_out = matches!(it.state, State::Ejected { .. }) && now.since(it.since) > TRY_AGAIN;
        is_out && self.is_strained
    }

    /// Slots of an endpoint that may be used now: one while nothing proves that it is well again.
    fn usable_slots(&self, now: Time, i: usize) -> u32 {
        if self.is_needed(now, i) {
            return 1;
        }
        let usable = self.endpoints()[i].usable_slots(now);
        match self.loads[i].belief.usage(now, self.strain(i)) {
            Use::Singly | Use::Cautiously => usable.min(1),
            Use::Freely | Use::Last => usable,
        }
    }

    /// Among those that are used last, how likely an endpoint is sick, in steps of a twentieth.
    /// Sick ones fail fast and so are always free: by free slots alone they would be chosen first.
    fn doubt(&self, now: Time, i: usize, tier: Tier) -> u32 {
        match tier {
            Tier::Last => (self.loads[i].belief.sick(now) * 20.0) as u32,
            _ => 0,
        }
    }

    /// Slots in use, and what the way to another failure domain counts for.
    fn cost(&self, i: usize, ask: &Ask) -> u32 {
        self.loads[i].in_use + if self.is_near(i, ask) { 0 } else { FAR_SLOTS }
    }

    /// Whether an endpoint is in the asker's failure domain.
    fn is_near(&self, i: usize, ask: &Ask) -> bool {
        let failure_domain = &self.endpoints()[i].failure_domain;
        stable_hash(failure_domain.as_bytes()) == ask.reporter.failure_domain
    }

    fn tier(&self, now: Time, i: usize, ask: &Ask) -> Option<Tier> {
        let (it, load) = (&self.endpoints()[i], &self.loads[i]);
        if !it.admits(now, ask.repeatable) {
            return self.is_needed(now, i).then_some(Tier::Cautious);
        }
        // A trial is there to find out whether the failures have ended.
        let is_on_trial = matches!(it.state, State::Trial { .. });
        let usage = if is_on_trial { Use::Freely } else { load.belief.usage(now, self.strain(i)) };
        let is_suspect = it.state == State::Suspect && now.since(it.since) < TRY_AGAIN;
        let last = is_suspect
            || it.is_missing
            || usage == Use::Last
            || now < load.hinted_until
            || now < load.full_until
            || self.judge.avoids(now, i, ask.reporter);
        match usage {
            _ if ask.avoid.contains(&it.addr) => Some(Tier::Avoided),
            _ if is_on_trial && last => None,
            _ if is_on_trial && ask.repeatable && !ask.bulky => Some(Tier::Trial),
            _ if last => Some(Tier::Last),
            _ if ask.bulky && !self.is_near(i, ask) => Some(Tier::Far),
            Use::Cautiously if !ask.repeatable => Some(Tier::Cautious),
            _ => Some(Tier::Good),
        }
    }

    fn enqueue(&mut self, now: Time, ask: Ask) -> Reply {
        let slots = self.total_slots(now);
        let wait = self.expected_wait(slots, ask.priority);
        if wait > ask.left || self.queue.len() >= (slots * QUEUE_PER_SLOT).min(MAX_QUEUE) {
            return Reply::Refused { retry_after: wait.max(MIN_RETRY_AFTER) };
        }
        self.queue.push(Waiting {
            priority: ask.priority,
            organisation: ask.organisation,
            weight: ask.weight,
            deadline: now + ask.left,
            item: ask,
        });
        Reply::Queued
    }

    fn expected_wait(&self, slots: usize, priority: Priority) -> Duration {
        let ahead = self.queue.ahead_of(priority) + 1;
        self.mean_hold.mul_f64(ahead as f64 / slots.max(1) as f64)
    }

    fn total_slots(&self, now: Time) -> usize {
        (0..self.loads.len()).map(|i| self.usable_slots(now, i) as usize).sum()
    }

    /// Gives free slots to those that wait.
    fn drain(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Settled> {
        if self.queue.len() == 0 {
            return Vec::new();
        }
        self.find_strain(now);
        let mut settled = Vec::new();
        while self.queue.len() > 0 && self.has_free_slot(now) {
            let fits = |ask: &Ask| self.choose(now, ask, || 0).is_some();
            let Some(next) = self.queue.best(fits) else { break };
            // The endpoint is chosen while the request still counts as waiting: how urgent it is
            // depends on the queue, and a request that has left it must not be lost.
            let ask = self.queue.get(next);
            let Some(endpoint) = self.choose(now, ask, || rng.random()) else { break };
            let ask = self.queue.take(next).item;
            let reply = Reply::Granted(self.grant(now, &ask, endpoint));
            settled.push(Settled { id: ask.id, reply });
        }
        settled
    }

    fn has_free_slot(&self, now: Time) -> bool {
        (0..self.loads.len()).any(|i| self.loads[i].in_use < self.usable_slots(now, i))
    }

    fn refusal(&self, id: PermitId) -> Settled {
        let retry_after = self.mean_hold.max(MIN_RETRY_AFTER);
        Settled { id, reply: Reply::Refused { retry_after } }
    }

    fn learn(&mut self, now: Time, permit: Permit, kind: Kind, elapsed: Duration) {
        match kind {
            Kind::Answered => self.served.note(now, Ending::Served),
            Kind::Failed if permit.is_last_send => self.served.note(now, Ending::Unserved),
            _ => {}
        }
        let observation = Observation {
            reporter: permit.reporter,
            endpoint: permit.endpoint,
            route: permit.route,
            kind,
            elapsed,
        };
        self.note(now, observation);
    }

    fn note(&mut self, now: Time, it: Observation) {
        let belief = &mut self.loads[it.endpoint].belief;
        let before = belief.usage(now, Strain::None);
        belief.observe(now, it.kind, it.reporter, it.elapsed);
        if before != Use::Last && belief.usage(now, Strain::None) == Use::Last {
            let reason = match it.kind {
                Kind::Unreachable => "used last: several nodes in a row cannot reach it",
                Kind::Stalled => "used last: a request is stalled",
                _ => "used last: a request failed",
            };
            self.judge.rotation.remark(it.endpoint, reason);
        }
        self.judge.observe(now, it);
    }

    fn note_hold(&mut self, kind: Kind, held: Duration) {
        if kind == Kind::Answered {
            let mean = self.mean_hold.as_secs_f64();
            let next = mean + HOLD_GAIN * (held.as_secs_f64() - mean);
            self.mean_hold = Duration::from_secs_f64(next);
        }
    }
}

impl Spend {
    /// A hedge does not wait; what has failed does.
    fn of(ask: &Ask) -> Self {
        if ask.wait { Self::OnFailure } else { Self::OnHedge }
    }
}

/// Order of preference among free endpoints. An endpoint on trial comes first: the request is
/// hedged, and without work the trial would never end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Tier {
    /// It is on trial.
    Trial,
    /// Nothing speaks against it.
    Good,
    /// Nothing proves yet that it is well again.
    Cautious,
    /// Something went wrong there a moment ago.
    Last,
    /// In another failure domain, for a long answer, whose bytes are what the way there costs.
    Far,
    /// The asker has tried it already or cannot reach it.
    Avoided,
}

impl Tier {
    /// Short name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Trial => "trial",
            Self::Good => "good",
            Self::Cautious => "cautious",
            Self::Last => "last",
            Self::Far => "far",
            Self::Avoided => "avoided",
        }
    }
}
