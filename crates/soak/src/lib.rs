//! Randomized fault soak: the program as many processes on loopback, faults from outside them, and
//! the promises that callers and endpoints can check while they last.
//!
//! A seed decides the schedule; the processes, the kernel's scheduler and its sockets are real, so
//! that two plays of a seed differ in their timing. The soak must not know the insides of the nodes:
//! it sees what callers, endpoints and operators see.

mod callers;
mod cases;
mod check;
mod deployment;
mod link;
mod play;
mod schedule;

pub use cases::{Case, cases};
pub use check::{Broken, Rule};
pub use link::Fault as LinkFault;
pub use play::{Options, Outcome, play};
pub use schedule::{Entry, Fault, Schedule, Scope};
