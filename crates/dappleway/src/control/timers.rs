//! Periodic work of the control thread, and recovery after a pause of this process.

use std::net::SocketAddr;
use std::time::Duration;

use fleet::{Directory, PermitMessage, Phase, Place, ReachabilityChange, Verdict};
use policy::{NodeId, PermitId, Precedence, State, Time};
use rustc_hash::{FxHashMap, FxHashSet};
use slog::{info, warn};

use super::{
    Control, DISPATCHER_TICK, EJECTION_VALIDITY, GAP_THRESHOLD, MAX_IDS_PER_RENEWAL,
    MIN_FRESH_PHASE, PAUSE_THRESHOLD, READINESS_INTERVAL, RENEWAL_INTERVAL, ServingNodes,
};
use crate::reader::ReadPlan;
use crate::services::{Scope, TickOutput};
use crate::settings::Mode;

/// Delay after which a missing configuration is logged. By then both the fetch from a peer and the read of the
/// platform have failed.
const BEHIND_LOG_DELAY: Duration = Duration::from_millis(800);

impl Control {
    /// Checks for a pause of this process. After a pause the dispatchers drop their evidence.
    pub(super) fn detect_pause(&mut self, now: Time) {
        let pause = now.since(self.last_tick);
        if pause >= GAP_THRESHOLD {
            self.exchange.resumed(now, self.last_tick);
        }
        if pause < PAUSE_THRESHOLD {
            return;
        }
        warn!(self.log, "this process was paused: evidence from before is dropped";
            "ms" => pause.as_millis() as u64);
        self.resumed_at = now;
        self.last_tick = now;
        let output = self.services.resume(now, &mut self.rng);
        self.apply_tick_output(now, output);
    }

    pub(super) fn tick(&mut self, now: Time) {
        self.last_tick = now;
        if now >= self.next_dispatcher_tick {
            self.next_dispatcher_tick = now + DISPATCHER_TICK;
            self.services.set_nodes(self.exchange.members().len() + 1);
            self.update_domain_dispatch();
            self.set_precedences(now);
            let output = self.services.tick(now, &mut self.rng);
            self.apply_tick_output(now, output);
            self.report_unserved(now);
            self.send_domain_loads(now);
        }
        let directory = ServingNodes::new(now, self.me, &self.topology, &self.exchange);
        for action in self.client.tick(now, &directory) {
            self.perform(now, action);
        }
        self.tick_allowances(now);
        self.log_dispatcher_contacts();
        if !self.draining {
            let effects = self.exchange.set_phase(self.phase(now));
            self.apply_effects(now, effects);
        }
        let effects = self.exchange.tick(now, &mut self.rng);
        self.apply_effects(now, effects);
        if now >= self.next_renewal {
            self.next_renewal = now + RENEWAL_INTERVAL;
            self.renew(now);
            self.log_peers();
            self.log_endpoints();
            self.log_era();
            self.log_behind(now);
            self.log_repeats(now);
            self.log_dispatch(now);
            self.log_redirects();
            self.log_granting(now);
            self.log_slow_acks();
            self.log_allowances();
            self.update_metrics(now);
        }
        if now >= self.next_readiness {
            self.next_readiness = now + READINESS_INTERVAL;
            let not_ready = self.not_ready();
            self.outputs.not_ready.send_if_modified(|it| {
                let has_changed = *it != not_ready;
                *it = not_ready;
                has_changed
            });
        }
        self.update_read_plan(now);
    }

    /// Updates whether this node is the first choice as dispatcher, for services with rate-limited endpoints.
    pub(super) fn set_precedences(&mut self, now: Time) {
        let directory = ServingNodes::new(now, self.me, &self.topology, &self.exchange);
        let me = self.me.node;
        let by_domain: FxHashSet<u64> = self.services.dispatched_by_domain().collect();
        self.services.for_each(|service, scope, it| {
            if let Scope::Fleet(domain) = scope
                && it.has_limits(now)
            {
                let is_in_force = domain.is_some() == by_domain.contains(&service);
                let is_first =
                    is_in_force && directory.candidates(service, domain).first() == Some(&me);
                it.set_precedence(if is_first { Precedence::First } else { Precedence::OneOfMany });
            }
        });
    }

