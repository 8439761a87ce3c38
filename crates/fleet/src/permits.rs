//! Asking side of dispatch: finds the node that hands out the slots of a service, asks it, and
//! picks an endpoint locally when no node answers.
//!
//! For each service, rendezvous hashing names one dispatching node. A node that does not answer is
//! passed over for a while, and its successor is asked.
//!
//! A service may be dispatched by failure domain: each of its failure domains then has a dispatching
//! node of its own, and a request asks the one of its failure domain first. That node may answer that
//! the request is served sooner in another failure domain, which is then asked once.

use std::time::Duration;

use policy::{Ask, FarReason, Grant, NodeId, PermitId, Reply, SendKind, Time};
use rustc_hash::FxHashMap;

use crate::wire::PermitMessage;

/// How long a node that did not answer is passed over at first; the time doubles while the node
/// stays silent.
const PASS_OVER_TIME: Duration = Duration::from_secs(1);
/// Upper bound of that time.
const MAX_PASS_OVER_TIME: Duration = Duration::from_secs(8);
/// Unanswered asks after which a node is passed over. A single ask or its answer may be lost on a
/// link that is full with an answer to a caller, and the successor does not know the slots in use.
const MAX_UNANSWERED_ASKS: u32 = 3;
/// Silent nodes after which a node picks endpoints locally.
const MAX_SILENT_NODES: u32 = 2;
/// A queued ask is repeated after this time, because the grant or the queue itself may be lost.
const QUEUED_ASK_INTERVAL: Duration = Duration::from_millis(250);

/// How long a grant is remembered. A repeated ask is answered repeatedly with the same slot; the
/// later answers must not release the slot while the request uses it.
const GRANT_MEMORY: Duration = Duration::from_secs(5);

/// The dispatcher that hands out a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Place {
    /// Local dispatcher of this node, which picks for this node alone.
    Direct,
    /// Dispatcher of this node that serves the whole fleet, for the endpoints of one failure domain
    /// or, if none is given, for all endpoints of the service.
    Own(Option<u64>),
    /// Dispatcher of another node.
    Peer(NodeId),
}

/// A request for a slot.
#[derive(Clone, Debug)]
pub struct PermitRequest {
    /// The ask to send.
    pub ask: Ask,
    /// Hash of the service's name.
    pub service: u64,
    /// Hash of the failure domain whose dispatching node is asked first; `None` if one node
    /// dispatches all endpoints of the service.
    pub failure_domain: Option<u64>,
    /// Time after which the request is refused.
    pub deadline: Time,
}

/// An action that the caller of the client has to carry out.
#[derive(Clone, Debug)]
pub enum PermitAction {
    /// Ask a dispatcher of this node for a slot of a service and pass its answer to `reply`.
    AskHere {
        /// The dispatcher.
        place: Place,
        /// Hash of the service's name.
        service: u64,
        /// Whether the dispatcher may answer that another failure domain serves the request sooner.
        may_redirect: bool,
        /// The ask.
        ask: Ask,
    },
    /// Send a message.
    Send(NodeId, PermitMessage),
    /// Complete a permit request.
    Settle(PermitId, PermitOutcome),
}

/// Outcome of a permit request.
#[derive(Clone, Debug, PartialEq)]
pub enum PermitOutcome {
    /// A slot, and the dispatcher that granted it.
    Granted(Grant, Place),
    /// No slot in time; contains the delay for a retry.
    Refused(Duration),
    /// No slot for this long, because the request crashes endpoints.
    Rejected(Duration),
}

#[derive(Clone, Debug)]
struct Pending {
    request: PermitRequest,
    place: Place,
    asked_at: Time,
    is_queued: bool,
    /// Asks at this place since its last answer.
    unanswered_asks: u32,
    /// All asks at this place for the failure domain that is asked now. A copy may arrive after the answer.
    asks_here: u32,
    /// Number of places asked without success, in the failure domain that is asked now.
    failed_places: u32,
    /// Failure domain that is asked now; `None` if one node dispatches all endpoints.
    failure_domain: Option<u64>,
    redirect: Redirect,
}

/// Progress of a request that leaves its failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Redirect {
    /// The dispatching node of its own failure domain is asked.
    Possible,
    /// That of another failure domain is asked.
    Asked,
    /// No node answered for the other failure domain, or it refused a further send, and its own is asked again.
    Returned,
}

impl Redirect {
    fn is_possible(self) -> bool {
        self == Self::Possible
    }
}

