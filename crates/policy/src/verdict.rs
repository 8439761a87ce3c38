//! The sequential change test: a cumulative sum of log-likelihood ratios, unhealthy against healthy
//! (Page, 1954). Its threshold bounds how often a healthy endpoint is detected as unhealthy.

use resources::Bias;

use crate::class::Class;

/// Share of the good answers of an endpoint that becomes each bad class when it is unhealthy.
const UNHEALTHY_SHARE: f64 = 0.15;
/// Number of bad classes that are evidence of an unhealthy endpoint: late, stalled and failed.
const UNHEALTHY_CLASSES: f64 = 3.0;
/// Fraction of the ejection threshold from which a sibling counts towards a shared fault.
const SHARED_FRACTION: f64 = 0.25;

/// Thresholds of the test for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Thresholds {
    /// Score at which an endpoint is detected as unhealthy.
    pub(crate) eject: f64,
    /// Score from which a sibling counts towards a shared fault.
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
        Self { eject, shared: eject * SHARED_FRACTION }
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

    /// Adds one outcome. The sum is kept between zero and twice the threshold, so that old evidence
    /// does not outweigh a recovery.
    pub(crate) fn add(&mut self, class: Class, normal: [f64; 4], thresholds: Thresholds) {
        self.add_ratio(log_likelihood_ratio(class, normal), thresholds);
    }

    /// Adds the log-likelihood ratio of one outcome.
    pub(crate) fn add_ratio(&mut self, ratio: f64, thresholds: Thresholds) {
        self.0 = (self.0 + ratio).clamp(0.0, 2.0 * thresholds.eject);
    }
}

/// The log-likelihood ratio (unhealthy against healthy) of an outcome; `normal` holds the shares of
/// the bad classes at healthy endpoints.
pub(crate) fn log_likelihood_ratio(class: Class, normal: [f64; 4]) -> f64 {
    let good_share = 1.0 - UNHEALTHY_CLASSES * UNHEALTHY_SHARE;
    match class {
        Class::Good => good_share.ln(),
        Class::Shed => 0.0,
        _ => {
            let good = (1.0 - normal[..3].iter().sum::<f64>()).max(0.0);
            let usual = normal[class.bad_index().unwrap_or_default()];
            (1.0 + UNHEALTHY_SHARE * good / usual).ln()
        }
    }
}
