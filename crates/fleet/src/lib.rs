//! The other entry VMs of the fleet: their identities, the versions that they hold, and the
//! exchange with them.
//!
//! The state machines are free of I/O; `transport` and `fetch` are the thin socket layers. This
//! crate must not depend on HTTP, on requests of callers, or on the meaning of a configuration.

mod allowances;
mod backlog;
mod bundle;
mod delivery;
mod exchange;
mod fetch;
mod members;
mod permits;
mod reader_election;
mod replica;
mod transport;
mod tunnel;
mod wire;

pub use allowances::{
    AllowanceAction, AllowanceClient, AllowanceMessage, AllowanceOutcome, AllowanceOwner,
    OwnerPhase,
};
pub use backlog::{Admitted, Backlog};
pub use bundle::{Bundle, EncodedDocument, RegistryCopy};
pub use delivery::{Delivery, MessageTooLong};
pub use exchange::{Effect, Exchange, FetchFailure, Identity, ROUND};
pub use fetch::{FetchError, Fetched, ServedFetch, ServedOutcome, fetch, serve_peers};
pub use members::{Member, Members, node_id};
pub use permits::{
    Directory, PermitAction, PermitClient, PermitOutcome, PermitRequest, Place, ReachabilityChange,
    RedirectCounts,
};
pub use reader_election::{Rank, ReaderElection, Reads};
pub use replica::{Replica, Versions};
pub use transport::{Counts, Transport};
pub use tunnel::{
    Gateway, TunnelError, TunnelRefusal, TunnelStream, TunnelTarget, Tunnels, open_tunnel,
};
pub use wire::{
    Ack, Batch, Capacity, Features, Frame, Gossip, Key, Keys, LastAnswer, MAX_FRAME_BYTES, Message,
    NodeInfo, PermitMessage, Phase, PlatformUpdate, Verdict, WireError,
};

#[cfg(test)]
mod tests;