    /// Logs changes of the number of peers. This is called once a second, which bounds the lines while many nodes
    /// come and go.
    fn log_peers(&mut self) {
        let known = self.exchange.members().len();
        let before = std::mem::replace(&mut self.logged_peers, known);
        if known != before {
            info!(self.log, "peers known"; "peers" => known, "before" => before);
        }
    }

    /// Logs changes of the endpoints. This is called once a second: while endpoints are replaced there is a change
    /// every 0.1 s, and a line for each would displace all other lines from the log storage.
    fn log_endpoints(&mut self) {
        let changes = std::mem::take(&mut self.endpoint_changes);
        if changes > 0 {
            let replica = self.exchange.replica();
            info!(self.log, "endpoints in force"; "position" => %replica.versions().registry,
                "endpoints" => replica.registrations().count(), "changes" => changes);
        }
    }

    /// Logs that the platform was restored from an older copy, also if this node learned of the restore from a
    /// peer.
    fn log_era(&mut self) {
        let position = self.exchange.replica().versions().registry;
        let before = std::mem::replace(&mut self.logged_era, position.era);
        if position.era > before && before > 0 {
            warn!(self.log, "the platform has come back from an older copy";
                "era" => position.era, "era_before" => before, "position" => %position);
        }
    }

    /// Logs that a newer configuration is known to exist but could not be obtained for a while.
    fn log_behind(&self, now: Time) {
        let election = self.exchange.reader_election();
        let behind = election.behind_for(now);
        if behind < BEHIND_LOG_DELAY {
            return;
        }
        warn!(self.log, "configuration is behind: neither peers nor the platform have sent the newer one";
            "config" => self.exchange.replica().versions().config,
            "known_to_exist" => self.exchange.newest_known().config,
            "behind_ms" => behind.as_millis() as u64,
            "proof_age_ms" => election.time_since_confirmation(now).as_millis() as u64, "reads" => ?election.reads(now),
            "is_fetching" => self.exchange.is_fetching());
    }

    /// Logs the services whose repeats were refused since the last call, with the state of their budgets.
    fn log_repeats(&mut self, now: Time) {
        let mut refused = Vec::new();
        self.services.for_each(|service, scope, it| {
            refused.extend(it.newly_refused(now).map(|it| (service, scope, it)));
        });
        for (service, scope, it) in refused {
            let Some(state) = self.services.get(service) else { continue };
            info!(self.log, "budget for repeats used up"; "service" => state.service.name.as_str(),
                "dispatched_here" => scope.is_fleet(), "refused" => it.refused,
                "allowed" => it.allowed as u64, "spent" => it.spent as u64,
                "first_sends" => it.first, "askers" => it.askers);
        }
    }

    fn log_dispatcher_contacts(&mut self) {
        for it in self.client.take_reachability_changes() {
            let addr = |node| self.exchange.members().get(node).map(|it| it.info.addr.to_string());
            match it {
                ReachabilityChange::Lost(node) => {
                    warn!(self.log, "dispatching node lost: its successor is asked";
                    "peer" => addr(node).unwrap_or_default())
                }
                ReachabilityChange::Regained(node) => info!(self.log, "dispatching node regained";
                    "peer" => addr(node).unwrap_or_default()),
            }
        }
    }

