//! Dispatch by failure domain: when it is in force, which failure domain a request asks first, and the exchange of
//! loads between the nodes that grant slots in different failure domains.

use std::time::Duration;

use fleet::{Directory, Features, PermitMessage, Phase, Place};
use policy::{Dispatcher, DomainFilter, DomainLoad, NodeId, Reporter, Time, rank};
use resources::Name;
use rustc_hash::{FxHashMap, FxHashSet};
use slog::info;

use super::{Control, ServingNodes};
use crate::services::{Scope, ServiceState, name_hash};

/// State of dispatch by failure domain on the control thread.
#[derive(Debug, Default)]
pub(super) struct DomainDispatch {
    /// For each service, whether it was dispatched by failure domain at the last log line about it.
    logged: FxHashMap<u64, bool>,
    /// For each service and failure domain with a dispatcher here, whether this node was the first candidate at the
    /// last log line about it.
    logged_granting: FxHashMap<(u64, u64), bool>,
    /// For each service, when the nodes were last ranked because of a received load.
    ranked: FxHashMap<u64, Time>,
}

/// Interval at which the nodes are ranked because of received loads. Loads arrive ten times a second from each
/// granting node, and a ranking goes over all serving nodes for each failure domain.
const RANKING_INTERVAL: Duration = Duration::from_secs(1);

impl Control {
    /// Updates whether services are dispatched by failure domain: only while this node and every other known node
    /// that serves support it. Others would ask one node for the slots of all failure domains.
    pub(super) fn update_domain_dispatch(&mut self) {
        let lacking = self.nodes_without_domain_dispatch();
        self.services.allow_domain_dispatch(lacking == 0);
        let Self { services, domain_dispatch, log, .. } = self;
        domain_dispatch.logged.retain(|hash, _| services.get(*hash).is_some());
        domain_dispatch.ranked.retain(|hash, _| services.get(*hash).is_some());
        for it in services.iter() {
            let is_by_domain = it.dispatch_domains().is_some();
            let hash = name_hash(&it.service.name);
            let before = domain_dispatch.logged.insert(hash, is_by_domain);
            if before.unwrap_or_default() != is_by_domain {
                info!(log, "granting of slots changed"; "service" => it.service.name.as_str(),
                    "by_failure_domain" => is_by_domain, "nodes_without_support" => lacking,
                    "failure_domains" => it.domains().hashes().count(),
                    "fewest_endpoints" => it.domains().fewest_endpoints());
            }
        }
    }

    /// Number of serving nodes that do not support dispatch by failure domain.
    fn nodes_without_domain_dispatch(&self) -> usize {
        let lacks = |it: Features| !it.contains(Features::DOMAIN_DISPATCH);
        let serves = |it: Phase| matches!(it, Phase::Fresh | Phase::Ready);
        let members = self.exchange.members().iter();
        let others = members.filter(|(_, it)| serves(it.info.phase) && lacks(it.info.features));
        others.count() + usize::from(lacks(self.exchange.info().features))
    }

    /// The failure domain whose dispatching node a node asks first: its own, unless the service has no endpoint there
    /// that the request may use. Then it is one that depends on the node, so that the requests of a failure domain
    /// without endpoints are spread over the others. `None` if one node dispatches for all.
    pub(super) fn home_domain(
        &self,
        service: &ServiceState,
        asker: Reporter,
        filter: Option<&DomainFilter>,
    ) -> Option<u64> {
        let domains = service.dispatch_domains()?;
        let own = asker.failure_domain;
        let is_allowed = |it: &u64| {
            let only = filter.and_then(|it| it.only.as_ref());
            only.is_none_or(|only| only.contains(it)) && !self.evacuated.contains(it)
        };
        if domains.contains(own) && is_allowed(&own) {
            return Some(own);
        }
        let is_near = |it: &u64| self.topology.is_same_region(own, *it);
        let pick = |all: Vec<u64>| {
            let ranked = rank(asker.node.0, all.into_iter().map(NodeId));
            ranked.first().map(|it| it.0)
        };
        let allowed = domains.hashes().filter(is_allowed);
        pick(allowed.clone().filter(is_near).collect())
            .or_else(|| pick(allowed.collect()))
            .or_else(|| pick(domains.hashes().collect()))
    }

    /// The failure domain that another node asks first for a service.
    pub(super) fn home_domain_of_peer(&self, service: u64, node: NodeId) -> Option<u64> {
        let state = self.services.get(service)?;
        let member = self.exchange.members().get(node);
        let failure_domain = member.map_or(self.me.failure_domain, |it| it.info.failure_domain);
        self.home_domain(state, Reporter { node, failure_domain }, None)
    }

    /// The failure domain whose dispatching node grants the slots of an endpoint; `None` if one node dispatches for
    /// all.
    pub(super) fn dispatch_domain_of(&self, service: u64, endpoint: &str) -> Option<u64> {
        let state = self.services.get(service)?;
        state.dispatch_domains()?;
        state.failure_domain_of(endpoint)
    }

    /// Sends the loads of the failure domains whose slots this node grants to the nodes that grant those of the other
    /// failure domains, while the service is in use.
    pub(super) fn send_domain_loads(&mut self, now: Time) {
        let services: Vec<u64> = self.services.dispatched_by_domain().collect();
        for service in services {
            self.send_loads_of(now, service);
        }
    }

