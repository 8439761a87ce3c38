//! Tests of the state machines, without sockets, and of the asking side of a tunnel.

mod allowances;
mod delivery;
mod domain_permits;
mod permits;
mod reader_election;
mod replica;
mod replica_model;
mod tunnel;
mod wire;
