//! The API for operators: resources with spec and status, watches, the fleet report, liveness,
//! readiness and metrics. It reads what the node publishes here and must not know traffic internals.

mod access;
mod client;
mod report;
mod server;

pub use access::{Access, Denied, MIN_TOKEN_BYTES, Token};
pub use client::{Client, ClientError};
pub use report::{EndpointReport, MemberReport, OrganisationReport, Report, ServiceReport};
pub use server::{
    ApiContext, Cut, Published, ResourceStatus, ResourceView, Resources, api_description, serve,
};

#[cfg(test)]
mod tests;
