//! Asking side of dispatch: finds the node that hands out the slots of a service, asks it, and
//! picks an endpoint locally when no node answers.
//!
//! For each service, rendezvous hashing names one dispatching node. A node that does not answer is
//! passed over for a while, and its successor is asked.

use std::time::Duration;

use policy::{Ask, Grant, NodeId, PermitId, Reply, Time};
use rustc_hash::FxHashMap;

use crate::wire::PermitMessage;

/// How long a node that did not answer is passed over at first; the time doubles while the node
/// stays silent.
const PASS_OVER: Duration = Duration::from_secs(1);
/// Upper bound of that time.
const MAX_PASS_OVER: Duration = Duration::from_secs(8);
/// Unanswered asks after which a node is passed over. A single ask or its answer may be lost on a
/// link that is full with an answer to a caller, and the successor does not know the slots in use.
const ASKS_IN_VAIN: u32 = 3;
/// Silent nodes after which a node picks endpoints locally.
const MAX_SILENT: u32 = 2;
/// A queued ask is repeated after this time, because the grant or the queue itself may be lost.
const ASK_AGAIN: Duration = Duration::from_millis(250);

/// How long a grant is remembered. A repeated ask is answered repeatedly with the same slot; the
/// later answers must not release the slot while the request uses it.
const REMEMBER_GRANT: Duration = Duration::from_secs(5);

/// The dispatcher that hands out a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Place {
    /// Local dispatcher of this node, which picks for this node alone.
    Direct,
    /// Dispatcher of this node that serves the whole fleet.
    Own,
    /// Dispatcher of another node.
    Peer(NodeId),
}

/// A request for a slot.
#[derive(Clone, Debug)]
pub struct Wish {
    /// The ask to send.
    pub ask: Ask,
    /// Hash of the service's name.
    pub service: u64,
    /// Time after which the request is refused.
    pub deadline: Time,
}

/// An action that the caller of the client has to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Ask a dispatcher of this node and pass its answer to `reply`.
    AskHere(Place, u64, Ask),
    /// Send a message.
    Send(NodeId, PermitMessage),
    /// Complete a permit request.
    Settle(PermitId, Settlement),
}

/// Outcome of a permit request.
#[derive(Clone, Debug, PartialEq)]
pub enum Settlement {
    /// A slot, and the dispatcher that granted it.
    Granted(Grant, Place),
    /// No slot in time; contains the delay for a retry.
    Refused(Duration),
    /// No slot for this long, because the request crashes endpoints.
    Rejected(Duration),
}

#[derive(Clone, Debug)]
struct Pending {
    wish: Wish,
    place: Place,
    asked: Time,
    queued: bool,
    /// Asks at this place since its last answer.
    asks: u32,
    /// Number of places asked without success.
    vain: u32,
}

/// A change in the reachability of a dispatching node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// The node does not answer or hands out no more slots; it is passed over for a while.
    Lost(NodeId),
    /// The node has answered again.
    Regained(NodeId),
}

/// Source of the dispatching nodes.
pub trait Directory {
    /// The nodes that can dispatch a service, best first.
    fn candidates(&self, service: u64) -> Vec<NodeId>;
}

/// Asking side of one node.
#[derive(Debug)]
pub struct Client {
    me: NodeId,
    /// An ask without an answer for this long counts as lost.
    timeout: Duration,
    pending: FxHashMap<PermitId, Pending>,
    /// End and length of the time during which a node is passed over.
    passed_over: FxHashMap<NodeId, (Time, Duration)>,
    /// For each service, the place that holds this node's share of the fixed repeat budget, and
    /// when that place was last asked. Sent along with every ask, the share of one node was spent
    /// by every dispatching node asked within the window when frames were lost.
    parts: FxHashMap<u64, (Place, Time)>,
    /// Recently granted requests, and the place that granted them.
    granted: FxHashMap<PermitId, (Place, Time)>,
    next_forget: Time,
    /// Window of the repeat budget.
    window: Duration,
    /// Reachability changes since the last call of `take_contacts`.
    contacts: Vec<Contact>,
    /// Number of asks that got no answer.
    pub timeouts: u64,
    /// Number of slots picked locally because no node answered.
    pub direct: u64,
}

impl Client {
    /// Creates the client of the node `me`. `window` is the window of the repeat budget.
    pub fn new(me: NodeId, timeout: Duration, window: Duration) -> Self {
        Self {
            me,
            timeout,
            pending: FxHashMap::default(),
            passed_over: FxHashMap::default(),
            parts: FxHashMap::default(),
            granted: FxHashMap::default(),
            next_forget: Time(0),
            window,
            contacts: Vec::new(),
            timeouts: 0,
            direct: 0,
        }
    }

