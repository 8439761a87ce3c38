//! The report of the control thread.

use fleet::{Directory, Phase, Reads};
use operator::{EndpointReport, MemberReport, Report, ServiceReport};
use policy::{Dispatcher, NodeId, RateLimit, Time};

use super::{Control, Nodes};
use crate::services::{ServiceState, name_hash};

impl Control {
    /// The fleet as this node sees it now.
    pub(super) fn report(&self, now: Time) -> Report {
        let replica = self.exchange.replica();
        let facts = replica.facts();
        let counts = self.edge.counts();
        Report {
            node: self.node_addr.to_string(),
            failure_domain: self.failure_domain.clone(),
            phase: phase_name(self.exchange.phase()).to_owned(),
            not_ready: self.not_ready(),
            in_force: facts.version,
            registry_era: facts.registry.era,
            registry_revision: facts.registry.revision,
            reads_platform: self.exchange.duty().reads(now) == Reads::Everything,
            is_fresh: self.exchange.duty().is_fresh(now),
            platform_calls: self.platform_calls,
            left_out: replica.document().map(|it| it.left_out.clone()).unwrap_or_default(),
            rejected: self
                .rejected
                .as_ref()
                .map(|it| format!("version {}: {}", it.version, it.reason)),
            members: self.members(now),
            services: self.services.iter().map(|it| self.service(now, it)).collect(),
            organisations: self.organisations(),
            control_bytes: counts.control_in + counts.control_out,
            permit_frames: counts.permit_frames,
            permit_bytes: counts.permit_bytes,
            frames_dropped: counts.dropped,
            rounds_delayed: self.exchange.delayed,
            direct_slots: self.client.direct,
        }
    }

    /// Why this node should get no traffic; nothing if it should.
    pub(super) fn not_ready(&self) -> Option<String> {
        if self.draining {
            return Some("a planned stop is under way: requests in flight end first".to_owned());
        }
        if self.exchange.replica().facts().version > 0 {
            return None;
        }
        Some(match (&self.rejected, &self.unreadable) {
            (Some(it), _) => format!("version {} was rejected: {}", it.version, it.reason),
            (None, Some(reason)) => reason.clone(),
            (None, None) => {
                "no configuration is known: check `platform.addr` and `fleet.seeds`".to_owned()
            }
        })
    }

    fn members(&self, now: Time) -> Vec<MemberReport> {
        let members = self.exchange.members().iter().map(|(_, it)| MemberReport {
            node: it.info.addr.to_string(),
            phase: phase_name(it.info.phase).to_owned(),
            in_force: it.info.facts.version,
            registry_era: it.info.facts.registry.era,
            registry_revision: it.info.facts.registry.revision,
            heard_ms: now.since(it.heard).as_millis() as u64,
        });
        let mut members: Vec<_> = members.collect();
        members.sort_by(|a, b| a.node.cmp(&b.node));
        members
    }

    fn service(&self, now: Time, it: &ServiceState) -> ServiceReport {
        let total = it.service.endpoints.len();
        let excused = it.own.iter().fold(it.direct.faults_excused(), |sum, own| {
            let own = own.faults_excused();
            std::array::from_fn(|i| sum[i] + own[i])
        });
        let queued = it.direct.queued() + it.own.iter().map(Dispatcher::queued).sum::<usize>();
        ServiceReport {
            name: it.service.name.to_string(),
            floor: it.service.floor.endpoints(total),
            healthy: it.direct.rotation().recently_healthy(now),
            queued,
            dispatched_by: self.dispatched_by(now, &it.service.name),
            excused,
            endpoints: (0..total).map(|i| endpoint(now, it, i)).collect(),
        }
    }

    /// Address of the node that hands out the slots of a service, as this node sees it.
    fn dispatched_by(&self, now: Time, service: &str) -> Option<String> {
        let directory = Nodes::new(now, self.me, &self.topology, &self.exchange);
        let node = directory.candidates(name_hash(service)).into_iter().next()?;
        Some(self.addr_of(node))
    }

    /// Address of the exchange of a node that is known here.
    pub(super) fn addr_of(&self, node: NodeId) -> String {
        let member = self.exchange.members().get(node);
        member.map_or(self.node_addr, |it| it.info.addr).to_string()
    }
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Starting => "starting",
        Phase::Fresh => "fresh",
        Phase::Ready => "ready",
        Phase::Leaving => "leaving",
    }
}

/// An endpoint as the dispatcher sees it that hands out its slots: the own one if there is one.
fn endpoint(now: Time, service: &ServiceState, i: usize) -> EndpointReport {
    let dispatcher = service.dispatcher();
    let status = &dispatcher.endpoints()[i];
    let evidence = dispatcher.evidence_of(now, i);
    EndpointReport {
        id: status.id.to_string(),
        addr: status.addr.to_string(),
        failure_domain: status.failure_domain.to_string(),
        state: status.state.name().to_owned(),
        since_ms: now.since(status.since).as_millis() as u64,
        score: evidence.score,
        sick: evidence.sick,
        used: evidence.used.to_owned(),
        failed_ms: evidence.since_failure.map(|it| it.as_millis() as u64),
        limit_per_s: evidence.rate_limit.map(RateLimit::per_second),
        in_use: evidence.in_use,
        dispatched_here: service.own.is_some(),
    }
}
