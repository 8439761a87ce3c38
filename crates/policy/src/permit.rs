//! Requests for slots and the replies to them.

use std::net::SocketAddr;
use std::time::Duration;

use resources::{Name, Priority};
use serde::{Deserialize, Serialize};

use crate::domain_load::FarReason;
use crate::observation::Reporter;
use crate::rate_limit::ObservedLimit;
use crate::rendezvous::NodeId;
use crate::suspects::RequestKey;

/// Identity of a permit, chosen by the requesting node. Asking again with the same identity has no
/// further effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PermitId {
    /// The requesting node.
    pub node: NodeId,
    /// Unique among all permits of one run of that node's process.
    pub seq: u64,
}

/// Which send of a request a slot is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SendKind {
    /// The first send, asked for for the first time. Only these sends add to the repeat budget.
    First,
    /// The first send, asked for again because the earlier ask got no slot or the send did not
    /// reach an endpoint. This send neither adds to the repeat budget nor draws on it. Counted as
    /// [`Self::First`], sends that reach no endpoint would allow more repeats than the budget's
    /// limit.
    FirstAgain,
    /// A send after one that reached an endpoint. Draws on the repeat budget.
    Further,
}

impl SendKind {
    /// The kind to use when the same send is asked for again.
    pub fn again(self) -> Self {
        match self {
            Self::First | Self::FirstAgain => Self::FirstAgain,
            Self::Further => Self::Further,
        }
    }
}

/// A request for a slot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// Identity of the requested permit.
    pub id: PermitId,
    /// The node that asks.
    pub reporter: Reporter,
    /// Hash of the route's name.
    pub route: u32,
    /// Identifies identical requests.
    pub request: RequestKey,
    /// Whether the request may run twice. Only such requests go to an endpoint on trial.
    pub repeatable: bool,
    /// Priority of the request.
    pub priority: Priority,
    /// Hash of the caller's organisation.
    pub organisation: u64,
    /// Weight of the organisation.
    pub weight: u32,
    /// Whether the answer is long. Such requests prefer endpoints in the failure domain of the
    /// asker.
    pub long_answer: bool,
    /// Which send of the request the slot is for.
    pub send: SendKind,
    /// Whether the asker assigns its share of the fixed part of the repeat budget to this
    /// dispatcher. An asker assigns its share to one dispatcher at a time.
    pub brings_share: bool,
    /// Endpoints that the asker cannot reach or has already tried. They are used last.
    pub avoid: Vec<SocketAddr>,
    /// Endpoints that asked this node to back off or announced that they are leaving. They are
    /// never used.
    pub closed: Vec<SocketAddr>,
    /// The failure domains that the request may use, if restricted.
    pub domains: Option<Box<DomainFilter>>,
    /// Rate limits that the asker has observed. They inform a dispatcher that takes over of the
    /// limits already in effect.
    pub limits: Vec<ObservedLimit>,
    /// Time left until the request's deadline.
    pub left: Duration,
    /// Whether the route's rules allow no further send after this one.
    pub is_last: bool,
    /// The route's objective: answers that take longer are of less use to the caller.
    pub objective: Duration,
    /// Whether to wait for a slot, or else to accept a suspect endpoint. If not set, as for a
    /// hedge, the reply is `Full` unless a good endpoint is free.
    pub wait: bool,
}

/// Restriction of a request to some failure domains, given as hashes of their names.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DomainFilter {
    /// Failure domains that the asker knows to be evacuated.
    pub evacuated: Vec<u64>,
    /// The only failure domains that may be used; `None` allows all.
    pub only: Option<Vec<u64>>,
}

impl DomainFilter {
    /// Returns `None` if there is no restriction.
    pub fn boxed(self) -> Option<Box<Self>> {
        (self != Self::default()).then(|| Box::new(self))
    }

