//! A configuration as operators publish it, and what the registry of endpoints tells.

use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{Endpoint, Name, Resource};

/// A whole configuration. A node takes one only if its version is above that of the one in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Rises with each configuration, in steps of any size.
    pub version: u64,
    /// What callers may send.
    #[serde(default)]
    pub limits: CallerLimits,
    /// Services, routes and organisations.
    pub resources: Vec<Resource>,
}

/// Bounds on what callers may send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// Longest head of a request in bytes.
    pub head_bytes: usize,
    /// Longest body of a request in bytes.
    pub body_bytes: u64,
    /// Time for a head to arrive, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time that a connection may rest between two requests, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Bounds before any configuration: those of common HTTP servers.
    fn default() -> Self {
        Self {
            head_bytes: 32 * 1024,
            body_bytes: 64 * 1024 * 1024,
            head_timeout_ms: 10_000,
            idle_timeout_ms: 60_000,
        }
    }
}

impl CallerLimits {
    /// Time that a connection may take for the next head, rest included.
    pub fn next_head(&self) -> Duration {
        Duration::from_millis(self.head_timeout_ms.max(self.idle_timeout_ms))
    }
}

/// One endpoint in the registry, with the service that it serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Name of the service.
    pub service: Name,
    /// The endpoint.
    pub endpoint: Endpoint,
}

/// A change of one entry in the registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryChange {
    /// Identity of the endpoint.
    pub id: Name,
    /// The platform's revision at which the entry changed.
    pub revision: u64,
    /// The entry; nothing if it was removed.
    pub entry: Option<Registration>,
}

/// What the platform has published.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Published {
    /// The changes are all those after this revision; nothing if all that exists is listed.
    pub after: Option<u64>,
    /// Revision of the latest change that is listed. Other changes of the platform do not count, so
    /// that copies with the same content carry the same revision.
    pub revision: u64,
    /// The platform was read at this revision: what was removed before it is not listed.
    pub complete_to: u64,
    /// The newest configuration, if it was read.
    pub document: Option<Document>,
    /// Entries of the registry that have changed, or all of them.
    pub endpoints: Vec<RegistryChange>,
}

impl Published {
    /// News of the configuration alone, which say nothing of the registry.
    pub fn only(document: Option<Document>) -> Self {
        Self { after: Some(0), document, ..Self::default() }
    }
}
