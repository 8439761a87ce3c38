//! The fleet report that the operator API serves.

use fleet::{Directory, Phase, Reads};
use operator::{DomainReport, EndpointReport, LoadReport, MemberReport, Report, ServiceReport};
use policy::{Dispatcher, DomainLoad, NodeId, RateLimit, Time};
use resources::Name;

use super::{Control, ServingNodes};
use crate::services::{ServiceState, name_hash};

impl Control {
    /// Builds the report of the fleet as this node sees it.
    pub(super) fn report(&self, now: Time) -> Report {
        let replica = self.exchange.replica();
        let versions = replica.versions();
        let counts = self.transport.counts();
        Report {
            node: self.node_addr.to_string(),
            failure_domain: self.failure_domain.clone(),
            phase: phase_name(self.exchange.phase()).to_owned(),
            not_ready: self.not_ready(),
            is_cut_off: self.is_cut_off(),
            in_force: versions.config,
            registry_era: versions.registry.era,
            registry_revision: versions.registry.revision,
            reads_platform: self.exchange.reader_election().reads(now) == Reads::Everything,
            is_fresh: self.exchange.reader_election().is_fresh(now),
            platform_calls: self.platform_calls,
            left_out: replica.document().map(|it| it.left_out.clone()).unwrap_or_default(),
            rejected: self
                .rejected_config
                .as_ref()
                .map(|it| format!("version {}: {}", it.version, it.reason)),
            members: self.member_reports(now),
            services: self.services.iter().map(|it| self.service_report(now, it)).collect(),
            organisations: self.organisation_reports(),
            control_bytes: counts.control_in + counts.control_out,
            permit_frames: counts.permit_frames,
            permit_bytes: counts.permit_bytes,
            frames_dropped: counts.dropped,
            rounds_delayed: self.exchange.delayed,
            direct_slots: self.client.direct,
            redirects: self
                .client
                .redirects
                .by_reason()
                .map(|(reason, count)| (reason.name().to_owned(), count))
                .collect(),
            far_slot_frames: self.far_traffic.slots.frames,
            far_slot_bytes: self.far_traffic.slots.bytes,
            far_control_frames: self.far_traffic.control.frames,
            far_control_bytes: self.far_traffic.control.bytes,
        }
    }

    /// Why this node should get no traffic; `None` if it should.
    pub(super) fn not_ready(&self) -> Option<String> {
        if self.draining {
            return Some("a planned stop is under way: requests in flight end first".to_owned());
        }
        if self.exchange.replica().versions().config > 0 {
            return None;
        }
        Some(match (&self.rejected_config, &self.unreadable_reason) {
            (Some(it), _) => format!("version {} was rejected: {}", it.version, it.reason),
            (None, Some(reason)) => reason.clone(),
            (None, None) => {
                "no configuration is known: check `platform.addr` and `fleet.seeds`".to_owned()
            }
        })
    }

    fn member_reports(&self, now: Time) -> Vec<MemberReport> {
        let members = self.exchange.members().iter().map(|(_, it)| MemberReport {
            node: it.info.addr.to_string(),
            phase: phase_name(it.info.phase).to_owned(),
            in_force: it.info.versions.config,
            registry_era: it.info.versions.registry.era,
            registry_revision: it.info.versions.registry.revision,
            heard_ms: now.since(it.last_seen).as_millis() as u64,
        });
        let mut members: Vec<_> = members.collect();
        members.sort_by(|a, b| a.node.cmp(&b.node));
        members
    }

    fn service_report(&self, now: Time, it: &ServiceState) -> ServiceReport {
        let total = it.service.endpoints.len();
        let excused = it.fleet.values().fold(it.direct.faults_excused(), |sum, fleet| {
            let fleet = fleet.faults_excused();
            std::array::from_fn(|i| sum[i] + fleet[i])
        });
        let queued = it.direct.queued() + it.fleet.values().map(Dispatcher::queued).sum::<usize>();
        ServiceReport {
            name: it.service.name.to_string(),
            floor: it.service.floor.endpoints(total),
            healthy: it.direct.rotation().recently_healthy(now),
            queued,
            dispatched_by: self.dispatched_by(now, &it.service.name),
            by_failure_domain: it.dispatch_domains().is_some(),
            failure_domains: self.domain_reports(now, it),
            near_sends: it.sends.near,
            far_sends: it.sends.far,
            excused,
            endpoints: it
                .endpoint_views(now)
                .map(|(dispatcher, i)| {
                    let dispatched_here = !std::ptr::eq(dispatcher, &it.direct);
                    endpoint_report(now, dispatcher, i, dispatched_here)
                })
                .collect(),
        }
    }

    /// Demand and capacity of a service by failure domain, if it has endpoints in several of them.
    fn domain_reports(&self, now: Time, it: &ServiceState) -> Vec<DomainReport> {
        if it.domains().hashes().count() < 2 {
            return Vec::new();
        }
        let is_by_domain = it.dispatch_domains().is_some();
        let directory = ServingNodes::new(now, self.me, &self.topology, &self.exchange);
        let service = name_hash(&it.service.name);
        let loads = it.known_loads(now);
        let report = |(hash, name, endpoints): (u64, &Name, usize)| {
            let nodes = directory.candidates(service, is_by_domain.then_some(hash));
            DomainReport {
                name: name.to_string(),
                endpoints,
                dispatched_by: nodes.first().map(|it| self.addr_of(*it)),
                load: loads.iter().find(|it| it.failure_domain == hash).map(load_report),
            }
        };
        it.domains().iter().map(report).collect()
    }

    /// Address of the node that this node asks for slots of a service.
    fn dispatched_by(&self, now: Time, service: &str) -> Option<String> {
        let directory = ServingNodes::new(now, self.me, &self.topology, &self.exchange);
        let service = name_hash(service);
        let state = self.services.get(service);
        let failure_domain = state.and_then(|it| self.home_domain(it, self.me, None));
        let node = directory.candidates(service, failure_domain).into_iter().next()?;
        Some(self.addr_of(node))
    }

    /// Exchange address of a node; this node's own address if the node is not a known member.
    pub(super) fn addr_of(&self, node: NodeId) -> String {
        let member = self.exchange.members().get(node);
        member.map_or(self.node_addr, |it| it.info.addr).to_string()
    }
}

fn load_report(it: &DomainLoad) -> LoadReport {
    let DomainLoad { usable, in_use, queued, served, unserved, .. } = *it;
    LoadReport { usable, in_use, queued, served, unserved }
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Starting => "starting",
        Phase::Fresh => "fresh",
        Phase::Ready => "ready",
        Phase::Leaving => "leaving",
    }
}

/// Reports on an endpoint from the view of the active dispatcher of its service on this node.
fn endpoint_report(
    now: Time,
    dispatcher: &Dispatcher,
    i: usize,
    dispatched_here: bool,
) -> EndpointReport {
    let status = &dispatcher.endpoints()[i];
    let evidence = dispatcher.evidence_of(now, i);
    EndpointReport {
        id: status.id.to_string(),
        addr: status.addr.to_string(),
        failure_domain: status.failure_domain.to_string(),
        state: status.state.name().to_owned(),
        since_ms: now.since(status.since).as_millis() as u64,
        score: evidence.score,
        sick: evidence.p_unhealthy,
        used: evidence.usage.to_owned(),
        failed_ms: evidence.since_failure.map(|it| it.as_millis() as u64),
        limit_per_s: evidence.rate_limit.map(RateLimit::per_second),
        in_use: evidence.in_use,
        dispatched_here,
    }
}