/// A change in the reachability of a dispatching node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachabilityChange {
    /// The node does not answer or hands out no more slots; it is passed over for a while.
    Lost(NodeId),
    /// The node has answered again.
    Regained(NodeId),
}

/// Source of the dispatching nodes.
pub trait Directory {
    /// The nodes that can dispatch a service, best first: its endpoints in one failure domain or, if
    /// none is given, all of its endpoints.
    fn candidates(&self, service: u64, failure_domain: Option<u64>) -> Vec<NodeId>;

    /// Hash of the failure domain of an endpoint, if it is known.
    fn failure_domain_of(&self, service: u64, endpoint: &str) -> Option<u64>;
}

/// Asking side of one node.
#[derive(Debug)]
pub struct PermitClient {
    me: NodeId,
    /// An ask without an answer for this long counts as lost.
    timeout: Duration,
    pending: FxHashMap<PermitId, Pending>,
    /// End and length of the time during which a node is passed over.
    passed_over: FxHashMap<NodeId, (Time, Duration)>,
    /// For each service, the dispatcher that holds this node's share of the fixed repeat budget, and
    /// when that dispatcher was last asked. When every ask carried the share and frames were lost,
    /// each dispatching node asked within the window spent it. One node may have several dispatchers
    /// of a service, so the failure domain is part of the key.
    budget_places: FxHashMap<u64, (BudgetHolder, Time)>,
    /// Recently granted requests, and the place that granted them.
    granted: FxHashMap<PermitId, (Place, Time)>,
    next_forget: Time,
    /// Requests that were redirected after more than one ask, and the place that redirected them. A copy
    /// of the ask may have taken a slot or a place in the queue there.
    left_places: Vec<(Place, PermitId)>,
    /// Window of the repeat budget.
    window: Duration,
    /// Reachability changes since the last call of `take_reachability_changes`.
    reachability_changes: Vec<ReachabilityChange>,
    /// Number of asks that got no answer.
    pub timeouts: u64,
    /// Number of slots picked locally because no node answered.
    pub direct: u64,
    /// Numbers of requests that asked in another failure domain, by the reason.
    pub redirects: RedirectCounts,
}

/// A dispatcher as the holder of a share of the repeat budget.
type BudgetHolder = (Place, Option<u64>);

/// Numbers of requests that asked in another failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RedirectCounts {
    by_reason: [u64; FAR_REASONS.len()],
    /// Redirected requests that returned because no node answered in the other failure domain, or because it
    /// refused a further send.
    pub returned: u64,
}

const FAR_REASONS: [FarReason; 4] =
    [FarReason::NoEndpoint, FarReason::Overflow, FarReason::Health, FarReason::Floor];

impl RedirectCounts {
    fn count(&mut self, reason: FarReason) {
        for (known, count) in FAR_REASONS.iter().zip(&mut self.by_reason) {
            *count += u64::from(*known == reason);
        }
    }

    /// Counts by reason.
    pub fn by_reason(&self) -> impl Iterator<Item = (FarReason, u64)> {
        FAR_REASONS.into_iter().zip(self.by_reason)
    }

    /// Requests redirected for any reason.
    pub fn total(&self) -> u64 {
        self.by_reason.iter().sum()
    }
}

impl PermitClient {
    /// Creates the client of the node `me`. `window` is the window of the repeat budget.
    pub fn new(me: NodeId, timeout: Duration, window: Duration) -> Self {
        Self {
            me,
            timeout,
            pending: FxHashMap::default(),
            passed_over: FxHashMap::default(),
            budget_places: FxHashMap::default(),
            granted: FxHashMap::default(),
            next_forget: Time(0),
            left_places: Vec::new(),
            window,
            reachability_changes: Vec::new(),
            timeouts: 0,
            direct: 0,
            redirects: RedirectCounts::default(),
        }
    }

    /// Whether no request is pending.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Starts a permit request.
    pub fn request(
        &mut self,
        now: Time,
        request: PermitRequest,
        directory: &impl Directory,
    ) -> PermitAction {
        let id = request.ask.id;
        let failure_domain = request.failure_domain;
        let pending = Pending {
            request,
            place: Place::Direct,
            asked_at: now,
            is_queued: false,
            unanswered_asks: 0,
            asks_here: 0,
            failed_places: 0,
            failure_domain,
            redirect: Redirect::Possible,
        };
        self.pending.insert(id, pending);
        self.ask(now, id, directory)
    }

