//! A model of the floor with several detectors while a new configuration spreads.
//!
//! For each of two failure domains one detector ejects independently. The old and the new
//! configuration have the same floor for the service but split it differently. Each detector may
//! receive the new configuration at any time; all receive it before the first has settled, which is
//! the assumption behind `FLOOR_SETTLE_TIME`. The specification is explored exhaustively, and random schedules
//! of the same steps are compared with the production rotation.

use pathfinding::directed::bfs::{bfs, bfs_reach};
use proptest::prelude::*;
use resources::{Bias, Service};

use super::fixture::service;
use crate::Time;
use crate::rotation::{FLOOR_SETTLE_TIME, Rotation, State};

/// Endpoints in each failure domain.
const SIZE: usize = 3;
/// The service's floor in both configurations.
const FLOOR: usize = 3;
/// Floor of each failure domain before and after.
const SPLITS: [[usize; 2]; 2] = [[2, 1], [1, 2]];

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ConfigPhase {
    Old,
    Settling,
    Settled,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Detector {
    phase: ConfigPhase,
    ejected: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct World {
    detectors: [Detector; 2],
    /// Whether the stricter of both floors applies while a detector settles.
    settles: bool,
    /// Whether each detector keeps its own share of the floor, or relies on the other failure
    /// domain's endpoints as last seen.
    splits: bool,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Eject(usize),
    Readmit(usize),
    Receive(usize),
    Settle(usize),
}

const STEPS: [Step; 8] = [
    Step::Eject(0),
    Step::Eject(1),
    Step::Readmit(0),
    Step::Readmit(1),
    Step::Receive(0),
    Step::Receive(1),
    Step::Settle(0),
    Step::Settle(1),
];

const START: World = World {
    detectors: [Detector { phase: ConfigPhase::Old, ejected: 0 }; 2],
    settles: true,
    splits: true,
};

impl World {
    fn floor(&self, j: usize) -> usize {
        let [old, new] = [SPLITS[0][j], SPLITS[1][j]];
        match self.detectors[j].phase {
            ConfigPhase::Old => old,
            ConfigPhase::Settling if self.settles => old.max(new),
            ConfigPhase::Settling | ConfigPhase::Settled => new,
        }
    }

    /// The world after a step, or `None` if the step is not possible.
    fn step(mut self, step: Step) -> Option<Self> {
        let all_have_received = self.detectors.iter().all(|it| it.phase != ConfigPhase::Old);
        match step {
            Step::Eject(j) => {
                // Without shares a detector counts all endpoints of the other failure domain, as
                // last seen.
                let others = if self.splits { 0 } else { SIZE };
                let floor = if self.splits { self.floor(j) } else { FLOOR };
                let left = SIZE - self.detectors[j].ejected;
                if left == 0 || others + left - 1 < floor {
                    return None;
                }
                self.detectors[j].ejected += 1;
            }
            Step::Readmit(j) if self.detectors[j].ejected > 0 => self.detectors[j].ejected -= 1,
            Step::Receive(j) if self.detectors[j].phase == ConfigPhase::Old => {
                self.detectors[j].phase = ConfigPhase::Settling;
                let most = if self.splits { SIZE - self.floor(j) } else { SIZE };
                self.detectors[j].ejected = self.detectors[j].ejected.min(most);
            }
            Step::Settle(j)
                if self.detectors[j].phase == ConfigPhase::Settling && all_have_received =>
            {
                self.detectors[j].phase = ConfigPhase::Settled;
            }
            _ => return None,
        }
        Some(self)
    }

    fn successors(&self) -> Vec<Self> {
        STEPS.iter().filter_map(|it| self.step(*it)).collect()
    }

    fn is_below_floor(&self) -> bool {
        let left: usize = self.detectors.iter().map(|it| SIZE - it.ejected).sum();
        left < FLOOR
    }
}

#[test]
fn the_floor_holds_whatever_each_detector_knows() {
    assert_eq!(bfs(&START, World::successors, World::is_below_floor), None);
    let states = bfs_reach(START, World::successors).count();
    println!("{states} states, all that can be reached");
    assert!(states > 30, "the model has {states} states: too few for a meaningful check");
}

#[test]
fn the_check_catches_broken_rules() {
    let broken = [World { settles: false, ..START }, World { splits: false, ..START }];
    for start in broken {
        let schedule = bfs(&start, World::successors, World::is_below_floor);
        println!(
            "below the floor after {} steps",
            schedule.expect("the broken rule is caught").len() - 1
        );
    }
}

/// The rotation of production code for one failure domain of the model.
struct Production {
    rotation: Rotation,
    now: Time,
    domain: usize,
}

/// A service whose failure domain `domain` has the floor of the given configuration. Production
/// splits a floor evenly, so each failure domain is represented by a service of its own.
fn configuration(domain: usize, which: usize) -> Service {
    service(&[SIZE], SPLITS[which][domain], Bias::Speed)
}

impl Production {
    fn new(domain: usize) -> Self {
        let rotation = Rotation::new(Time(0), &configuration(domain, 0));
        Self { rotation, now: Time(0), domain }
    }

    fn ejected(&self) -> usize {
        let out = |it: &&crate::EndpointStatus| matches!(it.state, State::Ejected { .. });
        self.rotation.endpoints().iter().filter(out).count()
    }

    fn apply(&mut self, step: Step) {
        (0..SIZE).for_each(|i| self.confirm_healthy(i));
        match step {
            Step::Eject(_) => {
                let healthy =
                    (0..SIZE).find(|i| self.rotation.endpoints()[*i].state == State::Healthy);
                if let Some(i) = healthy {
                    self.rotation.eject(self.now, i, "test");
                }
            }
            Step::Readmit(_) => {
                let out = (0..SIZE)
                    .find(|i| matches!(self.rotation.endpoints()[*i].state, State::Ejected { .. }));
                self.rotation
                    .readmit_for_test(self.now, out.expect("the model has an ejected endpoint"));
            }
            Step::Receive(_) => self.rotation.reconfigure(self.now, &configuration(self.domain, 1)),
            Step::Settle(_) => self.now = self.now + FLOOR_SETTLE_TIME,
        }
        (0..SIZE).for_each(|i| self.confirm_healthy(i));
    }

    /// Endpoints in rotation are healthy.
    fn confirm_healthy(&mut self, i: usize) {
        if self.rotation.endpoints()[i].state.in_rotation() {
            self.rotation.record_good(self.now, i);
            self.rotation.clear_suspicion(self.now, i);
        }
    }
}

proptest! {
    #[test]
    fn production_follows_the_specification(steps in prop::collection::vec(0..STEPS.len(), 1..40)) {
        let mut world = START;
        let mut production = [Production::new(0), Production::new(1)];
        for step in steps.into_iter().map(|i| STEPS[i]) {
            let (Step::Eject(j) | Step::Readmit(j) | Step::Receive(j) | Step::Settle(j)) = step;
            let is_eject = matches!(step, Step::Eject(_));
            match world.step(step) {
                Some(next) => {
                    world = next;
                    production[j].apply(step);
                }
                // An ejection that the model refuses must be refused in production too.
                None if is_eject => production[j].apply(step),
                None => {}
            }
            prop_assert_eq!(production[j].ejected(), world.detectors[j].ejected, "{:?}", step);
        }
    }
}
