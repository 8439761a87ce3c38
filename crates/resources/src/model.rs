//! Data types of the published resources. In JSON each resource carries a `kind` field, and unknown fields are refused.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::KeyDigest;

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

/// A group of interchangeable upstream endpoints with the capacity that must stay in rotation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name of the service.
    #[schemars(with = "String")]
    pub name: Name,
    /// Statically configured endpoints, in any order. Endpoints from the registry are added to these.
    #[serde(default)]
    pub endpoints: Vec<Endpoint>,
    /// Healthy capacity that ejections never go below.
    pub floor: Floor,
    /// Trade-off between detection speed and false ejections.
    #[serde(default)]
    pub bias: Bias,
    /// Requests that one endpoint processes concurrently, unless the endpoint sets its own number.
    pub slots: u32,
    /// Connections that one endpoint accepts.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Requests per second that an endpoint can serve while it is cold; 0 for no limit.
    #[serde(default)]
    pub cold_rate_per_s: f64,
    /// Time for which an endpoint is cold after its start, in milliseconds.
    #[serde(default)]
    pub warm_up_ms: u32,
}

fn default_connections() -> u32 {
    200
}

/// One upstream endpoint: one incarnation of an upstream process. A few seconds after the process has ended, its address
/// may belong to another endpoint of another service. A later incarnation may have the same `id`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Identity of the endpoint, which no other endpoint ever has.
    #[schemars(with = "String")]
    pub id: Name,
    /// IP address and TCP port.
    #[schemars(with = "String")]
    pub addr: SocketAddr,
    /// The failure domain that the endpoint runs in.
    #[schemars(with = "String")]
    pub failure_domain: Name,
    /// Requests that the endpoint processes concurrently; 0 for the number of its service.
    #[serde(default)]
    pub slots: u32,
    /// Whether the endpoint takes new requests.
    #[serde(default)]
    pub standing: Standing,
    /// Remaining warm-up time, counted from the endpoint's start, in milliseconds.
    #[serde(default)]
    pub warm_up_ms: u32,
    /// Start time of this incarnation in Unix milliseconds; 0 if unknown. Observations of an earlier incarnation do not
    /// apply to this one.
    #[serde(default)]
    pub started_ms: u64,
}

/// Whether an endpoint takes new requests, according to the registry.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// The endpoint takes requests.
    #[default]
    Present,
    /// The endpoint's entry is missing, perhaps only because the registry was unreachable. The endpoint is used as a
    /// last resort.
    Missing,
    /// The endpoint's failure domain is evacuated. The endpoint gets no requests until the evacuation ends.
    Evacuated,
    /// The endpoint is shutting down and takes no new requests.
    Leaving,
}

/// Floor of healthy capacity: a number of endpoints, or a percentage such as `"60%"`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(try_from = "FloorText", into = "FloorText")]
#[schemars(with = "FloorText")]
pub enum Floor {
    /// A number of endpoints.
    Count(u32),
    /// A percentage of the endpoints, rounded up.
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

/// Trade-off between detection speed and false ejections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Bias {
    /// Eject early; a false ejection costs little.
    Speed,
    /// A compromise between the other two.
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
    /// Path prefix of complete segments, starting with `/`. The longest matching prefix is used. A prefix that ends with
    /// `/` matches only paths below it.
    pub path: String,
    /// Methods to match in upper case; any method if empty.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Name of the service that gets the requests; empty if `split` lists several.
    #[serde(default)]
    #[schemars(with = "String")]
    pub service: Name,
    /// Services among which the requests are divided by weight.
    #[serde(default)]
    pub split: Vec<Share>,
    /// Time within which the answer must arrive, in milliseconds. A `stream` that has begun may outlast the deadline.
    pub deadline_ms: u32,
    /// Target latency in milliseconds: an answer within this time has the highest value to the caller. 0 for the
    /// deadline.
    #[serde(default)]
    pub objective_ms: u32,
    /// Largest number of endpoints that one request may be sent to.
    #[serde(default = "default_max_sends")]
    pub max_sends: u32,
    /// Whether and when a request may be sent again.
    pub repeat: Repeat,
    /// Whether a hedge, a second copy of the request, may be sent while the first one is late. Requires
    /// `repeat = "anytime"`.
    #[serde(default)]
    pub hedge: bool,
    /// Whether answers are long streams that may outlast the deadline once they have begun.
    #[serde(default)]
    pub stream: bool,
    /// Priority under overload; 0 is the highest.
    #[serde(default)]
    pub priority: Priority,
    /// Whether callers may omit the API key.
    #[serde(default)]
    pub public: bool,
    /// Regions whose endpoints may serve the route's requests; empty for all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[schemars(with = "Vec<String>")]
    pub regions: Vec<Name>,
    /// Whether the route's requests are refused because its published definition is invalid.
    #[serde(default, skip_serializing_if = "is_false")]
    pub suspended: bool,
}

fn is_false(it: &bool) -> bool {
    !it
}

fn default_max_sends() -> u32 {
    3
}

impl Route {
    /// Returns the services that requests of this route may be sent to, each with its weight.
    pub fn shares(&self) -> impl Iterator<Item = (&Name, u32)> {
        let single = self.split.is_empty().then_some((&self.service, 1));
        single.into_iter().chain(self.split.iter().map(|it| (&it.service, it.weight)))
    }

    /// Returns the target latency: `objective_ms`, or the deadline if that is 0.
    pub fn objective(&self) -> std::time::Duration {
        let ms = if self.objective_ms == 0 { self.deadline_ms } else { self.objective_ms };
        std::time::Duration::from_millis(ms.into())
    }
}

/// The share of a route's requests that one service gets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// Name of the service.
    #[schemars(with = "String")]
    pub service: Name,
    /// Size of the share relative to the other weights of the route.
    pub weight: u32,
}

/// Whether and when a request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// At any time: running the request twice does no harm.
    Anytime,
    /// Only if the earlier send provably did not run.
    IfNotRun,
    /// Never: the request is sent at most once.
    Never,
}

/// Priority of requests under overload; a lower number takes precedence.
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
#[serde(transparent)]
pub struct Priority(pub u8);

/// An organisation that callers belong to. Callers send one of its keys or, if access is open, its name in the
/// `x-organisation` header.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Unique name of the organisation.
    #[schemars(with = "String")]
    pub name: Name,
    /// Relative share of the capacity under overload; organisations that are not listed have a weight of 1.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// API keys of the organisation's callers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub keys: Vec<KeyDigest>,
    /// Requests per second that the organisation may send to the fleet as a whole; 0 for no limit.
    #[serde(default)]
    pub rate_per_s: f64,
    /// Requests beyond the rate that may be sent in a burst.
    #[serde(default)]
    pub burst: f64,
    /// Priority under overload, which takes precedence over the priority of routes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<Priority>,
    /// Regions whose endpoints may serve the organisation's requests; empty for all. Restrictions of routes apply too.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[schemars(with = "Vec<String>")]
    pub regions: Vec<Name>,
}

fn default_weight() -> u32 {
    1
}

/// Rate limit of an organisation for the fleet as a whole.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Requests per second.
    pub rate_per_s: f64,
    /// Requests beyond the rate that may be sent in a burst.
    pub burst: f64,
}

impl Organisation {
    /// Returns the organisation's rate limit; `None` if it has no limit.
    pub fn allowance(&self) -> Option<Allowance> {
        let Self { rate_per_s, burst, .. } = *self;
        (rate_per_s > 0.0).then_some(Allowance { rate_per_s, burst })
    }
}
