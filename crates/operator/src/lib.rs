//! The API for operators: resources with spec and status, watches, the fleet report, liveness,
//! readiness and metrics. It reads what the node publishes here and must not know traffic internals.

mod report;
mod server;

pub use report::{EndpointReport, MemberReport, Report, ServiceReport};
pub use server::{Cut, Published, ResourceView, Resources, View, api_description, serve};
