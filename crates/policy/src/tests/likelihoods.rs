//! Outcome likelihoods learned from the failures of a service's endpoints.

use std::time::Duration;

use crate::Kind;
use crate::baseline::{Baseline, RouteTerms};
use crate::class::Class;
use crate::likelihoods::Likelihoods;

use super::fixture::{ROUTE, TERMS};

const OUTCOMES: usize = 300;

/// The likelihoods of a service whose unhealthy endpoints end requests with `kind`.
fn likelihoods_after(kind: Kind) -> Likelihoods {
    let mut likelihoods = Likelihoods::default();
    for _ in 0..OUTCOMES {
        likelihoods.learn(kind, 0.9, 1.0);
        likelihoods.learn(Kind::Answered, 0.02, 1.0);
    }
    likelihoods
}

/// Likelihood ratio of an outcome on a route without samples.
fn ratio(likelihoods: &Likelihoods, kind: Kind) -> f64 {
    let mut baseline = Baseline::default();
    baseline.retain_routes(&[TERMS]);
    match kind {
        Kind::TimedOut => {
            likelihoods.silence_ratio(baseline.still_open(ROUTE, TERMS.objective * 2))
        }
        it => likelihoods.ratio(&baseline, it, ROUTE),
    }
}

#[test]
fn a_service_learns_how_its_endpoints_fail() {
    let prior = Likelihoods::default();
    for (kind, other) in [(Kind::Failed, Kind::TimedOut), (Kind::TimedOut, Kind::Failed)] {
        let likelihoods = likelihoods_after(kind);
        assert!(ratio(&likelihoods, kind) > 2.0 * ratio(&prior, kind), "{kind:?}");
        assert!(ratio(&likelihoods, other) < 0.2 * ratio(&prior, other), "{kind:?}");
        assert!(ratio(&likelihoods, Kind::Answered) < 0.1, "{kind:?}");
    }
}

#[test]
fn the_share_of_unhealthy_endpoints_follows_the_service_within_bounds() {
    let share_after = |p_unhealthy: &[f64]| {
        let mut likelihoods = Likelihoods::default();
        (0..2_000).for_each(|_| likelihoods.refresh(p_unhealthy.iter().copied()));
        likelihoods.p_unhealthy()
    };
    assert!(share_after(&[0.0; 30]) < 0.06);
    let half = [[0.95; 10], [0.01; 10]].concat();
    assert!((0.35..=0.4).contains(&share_after(&half)));
}

/// Requests of one route exceed its time limit at every endpoint. This must not make all endpoints
/// look unhealthy.
#[test]
fn what_is_usual_on_a_route_is_no_evidence_against_an_endpoint() {
    let other = RouteTerms { id: ROUTE + 1, ..TERMS };
    let mut baseline = Baseline::default();
    baseline.retain_routes(&[TERMS, other]);
    let limit = TERMS.objective * 2;
    for _ in 0..30 {
        baseline.add_unanswered(ROUTE, limit, 0.8);
        baseline.add_failed(ROUTE, 0.8);
        baseline.refresh(0.99);
    }
    let likelihoods = Likelihoods::default();
    assert!(likelihoods.silence_ratio(baseline.still_open(ROUTE, limit)) < 2.0);
    assert!(likelihoods.ratio(&baseline, Kind::Failed, ROUTE) < 3.0);
    assert_eq!(baseline.class_of(Kind::TimedOut, ROUTE, limit), None);
    // The evidence of the other route's requests is unchanged.
    assert!(likelihoods.silence_ratio(baseline.still_open(other.id, limit)) > 20.0);
    assert!(
        baseline.class_of(Kind::TimedOut, other.id, limit + Duration::from_millis(1)).is_some()
    );
}

#[test]
fn a_hedge_starts_when_most_healthy_answers_are_there() {
    let mut baseline = Baseline::default();
    baseline.retain_routes(&[TERMS]);
    baseline.refresh(1.0);
    assert_eq!(baseline.hedge_after(ROUTE), TERMS.objective / 2, "no samples yet");
    let usual = Duration::from_millis(100);
    (0..200).for_each(|_| baseline.add(ROUTE, Class::Good, Some(usual)));
    baseline.refresh(1.0);
    let after = baseline.hedge_after(ROUTE);
    assert!(usual < after && after < usual * 2, "{after:?}");
}
