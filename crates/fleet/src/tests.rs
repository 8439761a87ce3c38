//! Tests of the state machines, without sockets.

mod allowances;
mod delivery;
mod domain_permits;
mod permits;
mod reader_election;
mod replica;
mod replica_model;
mod wire;
