//! Randomized fault-injection soak test. Runs many node processes on loopback, injects faults from outside, and
//! checks the guarantees that callers and endpoints can observe.
//!
//! The seed determines the schedule. Processes, the kernel's scheduler and sockets are real, so two runs of the same
//! seed differ in timing. The soak test must not depend on node internals: it observes only what callers, endpoints
//! and operators can observe.

mod callers;
mod cases;
mod check;
mod deployment;
mod link;
mod run;
mod schedule;

pub use cases::{Case, cases};
pub use check::{Rule, Violation};
pub use link::Fault as LinkFault;
pub use run::{Options, Outcome, run_schedule};
pub use schedule::{Drain, Entry, Fault, Schedule, Scope, Series, Signal, Stop};
