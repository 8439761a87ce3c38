//! Stand-ins for the systems around the proxy: the platform, upstreams with gray failures, and callers.
//!
//! They are used by tests and measurements and are never shipped. They must not depend on internals of the proxy:
//! they implement the protocols of docs/PROTOCOL.md, and `net` drives only public state machines.

pub mod bed;
pub mod caller;
pub mod client;
pub mod endpoint_link;
pub mod net;
pub mod node;
pub mod odd;
pub mod platform;
pub mod server;
pub mod upstream;