    fn send_loads_of(&mut self, now: Time, service: u64) {
        let Some(state) = self.services.get(service) else { return };
        let Some(domains) = state.dispatch_domains() else { return };
        let own = state.fleet.iter().filter_map(|(domain, it)| Some(((*domain)?, it)));
        let is_used_here = |it: &Dispatcher| is_used(now, it);
        let is_in_use = state.remote_loads(now).iter().any(has_requests)
            || own.clone().any(|(_, it)| is_used_here(it));
        if !is_in_use || own.clone().next().is_none() {
            return;
        }
        let directory = ServingNodes::new(now, self.me, &self.topology, &self.exchange);
        let places =
            domains.hashes().map(|it| (it, self.client.place(now, service, Some(it), &directory)));
        let places: Vec<(u64, Place)> = places.collect();
        let is_granted_here = |domain: u64| places.contains(&(domain, Place::Own(Some(domain))));
        let granting = own.filter(|(domain, it)| is_granted_here(*domain) || is_used_here(it));
        let loads: Vec<DomainLoad> = granting.flat_map(|(_, it)| it.domain_loads(now)).collect();
        if loads.is_empty() {
            return;
        }
        let mut peers: Vec<NodeId> = Vec::new();
        for (_, place) in places {
            if let Place::Peer(node) = place
                && !peers.contains(&node)
            {
                peers.push(node);
            }
        }
        if let Some(state) = self.services.get_mut(service) {
            state.fleet.iter_mut().filter(|(domain, _)| domain.is_some()).for_each(|(_, it)| {
                it.set_remote_loads(now, &loads);
            });
        }
        for node in peers {
            let message = PermitMessage::DomainLoads { service, loads: loads.clone() };
            self.send_permit_message(now, node, message);
        }
    }

    /// Applies loads that another node has sent. A node that grants slots of the service in another failure domain
    /// then sends its own, also while its own failure domain has no request.
    pub(super) fn handle_domain_loads(
        &mut self,
        now: Time,
        from: NodeId,
        service: u64,
        loads: &[DomainLoad],
    ) {
        if self.services.get(service).is_none_or(|it| it.dispatch_domains().is_none()) {
            return;
        }
        let ranked = self.domain_dispatch.ranked.get(&service);
        if ranked.is_none_or(|at| now.since(*at) >= RANKING_INTERVAL) {
            self.domain_dispatch.ranked.insert(service, now);
            self.start_granted_domains(now, service);
        }
        let valid: Vec<DomainLoad> = loads.iter().copied().filter(is_valid).collect();
        if let Some(state) = self.services.get_mut(service) {
            state.set_remote_loads(now, from, &valid);
        }
    }

    /// Creates the dispatchers of the failure domains whose slots this node grants.
    fn start_granted_domains(&mut self, now: Time, service: u64) {
        let Some(domains) = self.services.get(service).and_then(|it| it.dispatch_domains()) else {
            return;
        };
        let directory = ServingNodes::new(now, self.me, &self.topology, &self.exchange);
        let granted_here = domains.hashes().filter(|it| {
            self.client.place(now, service, Some(*it), &directory) == Place::Own(Some(*it))
        });
        let granted_here: Vec<u64> = granted_here.collect();
        for domain in granted_here {
            self.services.fleet_dispatcher(now, service, Some(domain));
        }
    }
}

impl Control {
    /// Logs the failure domains of services for which this node has become the first candidate, or no longer is.
    pub(super) fn log_granting(&mut self, now: Time) {
        let directory = ServingNodes::new(now, self.me, &self.topology, &self.exchange);
        let by_domain: FxHashSet<u64> = self.services.dispatched_by_domain().collect();
        let mut changes = Vec::new();
        let logged = &mut self.domain_dispatch.logged_granting;
        self.services.for_each(|service, scope, _| {
            let Scope::Fleet(Some(domain)) = scope else { return };
            let candidates = match by_domain.contains(&service) {
                true => directory.candidates(service, Some(domain)),
                false => Vec::new(),
            };
            let is_first = candidates.first() == Some(&self.me.node);
            let before = logged.insert((service, domain), is_first);
            if before.unwrap_or_default() != is_first {
                changes.push((service, domain, is_first, candidates));
            }
        });
        for (service, domain, is_first, candidates) in changes {
            let Some(state) = self.services.get(service) else { continue };
            let first = candidates.first().map(|it| self.addr_of(*it));
            info!(self.log, "granting node of a failure domain changed";
                "service" => state.service.name.as_str(),
                "failure_domain" => state.domains().name(domain).map(Name::as_str),
                "is_this_node" => is_first, "first" => first, "candidates" => candidates.len());
        }
    }

    /// Logs the requests of this node that were redirected since the last call.
    pub(super) fn log_redirects(&mut self) {
        let redirects = self.client.redirects;
        let before = std::mem::replace(&mut self.logged_redirects, redirects);
        if redirects == before {
            return;
        }
        let pairs = redirects.by_reason().zip(before.by_reason());
        let new = pairs.map(|((reason, now), (_, before))| (reason.name(), now - before));
        let new = new.filter(|(_, count)| *count > 0);
        let reasons: Vec<String> = new.map(|(name, count)| format!("{name}: {count}")).collect();
        info!(self.log, "requests sent to another failure domain";
            "redirected" => redirects.total() - before.total(), "reasons" => reasons.join(", "),
            "returned" => redirects.returned - before.returned);
    }
}

/// Whether requests use or wait for slots. An idle failure domain does not count: nodes that answer loads with loads
/// would never stop.
fn has_requests(it: &DomainLoad) -> bool {
    it.in_use > 0 || it.queued > 0
}

/// Whether a dispatcher grants slots, holds some that are in use, or has a queue. Long requests hold slots while
/// nothing is granted.
pub(super) fn is_used(now: Time, it: &Dispatcher) -> bool {
    !it.is_unused(now)
}

/// Whether all numbers are finite and not negative.
fn is_valid(it: &DomainLoad) -> bool {
    [it.usable, it.served, it.unserved].iter().all(|it| it.is_finite() && *it >= 0.0)
}
