//! What a node reports about itself and the fleet as it sees it.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// One node's report.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
pub struct Report {
    /// Address of the node's exchange.
    pub node: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// `starting`, `ready` or `leaving`.
    pub phase: String,
    /// Why it is not ready; absent if it is.
    pub not_ready: Option<String>,
    /// The revision in force here.
    pub in_force: u64,
    /// The newest revision held here; it comes into force once enough nodes hold it.
    pub held: u64,
    /// Nodes known to hold that revision, and how many are needed.
    pub holders: usize,
    /// Holders needed before a revision is in force.
    pub holders_needed: usize,
    /// Why the newest revision that was seen is not accepted; absent if it is.
    pub rejected: Option<String>,
    /// Milliseconds since the list of VMs was read; absent if it never was.
    pub list_age_ms: Option<u64>,
    /// Milliseconds since the manifest was read from the platform; absent if it never was.
    pub manifest_age_ms: Option<u64>,
    /// Other nodes.
    pub members: Vec<MemberReport>,
    /// Services.
    pub services: Vec<ServiceReport>,
    /// Bytes of the exchange sent and received since the start.
    pub control_bytes: u64,
    /// Frames and bytes about slots since the start.
    pub permit_frames: u64,
    /// Bytes about slots since the start.
    pub permit_bytes: u64,
    /// Frames dropped as forged, malformed, foreign or unlisted since the start.
    pub frames_dropped: u64,
    /// Exchange rounds put off by the byte budget since the start.
    pub rounds_delayed: u64,
    /// Slots picked by this node alone because no dispatching node answered.
    pub direct_slots: u64,
}

/// Another node, as this one last heard of it.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
pub struct MemberReport {
    /// Address of its exchange.
    pub node: String,
    /// `starting`, `ready` or `leaving`.
    pub phase: String,
    /// The revision in force there.
    pub in_force: u64,
    /// The newest revision held there.
    pub held: u64,
    /// Milliseconds since it was heard of.
    pub heard_ms: u64,
}

/// One service.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
pub struct ServiceReport {
    /// Its name.
    pub name: String,
    /// Endpoints that ejections never go below.
    pub floor: usize,
    /// Endpoints in rotation with fresh proof of health.
    pub healthy: usize,
    /// Requests that wait for a slot at this node.
    pub queued: usize,
    /// Path, shared and reporter faults that ejected nobody.
    pub excused: [u64; 3],
    /// Its endpoints.
    pub endpoints: Vec<EndpointReport>,
}

/// One endpoint.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
pub struct EndpointReport {
    /// IP address and port.
    pub addr: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// `unknown`, `healthy`, `suspect`, `ramping`, `ejected`, `trial` or `leaving`.
    pub state: String,
    /// Milliseconds in that state.
    pub since_ms: u64,
    /// Score of the sequential test.
    pub score: f64,
    /// Slots in use, as counted here.
    pub in_use: u32,
    /// Whether this node dispatches the endpoint for its failure domain.
    pub dispatched_here: bool,
}
