//! Tests of the exchange, driven without sockets.

mod permits;
mod revisions_model;
mod rule;
mod wire;
