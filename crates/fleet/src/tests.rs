//! Tests of the exchange, driven without sockets.

mod duty;
mod permits;
mod replica;
mod replica_model;
mod wire;
