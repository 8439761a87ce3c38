//! Options of the decisions of a dispatcher, set by the operator.

use serde::{Deserialize, Serialize};

/// Options of the decisions of a dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatchOptions {
    /// Slots of a doubtful endpoint.
    pub doubtful_slots: DoubtfulSlots,
}

impl DispatchOptions {
    /// Sets how many slots a doubtful endpoint gives.
    pub fn doubtful_slots(self, doubtful_slots: DoubtfulSlots) -> Self {
        Self { doubtful_slots, ..self }
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
