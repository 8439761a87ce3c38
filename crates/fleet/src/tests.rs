//! Tests of the exchange, driven without sockets.

mod delivery;
mod duty;
mod permits;
mod replica;
mod replica_model;
mod wire;
