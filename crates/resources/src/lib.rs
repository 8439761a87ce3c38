//! The typed resources that operators publish, their validation and their canonical digest.
//!
//! Everything here is a pure function of its arguments: every node and `dappleway check` run the
//! same code and therefore accept or reject a revision alike. This crate must not know any I/O,
//! clock or thread.

mod manifest;
mod model;
mod routing;
mod validate;

pub use manifest::{Digest, MAX_PART_BYTES, Manifest, ManifestError, Part, PartRef};
pub use model::{
    Bias, Endpoint, Floor, Name, Organisation, Priority, Repeat, Resource, Route, Service,
};
pub use routing::{Config, RouteTable};
pub use validate::{Problem, validate};

#[cfg(test)]
mod tests;