    /// Whether no request is pending.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Starts a permit request.
    pub fn wish(&mut self, now: Time, wish: Wish, directory: &impl Directory) -> Action {
        let id = wish.ask.id;
        let pending =
            Pending { wish, place: Place::Direct, asked: now, queued: false, asks: 0, vain: 0 };
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
    ) -> Option<Action> {
        if let Place::Peer(node) = place
            && self.passed_over.remove(&node).is_some()
        {
            self.contacts.push(Contact::Regained(node));
        }
        let Some(pending) = self.pending.get_mut(&id).filter(|it| it.place == place) else {
            return self.unwanted(place, id, &reply);
        };
        match reply {
            Reply::Queued => {
                pending.queued = true;
                pending.asks = 0;
                pending.asked = now;
                None
            }
            Reply::Full if pending.wish.ask.wait && place != Place::Direct => {
                pending.vain += 1;
                if let Place::Peer(node) = place {
                    self.passed_over.insert(node, (now + PASS_OVER, PASS_OVER));
                    self.contacts.push(Contact::Lost(node));
                }
                Some(self.ask(now, id, directory))
            }
            Reply::Full => {
                self.pending.remove(&id);
                Some(Action::Settle(id, Settlement::Refused(PASS_OVER)))
            }
            Reply::Granted(grant) => {
                self.pending.remove(&id);
                self.granted.insert(id, (place, now));
                Some(Action::Settle(id, Settlement::Granted(grant, place)))
            }
            Reply::Refused { retry_after } => {
                self.pending.remove(&id);
                Some(Action::Settle(id, Settlement::Refused(retry_after)))
            }
            Reply::Rejected { retry_after } => {
                self.pending.remove(&id);
                Some(Action::Settle(id, Settlement::Rejected(retry_after)))
            }
        }
    }

    /// Returns the dispatching nodes that were lost or regained since the last call.
    pub fn take_contacts(&mut self) -> Vec<Contact> {
        std::mem::take(&mut self.contacts)
    }

    /// Withdraws a request. A grant that still arrives is given back.
    pub fn withdraw(&mut self, id: PermitId) -> Option<Place> {
        self.pending.remove(&id).map(|it| it.place)
    }

    /// Handles the asks that were not answered in time.
    pub fn tick(&mut self, now: Time, directory: &impl Directory) -> Vec<Action> {
        self.forget_grants(now);
        let lost: Vec<PermitId> = self
            .pending
            .iter()
            .filter(|(_, it)| it.is_lost(now, self.timeout))
            .map(|(id, _)| *id)
            .collect();
        lost.into_iter().flat_map(|id| self.lost(now, id, directory)).collect()
    }

    fn lost(&mut self, now: Time, id: PermitId, directory: &impl Directory) -> Vec<Action> {
        let Some(pending) = self.pending.get_mut(&id) else { return Vec::new() };
        let place = pending.place;
        if now >= pending.wish.deadline {
            self.pending.remove(&id);
            let refused = Action::Settle(id, Settlement::Refused(PASS_OVER));
            return leave(place, id).into_iter().chain([refused]).collect();
        }
        let is_passed_over =
            |node| self.passed_over.get(&node).is_some_and(|(until, _)| now < *until);
        match place {
            // Another node may dispatch the service by now.
            _ if std::mem::take(&mut pending.queued) => {}
            Place::Peer(node) if pending.asks < ASKS_IN_VAIN && !is_passed_over(node) => {
                return vec![self.ask_at(now, id, place)];
            }
            Place::Peer(node) => {
                pending.vain += 1;
                self.timeouts += 1;
                self.pass_over(now, node);
            }
            Place::Own | Place::Direct => pending.vain += 1,
        }
        let ask = self.ask(now, id, directory);
        let is_elsewhere = self.pending.get(&id).is_some_and(|it| it.place != place);
        let left = leave(place, id).filter(|_| is_elsewhere);
        left.into_iter().chain([ask]).collect()
    }

    /// Does not ask an unresponsive node for a while.
    pub fn pass_over(&mut self, now: Time, node: NodeId) {
        let before = self.passed_over.get(&node).map(|(_, length)| *length);
        if before.is_none() {
            self.contacts.push(Contact::Lost(node));
        }
        let length = before.map_or(PASS_OVER, |it| (it * 2).min(MAX_PASS_OVER));
        self.passed_over.insert(node, (now + length, length));
    }

