//! Tests of the decisions, driven without I/O.

mod dispatcher;
mod fixture;
mod floor;
mod queue;
mod retry;
mod verdicts;
