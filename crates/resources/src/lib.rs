//! The resources that operators publish, the registry of endpoints, and validation.
//!
//! Every function is pure: all nodes and `dappleway check` run the same code and therefore accept or reject the same
//! configurations. This crate must not depend on I/O, clocks or threads.

mod document;
mod key;
mod model;
mod organisation_index;
mod routing;
mod source;
mod validate;

pub use document::{
    Access, CallerLimits, Document, Position, Published, Registration, RegistryChange,
    RegistryEntry,
};
pub use key::KeyDigest;
pub use model::{
    Allowance, Bias, Endpoint, Floor, Name, Organisation, Priority, Repeat, Resource, Route,
    Service, Share, Standing,
};
pub use organisation_index::OrganisationIndex;
pub use routing::{Config, RouteTable};
pub use source::{Source, SourceError};
pub use validate::{Problem, leave_out_invalid, validate};

#[cfg(test)]
mod tests;
