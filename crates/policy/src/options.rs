//! Settings of a dispatcher.

use serde::{Deserialize, Serialize};

/// Settings of a dispatcher, from the table `[dispatch]` of the configuration of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchOptions {
    pub(crate) near_first: bool,
    pub(crate) doubtful_slots: DoubtfulSlots,
    pub(crate) concurrency_limits: ConcurrencyLimits,
    pub(crate) contention: Contention,
}

impl Default for DispatchOptions {
    fn default() -> Self {
        Self {
            near_first: true,
            doubtful_slots: DoubtfulSlots::default(),
            concurrency_limits: ConcurrencyLimits::default(),
            contention: Contention::default(),
        }
    }
}

impl DispatchOptions {
    /// Whether a first send stays in the failure domain of its asker while there is room for it.
    /// Otherwise distance only adds a small cost to the choice of an endpoint.
    #[must_use]
    pub fn near_first(mut self, near_first: bool) -> Self {
        self.near_first = near_first;
        self
    }

    /// Sets how many slots a doubtful endpoint gives.
    #[must_use]
    pub fn doubtful_slots(self, doubtful_slots: DoubtfulSlots) -> Self {
        Self { doubtful_slots, ..self }
    }

    /// Sets whether concurrency limits are learned.
    #[must_use]
    pub fn concurrency_limits(self, concurrency_limits: ConcurrencyLimits) -> Self {
        Self { concurrency_limits, ..self }
    }

    /// Sets what decides on requests that compete for too few slots.
    #[must_use]
    pub fn contention(self, contention: Contention) -> Self {
        Self { contention, ..self }
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
    Learned,
    /// Every endpoint gives its configured slots, and counts as full for 100 ms after a shed.
    #[default]
    Off,
}

/// What decides on requests that compete for too few slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Contention {
    /// Requests are ranked by priority, by the share of their organisation and by the time left.
    /// The rank decides who waits, who is evicted and who is granted a slot.
    Ranked,
    /// The length of the queue and the expected wait decide who waits. Nothing is evicted.
    #[default]
    Queue,
}
