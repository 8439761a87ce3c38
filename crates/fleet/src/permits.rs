//! The asking side of dispatch: finds the node that hands out a service's slots, asks it, and falls
//! back to picking for itself when nobody answers.
//!
//! For each service rendezvous hashing names one dispatching node. A node that does not answer is
//! passed over for a while and its successor is asked.

use std::time::Duration;

use policy::{Ask, Grant, NodeId, PermitId, Reply, Time};
use rustc_hash::FxHashMap;

use crate::wire::PermitMessage;

/// How long a node that did not answer is passed over; it doubles while the node stays silent.
const PASS_OVER: Duration = Duration::from_secs(1);
/// Longest such time.
const MAX_PASS_OVER: Duration = Duration::from_secs(8);
/// Asks without an answer after which a node is passed over. One may be lost, or its answer, on a link that is full with
/// an answer to a caller; the successor knows nothing of the slots in use.
const ASKS_IN_VAIN: u32 = 3;
/// Silent nodes after which a node picks for itself.
const MAX_SILENT: u32 = 2;
/// A queued ask is repeated after this, because its grant or the queue itself may be lost.
const ASK_AGAIN: Duration = Duration::from_millis(250);

/// How long a grant is remembered. An ask that was said more than once is answered as often, with the same slot; the later
/// answers must not give it back under the request that uses it.
const REMEMBER_GRANT: Duration = Duration::from_secs(5);

/// Who hands out a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Place {
    /// This node, for itself alone.
    Direct,
    /// This node, for the whole fleet.
    Own,
    /// Another node.
    Peer(NodeId),
}

/// A slot that is wished for.
#[derive(Clone, Debug)]
pub struct Wish {
    /// The ask.
    pub ask: Ask,
    /// Hash of the service's name.
    pub service: u64,
    /// When to give up.
    pub deadline: Time,
}

/// What the client wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Ask one of this node's own dispatchers and pass its reply to `reply`.
    AskHere(Place, u64, Ask),
    /// Send a message.
    Send(NodeId, PermitMessage),
    /// A wish is settled.
    Settle(PermitId, Settlement),
}

/// How a wish ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Settlement {
    /// A slot, and who handed it out.
    Granted(Grant, Place),
    /// None in time.
    Refused(Duration),
    /// None, because endpoints end under the request, for so much longer.
    Rejected(Duration),
}

#[derive(Clone, Debug)]
struct Pending {
    wish: Wish,
    place: Place,
    asked: Time,
    queued: bool,
    /// Asks at this place since it last said something.
    asks: u32,
    /// Places that brought nothing.
    vain: u32,
}

/// A change in who answers asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// It did not answer, or hands out nothing any more; it is passed over for a while.
    Lost(NodeId),
    /// It has answered after it was lost.
    Regained(NodeId),
}

/// Finds dispatching nodes.
pub trait Directory {
    /// The nodes that can dispatch a service, best first.
    fn candidates(&self, service: u64) -> Vec<NodeId>;
}

/// The asking side of one node.
#[derive(Debug)]
pub struct Client {
    me: NodeId,
    /// An ask without an answer for this long is lost.
    timeout: Duration,
    pending: FxHashMap<PermitId, Pending>,
    /// Until when a node is passed over, and for how long it was.
    passed_over: FxHashMap<NodeId, (Time, Duration)>,
    /// For each service, where this node's part of the fixed budget for repeats is spent, and when that was last
    /// asked. Brought along with every ask, the part of one node was spent by each dispatching node that it had
    /// asked within the window, where frames are lost.
    parts: FxHashMap<u64, (Place, Time)>,
    /// Wishes that were granted lately, and by whom.
    granted: FxHashMap<PermitId, (Place, Time)>,
    next_forget: Time,
    /// The window of the budget.
    window: Duration,
    /// Dispatching nodes lost or regained since this was last taken.
    contacts: Vec<Contact>,
    /// Asks that nobody answered.
    pub timeouts: u64,
    /// Slots that this node picked for itself because nobody answered.
    pub direct: u64,
}

impl Client {
    /// A client of the node `me`. `window` is that of the budget for repeats.
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

    /// Whether no wish is under way.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Starts on a wish.
    pub fn wish(&mut self, now: Time, wish: Wish, directory: &impl Directory) -> Action {
        let id = wish.ask.id;
        let pending =
            Pending { wish, place: Place::Direct, asked: now, queued: false, asks: 0, vain: 0 };
        self.pending.insert(id, pending);
        self.ask(now, id, directory)
    }

    /// Takes in a reply from `place`.
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

    /// Dispatching nodes that were lost or regained since the last call.
    pub fn take_contacts(&mut self) -> Vec<Contact> {
        std::mem::take(&mut self.contacts)
    }

    /// Withdraws a wish. A grant that still arrives is given back.
    pub fn withdraw(&mut self, id: PermitId) -> Option<Place> {
        self.pending.remove(&id).map(|it| it.place)
    }

    /// Handles what was not answered in time.
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
            // It may be another node's turn by now.
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

    /// Asks a node that does not answer for nothing for a while.
    pub fn pass_over(&mut self, now: Time, node: NodeId) {
        let before = self.passed_over.get(&node).map(|(_, length)| *length);
        if before.is_none() {
            self.contacts.push(Contact::Lost(node));
        }
        let length = before.map_or(PASS_OVER, |it| (it * 2).min(MAX_PASS_OVER));
        self.passed_over.insert(node, (now + length, length));
    }

    /// Asks whoever hands out the slots now.
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
        let ask = Ask { brings_share: self.brings_share(now, service, place), ..ask };
        match place {
            Place::Peer(node) => Action::Send(node, PermitMessage::Ask { service, ask }),
            Place::Own => Action::AskHere(place, service, ask),
            Place::Direct => {
                self.direct += 1;
                Action::AskHere(place, service, ask)
            }
        }
    }

    /// Who is asked for the slots of a service now.
    pub fn place(&self, now: Time, service: u64, directory: &impl Directory) -> Place {
        place(self.me, &self.passed_over, now, service, directory)
    }

    /// Whether a node is passed over now.
    pub fn passes_over(&self, now: Time, node: NodeId) -> bool {
        self.passed_over.get(&node).is_some_and(|(until, _)| now < *until)
    }

    /// Follows a change of the budget's window.
    pub fn set_window(&mut self, window: Duration) {
        self.window = window;
    }

    /// Whether this node's part of the budget is spent at `place`. It moves there only when the place before
    /// has not been asked for a window.
    fn brings_share(&mut self, now: Time, service: u64, place: Place) -> bool {
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
    /// A slot that arrives after its wish has moved on is given back at once.
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
            // A queue on this node answers by itself.
            (_, Place::Direct | Place::Own) => return now >= self.wish.deadline,
        };
        now >= self.wish.deadline || now.since(self.asked) >= patience
    }
}

/// The best of those that can dispatch a service and are not passed over.
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

/// Gives back what a node may have granted to a wish that is asked for elsewhere: its answer may have been lost.
fn leave(place: Place, id: PermitId) -> Option<Action> {
    match place {
        Place::Peer(node) => Some(Action::Send(node, PermitMessage::Release { id, outcome: None })),
        Place::Own | Place::Direct => None,
    }
}
