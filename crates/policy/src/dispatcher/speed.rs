//! How fast an endpoint answers compared with the others of its service.

use crate::time::Time;

/// Time constant of the decay of answers of one endpoint, in seconds. Endpoints become slow for some
/// seconds at a time.
const ENDPOINT_MEMORY_S: f64 = 4.0;
/// Time constant of the decay of the answers of the service, in seconds.
const SERVICE_MEMORY_S: f64 = 4.0;
/// Weight of the assumption that an endpoint is as fast as the others, in answers.
const PRIOR_ANSWERS: f64 = 2.0;
/// Within this factor of the mean, an endpoint counts as average: service times of single requests
/// vary more than that, and a finer order would move requests to other failure domains for nothing.
const AVERAGE_WITHIN: f64 = 1.5;
/// Largest factor. An endpoint that is slower still is not tried less often.
const MAX_FACTOR: f64 = 12.0;

/// Decaying mean of the times until answers began, in multiples of the objective.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AnswerTime {
    count: f64,
    took: f64,
    at: Time,
}

impl AnswerTime {
    /// Records an answer of one endpoint.
    pub(super) fn note_at_endpoint(&mut self, now: Time, took: f64) {
        self.add(now, took, ENDPOINT_MEMORY_S);
    }

    /// Records an answer of any endpoint of the service.
    pub(super) fn note_in_service(&mut self, now: Time, took: f64) {
        self.add(now, took, SERVICE_MEMORY_S);
    }

    /// How many times as long this endpoint takes as the mean of its service. One without recent
    /// answers counts as average.
    pub(super) fn slowness(&self, now: Time, service: &Self) -> f64 {
        if service.count < PRIOR_ANSWERS || service.took <= 0.0 {
            return 1.0;
        }
        let mean = service.took / service.count;
        let kept = (-now.seconds_since(self.at) / ENDPOINT_MEMORY_S).exp();
        let sum = self.took * kept + PRIOR_ANSWERS * mean;
        let factor = sum / (self.count * kept + PRIOR_ANSWERS) / mean;
        match factor {
            it if it <= AVERAGE_WITHIN => 1.0,
            it => it.min(MAX_FACTOR),
        }
    }

    fn add(&mut self, now: Time, took: f64, memory_s: f64) {
        let kept = (-now.seconds_since(self.at) / memory_s).exp();
        self.count = self.count * kept + 1.0;
        self.took = self.took * kept + took;
        self.at = now;
    }
}
