//! A node's report about itself and its view of the fleet.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Report of one node.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
pub struct Report {
    /// Address at which the node exchanges frames with other nodes.
    pub node: String,
    /// The node's failure domain.
    pub failure_domain: String,
    /// `starting`, `fresh`, `ready` or `leaving`.
    pub phase: String,
    /// Why the node is not ready; absent if it is ready.
    pub not_ready: Option<String>,
    /// Whether the node reaches no endpoint itself and sends requests through other nodes.
    #[serde(default)]
    pub is_cut_off: bool,
    /// Version of the configuration in force at this node; 0 for none.
    pub in_force: u64,
    /// The latest era of the platform that this node knows. The platform begins a new era each time it is restored from
    /// an older copy.
    pub registry_era: u32,
    /// Revision, within that era, of the latest change of endpoints that this node knows.
    pub registry_revision: u64,
    /// Whether this node is the reader of the platform for its failure domain.
    pub reads_platform: bool,
    /// Whether the node's data was recently confirmed as fresh by the platform or a node that reads it.
    pub is_fresh: bool,
    /// Calls to the platform since the node's start.
    pub platform_calls: u64,
    /// Why the newest known configuration was refused; absent if it was accepted.
    pub rejected: Option<String>,
    /// Invalid parts that were left out of the configuration in force, one line each.
    #[serde(default)]
    pub left_out: Vec<String>,
    /// The other nodes of the fleet.
    pub members: Vec<MemberReport>,
    /// The services in force.
    pub services: Vec<ServiceReport>,
    /// Organisations with a rate limit, those refused most often by this node's buckets first. The list is truncated if
    /// there are many.
    pub organisations: Vec<OrganisationReport>,
    /// Bytes sent and received in the exchange between nodes since the start.
    pub control_bytes: u64,
    /// Frames about slots since the start.
    pub permit_frames: u64,
    /// Bytes about slots since the start.
    pub permit_bytes: u64,
    /// Frames dropped since the start because they were forged or malformed.
    pub frames_dropped: u64,
    /// Exchange rounds delayed by the byte budget since the start.
    pub rounds_delayed: u64,
    /// Slots that this node chose by itself because no dispatching node answered.
    pub direct_slots: u64,
    /// Requests of this node that were sent on to the dispatching node of another failure domain, by reason.
    #[serde(default)]
    pub redirects: BTreeMap<String, u64>,
    /// Frames about slots and allowances sent to nodes of other failure domains since the start.
    #[serde(default)]
    pub far_slot_frames: u64,
    /// Their bytes.
    #[serde(default)]
    pub far_slot_bytes: u64,
    /// Other frames sent to nodes of other failure domains since the start.
    #[serde(default)]
    pub far_control_frames: u64,
    /// Their bytes.
    #[serde(default)]
    pub far_control_bytes: u64,
}

/// Last received state of another node.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
pub struct MemberReport {
    /// Address at which the node exchanges frames with other nodes.
    pub node: String,
    /// `starting`, `ready` or `leaving`.
    pub phase: String,
    /// Version of the configuration in force at that node.
    pub in_force: u64,
    /// The latest era of the platform that the node knows.
    pub registry_era: u32,
    /// Revision, within that era, of the latest change of endpoints that the node knows.
    pub registry_revision: u64,
    /// Milliseconds since the node was last seen.
    pub heard_ms: u64,
}

/// A service and its endpoints.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
pub struct ServiceReport {
    /// Name of the service.
    pub name: String,
    /// Number of healthy endpoints that ejections never go below.
    pub floor: usize,
    /// Number of endpoints in rotation that were recently confirmed as healthy.
    pub healthy: usize,
    /// Requests that are waiting for a slot at this node.
    pub queued: usize,
    /// Address of the node that hands out the service's slots, as this node sees it. That node's report about the
    /// endpoints is authoritative.
    pub dispatched_by: Option<String>,
    /// Whether each failure domain has a dispatching node of its own; otherwise one node dispatches for all.
    #[serde(default)]
    pub by_failure_domain: bool,
    /// Demand and capacity by failure domain, as far as this node knows them, if there are several.
    #[serde(default)]
    pub failure_domains: Vec<DomainReport>,
    /// Slots that requests of this node were granted in its own failure domain.
    #[serde(default)]
    pub near_sends: u64,
    /// Slots that requests of this node were granted in other failure domains.
    #[serde(default)]
    pub far_sends: u64,
    /// Numbers of failures attributed to the network path, to a shared cause and to the reporting node, none of which
    /// ejected an endpoint.
    pub excused: [u64; 3],
    /// The service's endpoints.
    pub endpoints: Vec<EndpointReport>,
}

/// Load of a service in one failure domain.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
pub struct DomainReport {
    /// Name of the failure domain.
    pub name: String,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Address of the node that hands out the slots of these endpoints, as this node sees it.
    pub dispatched_by: Option<String>,
    /// Latest known load; absent if this node neither dispatches the service nor heard of its load in the last second.
    pub load: Option<LoadReport>,
}

/// Demand and capacity of a service in one failure domain.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, JsonSchema)]
pub struct LoadReport {
    /// Slots that may be used now.
    pub usable: f32,
    /// Slots in use.
    pub in_use: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Requests served in the last seconds; older ones count less.
    pub served: f32,
    /// Requests not served in the last seconds; older ones count less.
    pub unserved: f32,
}

/// An organisation with a rate limit.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
pub struct OrganisationReport {
    /// Name of the organisation.
    pub name: String,
    /// Requests per second that the organisation may send to the fleet.
    pub rate_per_s: f64,
    /// Requests beyond the rate that may be sent in a burst.
    pub burst: f64,
    /// Address of the node that owns the organisation's bucket, as this node sees it. That node's figures are
    /// authoritative.
    pub owned_by: Option<String>,
    /// Requests that the bucket would grant now; absent if this node was not asked recently.
    pub left: Option<f64>,
    /// Requests that this node has granted as the bucket's owner.
    pub granted: u64,
    /// Requests that this node has refused as the bucket's owner.
    pub refused: u64,
}

/// The state of an endpoint as this node sees it.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
pub struct EndpointReport {
    /// Id of the endpoint.
    pub id: String,
    /// IP address and port.
    pub addr: String,
    /// The endpoint's failure domain.
    pub failure_domain: String,
    /// `unknown`, `healthy`, `suspect`, `ramping`, `ejected`, `trial` or `leaving`.
    pub state: String,
    /// Milliseconds since the endpoint entered this state.
    pub since_ms: u64,
    /// Score of the sequential test that detects outliers.
    pub score: f64,
    /// Probability that the endpoint is unhealthy, given the outcomes of the last seconds.
    pub sick: f64,
    /// How the endpoint is used at this probability: `freely`, `singly`, `cautiously` or `last`.
    pub used: String,
    /// Milliseconds since the endpoint's last failure; absent if no failure is known.
    pub failed_ms: Option<u64>,
    /// Advertised limit in requests per second from all nodes together; absent if the endpoint advertises none.
    pub limit_per_s: Option<f64>,
    /// Slots in use, as counted by this node.
    pub in_use: u32,
    /// Whether this node dispatches requests to the endpoint for the fleet.
    pub dispatched_here: bool,
}
