//! Unit tests of the decisions, without I/O.

mod allowance;
mod budget;
mod choice;
mod dispatcher;
mod fixture;
mod floor;
mod floor_model;
mod incarnations;
mod kinds;
mod likelihoods;
mod notices;
mod overload;
mod places;
mod queue;
mod rate_limit;
mod rendezvous;
mod rest;
mod retry;
mod silence;
mod suspects;
mod travelling;
mod verdicts;
mod working_set;
