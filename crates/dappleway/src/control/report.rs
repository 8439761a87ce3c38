//! The report of the control thread.

use fleet::Phase;
use operator::{EndpointReport, MemberReport, Report, ServiceReport};
use policy::{Dispatcher, Time};

use super::Control;
use crate::services::{ServiceState, name_hash};

impl Control {
    /// The fleet as this node sees it now.
    pub(super) fn report(&self, now: Time) -> Report {
        let facts = self.exchange.revisions.facts();
        let counts = self.edge.counts();
        Report {
            node: self.node_addr.to_string(),
            failure_domain: self.failure_domain.clone(),
            phase: phase_name(self.exchange.phase()).to_owned(),
            not_ready: self.not_ready(),
            in_force: facts.in_force,
            held: facts.held.revision,
            holders: self.exchange.revisions.holders(facts.held.revision),
            holders_needed: self.exchange.revisions.rule().holders,
            rejected: self
                .rejected
                .as_ref()
                .map(|it| format!("revision {}: {}", it.revision, it.reason)),
            list_age_ms: self.exchange.list_age(now).map(|it| it.as_millis() as u64),
            manifest_age_ms: self.manifest_read.map(|it| now.since(it).as_millis() as u64),
            members: self.members(now),
            services: self.services.iter().map(|it| service(now, it)).collect(),
            control_bytes: counts.control_in + counts.control_out,
            permit_frames: counts.permit_frames,
            permit_bytes: counts.permit_bytes,
            frames_dropped: counts.dropped + self.exchange.unlisted,
            rounds_delayed: self.exchange.delayed,
            direct_slots: self.client.direct,
        }
    }

    /// Why this node should get no traffic; nothing if it should.
    pub(super) fn not_ready(&self) -> Option<String> {
        if self.draining {
            return Some("a planned stop is under way: requests in flight end first".to_owned());
        }
        let reason = self.exchange.revisions.readiness().err()?;
        Some(match &self.rejected {
            Some(it) => format!("{reason}; revision {} was rejected: {}", it.revision, it.reason),
            None => reason.to_string(),
        })
    }

    fn members(&self, now: Time) -> Vec<MemberReport> {
        let members = self.exchange.members().iter().map(|(_, it)| MemberReport {
            node: it.info.addr.to_string(),
            phase: phase_name(it.info.phase).to_owned(),
            in_force: it.info.facts.in_force,
            held: it.info.facts.held.revision,
            heard_ms: now.since(it.heard).as_millis() as u64,
        });
        let mut members: Vec<_> = members.collect();
        members.sort_by(|a, b| a.node.cmp(&b.node));
        members
    }
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Starting => "starting",
        Phase::Ready => "ready",
        Phase::Leaving => "leaving",
    }
}

fn service(now: Time, it: &ServiceState) -> ServiceReport {
    let total = it.service.endpoints.len();
    let excused = it.own.values().fold(it.direct.faults_excused(), |sum, own| {
        let own = own.faults_excused();
        std::array::from_fn(|i| sum[i] + own[i])
    });
    let queued = it.direct.queued() + it.own.values().map(Dispatcher::queued).sum::<usize>();
    ServiceReport {
        name: it.service.name.to_string(),
        floor: it.service.floor.endpoints(total),
        healthy: it.direct.rotation().proven(now),
        queued,
        excused,
        endpoints: (0..total).map(|i| endpoint(now, it, i)).collect(),
    }
}

/// An endpoint as the dispatcher sees it that hands out its slots: the own one if there is one.
fn endpoint(now: Time, service: &ServiceState, i: usize) -> EndpointReport {
    let domain = name_hash(&service.service.endpoints[i].failure_domain);
    let own = service.own.get(&domain);
    let dispatcher = own.unwrap_or(&service.direct);
    let status = &dispatcher.endpoints()[i];
    let (score, in_use) = dispatcher.evidence_of(i);
    EndpointReport {
        addr: status.addr.to_string(),
        failure_domain: status.failure_domain.to_string(),
        state: status.state.name().to_owned(),
        since_ms: now.since(status.since).as_millis() as u64,
        score,
        in_use,
        dispatched_here: own.is_some(),
    }
}
