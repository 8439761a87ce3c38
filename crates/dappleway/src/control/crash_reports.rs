//! Requests that crash endpoints. Crashes are reported to the nodes that may hand out slots for the same request
//! next, and rejections of such requests are sent to all nodes.

use std::time::Duration;

use fleet::{Directory, PermitMessage, Place};
use policy::{EndpointStatus, Kind, NodeId, RunEnd, Time};
use slog::warn;

use super::{Control, NOTIFIED_SUCCESSORS, OpenPermit, ServingNodes};
use crate::services::{ServiceState, TickOutput, name_hash};

impl Control {
    /// Reports how a request ended to the dispatchers of all services of its route and to their successors, so
    /// that all of them count the same crashes.
    pub(super) fn report_run_end(
        &mut self,
        now: Time,
        open: &OpenPermit,
        kind: Kind,
        elapsed: Duration,
    ) {
        let end = match kind {
            Kind::Crashed if self.is_endpoint_expected(open) => RunEnd::Crashed,
            Kind::Answered if open.is_watched => RunEnd::Answered,
            Kind::Answered => {
                self.record_answered(now, open);
                return;
            }
            _ => return,
        };
        let request = open.request.key;
        let services: Vec<u64> = open.request.route.shares().map(|(it, _)| name_hash(it)).collect();
        for service in services {
            let directory = ServingNodes::new(now, self.me, &self.topology, &self.exchange);
            let nodes = self.run_end_receivers(service, &directory);
            // The dispatcher that granted the slot learns the outcome when the slot is released.
            let granted_by = (service == open.service).then_some(open.place);
            for node in nodes.into_iter().filter(|it| granted_by != Some(Place::Peer(*it))) {
                let message = PermitMessage::RunEnded { service, request, end, elapsed };
                self.send_permit_message(now, node, message);
            }
            let Some(state) = self.services.get_mut(service) else { continue };
            if granted_by != Some(Place::Direct) {
                state.direct.run_ended(now, request, end, elapsed);
            }
            for (domain, it) in &mut state.fleet {
                if granted_by != Some(Place::Own(*domain)) {
                    it.run_ended(now, request, end, elapsed);
                }
            }
        }
    }

    /// The nodes that may grant a slot for a later send of a request: the caller may repeat the request at any node,
    /// so these are the dispatching nodes of all failure domains, with their successors.
    fn run_end_receivers(&self, service: u64, directory: &impl Directory) -> Vec<NodeId> {
        let by_domain = self.services.get(service).and_then(ServiceState::dispatch_domains);
        let domains: Vec<Option<u64>> =
            by_domain.map_or(vec![None], |it| it.hashes().map(Some).collect());
        let mut nodes: Vec<NodeId> = Vec::new();
        for domain in domains {
            let candidates = directory.candidates(service, domain).into_iter();
            for it in candidates.take(NOTIFIED_SUCCESSORS + 1) {
                if it != self.me.node && !nodes.contains(&it) {
                    nodes.push(it);
                }
            }
        }
        nodes
    }

    /// Records for this node's direct dispatcher that the request was answered, and so does not crash endpoints.
    fn record_answered(&mut self, now: Time, open: &OpenPermit) {
        if let Some(state) = self.services.get_mut(open.service)
            && open.place != Place::Direct
        {
            state.direct.run_ended(now, open.request.key, RunEnd::Answered, Duration::ZERO);
        }
    }

    /// Whether the endpoint is known to this node and expected to be running.
    fn is_endpoint_expected(&self, open: &OpenPermit) -> bool {
        let is_same = |it: &&EndpointStatus| it.id == open.endpoint;
        let endpoints = self.services.get(open.service).map(|it| it.direct.endpoints());
        let found = endpoints.and_then(|all| all.iter().find(is_same));
        found.is_some_and(EndpointStatus::is_expected)
    }

    /// Sends the requests that a dispatcher of this node has started to reject to all nodes.
    pub(super) fn broadcast_rejections(&mut self, now: Time, output: &mut TickOutput) {
        let rejections = std::mem::take(&mut output.rejections);
        for it in &rejections {
            warn!(self.log, "request rejected: endpoints crash under it";
                "content" => format!("{:016x}", it.request.0), "valid_ms" => it.valid_ms);
            self.services.reject(now, *it);
        }
        let effects = self.exchange.announce_rejections(now, rejections);
        self.apply_effects(now, effects);
    }
}