    /// Whether a failure domain is excluded.
    fn excludes(&self, failure_domain: u64) -> bool {
        let is_elsewhere = self.only.as_ref().is_some_and(|it| !it.contains(&failure_domain));
        is_elsewhere || self.evacuated.contains(&failure_domain)
    }
}

impl Ask {
    /// Whether the request must not use endpoints of this failure domain.
    pub(crate) fn excludes(&self, failure_domain: u64) -> bool {
        self.domains.as_ref().is_some_and(|it| it.excludes(failure_domain))
    }

    /// Maximum number of closed endpoints in one ask, so that the ask fits into its frame.
    pub const MAX_CLOSED: usize = 12;
    /// Maximum number of rate limits in one ask, so that the ask fits into its frame.
    pub const MAX_LIMITS: usize = 8;
}

/// A slot on an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Identity of the endpoint.
    pub endpoint: Name,
    /// Start of the endpoint's incarnation, in Unix milliseconds; 0 if unknown.
    pub started_ms: u64,
    /// Address of the endpoint.
    pub addr: SocketAddr,
    /// Report the request as stalled when it has been open for longer than this.
    pub stall_after: Duration,
    /// Send a hedge, if the route allows it, when the request has been open for longer than this.
    pub hedge_after: Duration,
    /// Whether the endpoint is on trial. The request is then hedged early, so that a failed trial
    /// does not delay the caller.
    pub trial: bool,
    /// Rank of the endpoint among the candidates.
    pub tier: Tier,
    /// The estimated health of the endpoint.
    pub health: HealthEstimate,
    /// Whether an endpoint has crashed under this request before, so that the requester has to
    /// report how the request ended.
    pub is_watched: bool,
    /// Whether the endpoint is believed to be rate limited. An answer without a rate limit then
    /// lifts the limit.
    pub is_rate_limited: bool,
}

/// The estimated health of an endpoint when one of its slots was granted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthEstimate {
    /// Probability that the endpoint is unhealthy, in thousandths.
    pub unhealthy_permille: u16,
    /// Age of the latest outcome behind this estimate, in milliseconds.
    pub evidence_ms: u32,
}

/// Reply to an `Ask`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Send the request now.
    Granted(Grant),
    /// The request waits; another reply follows.
    Queued,
    /// No good endpoint is free here.
    Full,
    /// Give up now.
    Refused {
        /// When the caller may try again.
        retry_after: Duration,
    },
    /// Give up now: endpoints crash under this request.
    Rejected {
        /// For how much longer the request is rejected.
        retry_after: Duration,
    },
    /// The node that grants the slots of another failure domain can serve the request sooner. Sent
    /// only to nodes that support dispatch by failure domain.
    Elsewhere {
        /// Hash of that failure domain.
        failure_domain: u64,
        /// Why the request leaves its own.
        reason: FarReason,
    },
}

/// The reply to an ask that was queued.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedReply {
    /// Identity of the requested permit.
    pub id: PermitId,
    /// The reply.
    pub reply: Reply,
}

/// Rank of a free endpoint; lower variants are preferred. An endpoint on trial comes first because
/// its request is hedged, and because a trial without work never ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Tier {
    /// The endpoint is on trial.
    Trial,
    /// The endpoint has no recent failures.
    Good,
    /// The endpoint has not yet confirmed its recovery with an answer.
    Cautious,
    /// A recent failure, but in the failure domain of the asker, for a long answer that another
    /// endpoint can still be asked for.
    Near,
    /// In another failure domain, for a long answer: its bytes make the traffic between failure
    /// domains expensive.
    Far,
    /// A recent failure.
    Last,
    /// The asker has already tried the endpoint or cannot reach it.
    Avoided,
}

impl Tier {
    /// Name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Trial => "trial",
            Self::Good => "good",
            Self::Cautious => "cautious",
            Self::Last => "last",
            Self::Near => "near",
            Self::Far => "far",
            Self::Avoided => "avoided",
        }
    }
}
