//! Small stand-ins for the system's neighbours: the platform, upstreams that fail gray, and callers.
//!
//! They serve tests and measurements and are never shipped. They must not know the insides of the
//! system: they speak the protocols of docs/PROTOCOL.md, and `net` drives public state machines.

pub mod bed;
pub mod caller;
pub mod client;
pub mod lab;
pub mod net;
pub mod platform;
pub mod server;
pub mod upstream;
