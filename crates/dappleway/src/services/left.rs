//! Endpoints that have left and are handed out all the same, by a node that has not learned of it yet.

use std::net::SocketAddr;
use std::time::Duration;

use policy::{Ask, Time};

/// Asks name the endpoints that have left for this long after one of them was handed out.
const NAMED_FOR: Duration = Duration::from_secs(2);

/// The endpoints of a service that this node gets handed out although it knows that they have left.
#[derive(Clone, Debug, Default)]
pub struct LeftEndpoints {
    /// Those that were handed out, the latest first.
    granted: Vec<SocketAddr>,
    /// All of them, in the order in which they are named.
    addrs: Vec<SocketAddr>,
    until: Time,
}

impl LeftEndpoints {
    /// Records that an endpoint was handed out; `known` are all that have left.
    pub fn granted(&mut self, now: Time, addr: SocketAddr, known: Vec<SocketAddr>) {
        if now >= self.until {
            self.granted.clear();
        }
        self.until = now + NAMED_FOR;
        self.granted.retain(|it| *it != addr && known.contains(it));
        if known.contains(&addr) {
            self.granted.insert(0, addr);
        }
        self.addrs.clone_from(&self.granted);
        self.addrs.extend(known.into_iter().filter(|it| !self.granted.contains(it)));
        self.addrs.truncate(Ask::MAX_CLOSED);
    }

    /// The endpoints to name in an ask.
    pub fn named(&self, now: Time) -> &[SocketAddr] {
        if now < self.until { &self.addrs } else { &[] }
    }
}