    /// Processes a reply from `place`.
    pub fn reply(
        &mut self,
        now: Time,
        place: Place,
        id: PermitId,
        reply: Reply,
        directory: &impl Directory,
    ) -> Option<PermitAction> {
        if let Place::Peer(node) = place
            && self.passed_over.remove(&node).is_some()
        {
            self.reachability_changes.push(ReachabilityChange::Regained(node));
        }
        let Some(pending) = self.pending.get_mut(&id).filter(|it| it.place == place) else {
            return self.release_unwanted(place, id, &reply);
        };
        match reply {
            // The node also grants for the failure domain that the request has left. The ask is repeated
            // after the time-out, which makes the node withdraw this slot.
            Reply::Granted(ref it) if !pending.is_slot_wanted(it, directory) => None,
            Reply::Queued => {
                pending.is_queued = true;
                pending.unanswered_asks = 0;
                pending.asked_at = now;
                None
            }
            Reply::Full if pending.request.ask.wait && place != Place::Direct => {
                pending.failed_places += 1;
                if let Place::Peer(node) = place {
                    self.passed_over.insert(node, (now + PASS_OVER_TIME, PASS_OVER_TIME));
                    self.reachability_changes.push(ReachabilityChange::Lost(node));
                }
                Some(self.ask(now, id, directory))
            }
            Reply::Elsewhere { failure_domain, reason }
                if pending.redirect.is_possible() && pending.failure_domain.is_some() =>
            {
                pending.redirect = Redirect::Asked;
                pending.failure_domain = Some(failure_domain);
                pending.failed_places = 0;
                pending.unanswered_asks = 0;
                pending.is_queued = false;
                let has_copies = std::mem::take(&mut pending.asks_here) > 1;
                self.redirects.count(reason);
                let ask = self.ask(now, id, directory);
                // A node that is asked for both failure domains withdraws the copies itself.
                let is_at_place = self.pending.get(&id).is_some_and(|it| it.place == place);
                if has_copies && !is_at_place {
                    self.left_places.push((place, id));
                }
                Some(ask)
            }
            // A late copy of the answer that redirected the request: an ask that must not be
            // redirected gets no such answer.
            Reply::Elsewhere { .. } if place != Place::Direct => None,
            Reply::Full | Reply::Elsewhere { .. } => {
                self.pending.remove(&id);
                Some(PermitAction::Settle(id, PermitOutcome::Refused(PASS_OVER_TIME)))
            }
            Reply::Granted(grant) => {
                self.pending.remove(&id);
                self.granted.insert(id, (place, now));
                Some(PermitAction::Settle(id, PermitOutcome::Granted(grant, place)))
            }
            // The repeat budget of its own failure domain may allow a further send.
            Reply::Refused { .. }
                if pending.redirect == Redirect::Asked
                    && pending.request.ask.send == SendKind::Further =>
            {
                pending.return_home();
                self.redirects.returned += 1;
                Some(self.ask(now, id, directory))
            }
            Reply::Refused { retry_after } => {
                self.pending.remove(&id);
                Some(PermitAction::Settle(id, PermitOutcome::Refused(retry_after)))
            }
            Reply::Rejected { retry_after } => {
                self.pending.remove(&id);
                Some(PermitAction::Settle(id, PermitOutcome::Rejected(retry_after)))
            }
        }
    }

    /// Returns the dispatching nodes that were lost or regained since the last call.
    pub fn take_reachability_changes(&mut self) -> Vec<ReachabilityChange> {
        std::mem::take(&mut self.reachability_changes)
    }

    /// Withdraws a request. A grant that still arrives is given back.
    pub fn withdraw(&mut self, id: PermitId) -> Option<Place> {
        self.pending.remove(&id).map(|it| it.place)
    }

    /// Handles the asks that were not answered in time.
    pub fn tick(&mut self, now: Time, directory: &impl Directory) -> Vec<PermitAction> {
        self.forget_grants(now);
        let left = self.release_left_places();
        let timed_out: Vec<PermitId> = self
            .pending
            .iter()
            .filter(|(_, it)| it.is_timed_out(now, self.timeout))
            .map(|(id, _)| *id)
            .collect();
        let asked = timed_out.into_iter().flat_map(|id| self.handle_timeout(now, id, directory));
        left.into_iter().chain(asked).collect()
    }

