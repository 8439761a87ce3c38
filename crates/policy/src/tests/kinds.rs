//! Services of various kinds, driven through a dispatcher in virtual time: requests lost at
//! unhealthy endpoints, compared with random choices.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use resources::Bias;

use super::fixture::{BUDGET, TERMS, ask, service};
use crate::{Ask, Dispatcher, Kind, PermitId, Reply, Time};

/// Step of virtual time.
const STEP: Duration = Duration::from_millis(5);
/// Virtual time of each simulation.
const SIMULATED: Duration = Duration::from_secs(60);
/// Mean duration of healthy work.
const WORK: Duration = Duration::from_millis(100);
/// Time after which an unanswered request ends.
const TIME_LIMIT: Duration = Duration::from_millis(1_200);
/// Share of the requests at an unhealthy endpoint that fail.
const FAILURE_SHARE: f64 = 0.75;

/// A kind of service.
#[derive(Clone, Copy, Debug)]
struct Service {
    endpoints: usize,
    per_s: f64,
    /// Share of its endpoints that are unhealthy at a time, and how long each episode lasts.
    unhealthy: f64,
    episode: Duration,
    /// How requests fail there.
    failure: Kind,
    /// Factor on the duration of all work, while the objective stays the same.
    slowdown: f64,
}

/// A request in flight.
struct Open {
    id: PermitId,
    since: Time,
    ends_at: Time,
    kind: Kind,
}

/// Results of a simulation.
#[derive(Debug, Default)]
struct Results {
    sent: f64,
    lost: f64,
    refused: f64,
    used: Vec<usize>,
}

fn exponential(rng: &mut impl Rng, mean: Duration) -> Duration {
    mean.mul_f64(-(1.0 - rng.random::<f64>()).ln())
}

fn simulate(it: Service, seed: u64) -> Results {
    let mut rng = StdRng::seed_from_u64(seed);
    let document = service(&[it.endpoints], 1, Bias::Speed);
    let mut dispatcher = Dispatcher::new(Time(0), &document, &[TERMS], BUDGET);
    let mut open: Vec<Open> = Vec::new();
    let mut unhealthy_until = vec![Time(0); it.endpoints];
    let mut results = Results { used: vec![0; it.endpoints], ..Results::default() };
    let p_episode_starts =
        it.unhealthy / (1.0 - it.unhealthy) * STEP.as_secs_f64() / it.episode.as_secs_f64();
    let mut now = Time(0);
    let mut seq = 0;
    while now.since(Time(0)) < SIMULATED {
        now = now + STEP;
        for until in &mut unhealthy_until {
            if now > *until && rng.random_bool(p_episode_starts.min(1.0)) {
                *until = now + exponential(&mut rng, it.episode);
            }
        }
        let (ended, still): (Vec<_>, Vec<_>) = open.into_iter().partition(|it| it.ends_at <= now);
        open = still;
        for it in ended {
            dispatcher.release(now, it.id, it.kind, it.ends_at.since(it.since), &mut rng);
        }
        dispatcher.tick(now, &mut rng);
        if !rng.random_bool((it.per_s * STEP.as_secs_f64()).min(1.0)) {
            continue;
        }
        seq += 1;
        let ask = Ask { repeatable: false, is_last: true, ..ask(seq, false) };
        let id = ask.id;
        let Reply::Granted(grant) = dispatcher.ask(now, ask, &mut rng) else {
            results.refused += 1.0;
            continue;
        };
        let i = document.endpoints.iter().position(|e| e.id == grant.endpoint).expect("known");
        let fails = now < unhealthy_until[i] && rng.random_bool(FAILURE_SHARE);
        let work = exponential(&mut rng, WORK.mul_f64(it.slowdown)).min(TIME_LIMIT);
        let (kind, duration) = match (fails, it.failure) {
            (true, Kind::TimedOut) => (Kind::TimedOut, TIME_LIMIT),
            (true, kind) => (kind, work / 4),
            (false, _) => (Kind::Answered, work),
        };
        results.sent += 1.0;
        results.lost += f64::from(u8::from(fails));
        results.used[i] += 1;
        open.push(Open { id, since: now, ends_at: now + duration, kind });
    }
    results
}

/// Checks that the lost share is below the fraction `of_chance` of what random choices would lose.
fn check(it: Service, of_chance: f64) {
    let (mut sent, mut lost) = (0.0, 0.0);
    for seed in 1..=3 {
        let results = simulate(it, seed);
        sent += results.sent;
        lost += results.lost;
    }
    let by_chance = it.unhealthy * FAILURE_SHARE;
    let share = lost / sent;
    assert!(share < by_chance * of_chance, "{it:?}: {share:.4} lost, by chance {by_chance:.4}");
}

const USUAL: Service = Service {
    endpoints: 15,
    per_s: 57.0,
    unhealthy: 0.2,
    episode: Duration::from_secs(8),
    failure: Kind::Failed,
    slowdown: 1.0,
};

/// Without open requests as evidence, hanging endpoints lose 0.24, 0.01, 0.29, 0.16 and 0.41 of
/// what random choices would lose.
#[test]
fn however_endpoints_fail_far_less_is_lost_than_by_chance() {
    for failure in [Kind::Failed, Kind::TimedOut] {
        check(Service { failure, ..USUAL }, 0.15);
        check(
            Service { failure, unhealthy: 0.05, episode: Duration::from_secs(30), ..USUAL },
            0.05,
        );
        check(Service { failure, unhealthy: 0.2, episode: Duration::from_secs(3), ..USUAL }, 0.25);
        check(Service { failure, endpoints: 6, per_s: 15.0, ..USUAL }, 0.15);
        check(Service { failure, endpoints: 100, per_s: 150.0, ..USUAL }, 0.3);
    }
}

#[test]
fn services_whose_endpoints_are_healthy_use_all_of_them_and_refuse_nothing() {
    for slowdown in [1.0, 4.0] {
        let it = Service { unhealthy: 0.0, slowdown, per_s: 20.0, ..USUAL };
        let results = simulate(it, 1);
        assert_eq!(results.lost, 0.0, "{it:?}");
        assert!(results.refused < 0.01 * results.sent, "{it:?}: {results:?}");
        let least = results.used.iter().min().expect("endpoints");
        assert!(*least as f64 > 0.3 * results.sent / 15.0, "{it:?}: {results:?}");
    }
}
