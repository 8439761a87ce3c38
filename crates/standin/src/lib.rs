//! Small stand-ins for the system's neighbours: the platform, upstreams that fail gray, and callers.
//!
//! They serve tests and measurements and are never shipped. They must not know the insides of the
//! system: they speak only the protocols of docs/PROTOCOL.md.

pub mod caller;
pub mod client;
pub mod lab;
pub mod platform;
pub mod server;
pub mod upstream;
