//! The sequential change test: a cumulative sum of log-likelihood ratios, sick against healthy
//! (Page, 1954). Its threshold bounds how often a healthy endpoint is taken for sick.

use resources::Bias;

use crate::class::Class;

/// Share of its good answers that a sick endpoint turns into each bad class.
const SICK_SHARE: f64 = 0.15;
/// Number of bad classes that count as sickness: late, stalled and failed.
const SICK_CLASSES: f64 = 3.0;
/// Part of a crossing score that evidence against a shared fault may reach; see `Judge`.
const SHARED_PART: f64 = 0.25;

/// Thresholds of the test for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Thresholds {
    /// Score at which an endpoint is taken for sick.
    pub(crate) eject: f64,
    /// Score of the siblings from which on a fault counts as shared.
    pub(crate) shared: f64,
}

impl Thresholds {
    /// Thresholds for an operator's bias. Each unit lowers the rate of false alarms e-fold.
    pub(crate) fn of(bias: Bias) -> Self {
        let eject = match bias {
            Bias::Speed => 14.0,
            Bias::Balanced => 18.0,
            Bias::Caution => 22.0,
        };
        Self { eject, shared: eject * SHARED_PART }
    }
}

/// The cumulative sum of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Score(f64);

impl Score {
    pub(crate) fn value(self) -> f64 {
        self.0
    }

    pub(crate) fn reset(&mut self) {
        self.0 = 0.0;
    }

    /// Adds one outcome; the sum is kept between zero and twice the threshold, so that a recovered
    /// endpoint is not held down by old evidence.
    pub(crate) fn add(&mut self, class: Class, normal: [f64; 4], thresholds: Thresholds) {
        self.add_ratio(log_ratio(class, normal), thresholds);
    }

    /// Adds the log-likelihood ratio of one outcome.
    pub(crate) fn add_ratio(&mut self, ratio: f64, thresholds: Thresholds) {
        self.0 = (self.0 + ratio).clamp(0.0, 2.0 * thresholds.eject);
    }
}

/// The log-likelihood ratio of an outcome, sick against healthy; `normal` are the shares of the bad
/// classes at healthy endpoints.
pub(crate) fn log_ratio(class: Class, normal: [f64; 4]) -> f64 {
    let sick = 1.0 - SICK_CLASSES * SICK_SHARE;
    match class {
        Class::Good => sick.ln(),
        Class::Shed => 0.0,
        _ => {
            let good = (1.0 - normal[..3].iter().sum::<f64>()).max(0.0);
            let usual = normal[class.bad_index().unwrap_or_default()];
            (1.0 + SICK_SHARE * good / usual).ln()
        }
    }
}
