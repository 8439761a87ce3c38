//! Hands out the slots of a service's endpoints: one permit is one request on one endpoint.
//!
//! The same machine serves two ways of dispatch. A node that dispatches for itself alone covers all
//! endpoints and counts its own requests. A node that dispatches for a failure domain covers that
//! domain's endpoints and counts the requests of every node that asks it. A permit is advice about
//! capacity; no guarantee to callers rests on it, so lost, late and doubled permits do no harm.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, RngExt};
use resources::{Name, Priority, Service};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::judge::{Judge, Kind, Observation, Reporter};
use crate::queue::{Queue, Waiting};
use crate::rendezvous::NodeId;
use crate::rotation::{Change, EndpointStatus, Rotation, State};
use crate::time::Time;

/// A permit that is neither released nor renewed for this long is taken back.
const PERMIT_LIFETIME: Duration = Duration::from_secs(3);
/// An endpoint that shed a request is taken for full for this long.
const FULL_FOR: Duration = Duration::from_millis(5);
/// Waiting requests for each slot at most.
const QUEUE_PER_SLOT: usize = 8;
/// Waiting requests at most, whatever the number of slots, so that a turn of the queue stays short.
const MAX_QUEUE: usize = 512;
/// Weight of a new sample in the mean time that a slot is held.
const HOLD_GAIN: f64 = 0.05;
/// A request takes an endpoint of the last tier when the wait times this exceeds the time left.
const URGENT_PART: u32 = 4;
/// Mean hold time before any sample.
const FIRST_HOLD: Duration = Duration::from_millis(20);
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
#[derive(Clone, Debug)]
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
    /// An endpoint that an earlier try of the same request has used.
    pub exclude: Option<SocketAddr>,
    /// Time left until the request's deadline.
    pub left: Duration,
    /// Whether to wait for a slot, or else to take a suspect endpoint. Without it the answer is
    /// `Full` unless a good endpoint is free, so that the asker can try elsewhere first.
    pub wait: bool,
}

/// A slot on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The endpoint.
    pub addr: SocketAddr,
    /// Report the request as stalled when it is open for longer than this.
    pub stall_after: Duration,
    /// Whether the endpoint is on trial: hedge at once so that the caller does not pay.
    pub trial: bool,
}

/// Answer to an `Ask`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
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
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settled {
    /// The permit asked for.
    pub id: PermitId,
    /// The answer.
    pub reply: Reply,
}

/// A slot in use.
#[derive(Clone, Copy, Debug)]
struct Permit {
    endpoint: usize,
    route: u32,
    reporter: Reporter,
    grant: Grant,
    granted: Time,
    expires: Time,
    /// A stall was reported: what follows is the same evidence again.
    stalled: bool,
}

/// Slots and verdicts of one service on one node.
#[derive(Debug)]
pub struct Dispatcher {
    judge: Judge,
    /// Covers this failure domain only, or all.
    failure_domain: Option<Name>,
    slots: u32,
    in_use: Vec<u32>,
    full_until: Vec<Time>,
    /// Endpoints that the peer which dispatches them has ejected; used last.
    hinted_until: Vec<Time>,
    permits: FxHashMap<PermitId, Permit>,
    queue: Queue<Ask>,
    mean_hold: Duration,
}

impl Dispatcher {
    /// A dispatcher for one failure domain of `service`, or for all of it. `routes` are hashes of
    /// the names of the routes that lead to it.
    pub fn new(now: Time, service: &Service, failure_domain: Option<Name>, routes: &[u32]) -> Self {
        let n = service.endpoints.len();
        Self {
            judge: Judge::new(now, service, routes),
            failure_domain,
            slots: service.slots,
            in_use: vec![0; n],
            full_until: vec![Time(0); n],
            hinted_until: vec![Time(0); n],
            permits: FxHashMap::default(),
            queue: Queue::new(),
            mean_hold: FIRST_HOLD,
        }
    }

