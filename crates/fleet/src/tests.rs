//! Tests of the exchange, driven without sockets.

mod permits;
mod wire;
