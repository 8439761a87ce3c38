//! Demand and capacity of a service in one failure domain, as exchanged between the nodes that grant
//! its slots there.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Age from which on a received load is not used: ten times the interval at which loads are sent, so
/// that a few lost datagrams do not matter.
pub const MAX_LOAD_AGE: Duration = Duration::from_secs(1);

/// Load on the endpoints of a service in one failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DomainLoad {
    /// Hash of the failure domain.
    pub failure_domain: u64,
    /// Slots that may be used now, free or not.
    pub usable: f32,
    /// Slots in use, of those that may be used.
    pub in_use: u32,
    /// Requests that wait for one of these slots.
    pub queued: u32,
    /// Requests served in the last seconds; older ones count less.
    pub served: f32,
    /// Requests not served in the last seconds; older ones count less.
    pub unserved: f32,
}

/// Why a request leaves its failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FarReason {
    /// No endpoint of its own failure domain may serve it.
    NoEndpoint,
    /// Its own failure domain has no slot for it within the wait that its objective allows.
    Overflow,
    /// The endpoints of its own failure domain are so much more likely to fail that the send is
    /// worth the traffic; mostly for further sends and the last one.
    Health,
    /// An endpoint elsewhere has been idle so long that it counts against the floor.
    Floor,
}

impl FarReason {
    /// All reasons.
    pub const ALL: [Self; 4] = [Self::NoEndpoint, Self::Overflow, Self::Health, Self::Floor];

    /// Name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no-endpoint",
            Self::Overflow => "overflow",
            Self::Health => "health",
            Self::Floor => "floor",
        }
    }
}