    /// Releases what copies of an ask took at the places that redirected it, except where the request has
    /// returned to.
    fn release_left_places(&mut self) -> Vec<PermitAction> {
        let left = std::mem::take(&mut self.left_places).into_iter();
        let left = left.filter(|(place, id)| {
            let pending = self.pending.get(id).map(|it| it.place);
            let granted = self.granted.get(id).map(|(it, _)| *it);
            pending.or(granted) != Some(*place)
        });
        left.filter_map(|(place, id)| release(place, id)).collect()
    }

    fn handle_timeout(
        &mut self,
        now: Time,
        id: PermitId,
        directory: &impl Directory,
    ) -> Vec<PermitAction> {
        let Some(pending) = self.pending.get_mut(&id) else { return Vec::new() };
        let place = pending.place;
        if now >= pending.request.deadline {
            self.pending.remove(&id);
            let refused = PermitAction::Settle(id, PermitOutcome::Refused(PASS_OVER_TIME));
            return release(place, id).into_iter().chain([refused]).collect();
        }
        let is_passed_over =
            |node| self.passed_over.get(&node).is_some_and(|(until, _)| now < *until);
        match place {
            // Another node may dispatch the service by now.
            _ if std::mem::take(&mut pending.is_queued) => {}
            Place::Peer(node)
                if pending.unanswered_asks < MAX_UNANSWERED_ASKS && !is_passed_over(node) =>
            {
                return vec![self.ask_at(now, id, place)];
            }
            Place::Peer(node) => {
                pending.failed_places += 1;
                self.timeouts += 1;
                self.pass_over(now, node);
            }
            Place::Own(_) | Place::Direct => pending.failed_places += 1,
        }
        let ask = self.ask(now, id, directory);
        let is_elsewhere = self.pending.get(&id).is_some_and(|it| it.place != place);
        let released = release(place, id).filter(|_| is_elsewhere);
        released.into_iter().chain([ask]).collect()
    }

    /// Does not ask an unresponsive node for a while.
    pub fn pass_over(&mut self, now: Time, node: NodeId) {
        let previous = self.passed_over.get(&node).map(|(_, length)| *length);
        if previous.is_none() {
            self.reachability_changes.push(ReachabilityChange::Lost(node));
        }
        let length = previous.map_or(PASS_OVER_TIME, |it| (it * 2).min(MAX_PASS_OVER_TIME));
        self.passed_over.insert(node, (now + length, length));
    }

    /// Asks the current dispatcher of the service.
    fn ask(&mut self, now: Time, id: PermitId, directory: &impl Directory) -> PermitAction {
        let pending = self.pending.get_mut(&id).expect("only pending requests are asked for");
        let service = pending.request.service;
        let (me, passed_over) = (self.me, &self.passed_over);
        let choose = |failure_domain| {
            choose_place(me, passed_over, now, (service, failure_domain), directory)
        };
        let choose_for = |it: &Pending| match it.failed_places < MAX_SILENT_NODES {
            true => choose(it.failure_domain),
            false => Place::Direct,
        };
        let mut place = choose_for(pending);
        // While another failure domain cannot be reached, its own still serves the request.
        if place == Place::Direct && pending.redirect == Redirect::Asked {
            pending.return_home();
            self.redirects.returned += 1;
            place = choose_for(pending);
        }
        if place != pending.place {
            pending.unanswered_asks = 0;
            pending.asks_here = 0;
        }
        self.ask_at(now, id, place)
    }

    fn ask_at(&mut self, now: Time, id: PermitId, place: Place) -> PermitAction {
        let pending = self.pending.get_mut(&id).expect("only pending requests are asked for");
        pending.place = place;
        pending.asked_at = now;
        pending.unanswered_asks += 1;
        pending.asks_here += 1;
        let (failure_domain, redirect) = (pending.failure_domain, pending.redirect);
        let request = &mut pending.request;
        let service = request.service;
        let ask = Ask { left: request.deadline.since(now), ..request.ask.clone() };
        request.ask.send = ask.send.again();
        // The share of the repeat budget stays with the dispatcher of the own failure domain.
        let brings_share = redirect != Redirect::Asked
            && self.carries_budget_share(now, service, (place, failure_domain));
        let ask = Ask { brings_share, ..ask };
        let may_redirect = failure_domain.is_some() && redirect.is_possible();
        match (place, failure_domain) {
            (Place::Peer(node), Some(failure_domain)) => {
                let message =
                    PermitMessage::DomainAsk { service, failure_domain, may_redirect, ask };
                PermitAction::Send(node, message)
            }
            (Place::Peer(node), None) => {
                PermitAction::Send(node, PermitMessage::Ask { service, ask })
            }
            (Place::Own(_), _) => PermitAction::AskHere { place, service, may_redirect, ask },
            (Place::Direct, _) => {
                self.direct += 1;
                PermitAction::AskHere { place, service, may_redirect: false, ask }
            }
        }
    }