    /// Follows a new configuration. Permits on endpoints that stay are kept.
    pub fn reconfigure(&mut self, now: Time, service: &Service, routes: &[u32]) {
        let before: Vec<_> = self.endpoints().iter().map(|it| it.addr).collect();
        self.judge.reconfigure(now, service, routes);
        self.slots = service.slots;
        let after: Vec<_> = self.endpoints().iter().map(|it| it.addr).collect();
        let moved = |i: usize| after.iter().position(|it| *it == before[i]);
        self.permits.retain(|_, it| match moved(it.endpoint) {
            Some(i) => {
                it.endpoint = i;
                true
            }
            None => false,
        });
        self.in_use = vec![0; after.len()];
        self.permits.values().for_each(|it| self.in_use[it.endpoint] += 1);
        self.full_until = vec![Time(0); after.len()];
        self.hinted_until = vec![Time(0); after.len()];
    }

    /// Answers a request for a slot.
    pub fn ask(&mut self, now: Time, ask: Ask, rng: &mut impl Rng) -> Reply {
        if let Some(permit) = self.permits.get(&ask.id) {
            return Reply::Granted(permit.grant);
        }
        if self.queue.any(|it| it.id == ask.id) {
            return Reply::Queued;
        }
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
        self.in_use[permit.endpoint] -= 1;
        self.note_hold(kind, now.since(permit.granted));
        if kind == Kind::Shed {
            self.full_until[permit.endpoint] = now + FULL_FOR;
        }
        if !permit.stalled {
            self.learn(now, permit, kind, elapsed);
        }
        self.drain(now, rng)
    }

    /// Gives a slot back without learning anything from it, as when the caller has left.
    pub fn cancel(&mut self, now: Time, id: PermitId, rng: &mut impl Rng) -> Vec<Settled> {
        self.queue.extract(|it| it.item.id == id);
        let Some(permit) = self.permits.remove(&id) else { return Vec::new() };
        self.in_use[permit.endpoint] -= 1;
        self.drain(now, rng)
    }

