//! Unit tests of the decisions, without I/O.

mod allowance;
mod budget;
mod choice;
mod dispatcher;
mod domain_load;
mod domains;
mod fixture;
mod floor;
mod floor_model;
mod idle;
mod in_transit;
mod incarnations;
mod kinds;
mod likelihoods;
mod notices;
mod overload;
mod places;
mod queue;
mod rate_limit;
mod rendezvous;
mod retry;
mod silence;
mod suspects;
mod verdicts;
mod working_set;
