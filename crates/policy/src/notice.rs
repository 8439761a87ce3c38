//! Information that an endpoint gives about itself in the head of an answer.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::rate_limit::RateLimit;

/// Information that an endpoint gives about itself in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Notice {
    /// The total request rate that the endpoint accepts from all nodes; `None` if it is limited
    /// only by its slots.
    RateLimit(Option<RateLimit>),
    /// The endpoint is leaving and accepts no new requests.
    Leaving,
    /// The node that received the answer shall send the endpoint nothing for this long.
    Backoff(Duration),
}