    pub(super) fn apply_tick_output(&mut self, now: Time, mut output: TickOutput) {
        self.broadcast_rejections(now, &mut output);
        self.pending_replies.extend(output.settled);
        for (service, scope, it) in output.changes {
            let Some(state) = self.services.get(service) else { continue };
            let dispatcher = match scope {
                Scope::Fleet(domain) => state.fleet.get(&domain),
                Scope::Node => Some(&state.direct),
            };
            let is_dispatching = dispatcher.is_some_and(|it| it.is_dispatching(now));
            // The belief of a dispatcher that hands out no slots has no effect, so its changes are not logged. On
            // the largest site such lines were most of 91,000 lines in half a minute.
            if is_dispatching {
                info!(self.log, "endpoint state"; "service" => state.service.name.as_str(),
                    "endpoint" => it.id.as_str(), "addr" => %it.addr, "from" => it.from.name(),
                    "to" => it.to.name(), "reason" => it.reason,
                    "dispatched_here" => scope.is_fleet());
            }
            let is_dispatcher_verdict =
                is_dispatching && scope.is_fleet() || self.mode == Mode::Direct;
            if matches!(it.to, State::Ejected { .. }) && is_dispatcher_verdict {
                self.broadcast_ejection(now, it.addr);
            }
        }
    }

    pub(super) fn broadcast_ejection(&mut self, now: Time, endpoint: SocketAddr) {
        let valid_ms = EJECTION_VALIDITY.as_millis() as u32;
        self.exchange.add_verdict(now, Verdict { endpoint, valid_ms });
    }

    /// Renews the permits of this node's open requests, and sends the verdicts that still hold again.
    pub(super) fn renew(&mut self, now: Time) {
        let mut by_node: FxHashMap<NodeId, Vec<PermitId>> = FxHashMap::default();
        let mut local = Vec::new();
        for (id, it) in &self.open_permits {
            match it.place {
                Place::Peer(node) => by_node.entry(node).or_default().push(*id),
                place => local.push((*id, place, it.service)),
            }
        }
        for (id, place, service) in local {
            self.with_dispatcher(place, service, |it, _| {
                it.renew(now, id);
                Vec::new()
            });
        }
        for (node, ids) in by_node {
            for ids in ids.chunks(MAX_IDS_PER_RENEWAL) {
                self.send_permit_message(now, node, PermitMessage::Renew { ids: ids.to_vec() });
            }
        }
        let mut ejected = Vec::new();
        self.services.for_each(|_, scope, it| {
            let endpoints = it.endpoints().iter();
            let endpoints = endpoints.filter(|it| matches!(it.state, State::Ejected { .. }));
            if scope.is_fleet() && it.is_dispatching(now) {
                ejected.extend(endpoints.map(|it| it.addr).chain(it.last_resort_endpoints(now)));
            }
        });
        for it in ejected {
            self.broadcast_ejection(now, it);
        }
    }

    /// The phase that this node announces to the other nodes.
    fn phase(&self, now: Time) -> Phase {
        let age = now.since(Time(0));
        match self.exchange.replica().versions().config {
            0 => Phase::Starting,
            _ if self.exchange.phase() == Phase::Ready => Phase::Ready,
            _ if age < MIN_FRESH_PHASE => Phase::Fresh,
            _ if self.exchange.is_recently_joined(now) => Phase::Fresh,
            _ => Phase::Ready,
        }
    }

    /// Sends the current read plan to the reader task. The task is woken only if the part to read has changed.
    pub(super) fn update_read_plan(&self, now: Time) {
        self.outputs.shared.set_fresh(self.exchange.reader_election().is_fresh(now));
        let reads = self.exchange.reader_election().reads(now);
        let known_position = self.exchange.replica().versions().registry;
        let other_nodes = self.exchange.domain_peers();
        self.outputs.read_plan.send_if_modified(|it| {
            let has_changed = it.reads != reads;
            *it = ReadPlan { reads, known_position, other_nodes };
            if has_changed {
                info!(self.log, "duty to read the platform"; "reads" => ?reads,
                    "why" => self.exchange.reader_election().why(now), "known" => %known_position,
                    "proof_age_ms" => self.exchange.reader_election().time_since_confirmation(now).as_millis() as u64,
                    "calls" => self.platform_calls);
            }
            has_changed
        });
    }
}
