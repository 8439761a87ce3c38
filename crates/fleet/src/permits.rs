//! The asking side of dispatch: finds the node that hands out a service's slots, asks it, and falls
//! back to picking for itself when nobody answers.
//!
//! For each service and failure domain rendezvous hashing names one dispatching node. The own
//! failure domain is asked first, then the others, and only then does a request wait in a queue. A
//! node that does not answer is passed over for a while and its successor is asked.

use std::time::Duration;

use policy::{Ask, Grant, NodeId, PermitId, Reply, Time};
use rustc_hash::FxHashMap;

use crate::wire::PermitMessage;

/// How long a node that did not answer is passed over.
const PASS_OVER: Duration = Duration::from_secs(1);
/// Unanswered asks after which a node picks for itself.
const MAX_TIMEOUTS: u32 = 2;
/// A queued ask is repeated after this, because its grant or the queue itself may be lost.
const ASK_AGAIN: Duration = Duration::from_millis(250);

/// Who hands out a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Place {
    /// This node, for itself alone.
    Direct,
    /// This node, for everyone in the failure domain with this hash.
    Own(u64),
    /// Another node.
    Peer(NodeId),
}

/// A slot that is wished for.
#[derive(Clone, Debug)]
pub struct Wish {
    /// The ask; `wait` is set by the client.
    pub ask: Ask,
    /// Hash of the service's name.
    pub service: u64,
    /// Hashes of the failure domains that have endpoints, the own one first.
    pub failure_domains: Vec<u64>,
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
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Settlement {
    /// A slot, and who handed it out.
    Granted(Grant, Place),
    /// None in time.
    Refused(Duration),
}

#[derive(Clone, Debug)]
struct Pending {
    wish: Wish,
    /// Position in the failure domains; past the end the request waits at the first one.
    stage: usize,
    place: Place,
    asked: Time,
    queued: bool,
    timeouts: u32,
}

/// Finds dispatching nodes.
pub trait Directory {
    /// The nodes that can dispatch for a service in a failure domain, best first.
    fn candidates(&self, service: u64, failure_domain: u64) -> Vec<NodeId>;
}

/// The asking side of one node.
#[derive(Debug)]
pub struct Client {
    me: NodeId,
    /// An ask without an answer for this long is lost.
    timeout: Duration,
    pending: FxHashMap<PermitId, Pending>,
    passed_over: FxHashMap<NodeId, Time>,
    /// Asks that nobody answered.
    pub timeouts: u64,
    /// Slots that this node picked for itself because nobody answered.
    pub direct: u64,
}

impl Client {
    /// A client of the node `me`.
    pub fn new(me: NodeId, timeout: Duration) -> Self {
        Self {
            me,
            timeout,
            pending: FxHashMap::default(),
            passed_over: FxHashMap::default(),
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
        let pending = Pending {
            wish,
            stage: 0,
            place: Place::Direct,
            asked: now,
            queued: false,
            timeouts: 0,
        };
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
        if let Place::Peer(node) = place {
            self.passed_over.remove(&node);
        }
        let Some(pending) = self.pending.get_mut(&id).filter(|it| it.place == place) else {
            return unwanted(place, id, reply);
        };
        match reply {
            Reply::Queued => {
                pending.queued = true;
                pending.asked = now;
                None
            }
            Reply::Full => {
                pending.stage += 1;
                Some(self.ask(now, id, directory))
            }
            Reply::Granted(grant) => {
                self.pending.remove(&id);
                Some(Action::Settle(id, Settlement::Granted(grant, place)))
            }
            Reply::Refused { retry_after } => {
                self.pending.remove(&id);
                Some(Action::Settle(id, Settlement::Refused(retry_after)))
            }
        }
    }

    /// Withdraws a wish. A grant that still arrives is given back.
    pub fn withdraw(&mut self, id: PermitId) -> Option<Place> {
        self.pending.remove(&id).map(|it| it.place)
    }

    /// Handles what was not answered in time.
    pub fn tick(&mut self, now: Time, directory: &impl Directory) -> Vec<Action> {
        self.passed_over.retain(|_, until| now < *until);
        let lost: Vec<PermitId> = self
            .pending
            .iter()
            .filter(|(_, it)| it.is_lost(now, self.timeout))
            .map(|(id, _)| *id)
            .collect();
        lost.into_iter().filter_map(|id| self.lost(now, id, directory)).collect()
    }

    fn lost(&mut self, now: Time, id: PermitId, directory: &impl Directory) -> Option<Action> {
        let pending = self.pending.get_mut(&id)?;
        if now >= pending.wish.deadline {
            self.pending.remove(&id);
            return Some(Action::Settle(id, Settlement::Refused(PASS_OVER)));
        }
        if std::mem::take(&mut pending.queued) {
            return Some(self.ask(now, id, directory));
        }
        pending.timeouts += 1;
        self.timeouts += 1;
        if let Place::Peer(node) = pending.place {
            self.passed_over.insert(node, now + PASS_OVER);
        }
        Some(self.ask(now, id, directory))
    }

    fn ask(&mut self, now: Time, id: PermitId, directory: &impl Directory) -> Action {
        let pending = self.pending.get_mut(&id).expect("asked for pending wishes only");
        let wish = &pending.wish;
        let (service, domains) = (wish.service, &wish.failure_domains);
        let wait = pending.stage >= domains.len();
        let domain = if wait { domains.first() } else { domains.get(pending.stage) };
        let ask = Ask { wait, left: wish.deadline.since(now), ..wish.ask.clone() };
        pending.asked = now;
        let node = domain.filter(|_| pending.timeouts < MAX_TIMEOUTS).and_then(|it| {
            let candidates = directory.candidates(service, *it);
            candidates.into_iter().find(|node| !self.passed_over.contains_key(node))
        });
        match (node, domain) {
            (Some(node), Some(domain)) if node == self.me => {
                pending.place = Place::Own(*domain);
                Action::AskHere(pending.place, service, ask)
            }
            (Some(node), Some(domain)) => {
                pending.place = Place::Peer(node);
                Action::Send(node, message(&ask, service, *domain))
            }
            // Nobody dispatches there: try the next failure domain, or pick for ourselves.
            _ if pending.stage + 1 < domains.len() && pending.timeouts < MAX_TIMEOUTS => {
                pending.stage += 1;
                self.ask(now, id, directory)
            }
            _ => {
                self.direct += 1;
                pending.place = Place::Direct;
                Action::AskHere(Place::Direct, service, Ask { wait: true, ..ask })
            }
        }
    }
}

impl Pending {
    fn is_lost(&self, now: Time, timeout: Duration) -> bool {
        let patience = match (self.queued, self.place) {
            (true, Place::Peer(_)) => ASK_AGAIN,
            (false, Place::Peer(_)) => timeout,
            // A queue on this node answers by itself.
            (_, Place::Direct | Place::Own(_)) => return now >= self.wish.deadline,
        };
        now >= self.wish.deadline || now.since(self.asked) >= patience
    }
}

fn message(ask: &Ask, service: u64, failure_domain: u64) -> PermitMessage {
    PermitMessage::Ask {
        id: ask.id,
        service,
        route: ask.route,
        failure_domain,
        from: ask.reporter.failure_domain,
        repeatable: ask.repeatable,
        priority: ask.priority,
        organisation: ask.organisation,
        weight: ask.weight,
        exclude: ask.exclude,
        left: ask.left,
        wait: ask.wait,
    }
}

/// A slot that arrives after its wish has moved on is given back at once.
fn unwanted(place: Place, id: PermitId, reply: Reply) -> Option<Action> {
    match (place, reply) {
        (Place::Peer(node), Reply::Granted(_)) => {
            Some(Action::Send(node, PermitMessage::Release { id, outcome: None }))
        }
        _ => None,
    }
}
