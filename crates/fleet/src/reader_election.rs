//! Reader election: decides which nodes read the platform. Each failure domain has one reader; its
//! other nodes take over when the reader falls silent or gets no answers from the platform.
//!
//! There is no vote. A reader announces itself to the nodes of its failure domain, and every node
//! reads unless it receives announcements of a node with a better rank. Two concurrent readers only
//! cost additional calls. To keep all nodes from taking over at once, each one backs off by its
//! rank, which gives the nodes of better rank the time to take over first.

use std::time::Duration;

use policy::{NodeId, Time};

/// Interval at which a reader announces itself.
pub(crate) const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(400);
/// A change that the platform has acknowledged is in force within this time on every node that the
/// platform answers.
pub(crate) const IN_FORCE: Duration = Duration::from_secs(2);
/// A reader is replaced when the last answer of the platform to it is older than this, even if its
/// announcements still arrive. The limit is longer than a watch without changes and one lost
/// announcement.
const READER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time that a node needs to take over: a connection, two calls and the timers before them.
const TAKEOVER_TIME: Duration = Duration::from_millis(400);
/// A node that misses updates and cannot fetch them from peers reads the platform after this time.
const MISSING_TIMEOUT: Duration = Duration::from_millis(500);
/// A node whose last freshness confirmation is older than this may have missed a change.
const FRESH_FOR: Duration = Duration::from_millis(1_500);
/// Additional back-off for each node of better rank. An answer of the platform and the announcement
/// that follows take less.
const BACKOFF_STEP: Duration = Duration::from_millis(50);
/// Upper bound of the back-off, because all nodes of better rank may be gone.
const MAX_BACKOFF: Duration = Duration::from_millis(400);
// All these times count from the last freshness confirmation, so their sum bounds the delay.
const _: () = assert!(
    READER_TIMEOUT.as_millis() + MAX_BACKOFF.as_millis() + TAKEOVER_TIME.as_millis()
        <= IN_FORCE.as_millis()
);
const _: () = assert!(FRESH_FOR.as_millis() + TAKEOVER_TIME.as_millis() <= IN_FORCE.as_millis());
/// Size in bytes of the transfer that a starting node waits for before it reads the platform: about
/// one page of the platform. By then nodes with faster links have read the platform and can be
/// asked, so the starting node does not fill its own link with the read.
const FIRST_COPY_BYTES: f64 = 1e6;
/// Bits per second of 1 Mbit/s.
const BITS_PER_MBIT: f64 = 1e6;
/// Lower bound of the initial back-off of a starting node, as a multiple of the transfer time of
/// `FIRST_COPY_BYTES` on its link; the random spread adds up to one more transfer time. With 0.75,
/// some of 850 nodes in virtual time read the platform before the first copies had reached all
/// nodes, and the fleet made 479 calls instead of 238.
const MIN_START_FACTOR: f64 = 1.25;

/// A node may announce itself as reader for this long after an answer of the platform.
const OWN_ANSWER_VALID_FOR: Duration = Duration::from_millis(1_300);

/// What a node has to read from the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reads {
    /// Nothing: another node reads.
    Nothing,
    /// The configuration, once: a newer one exists and cannot be fetched from peers.
    Configuration,
    /// All changes.
    Everything,
}

/// Reader status: what a reader reports about the last answer of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReaderStatus {
    /// The platform did not answer.
    NoAnswer,
    /// At this time the platform had nothing newer than the local copy.
    Confirmed(Time),
    /// The platform answered at this time, with something that is not known locally or cannot be
    /// read.
    Unconfirmed(Time),
}

/// Updates that are known to exist and are missing locally.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Missing {
    /// A newer configuration.
    pub(crate) config: bool,
    /// Changes of the registry.
    pub(crate) registry: bool,
}

/// Rank of a node in the reader election. A faster link ranks first, because all other nodes of the
/// failure domain fetch from the reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank {
    /// Bandwidth of the node's link, in Mbit/s.
    pub link_mbps: u32,
    /// Identity of the node; the smaller one ranks first among equal links.
    pub node: NodeId,
}

impl Rank {
    /// Whether this node reads in preference to `other`.
    pub(crate) fn precedes(self, other: Self) -> bool {
        (other.link_mbps, self.node) < (self.link_mbps, other.node)
    }
}