    /// Asks the current dispatcher of the service.
    fn ask(&mut self, now: Time, id: PermitId, directory: &impl Directory) -> Action {
        let pending = self.pending.get_mut(&id).expect("asked for pending wishes only");
        let place = match pending.vain < MAX_SILENT {
            true => place(self.me, &self.passed_over, now, pending.wish.service, directory),
            false => Place::Direct,
        };
        if place != pending.place {
            pending.asks = 0;
        }
        self.ask_at(now, id, place)
    }

    fn ask_at(&mut self, now: Time, id: PermitId, place: Place) -> Action {
        let pending = self.pending.get_mut(&id).expect("asked for pending wishes only");
        pending.place = place;
        pending.asked = now;
        pending.asks += 1;
        let wish = &mut pending.wish;
        let service = wish.service;
        let ask = Ask { left: wish.deadline.since(now), ..wish.ask.clone() };
        wish.ask.send = ask.send.again();
        let ask = Ask { brings_part: self.brings_part(now, service, place), ..ask };
        match place {
            Place::Peer(node) => Action::Send(node, PermitMessage::Ask { service, ask }),
            Place::Own => Action::AskHere(place, service, ask),
            Place::Direct => {
                self.direct += 1;
                Action::AskHere(place, service, ask)
            }
        }
    }

    /// The place that is currently asked for the slots of a service.
    pub fn place(&self, now: Time, service: u64, directory: &impl Directory) -> Place {
        place(self.me, &self.passed_over, now, service, directory)
    }

    /// Whether a node is passed over now.
    pub fn passes_over(&self, now: Time, node: NodeId) -> bool {
        self.passed_over.get(&node).is_some_and(|(until, _)| now < *until)
    }

    /// Changes the window of the repeat budget.
    pub fn set_window(&mut self, window: Duration) {
        self.window = window;
    }

    /// Whether an ask at `place` carries this node's share of the budget. The share moves to
    /// another place only after its former place was not asked for a whole window.
    fn brings_part(&mut self, now: Time, service: u64, place: Place) -> bool {
        let known = self.parts.get(&service);
        let is_elsewhere =
            known.is_some_and(|(it, at)| *it != place && now.since(*at) < self.window);
        if !is_elsewhere {
            self.parts.insert(service, (place, now));
        }
        !is_elsewhere
    }
}

impl Client {
    /// Gives back a slot that arrives after its request was completed or moved to another place.
    fn unwanted(&self, place: Place, id: PermitId, reply: &Reply) -> Option<Action> {
        let is_in_use = self.granted.get(&id).is_some_and(|(it, _)| *it == place);
        match reply {
            Reply::Granted(_) if !is_in_use => leave(place, id),
            _ => None,
        }
    }

    fn forget_grants(&mut self, now: Time) {
        if now >= self.next_forget {
            self.next_forget = now + REMEMBER_GRANT;
            self.granted.retain(|_, (_, at)| now.since(*at) < REMEMBER_GRANT);
        }
    }
}

impl Pending {
    fn is_lost(&self, now: Time, timeout: Duration) -> bool {
        let patience = match (self.queued, self.place) {
            (true, Place::Peer(_)) => ASK_AGAIN,
            (false, Place::Peer(_)) => timeout,
            // A local queue replies without being asked again.
            (_, Place::Direct | Place::Own) => return now >= self.wish.deadline,
        };
        now >= self.wish.deadline || now.since(self.asked) >= patience
    }
}

/// The best candidate for a service that is not passed over.
fn place(
    me: NodeId,
    passed_over: &FxHashMap<NodeId, (Time, Duration)>,
    now: Time,
    service: u64,
    directory: &impl Directory,
) -> Place {
    let is_passed_over = |it: &NodeId| passed_over.get(it).is_some_and(|(until, _)| now < *until);
    match directory.candidates(service).into_iter().find(|it| !is_passed_over(it)) {
        Some(node) if node == me => Place::Own,
        Some(node) => Place::Peer(node),
        None => Place::Direct,
    }
}

/// Releases what a node may have granted to a request that moved to another place: its answer may
/// have been lost.
fn leave(place: Place, id: PermitId) -> Option<Action> {
    match place {
        Place::Peer(node) => Some(Action::Send(node, PermitMessage::Release { id, outcome: None })),
        Place::Own | Place::Direct => None,
    }
}
