//! Randomized polling: each node polls at random with a mean interval that grows with the fleet,
//! so the platform sees the same rate of calls whatever the fleet's size. No node has the role of a
//! reader, so none has to be replaced when it fails.

use std::time::Duration;

/// Mean interval between one node's polls, for `rate` polls a second from a fleet of `nodes`.
pub fn mean_interval(nodes: usize, rate: f64) -> Duration {
    Duration::from_secs_f64(nodes.max(1) as f64 / rate)
}