/// The reader election as seen by one node.
#[derive(Clone, Debug)]
pub struct ReaderElection {
    me: Rank,
    /// The reader that this node relies on, and when the platform last answered that reader.
    reader: Option<(Rank, Time)>,
    /// Since when a newer configuration is known to exist.
    missing_config_since: Option<Time>,
    /// Since when missing registry changes are known to exist.
    missing_registry_since: Option<Time>,
    /// A peer was too busy to send the configuration to this node.
    is_fetch_refused: bool,
    /// The last freshness confirmation: the platform had nothing newer than the local copy.
    last_confirmed: Option<Time>,
    /// The time for which the answers of the platform to this node speak.
    last_own_answer: Option<Time>,
    /// The last call of this node to the platform failed.
    is_platform_failing: bool,
    /// When a call of this node to the platform last failed.
    last_failure: Option<Time>,
    /// Since when no reader is known that this node relies on; in the future while a reader may
    /// still announce itself.
    vacant_since: Time,
    /// Back-off by rank that follows `vacant_since`.
    backoff: Duration,
    /// The node has read or fetched the published state at least once.
    has_copy: bool,
    next_announcement: Time,
}

impl ReaderElection {
    /// The election of a node that has a copy and knows of no other reader.
    pub fn new(me: Rank) -> Self {
        Self {
            me,
            reader: None,
            missing_config_since: None,
            missing_registry_since: None,
            is_fetch_refused: false,
            last_confirmed: None,
            last_own_answer: None,
            is_platform_failing: false,
            last_failure: None,
            vacant_since: Time(0),
            backoff: Duration::ZERO,
            has_copy: true,
            next_announcement: Time(0),
        }
    }

    /// The election of a node that starts at `now`. The node first waits for a copy from its peers;
    /// the slower its link, the longer it waits. `spread`, from 0 to 1, keeps identical nodes from
    /// reading at the same moment.
    pub fn starting(me: Rank, now: Time, spread: f64) -> Self {
        let bits = FIRST_COPY_BYTES * 8.0;
        let transfer_time = bits / (f64::from(me.link_mbps.max(1)) * BITS_PER_MBIT);
        let backoff = MAX_BACKOFF
            .min(Duration::from_secs_f64(transfer_time))
            .mul_f64(MIN_START_FACTOR + spread);
        Self { vacant_since: now, backoff, has_copy: false, ..Self::new(me) }
    }

    /// Sets the number of nodes in the failure domain that have a better rank.
    pub(crate) fn set_better_ranked(&mut self, nodes: usize) {
        self.backoff = MAX_BACKOFF.min(BACKOFF_STEP * nodes as u32);
    }

    /// Records the first copy from a peer. The current reader of the failure domain gets two
    /// announcement intervals to announce itself.
    pub(crate) fn record_first_copy(&mut self, now: Time) {
        self.has_copy = true;
        self.vacant_since = self.vacant_since.max(now + ANNOUNCE_INTERVAL * 2);
    }

    /// Returns what this node has to read from the platform now.
    pub fn reads(&self, now: Time) -> Reads {
        // A starting node asks other peers until its back-off has passed.
        let timeout = if self.has_copy { MISSING_TIMEOUT } else { MISSING_TIMEOUT + self.backoff };
        let is_overdue = |since: Option<Time>| since.is_some_and(|it| now.since(it) > timeout);
        let is_refused =
            self.has_copy && self.is_fetch_refused && self.missing_config_since.is_some();
        if self.takes_over(now) || is_overdue(self.missing_registry_since) {
            return Reads::Everything;
        }
        match is_refused || is_overdue(self.missing_config_since) {
            true => Reads::Configuration,
            false => Reads::Nothing,
        }
    }

