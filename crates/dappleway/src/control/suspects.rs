//! Requests under which endpoints end: who is told of a crash, and of a request that is sent no more.

use std::time::Duration;

use fleet::{Directory, PermitMessage, Place};
use policy::{EndpointStatus, Kind, NodeId, RunEnd, Time};
use slog::warn;

use super::{Control, Nodes, OpenPermit, SUCCESSORS};
use crate::services::{Ticked, name_hash};

impl Control {
    /// Tells those that may hand out slots for the request next how it ended: whoever grants, at whichever of the
    /// route's services, counts the same crashes.
    pub(super) fn tell_run(&mut self, now: Time, open: &OpenPermit, kind: Kind, elapsed: Duration) {
        let end = match kind {
            Kind::Crashed if self.is_expected(open) => RunEnd::Crashed,
            Kind::Answered if open.is_watched => RunEnd::Answered,
            Kind::Answered => {
                self.note_answered(now, open);
                return;
            }
            _ => return,
        };
        let request = open.sent.request;
        let services: Vec<u64> = open.sent.route.shares().map(|(it, _)| name_hash(it)).collect();
        for service in services {
            let directory = Nodes::new(now, self.me, &self.topology, &self.exchange);
            let next = directory.candidates(service).into_iter().take(SUCCESSORS + 1);
            let next: Vec<NodeId> = next.filter(|it| *it != self.me.node).collect();
            // Who granted the slot learns of it when the slot goes back.
            let grantor = (service == open.service).then_some(open.place);
            for node in next.into_iter().filter(|it| grantor != Some(Place::Peer(*it))) {
                let message = PermitMessage::RunEnded { service, request, end, elapsed };
                self.send_to(now, node, message);
            }
            let Some(state) = self.services.get_mut(service) else { continue };
            if grantor != Some(Place::Direct) {
                state.direct.run_ended(now, request, end, elapsed);
            }
            if grantor != Some(Place::Own) {
                state.own.iter_mut().for_each(|it| it.run_ended(now, request, end, elapsed));
            }
        }
    }

    /// What this node has seen answered is above suspicion when it picks for itself.
    fn note_answered(&mut self, now: Time, open: &OpenPermit) {
        if let Some(state) = self.services.get_mut(open.service)
            && open.place != Place::Direct
        {
            state.direct.run_ended(now, open.sent.request, RunEnd::Answered, Duration::ZERO);
        }
    }

    /// Whether the endpoint is known here and to be there.
    fn is_expected(&self, open: &OpenPermit) -> bool {
        let is_it = |it: &&EndpointStatus| it.id == open.endpoint;
        let endpoints = self.services.get(open.service).map(|it| it.direct.endpoints());
        let found = endpoints.and_then(|all| all.iter().find(is_it));
        found.is_some_and(EndpointStatus::is_expected)
    }

    /// Tells every node of the requests that a dispatcher of this one has come to reject.
    pub(super) fn tell_rejections(&mut self, now: Time, ticked: &mut Ticked) {
        let rejections = std::mem::take(&mut ticked.rejections);
        for it in &rejections {
            warn!(self.log, "request rejected: endpoints crash under it";
                "content" => format!("{:016x}", it.request.0), "valid_ms" => it.valid_ms);
            self.services.reject(now, *it);
        }
        let effects = self.exchange.announce_rejections(now, rejections);
        self.apply(now, effects);
    }
}
