//! Options of a dispatcher that follow from the settings of the process.

/// What decides on requests that compete for too few slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Contention {
    /// Requests are ranked by priority, by the share of their organisation and by the time left.
    /// The rank decides who waits, who is evicted and who is granted a slot.
    #[default]
    Ranked,
    /// The length of the queue and the expected wait decide who waits. Nothing is evicted.
    Queue,
}

/// Options of a dispatcher, with the documented defaults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatchOptions {
    /// What decides on requests that compete for too few slots.
    pub(crate) contention: Contention,
}

impl DispatchOptions {
    /// Sets what decides on requests that compete for too few slots.
    #[must_use]
    pub fn with_contention(mut self, contention: Contention) -> Self {
        self.contention = contention;
        self
    }
}