    /// Learns that a request is stalled while it is still open.
    pub fn stalled(&mut self, now: Time, id: PermitId, elapsed: Duration) {
        let Some(permit) = self.permits.get_mut(&id) else { return };
        if !std::mem::replace(&mut permit.stalled, true) {
            let permit = *permit;
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
    pub fn observe(&mut self, now: Time, addr: SocketAddr, observation: Observation) {
        if let Some(endpoint) = self.judge.rotation.position(addr) {
            self.judge.observe(now, Observation { endpoint, ..observation });
        }
    }

    /// Marks an endpoint that is going away; it gets no new work.
    pub fn leave(&mut self, now: Time, addr: SocketAddr) {
        if let Some(i) = self.judge.rotation.position(addr) {
            self.judge.rotation.leave(now, i);
        }
    }

    /// Uses an endpoint last until `until`, on the word of the peer that dispatches it.
    pub fn hint(&mut self, until: Time, addr: SocketAddr) {
        if let Some(i) = self.judge.rotation.position(addr) {
            self.hinted_until[i] = until;
        }
    }

    /// Moves what time alone moves and returns replies for those that waited. Costs next to nothing
    /// while nothing happens: a node holds a dispatcher for every service.
    pub fn tick(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Settled> {
        if self.permits.is_empty() && self.queue.len() == 0 && self.judge.is_idle() {
            return Vec::new();
        }
        self.judge.tick(now);
        let in_use = &mut self.in_use;
        self.permits.retain(|_, it| {
            let keep = now < it.expires;
            if !keep {
                in_use[it.endpoint] -= 1;
            }
            keep
        });
        let late = self.queue.extract(|it| it.deadline <= now);
        let mut settled: Vec<_> = late.into_iter().map(|it| self.refusal(it.item.id)).collect();
        settled.extend(self.drain(now, rng));
        settled
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
        (self.judge.score(endpoint), self.in_use[endpoint])
    }

    /// Path, shared and reporter faults recognised so far.
    pub fn faults_excused(&self) -> [u64; 3] {
        [self.judge.path_faults, self.judge.shared_faults, self.judge.reporter_faults]
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
        let it = &self.endpoints()[endpoint];
        let grant = Grant {
            addr: it.addr,
            stall_after: self.judge.baseline.stall_after(ask.route),
            trial: matches!(it.state, State::Trial { .. }),
        };
        let permit = Permit {
            endpoint,
            route: ask.route,
            reporter: ask.reporter,
            grant,
            granted: now,
            expires: now + PERMIT_LIFETIME,
            stalled: false,
        };
        self.in_use[endpoint] += 1;
        self.permits.insert(ask.id, permit);
        grant
    }

    /// The free endpoint of the best tier with the fewest slots in use; ties are broken at random.
    ///
    /// An endpoint of the last tier is taken only by those that wait, and only if waiting for a
    /// good one would be in vain or would use up much of the time left.
    fn choose(&self, now: Time, ask: &Ask, mut tie: impl FnMut() -> u32) -> Option<usize> {
        let mut best = None;
        let mut good_exists = false;
        for i in 0..self.in_use.len() {
            let Some(tier) = self.tier(now, i, ask) else { continue };
            good_exists |= tier == Tier::Good;
            if self.in_use[i] >= self.endpoints()[i].usable_slots(now, self.slots) {
                continue;
            }
            let key = (tier, self.in_use[i], tie());
            if best.is_none_or(|(other, _)| key < other) {
                best = Some((key, i));
            }
        }
        let ((tier, ..), i) = best?;
        let take_last = ask.wait && (!good_exists || self.is_urgent(now, ask));
        (tier != Tier::Last || take_last).then_some(i)
    }

    fn tier(&self, now: Time, i: usize, ask: &Ask) -> Option<Tier> {
        let it = &self.endpoints()[i];
        let covered = self.failure_domain.as_ref().is_none_or(|d| *d == it.failure_domain);
        if !covered || !it.admits(now, ask.repeatable) {
            return None;
        }
        let last = it.state == State::Suspect
            || ask.exclude == Some(it.addr)
            || now < self.hinted_until[i]
            || now < self.full_until[i]
            || self.judge.avoids(now, i, ask.reporter);
        match it.state {
            State::Trial { .. } if last => None,
            State::Trial { .. } => Some(Tier::Trial),
            _ if last => Some(Tier::Last),
            _ => Some(Tier::Good),
        }
    }

    fn is_urgent(&self, now: Time, ask: &Ask) -> bool {
        let wait = self.expected_wait(self.total_slots(now), ask.priority);
        wait * URGENT_PART > ask.left
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
        let covered = self
            .endpoints()
            .iter()
            .filter(|it| self.failure_domain.as_ref().is_none_or(|d| *d == it.failure_domain));
        covered.map(|it| it.usable_slots(now, self.slots) as usize).sum()
    }

    /// Gives free slots to those that wait.
    fn drain(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Settled> {
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
        let usable = self.endpoints().iter().map(|it| it.usable_slots(now, self.slots));
        usable.zip(&self.in_use).any(|(usable, used)| *used < usable)
    }

    fn refusal(&self, id: PermitId) -> Settled {
        let retry_after = self.mean_hold.max(MIN_RETRY_AFTER);
        Settled { id, reply: Reply::Refused { retry_after } }
    }

    fn learn(&mut self, now: Time, permit: Permit, kind: Kind, elapsed: Duration) {
        let observation = Observation {
            reporter: permit.reporter,
            endpoint: permit.endpoint,
            route: permit.route,
            kind,
            elapsed,
        };
        self.judge.observe(now, observation);
    }

    fn note_hold(&mut self, kind: Kind, held: Duration) {
        if kind == Kind::Answered {
            let mean = self.mean_hold.as_secs_f64();
            let next = mean + HOLD_GAIN * (held.as_secs_f64() - mean);
            self.mean_hold = Duration::from_secs_f64(next);
        }
    }
}

/// Order of preference among free endpoints. An endpoint on trial comes first: the request is
/// hedged, and without work the trial would never end.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    Trial,
    Good,
    Last,
}
