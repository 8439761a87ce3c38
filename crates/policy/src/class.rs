//! Classes of outcomes, after comparison with what is normal for a service.

/// An outcome after comparison with the baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Class {
    Good,
    Late,
    Stalled,
    Failed,
    Shed,
}

impl Class {
    pub(crate) fn bad_index(self) -> Option<usize> {
        match self {
            Self::Good => None,
            Self::Late => Some(0),
            Self::Stalled => Some(1),
            Self::Failed => Some(2),
            Self::Shed => Some(3),
        }
    }

    /// Whether the outcome speaks for sickness. Shedding speaks for load alone.
    pub(crate) fn is_bad(self) -> bool {
        !matches!(self, Self::Good | Self::Shed)
    }
}
