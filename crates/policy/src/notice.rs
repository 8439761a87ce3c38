//! What an endpoint says of itself in the head of an answer.

use serde::{Deserialize, Serialize};

use crate::rate_limit::RateLimit;

/// What an endpoint says of itself in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Notice {
    /// It takes so much from all nodes together, or as much as it has slots for.
    RateLimit(Option<RateLimit>),
}
