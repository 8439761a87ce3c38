//! What an endpoint says of itself in the head of an answer.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::rate_limit::RateLimit;

/// What an endpoint says of itself in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Notice {
    /// It takes so much from all nodes together, or as much as it has slots for.
    RateLimit(Option<RateLimit>),
    /// It leaves and wants no new work.
    Leaving,
    /// It wants nothing from the node that sent to it for so long.
    Rest(Duration),
}
