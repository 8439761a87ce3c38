//! How likely each outcome of a request is at unhealthy endpoints, learned from the service's own
//! outcomes.
//!
//! How requests end at unhealthy endpoints, and what share of endpoints is unhealthy, differ
//! between services: some endpoints fail at once, others hang; some services have occasional
//! episodes, others none. Each outcome counts towards the unhealthy class if its endpoint is more
//! likely unhealthy than healthy (expectation maximisation with hard assignment), in addition to a
//! weak prior. The behaviour of healthy endpoints is part of the baseline.

use crate::baseline::Baseline;
use crate::observation::Kind;

/// Weight of the prior, in outcomes.
const PRIOR_OUTCOMES: f64 = 12.0;
/// Prior shares of requests at an unhealthy endpoint that are answered, fail, and stay unanswered.
/// They are nearly equal because nothing is known beforehand of how the service's endpoints fail.
const PRIOR_END_SHARES: [f64; 3] = [0.3, 0.35, 0.35];
/// Prior share of unhealthy endpoints.
const PRIOR_P_UNHEALTHY: f64 = 0.2;
/// Weight of [`PRIOR_P_UNHEALTHY`], in endpoints.
const PRIOR_ENDPOINTS: f64 = 4.0;
/// Bounds of the learned share of unhealthy endpoints. With a smaller share a single failure would
/// hardly change a belief; with a larger one no endpoint would count as healthy.
const P_UNHEALTHY_BOUNDS: (f64, f64) = (0.05, 0.4);
/// Weight of the current share of unhealthy endpoints at each refresh: a half-life of seven
/// seconds.
const P_UNHEALTHY_GAIN: f64 = 0.01;
/// Share of the counts kept at each refresh: a half-life of seventy seconds, which covers several
/// episodes.
const REFRESH_KEEP: f64 = 0.999;

/// How a request ended at an unhealthy endpoint.
#[derive(Clone, Copy, Debug)]
enum End {
    Answered,
    Failed,
    Silent,
}

/// The outcome likelihoods learned for one service.
#[derive(Clone, Debug)]
pub(crate) struct Likelihoods {
    /// Outcomes at unhealthy endpoints, indexed by `End`.
    at_unhealthy: [f64; 3],
    /// Share of unhealthy endpoints, which is the probability for an endpoint without evidence.
    p_unhealthy: f64,
}

impl Default for Likelihoods {
    fn default() -> Self {
        Self { at_unhealthy: [0.0; 3], p_unhealthy: PRIOR_P_UNHEALTHY }
    }
}

impl Likelihoods {
    /// Probability that an endpoint without recent outcomes is unhealthy.
    pub(crate) fn p_unhealthy(&self) -> f64 {
        self.p_unhealthy
    }

    /// Likelihood ratio (unhealthy against healthy) of an outcome. Outcomes that depend on load
    /// alone are no evidence.
    pub(crate) fn ratio(&self, baseline: &Baseline, kind: Kind, route: u32) -> f64 {
        match kind {
            Kind::Answered => self.end_share(End::Answered) / (1.0 - baseline.failure_rate(route)),
            Kind::Failed | Kind::Crashed | Kind::Unreachable => {
                self.end_share(End::Failed) / baseline.failure_rate(route)
            }
            _ => 1.0,
        }
    }

    /// Likelihood ratio (unhealthy against healthy) of a request that is still open, where the
    /// share `still_open` of the requests at healthy endpoints is open at that age.
    pub(crate) fn silence_ratio(&self, still_open: f64) -> f64 {
        let silent = self.end_share(End::Silent);
        (silent + (1.0 - silent) * still_open) / still_open
    }

    /// Counts an outcome, with the given weight, at an endpoint that is unhealthy with the
    /// probability `p_unhealthy`.
    pub(crate) fn learn(&mut self, kind: Kind, p_unhealthy: f64, weight: f64) {
        let end = match kind {
            Kind::Answered => End::Answered,
            Kind::Failed | Kind::Crashed => End::Failed,
            Kind::TimedOut | Kind::LostToHedge => End::Silent,
            Kind::Unreachable | Kind::Shed | Kind::Abandoned | Kind::Stalled => return,
        };
        if p_unhealthy > 0.5 {
            self.at_unhealthy[end as usize] += weight;
        }
    }

    /// Decays the counts and follows the probabilities of the endpoints in use.
    pub(crate) fn refresh(&mut self, p_unhealthy: impl Iterator<Item = f64>) {
        self.at_unhealthy.iter_mut().for_each(|it| *it *= REFRESH_KEEP);
        let (mut sum, mut n) = (PRIOR_P_UNHEALTHY * PRIOR_ENDPOINTS, PRIOR_ENDPOINTS);
        for it in p_unhealthy {
            sum += it;
            n += 1.0;
        }
        self.p_unhealthy += P_UNHEALTHY_GAIN * (sum / n - self.p_unhealthy);
        self.p_unhealthy = self.p_unhealthy.clamp(P_UNHEALTHY_BOUNDS.0, P_UNHEALTHY_BOUNDS.1);
    }

    /// The estimated share of requests at unhealthy endpoints that end like this.
    fn end_share(&self, end: End) -> f64 {
        let total: f64 = self.at_unhealthy.iter().sum();
        let i = end as usize;
        (self.at_unhealthy[i] + PRIOR_END_SHARES[i] * PRIOR_OUTCOMES) / (total + PRIOR_OUTCOMES)
    }
}
