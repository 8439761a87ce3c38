//! Options of the decisions of a dispatcher, set by the operator.

use serde::{Deserialize, Serialize};

/// Options of the decisions of a dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatchOptions {
    /// Slots of a doubtful endpoint.
    pub doubtful_slots: DoubtfulSlots,
    /// Whether endpoints give fewer slots, and rank lower, by what they shed.
    pub concurrency_limits: ConcurrencyLimits,
}

impl DispatchOptions {
    /// Sets how many slots a doubtful endpoint gives.
    pub fn doubtful_slots(self, doubtful_slots: DoubtfulSlots) -> Self {
        Self { doubtful_slots, ..self }
    }

    /// Sets whether concurrency limits are learned.
    pub fn concurrency_limits(self, concurrency_limits: ConcurrencyLimits) -> Self {
        Self { concurrency_limits, ..self }
    }
}

/// How many slots an endpoint gives whose health is in doubt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DoubtfulSlots {
    /// One more than the number of its sends that have outlived the learned failure time.
    #[default]
    ByAge,
    /// One.
    One,
}

/// Whether the concurrency limit of each endpoint and the share of sends that it accepts are learned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConcurrencyLimits {
    /// They are learned, and limit the slots and the order of choice.
    #[default]
    Learned,
    /// Every endpoint gives its configured slots, and counts as full for 100 ms after a shed.
    Off,
}