    /// The place that is currently asked for the slots of a service, in one failure domain if one is
    /// given.
    pub fn place(
        &self,
        now: Time,
        service: u64,
        failure_domain: Option<u64>,
        directory: &impl Directory,
    ) -> Place {
        choose_place(self.me, &self.passed_over, now, (service, failure_domain), directory)
    }

    /// Whether a node is passed over now.
    pub fn passes_over(&self, now: Time, node: NodeId) -> bool {
        self.passed_over.get(&node).is_some_and(|(until, _)| now < *until)
    }

    /// Changes the window of the repeat budget.
    pub fn set_window(&mut self, window: Duration) {
        self.window = window;
    }

    /// Whether an ask at `holder` carries this node's share of the budget. The share moves to
    /// another dispatcher only after its former one was not asked for a whole window.
    fn carries_budget_share(&mut self, now: Time, service: u64, holder: BudgetHolder) -> bool {
        let known = self.budget_places.get(&service);
        let is_elsewhere =
            known.is_some_and(|(it, at)| *it != holder && now.since(*at) < self.window);
        if !is_elsewhere {
            self.budget_places.insert(service, (holder, now));
        }
        !is_elsewhere
    }
}

impl PermitClient {
    /// Gives back a slot that arrives after its request was completed or moved to another place.
    fn release_unwanted(&self, place: Place, id: PermitId, reply: &Reply) -> Option<PermitAction> {
        let is_in_use = self.granted.get(&id).is_some_and(|(it, _)| *it == place);
        match reply {
            Reply::Granted(_) if !is_in_use => release(place, id),
            _ => None,
        }
    }

    fn forget_grants(&mut self, now: Time) {
        if now >= self.next_forget {
            self.next_forget = now + GRANT_MEMORY;
            self.granted.retain(|_, (_, at)| now.since(*at) < GRANT_MEMORY);
        }
    }
}

impl Pending {
    /// Leaves the other failure domain for the own one.
    fn return_home(&mut self) {
        self.redirect = Redirect::Returned;
        self.failure_domain = self.request.failure_domain;
        self.failed_places = 0;
        self.unanswered_asks = 0;
        self.asks_here = 0;
        self.is_queued = false;
    }

    /// Whether a slot is in the failure domain that is asked now. One of an unknown endpoint is accepted:
    /// this node may be behind in configuration.
    fn is_slot_wanted(&self, grant: &Grant, directory: &impl Directory) -> bool {
        let Some(asked) = self.failure_domain else { return true };
        let known = directory.failure_domain_of(self.request.service, &grant.endpoint);
        known.is_none_or(|it| it == asked)
    }

    fn is_timed_out(&self, now: Time, timeout: Duration) -> bool {
        let limit = match (self.is_queued, self.place) {
            (true, Place::Peer(_)) => QUEUED_ASK_INTERVAL,
            (false, Place::Peer(_)) => timeout,
            // A local queue replies without being asked again.
            (_, Place::Direct | Place::Own(_)) => return now >= self.request.deadline,
        };
        now >= self.request.deadline || now.since(self.asked_at) >= limit
    }
}

/// The best candidate that is not passed over, for a service and, if given, a failure domain.
fn choose_place(
    me: NodeId,
    passed_over: &FxHashMap<NodeId, (Time, Duration)>,
    now: Time,
    (service, failure_domain): (u64, Option<u64>),
    directory: &impl Directory,
) -> Place {
    let is_passed_over = |it: &NodeId| passed_over.get(it).is_some_and(|(until, _)| now < *until);
    match directory.candidates(service, failure_domain).into_iter().find(|it| !is_passed_over(it)) {
        Some(node) if node == me => Place::Own(failure_domain),
        Some(node) => Place::Peer(node),
        None => Place::Direct,
    }
}

/// Releases what a node may have granted to a request that moved to another place: its answer may
/// have been lost.
fn release(place: Place, id: PermitId) -> Option<PermitAction> {
    match place {
        Place::Peer(node) => {
            Some(PermitAction::Send(node, PermitMessage::Release { id, outcome: None }))
        }
        Place::Own(_) | Place::Direct => None,
    }
}
