//! Settings of a dispatcher.

/// Settings of a dispatcher, from the table `[dispatch]` of the configuration of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchOptions {
    pub(crate) near_first: bool,
}

impl Default for DispatchOptions {
    fn default() -> Self {
        Self { near_first: true }
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
}
