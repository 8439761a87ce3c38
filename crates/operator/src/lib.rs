//! The API for operators: resources with spec and status, watches, the fleet report, liveness, readiness and metrics.
//! The API reads only the data that the node provides in an `ApiContext` and must not depend on how the node processes
//! requests.

mod access;
mod client;
mod report;
mod server;

pub use access::{Access, Denied, MIN_TOKEN_BYTES, Token};
pub use client::{Client, ClientError};
pub use report::{
    DomainReport, EndpointReport, LoadReport, MemberReport, OrganisationReport, Report,
    ServiceReport,
};
pub use server::{
    ApiContext, Cut, Published, ResourceStatus, ResourceView, Resources, api_description, serve,
};

#[cfg(test)]
mod tests;
