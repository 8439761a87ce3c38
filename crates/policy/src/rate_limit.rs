//! Rate limits that endpoints in need name in their answers.

use serde::{Deserialize, Serialize};

/// Requests a second that an endpoint takes from all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RateLimit(f64);

impl RateLimit {
    /// A limit in requests a second; nothing unless the number is finite and not negative.
    pub fn from_per_second(it: f64) -> Option<Self> {
        (it.is_finite() && it >= 0.0).then_some(Self(it))
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}
