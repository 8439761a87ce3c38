//! Decisions about requests and endpoints, without I/O: which endpoint serves a request, whether
//! the request waits, is refused, repeated or hedged, and which endpoints are ejected and
//! readmitted.
//!
//! Time, randomness and messages are passed as arguments, so the model check and the property tests
//! run the same code that serves traffic. This crate must not depend on tokio, sockets or a wall
//! clock.

mod allowance;
mod baseline;
mod belief;
mod budget;
mod class;
mod detour;
mod dispatcher;
mod domain_load;
mod domains;
mod likelihoods;
mod notice;
mod observation;
mod options;
mod outlier;
mod permit;
mod planned_stop;
mod queue;
mod rate_limit;
mod rendezvous;
mod retry;
mod rotation;
mod suspects;
mod time;
mod topology;
mod unserved;
mod verdict;

pub use allowance::{BucketReport, Buckets, Decision, Delegation, OWNERS, owner_of, owners};
pub use baseline::RouteTerms;
pub use budget::{BudgetLimits, RepeatsReport};
pub use detour::{DetourEnds, DetourNode, choose_detours};
pub use dispatcher::{
    DispatchCounts, Dispatcher, EvidenceReport, FarCounts, IdleEndpoint, Occupancy, Precedence,
    PriorityCounts, Refusal,
};
pub use domain_load::{DomainLoad, FarReason, MAX_LOAD_AGE};
pub use notice::Notice;
pub use observation::{Kind, Observation, Reporter};
pub use options::{ConcurrencyLimits, Contention, DispatchOptions, DoubtfulSlots};
pub use permit::{
    Ask, DomainFilter, Grant, HealthEstimate, PermitId, QueuedReply, Reply, SendKind, Tier,
};
pub use planned_stop::{SendTime, StopTimes};
pub use rate_limit::{ObservedLimit, RateLimit};
pub use rendezvous::{NodeId, rank, rank_strong_first, stable_hash};
pub use retry::{Attempt, Next, Outcome, next_step};
pub use rotation::{Change, EndpointStatus, Rotation, State, domain_floors};
pub use suspects::{Rejection, RequestKey, RunEnd};
pub use time::Time;
pub use topology::Topology;

#[cfg(test)]
mod tests;
