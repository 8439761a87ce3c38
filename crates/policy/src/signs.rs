//! What the outcomes of requests say about sickness, learned from the outcomes of the service itself.
//!
//! How requests end at sick endpoints, and which part of the endpoints is sick, differ from service to
//! service: some fail at once, others hang; some are sick now and then, others never. Each outcome is
//! counted as one of a sick endpoint if its endpoint is more likely sick than not (expectation
//! maximisation with hard assignment), beside a weak prior. How well endpoints behave is in the baseline.

use crate::baseline::Baseline;
use crate::observation::Kind;

/// Weight of the prior, in outcomes.
const PRIOR_OUTCOMES: f64 = 12.0;
/// Prior shares of requests at a sick endpoint that are answered, fail, and stay without an answer: all
/// alike, because nothing is known of how its endpoints fall sick.
const PRIOR_ENDS: [f64; 3] = [0.3, 0.35, 0.35];
/// Prior share of sick endpoints, and its weight in endpoints.
const PRIOR_SICK: f64 = 0.2;
const PRIOR_ENDPOINTS: f64 = 4.0;
/// Bounds of the share of sick endpoints that is learned: below, one failure would not be believed;
/// above, nobody would be.
const SICK_BOUNDS: (f64, f64) = (0.05, 0.4);
/// Weight of the present share in the one that is learned, at each refresh: half in seven seconds.
const SHARE_GAIN: f64 = 0.01;
/// Part of the counts that is kept at each refresh: half in seventy seconds, several episodes.
const KEEP: f64 = 0.999;

/// How a request ended at a sick endpoint.
#[derive(Clone, Copy, Debug)]
enum End {
    Answered,
    Failed,
    Silent,
}

/// What is learned for one service.
#[derive(Clone, Debug)]
pub(crate) struct Signs {
    /// Outcomes at sick endpoints, by `End`.
    at_sick: [f64; 3],
    /// Share of sick endpoints.
    share: f64,
}

impl Default for Signs {
    fn default() -> Self {
        Self { at_sick: [0.0; 3], share: PRIOR_SICK }
    }
}

impl Signs {
    /// Probability that an endpoint is sick of which nothing was heard for long.
    pub(crate) fn share(&self) -> f64 {
        self.share
    }

    /// How much more likely an outcome is at a sick endpoint than at a well one. Load alone says
    /// nothing.
    pub(crate) fn ratio(&self, baseline: &Baseline, kind: Kind, route: u32) -> f64 {
        match kind {
            Kind::Answered => self.part(End::Answered) / (1.0 - baseline.fails(route)),
            Kind::Failed | Kind::Crashed | Kind::Unreachable => {
                self.part(End::Failed) / baseline.fails(route)
            }
            _ => 1.0,
        }
    }

    /// How much more likely a request is still open at a sick endpoint than at a well one, where the
    /// share `still_open` is.
    pub(crate) fn silence(&self, still_open: f64) -> f64 {
        let silent = self.part(End::Silent);
        (silent + (1.0 - silent) * still_open) / still_open
    }

    /// Counts an outcome at an endpoint that is sick with the probability `sick`.
    pub(crate) fn learn(&mut self, kind: Kind, sick: f64) {
        let end = match kind {
            Kind::Answered => End::Answered,
            Kind::Failed | Kind::Crashed => End::Failed,
            Kind::TimedOut | Kind::Beaten => End::Silent,
            Kind::Unreachable | Kind::Shed | Kind::Abandoned | Kind::Stalled => return,
        };
        if sick > 0.5 {
            self.at_sick[end as usize] += 1.0;
        }
    }

    /// Lets old counts lose weight, and follows the probabilities of the endpoints in use.
    pub(crate) fn refresh(&mut self, sick: impl Iterator<Item = f64>) {
        self.at_sick.iter_mut().for_each(|it| *it *= KEEP);
        let (mut sum, mut n) = (PRIOR_SICK * PRIOR_ENDPOINTS, PRIOR_ENDPOINTS);
        for it in sick {
            sum += it;
            n += 1.0;
        }
        self.share += SHARE_GAIN * (sum / n - self.share);
        self.share = self.share.clamp(SICK_BOUNDS.0, SICK_BOUNDS.1);
    }

    fn part(&self, end: End) -> f64 {
        let total: f64 = self.at_sick.iter().sum();
        let i = end as usize;
        (self.at_sick[i] + PRIOR_ENDS[i] * PRIOR_OUTCOMES) / (total + PRIOR_OUTCOMES)
    }
}
