//! Which nodes read the platform: in each failure domain one, and the others as soon as they hear
//! nothing from it.
//!
//! There is no election. A node that reads tells the others of its failure domain so; a node reads
//! unless it hears that one that precedes it does. Two that read at once cost calls and nothing else. So that it is
//! not all of them that step in, each waits for its turn first: those that precede it may have stepped in by then.

use std::time::Duration;

use policy::{NodeId, Time};

/// Interval at which a node that reads says so.
pub(crate) const NEWS_EVERY: Duration = Duration::from_millis(400);
/// A change that the platform acknowledges is in force at each node that the platform answers after this.
const IN_FORCE: Duration = Duration::from_secs(2);
/// A reader is stepped in for when its last answer of the platform is older than this, whether it is heard or not.
/// Longer than a watch without changes and one lost frame of news.
const OLD_PROOF: Duration = Duration::from_millis(1_200);
/// Time for a connection and two calls of a node that steps in, and for the timers before them.
const STEP_IN: Duration = Duration::from_millis(400);
/// A node that knows that it lacks something and cannot fetch it from peers reads after this.
const BEHIND: Duration = Duration::from_millis(500);
/// A node whose last proof is older than this may have missed a change.
const FRESH_FOR: Duration = Duration::from_millis(1_500);
/// Time that each node which precedes this one has to step in before it: an answer of the platform and the news of
/// it take less.
const STEP: Duration = Duration::from_millis(50);
/// Longest time that a node waits for those before it, who may all be gone.
const LONGEST_TURN: Duration = Duration::from_millis(400);
// All waits follow the last proof, so that their sum is the bound.
const _: () = assert!(
    OLD_PROOF.as_millis() + LONGEST_TURN.as_millis() + STEP_IN.as_millis() <= IN_FORCE.as_millis()
);
const _: () = assert!(FRESH_FOR.as_millis() + STEP_IN.as_millis() <= IN_FORCE.as_millis());
/// What a node that starts lets its link carry before it reads the platform, in bytes: about a page of the
/// platform. By then those with better links have read it and can be asked, and reading it does not fill its own.
const FIRST_COPY_BYTES: f64 = 1e6;
/// Bits a second of 1 Mbit/s.
const BITS_PER_MBIT: f64 = 1e6;
/// Part of the time that the link takes for which a node that starts waits at least; by its spread it waits for up to
/// once that time more. With 0.75, of 850 nodes in virtual time some read the platform before first copies had reached
/// them all, and all together made 479 calls instead of 238.
const EARLIEST_PART: f64 = 1.25;

/// How long a read of this node is proof enough to tell others that it reads.
const OWN_PROOF: Duration = Duration::from_millis(1_300);

/// What a node is to read of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reads {
    /// Nothing: another node reads.
    Nothing,
    /// The configuration, once: a newer one is known to exist and cannot be had from peers.
    Configuration,
    /// All that changes.
    Everything,
}

/// What a reader says that the platform has last said to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Word {
    /// Nothing.
    Lost,
    /// That nothing was newer at this time than what is known here.
    Proof(Time),
    /// Something at this time that is not known here, or cannot be read.
    Other(Time),
}

/// What is known to exist and is not known here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Lacks {
    /// A newer configuration.
    pub(crate) config: bool,
    /// Changes of the registry.
    pub(crate) registry: bool,
}

/// Who goes before whom in reading the platform: the node whose link carries more, because all others of its
/// failure domain fetch from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank {
    /// What the node's link carries, in Mbit/s.
    pub link_mbps: u32,
    /// The node.
    pub node: NodeId,
}

impl Rank {
    pub(crate) fn precedes(self, other: Self) -> bool {
        (other.link_mbps, self.node) < (self.link_mbps, other.node)
    }
}

/// The duty of one node.
#[derive(Clone, Debug)]
pub struct Duty {
    me: Rank,
    /// A node that reads and that this one leaves it to, and when the platform last answered it.
    reader: Option<(Rank, Time)>,
    /// Since when a newer configuration is known to exist.
    lacks_config: Option<Time>,
    /// Since when changes of the registry are known to exist.
    lacks_registry: Option<Time>,
    /// A peer had too much under way to send this node the configuration.
    is_refused: bool,
    /// The last proof that the platform has nothing newer than what was then known here.
    contact: Option<Time>,
    /// The last answer of the platform to this node.
    own_contact: Option<Time>,
    /// The platform did not answer this node the last time.
    is_failing: bool,
    /// Since when no node is known that this one leaves it to; in the future while one may still speak up.
    vacant_since: Time,
    /// How long it then waits for those that precede it.
    turn: Duration,
    /// What the platform has published was read or fetched once.
    has_copy: bool,
    next_news: Time,
}

impl Duty {
    /// The duty of a node that has a copy and has heard of nobody.
    pub fn new(me: Rank) -> Self {
        Self {
            me,
            reader: None,
            lacks_config: None,
            lacks_registry: None,
            is_refused: false,
            contact: None,
            own_contact: None,
            is_failing: false,
            vacant_since: Time(0),
            turn: Duration::ZERO,
            has_copy: true,
            next_news: Time(0),
        }
    }

    /// The duty of a node that starts at `now` and first waits for a copy from its peers: for longer the less its
    /// link carries. `spread` of 0 to 1 keeps nodes that are alike from reading all at once.
    pub fn starting(me: Rank, now: Time, spread: f64) -> Self {
        let bits = FIRST_COPY_BYTES * 8.0;
        let on_link = bits / (f64::from(me.link_mbps.max(1)) * BITS_PER_MBIT);
        let turn =
            LONGEST_TURN.min(Duration::from_secs_f64(on_link)).mul_f64(EARLIEST_PART + spread);
        Self { vacant_since: now, turn, has_copy: false, ..Self::new(me) }
    }