    /// Reason for the result of `reads`, for logs.
    pub fn why(&self, now: Time) -> &'static str {
        match (self.reads(now), self.reader) {
            (Reads::Nothing, _) => "another node reads, or has its turn first",
            (Reads::Configuration, _) => "a newer configuration cannot be had from peers",
            _ if !self.takes_over(now) => "changes of endpoints cannot be had from peers",
            (_, Some(_)) => "the last answer to the node that read is old",
            (_, None) => "no node is known to read",
        }
    }

    /// Whether this node has no valid reader to rely on and its back-off has passed.
    fn takes_over(&self, now: Time) -> bool {
        match self.reader {
            Some((_, answered_at)) => now.since(answered_at) > READER_TIMEOUT + self.backoff,
            None => now >= self.vacant_since + self.backoff,
        }
    }

    /// Whether the local copy is certainly no older than the platform allows.
    pub fn is_fresh(&self, now: Time) -> bool {
        let is_recent = self.last_confirmed.is_some_and(|it| now.since(it) < FRESH_FOR);
        is_recent && self.missing_config_since.is_none()
    }

    /// Time since the last freshness confirmation, or since the start if there was none.
    pub fn time_since_confirmation(&self, now: Time) -> Duration {
        now.since(self.last_confirmed.unwrap_or(Time(0)))
    }

    /// How long a newer configuration has been known to exist without being available here.
    pub fn behind_for(&self, now: Time) -> Duration {
        self.missing_config_since.map_or(Duration::ZERO, |it| now.since(it))
    }

    /// Processes the status of a reader in the same failure domain.
    pub(crate) fn receive_status(&mut self, now: Time, from: Rank, status: ReaderStatus) {
        let answered_at = match status {
            ReaderStatus::NoAnswer => return self.reader_lost(now, from),
            ReaderStatus::Confirmed(at) => {
                self.confirm(at);
                at
            }
            ReaderStatus::Unconfirmed(at) => at,
        };
        let replaces_known =
            self.reader.is_none_or(|(it, at)| !it.precedes(from) || now.since(at) > READER_TIMEOUT);
        // A node that gets no answer from the platform relies on any node that does.
        if self.is_platform_failing || from.precedes(self.me) && replaces_known {
            let known = self.reader.filter(|(it, _)| it.node == from.node);
            self.reader = Some((from, known.map_or(answered_at, |(_, at)| at.max(answered_at))));
        }
    }

    fn reader_lost(&mut self, now: Time, from: Rank) {
        if self.reader.is_some_and(|(it, _)| it.node == from.node) {
            self.reader = None;
            self.vacant_since = now;
        }
    }

    /// Records which updates are known to exist and are missing here.
    pub(crate) fn set_missing(&mut self, now: Time, it: Missing) {
        self.missing_config_since = it.config.then(|| self.missing_config_since.unwrap_or(now));
        self.missing_registry_since =
            it.registry.then(|| self.missing_registry_since.unwrap_or(now));
        self.is_fetch_refused &= it.config;
    }

    /// Records that a busy peer refused a fetch: this node reads the missing configuration itself.
    pub(crate) fn fetch_refused(&mut self) {
        self.is_fetch_refused = true;
    }

    /// Records an answer of the platform to this node, which speaks for the state at `as_of`. The
    /// answer may have waited for this process for a long time.
    pub(crate) fn platform_answered(&mut self, now: Time, as_of: Time) {
        self.last_own_answer = self.last_own_answer.max(Some(as_of));
        self.is_platform_failing = false;
        self.has_copy = true;
        self.next_announcement = now;
    }

    /// Records a freshness confirmation: at this time the platform had nothing newer than the local
    /// copy.
    pub(crate) fn confirm(&mut self, at: Time) {
        self.last_confirmed = self.last_confirmed.max(Some(at));
    }

    /// Age of what the platform has answered to this node.
    pub(crate) fn since_own_answer(&self, now: Time) -> Duration {
        self.last_own_answer.map_or(Duration::MAX, |it| now.since(it))
    }

    /// Records a failed call of this node to the platform; returns whether the call before it
    /// succeeded.
    pub(crate) fn platform_failed(&mut self, now: Time) -> bool {
        self.last_failure = Some(now);
        !std::mem::replace(&mut self.is_platform_failing, true)
    }

    /// Whether a call of this node to the platform has failed after `at`. A node makes no further
    /// calls while it relies on a reader, so that only a later answer, to any node, ends a failure.
    pub(crate) fn has_failed_after(&self, at: Time) -> bool {
        self.last_failure > Some(at)
    }

    /// Whether this node may announce itself as reader.
    pub(crate) fn may_announce(&self, now: Time) -> bool {
        let is_recent = self.last_own_answer.is_some_and(|it| now.since(it) < OWN_ANSWER_VALID_FOR);
        self.reads(now) == Reads::Everything && !self.is_platform_failing && is_recent
    }

    /// Whether this node has to announce itself as reader now.
    pub(crate) fn announcement_is_due(&mut self, now: Time) -> bool {
        if !self.may_announce(now) || now < self.next_announcement {
            return false;
        }
        self.next_announcement = now + ANNOUNCE_INTERVAL;
        true
    }
}
