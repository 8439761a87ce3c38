//! The configuration as operators publish it, and the entries of the endpoint registry.

use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{Endpoint, Name, Resource};

/// A complete configuration. A node accepts a configuration only if its version is higher than that of the one in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Version, which increases with each configuration by any amount.
    pub version: u64,
    /// Limits on requests of callers.
    #[serde(default)]
    pub limits: CallerLimits,
    /// How callers identify their organisation.
    #[serde(default)]
    pub access: Access,
    /// Services, routes and organisations.
    pub resources: Vec<Resource>,
    /// Reasons why invalid resources were left out, one line each. If this is not empty, routes and keys that the
    /// document does not list may exist.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub left_out: Vec<String>,
}

/// How callers identify the organisation that they belong to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// By its name in a header, unverified. Callers without the header are served too.
    #[default]
    Open,
    /// By an API key of the organisation, which only public routes do not require.
    Keys,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// Largest head of a request in bytes.
    pub head_bytes: usize,
    /// Largest body of a request in bytes.
    pub body_bytes: u64,
    /// Time within which the head of a request must arrive, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time that a connection may be idle between two requests, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Limits that apply before a configuration is in force; they match those of common HTTP servers.
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
    /// Returns the time within which the next head must arrive on a connection, idle time included.
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

/// An entry of the registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegistryEntry {
    /// An endpoint that has registered itself.
    Endpoint(Registration),
    /// An evacuation. While the entry exists, endpoints in this failure domain get no requests.
    Evacuation(Name),
}

impl RegistryEntry {
    /// Returns the endpoint; `None` for an evacuation.
    pub fn endpoint(&self) -> Option<&Registration> {
        match self {
            Self::Endpoint(it) => Some(it),
            Self::Evacuation(_) => None,
        }
    }
}

impl From<Registration> for RegistryEntry {
    fn from(it: Registration) -> Self {
        Self::Endpoint(it)
    }
}

/// A position in the history of the platform's publications.
///
/// The platform may be restored from a copy that is some seconds old. Everything published after the copy is lost, and
/// revisions are assigned again. Each restore begins a new era, and every position of a later era is newer than all
/// positions of earlier eras, regardless of the revisions.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Number of restores from an older copy.
    pub era: u32,
    /// The platform's revision within the era.
    pub revision: u64,
}

impl Position {
    /// The position before everything that was ever published.
    pub const START: Self = Self { era: 0, revision: 0 };

    /// Whether this is a position after `START`.
    pub fn is_known(self) -> bool {
        self > Self::START
    }
}

impl std::fmt::Display for Position {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}

/// A change of one registry entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryChange {
    /// Id of the endpoint or the evacuation.
    pub id: Name,
    /// Position of the change.
    pub at: Position,
    /// The new entry; `None` if the entry was removed.
    pub entry: Option<RegistryEntry>,
}

impl RegistryChange {
    /// Returns the endpoint that the change registers; `None` for a removal or an evacuation.
    pub fn registration(&self) -> Option<&Registration> {
        self.entry.as_ref().and_then(RegistryEntry::endpoint)
    }
}

/// The result of reading the platform: either everything or the changes after a position.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Published {
    /// All changes after this position are listed; `None` if everything that exists is listed.
    pub after: Option<Position>,
    /// Position at which the platform was read: no change of the registry up to here is missing. Entries that were
    /// removed before this position are not listed if everything is listed.
    pub complete_to: Position,
    /// The newest configuration, if it was read.
    pub document: Option<Document>,
    /// Why the newest configuration cannot be decoded.
    pub unreadable: Option<String>,
    /// Changed registry entries, or all entries if `after` is `None`. They include evacuations.
    pub endpoints: Vec<RegistryChange>,
}

impl Published {
    /// Returns an update that contains only a configuration and no information about the registry.
    pub fn configuration_only(document: Option<Document>) -> Self {
        Self { after: Some(Position::START), document, ..Self::default() }
    }
}
