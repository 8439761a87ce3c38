//! Classes of outcomes.

/// An outcome after comparison with the baseline of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Class {
    Good,
    Late,
    Stalled,
    Failed,
    Shed,
}

impl Class {
    /// Index of the class among the counts of bad outcomes.
    pub(crate) fn bad_index(self) -> Option<usize> {
        match self {
            Self::Good => None,
            Self::Late => Some(0),
            Self::Stalled => Some(1),
            Self::Failed => Some(2),
            Self::Shed => Some(3),
        }
    }

    /// Whether the outcome is evidence of an unhealthy endpoint. Shedding only shows load.
    pub(crate) fn is_bad(self) -> bool {
        !matches!(self, Self::Good | Self::Shed)
    }
}
