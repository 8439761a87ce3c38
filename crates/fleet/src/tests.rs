//! Tests of the state machines, without sockets.

mod allowances;
mod delivery;
mod duty;
mod permits;
mod replica;
mod replica_model;
mod wire;
