//! Tests of the decisions, driven without I/O.

mod allowance;
mod budget;
mod choice;
mod dispatcher;
mod fixture;
mod floor;
mod floor_model;
mod idle;
mod in_transit;
mod kinds;
mod lives;
mod notices;
mod overload;
mod places;
mod queue;
mod rate_limit;
mod rendezvous;
mod retry;
mod signs;
mod silence;
mod suspects;
mod verdicts;
mod working_set;
