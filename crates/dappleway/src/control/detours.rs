//! Connections to endpoints that lead through another node: which nodes this node asks, and which
//! endpoints it connects others to.

use std::net::SocketAddr;
use std::time::Duration;

use caller::DetourRequest;
use fleet::{Features, Phase, TunnelError, TunnelRefusal, TunnelTarget};
use policy::{DetourEnds, DetourNode, NodeId, Time, choose_detours};
use resources::Standing;
use rustc_hash::FxHashMap;
use slog::{info, warn};

use super::Control;
use crate::services::name_hash;

/// How long a node that opened no tunnel is not asked again.
const PASS_OVER_TIME: Duration = Duration::from_secs(2);

/// State of this node's detours.
#[derive(Debug, Default)]
pub(super) struct Detours {
    /// Nodes that opened no tunnel, and when.
    failed: FxHashMap<NodeId, Time>,
    /// Since when this node reaches no endpoint.
    cut_off_since: Option<Time>,
}

impl Control {
    /// The nodes to ask for a connection to an endpoint, best first. The request must not leave the regions
    /// that it is restricted to, not even on its way.
    pub(super) fn choose_detours(
        &mut self,
        now: Time,
        request: &DetourRequest,
    ) -> Vec<(NodeId, SocketAddr)> {
        let only = request.regions.as_ref().map(|it| self.topology.domains_in(it));
        let failed = &mut self.detours.failed;
        failed.retain(|_, at| now.since(*at) < PASS_OVER_TIME);
        let members = self.exchange.members();
        let takes_tunnels = |features: Features| {
            features.contains(Features::TUNNELS) && !features.contains(Features::CUT_OFF)
        };
        let nodes = members
            .alive(now, fleet::ROUND)
            .filter(|(node, it)| takes_tunnels(it.info.features) && !failed.contains_key(node));
        let nodes =
            nodes.map(|(node, it)| DetourNode { node, failure_domain: it.info.failure_domain });
        let may_pass =
            |it: &DetourNode| only.as_ref().is_none_or(|only| only.contains(&it.failure_domain));
        let nodes = nodes.filter(may_pass);
        let state = self.services.get(name_hash(&request.service));
        let to = state.and_then(|it| it.failure_domain_of(&request.grant.endpoint));
        let ends = DetourEnds { from: self.me.failure_domain, to };
        let chosen = choose_detours(ends, &self.topology, nodes, &mut self.rng);
        let addr = |node| members.get(node).map(|it| (node, it.info.addr));
        chosen.into_iter().filter_map(addr).collect()
    }

    /// Records that a node opened no tunnel, for a reason that is not about the endpoint.
    pub(super) fn handle_detour_failure(&mut self, now: Time, node: NodeId, error: &TunnelError) {
        self.detours.failed.insert(node, now);
        let peer = self.exchange.members().get(node).map(|it| it.info.addr.to_string());
        info!(self.log, "no way through another node"; "peer" => peer.unwrap_or_default(),
            "error" => %error);
    }

    /// The address of an endpoint that a peer asks for a connection to.
    pub(super) fn tunnel_target(
        &self,
        now: Time,
        target: &TunnelTarget,
    ) -> Result<SocketAddr, TunnelRefusal> {
        if self.draining || self.exchange.phase() == Phase::Starting {
            return Err(TunnelRefusal::Busy);
        }
        let state = self.services.get(target.service).ok_or(TunnelRefusal::Unknown)?;
        let found = state.service.endpoints.iter().find(|it| it.id == target.endpoint);
        let endpoint = found.ok_or(TunnelRefusal::Unknown)?;
        let TunnelTarget { endpoint: id, started_ms, .. } = target;
        let takes_requests = matches!(endpoint.standing, Standing::Present | Standing::Missing)
            && !state.direct.is_closed(now, self.me.node, id, *started_ms);
        match (endpoint.started_ms == *started_ms, takes_requests) {
            (false, _) => Err(TunnelRefusal::Unknown),
            (true, false) => Err(TunnelRefusal::Closed),
            (true, true) => Ok(endpoint.addr),
        }
    }

    /// Announces to the other nodes whether this node reaches endpoints.
    pub(super) fn set_cut_off(&mut self, now: Time, is_cut_off: bool) {
        let features = self.exchange.info().features;
        let (features, since) = match is_cut_off {
            true => (features.with(Features::CUT_OFF), Some(now)),
            false => (features.without(Features::CUT_OFF), None),
        };
        match (self.detours.cut_off_since, since) {
            (None, Some(_)) => {
                warn!(self.log, "no endpoint can be reached: requests are sent through other nodes")
            }
            (Some(before), None) => info!(self.log, "endpoints can be reached again";
                "ms" => now.since(before).as_millis() as u64),
            _ => return,
        }
        self.detours.cut_off_since = since;
        self.metrics.set_cut_off(is_cut_off);
        let effects = self.exchange.set_features(features);
        self.apply_effects(now, effects);
    }

    /// Whether this node reaches no endpoint itself.
    pub(super) fn is_cut_off(&self) -> bool {
        self.detours.cut_off_since.is_some()
    }
}