    /// Follows how many nodes of the failure domain precede this one.
    pub(crate) fn set_preceding(&mut self, nodes: usize) {
        self.turn = LONGEST_TURN.min(STEP * nodes as u32);
    }

    /// Records the first copy that peers gave: whoever reads the platform in the failure domain has until its next
    /// news but one to say so.
    pub(crate) fn copied(&mut self, now: Time) {
        self.has_copy = true;
        self.vacant_since = self.vacant_since.max(now + NEWS_EVERY * 2);
    }

    /// What this node is to read of the platform now.
    pub fn reads(&self, now: Time) -> Reads {
        // One that starts asks other peers until it is its turn.
        let behind = if self.has_copy { BEHIND } else { BEHIND + self.turn };
        let is_overdue = |since: Option<Time>| since.is_some_and(|it| now.since(it) > behind);
        let is_refused = self.has_copy && self.is_refused && self.lacks_config.is_some();
        if self.is_its_turn(now) || is_overdue(self.lacks_registry) {
            return Reads::Everything;
        }
        match is_refused || is_overdue(self.lacks_config) {
            true => Reads::Configuration,
            false => Reads::Nothing,
        }
    }

    /// Why this node reads what it reads, for logs.
    pub fn why(&self, now: Time) -> &'static str {
        match (self.reads(now), self.reader) {
            (Reads::Nothing, _) => "another node reads, or has its turn first",
            (Reads::Configuration, _) => "a newer configuration cannot be had from peers",
            _ if !self.is_its_turn(now) => "changes of endpoints cannot be had from peers",
            (_, Some(_)) => "the last answer to the node that read is old",
            (_, None) => "no node is known to read",
        }
    }

    /// Whether nobody reads that this node would leave it to, and those before it have had their time.
    fn is_its_turn(&self, now: Time) -> bool {
        match self.reader {
            Some((_, answered)) => now.since(answered) > OLD_PROOF + self.turn,
            None => now >= self.vacant_since + self.turn,
        }
    }

    /// Whether what is known here is surely not older than the platform allows.
    pub fn is_fresh(&self, now: Time) -> bool {
        let is_proven = self.contact.is_some_and(|it| now.since(it) < FRESH_FOR);
        is_proven && self.lacks_config.is_none()
    }

    /// Time since there was proof that the platform has nothing newer than what is known here; since the
    /// start if there was none.
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.contact.unwrap_or(Time(0)))
    }

    /// For how long a newer configuration has been known to exist that could not be had yet.
    pub fn behind_for(&self, now: Time) -> Duration {
        self.lacks_config.map_or(Duration::ZERO, |it| now.since(it))
    }

    /// Takes in the word of a reader of the same failure domain.
    pub(crate) fn heard(&mut self, now: Time, from: Rank, word: Word) {
        let answered = match word {
            Word::Lost => return self.lost(now, from),
            Word::Proof(at) => {
                self.proven(at);
                at
            }
            Word::Other(at) => at,
        };
        let precedes_known =
            self.reader.is_none_or(|(it, at)| !it.precedes(from) || now.since(at) > OLD_PROOF);
        // A node that the platform does not answer leaves it to anyone who is answered.
        if self.is_failing || from.precedes(self.me) && precedes_known {
            let known = self.reader.filter(|(it, _)| it.node == from.node);
            self.reader = Some((from, known.map_or(answered, |(_, at)| at.max(answered))));
        }
    }

    fn lost(&mut self, now: Time, from: Rank) {
        if self.reader.is_some_and(|(it, _)| it.node == from.node) {
            self.reader = None;
            self.vacant_since = now;
        }
    }

    /// Records what is known to exist and could not be had yet.
    pub(crate) fn set_lacks(&mut self, now: Time, it: Lacks) {
        self.lacks_config = it.config.then(|| self.lacks_config.unwrap_or(now));
        self.lacks_registry = it.registry.then(|| self.lacks_registry.unwrap_or(now));
        self.is_refused &= it.config;
    }

    /// Records that a peer has too much under way: what this node lacks it reads itself.
    pub(crate) fn refused(&mut self) {
        self.is_refused = true;
    }

    /// Records an answer of the platform to this node.
    pub(crate) fn answered(&mut self, now: Time) {
        self.own_contact = Some(now);
        self.is_failing = false;
        self.has_copy = true;
        self.next_news = now;
    }

    /// Records that the platform had nothing newer than what is known here at this time.
    pub(crate) fn proven(&mut self, at: Time) {
        self.contact = self.contact.max(Some(at));
    }

    /// Time since the last answer of the platform to this node.
    pub(crate) fn since_answer(&self, now: Time) -> Duration {
        self.own_contact.map_or(Duration::MAX, |it| now.since(it))
    }

    /// Records that the platform did not answer this node; returns whether that is news.
    pub(crate) fn failed(&mut self) -> bool {
        !std::mem::replace(&mut self.is_failing, true)
    }

    /// Whether this node may tell others that it reads.
    pub(crate) fn may_tell(&self, now: Time) -> bool {
        let is_proven = self.own_contact.is_some_and(|it| now.since(it) < OWN_PROOF);
        self.reads(now) == Reads::Everything && !self.is_failing && is_proven
    }

    /// Whether it is time to tell the others that this node reads.
    pub(crate) fn news_is_due(&mut self, now: Time) -> bool {
        if !self.may_tell(now) || now < self.next_news {
            return false;
        }
        self.next_news = now + NEWS_EVERY;
        true
    }
}
