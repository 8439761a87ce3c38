//! Plain data of the resources. JSON documents carry a `kind` field; unknown fields are refused.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A shared immutable name; cloning it copies no text.
pub type Name = smol_str::SmolStr;

/// One published resource.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind")]
pub enum Resource {
    /// A group of endpoints that serve the same work.
    Service(Service),
    /// A rule that maps requests to a service.
    Route(Route),
    /// A caller organisation and its share under overload.
    Organisation(Organisation),
}

impl Resource {
    /// The kind as it is written in the document.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Service(_) => "Service",
            Self::Route(_) => "Route",
            Self::Organisation(_) => "Organisation",
        }
    }

    /// The name, unique within its kind.
    pub fn name(&self) -> &Name {
        match self {
            Self::Service(it) => &it.name,
            Self::Route(it) => &it.name,
            Self::Organisation(it) => &it.name,
        }
    }
}

/// A group of upstream endpoints with the capacity that must stay in rotation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name of the service.
    #[schemars(with = "String")]
    pub name: Name,
    /// The endpoints, in any order.
    pub endpoints: Vec<Endpoint>,
    /// Healthy capacity that ejections never go below.
    pub floor: Floor,
    /// Trade of detection speed against false ejections.
    #[serde(default)]
    pub bias: Bias,
    /// Requests that one endpoint works on at once.
    pub slots: u32,
    /// Connections that one endpoint accepts.
    #[serde(default = "default_connections")]
    pub connections: u32,
}

fn default_connections() -> u32 {
    200
}

/// One upstream endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// IP address and TCP port.
    #[schemars(with = "String")]
    pub addr: SocketAddr,
    /// The failure domain that the endpoint runs in.
    #[schemars(with = "String")]
    pub failure_domain: Name,
}

/// Floor of healthy capacity: a count of endpoints or a percentage such as `"60%"`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(try_from = "FloorText", into = "FloorText")]
#[schemars(with = "FloorText")]
pub enum Floor {
    /// A number of endpoints.
    Count(u32),
    /// A share of the endpoints in percent, rounded up.
    Percent(u8),
}

impl Floor {
    /// The floor as a number of endpoints out of `total`, never above `total`.
    pub fn endpoints(self, total: usize) -> usize {
        match self {
            Self::Count(n) => (n as usize).min(total),
            Self::Percent(p) => (total * usize::from(p)).div_ceil(100).min(total),
        }
    }
}

/// The two spellings of a floor in a document.
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(untagged)]
enum FloorText {
    Count(u32),
    Share(String),
}

impl TryFrom<FloorText> for Floor {
    type Error = String;

    fn try_from(text: FloorText) -> Result<Self, String> {
        let share = match text {
            FloorText::Count(n) => return Ok(Self::Count(n)),
            FloorText::Share(share) => share,
        };
        let percent = share.strip_suffix('%').and_then(|it| it.parse::<u8>().ok());
        match percent {
            Some(p) if p <= 100 => Ok(Self::Percent(p)),
            _ => Err(format!("floor `{share}`: write a count or a share from \"0%\" to \"100%\"")),
        }
    }
}

impl From<Floor> for FloorText {
    fn from(floor: Floor) -> Self {
        match floor {
            Floor::Count(n) => Self::Count(n),
            Floor::Percent(p) => Self::Share(format!("{p}%")),
        }
    }
}

/// Trade of detection speed against false ejections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Bias {
    /// Eject early; a false ejection costs little.
    Speed,
    /// Between the two.
    #[default]
    Balanced,
    /// Eject late; lost capacity costs more than slow answers.
    Caution,
}

/// A rule that maps requests to a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name of the route.
    #[schemars(with = "String")]
    pub name: Name,
    /// Host to match without port; any host if absent.
    #[serde(default)]
    #[schemars(with = "Option<String>")]
    pub host: Option<Name>,
    /// Path prefix of whole segments, starting with `/`. The longest prefix wins.
    pub path: String,
    /// Methods to match in upper case; any method if empty.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Name of the service that answers.
    #[schemars(with = "String")]
    pub service: Name,
    /// Time within which the answer must start, in milliseconds.
    pub deadline_ms: u32,
    /// Whether and when a request may be sent again.
    pub repeat: Repeat,
    /// Whether a second copy may be sent while the first is late. Needs `repeat = "anytime"`.
    #[serde(default)]
    pub hedge: bool,
    /// Whether answers are long streams that outlast the deadline once they have begun.
    #[serde(default)]
    pub stream: bool,
    /// Which work goes first under overload.
    #[serde(default)]
    pub priority: Priority,
}

/// Whether and when a request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Running twice does no harm.
    Anytime,
    /// Again only when the earlier try provably did not run.
    IfNotRun,
    /// Sent at most once, whatever happens.
    Never,
}

/// Which work goes first under overload.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Lookups and bookings.
    #[default]
    Interactive,
    /// Exports and downloads; served after interactive work.
    Bulk,
}

/// A caller organisation, named by the `x-organisation` request header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Unique name of the organisation.
    #[schemars(with = "String")]
    pub name: Name,
    /// Relative share under overload; organisations that are not listed weigh 1.
    pub weight: u32,
}
