//! Allowances of organisations. Each organisation's bucket is owned by one node. This module asks the owners
//! on behalf of this node's callers, and answers for the buckets that this node owns.

use std::time::Duration;

use caller::Admission;
use fleet::{
    AllowanceAction, AllowanceClient, AllowanceMessage, AllowanceOutcome, AllowanceOwner, Message,
    OwnerPhase,
};
use operator::OrganisationReport;
use policy::{Decision, Delegation, NodeId, Time, owner_of, owners};
use resources::{Allowance, Name, OrganisationIndex};
use rustc_hash::FxHashMap;
use slog::{info, warn};
use tokio::sync::oneshot;

use super::{Control, ServingNodes};
use crate::services::name_hash;

/// Interval at which the set of owners is recomputed.
const OWNERS_REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of an allowance ask, as a multiple of the timeout of a slot ask. A longer timeout is affordable
/// because no slot is held while the ask waits.
const ASK_TIMEOUT_FACTOR: u32 = 2;
/// Time in which the other nodes delegate their shares to an owner after the owner has discovered the fleet.
/// During this time the owner refuses no request, because its buckets hold the shares of few nodes and would
/// turn away requests that are within the allowance.
const SETTLING_TIME: Duration = Duration::from_millis(250);
/// Maximum number of organisations in a report.
const MAX_REPORTED: usize = 200;
/// Maximum number of organisations that are logged by name each second.
const MAX_LOGGED: usize = 8;

/// An organisation with an allowance.
#[derive(Clone, Debug)]
struct LimitedOrganisation {
    name: Name,
    allowance: Allowance,
    /// Requests that this owner had refused when refusals were last logged.
    logged_refusals: u64,
}

/// Allowance state of the control thread.
pub(super) struct Allowances {
    client: AllowanceClient,
    owner: AllowanceOwner,
    waiting: FxHashMap<u64, oneshot::Sender<Admission>>,
    /// Organisations with an allowance, by the hash of their name.
    limited: FxHashMap<u64, LimitedOrganisation>,
    /// The nodes that this node considers owners, and when they were computed.
    owners: (Vec<NodeId>, Time),
    /// When this node finished discovering the fleet.
    fleet_known_since: Option<Time>,
    /// Requests of this node's callers that were granted.
    pub(super) granted: u64,
    /// Requests of this node's callers that were refused.
    pub(super) refused: u64,
}

impl Allowances {
    pub(super) fn new(me: NodeId, timeout: Duration, incarnation: u32) -> Self {
        Self {
            client: AllowanceClient::new(me, timeout * ASK_TIMEOUT_FACTOR, incarnation),
            owner: AllowanceOwner::new(me),
            waiting: FxHashMap::default(),
            limited: FxHashMap::default(),
            owners: (Vec::new(), Time::default()),
            fleet_known_since: None,
            granted: 0,
            refused: 0,
        }
    }

    /// Whether no ask is pending.
    pub(super) fn is_idle(&self) -> bool {
        self.client.is_idle()
    }

    /// Applies a configuration that has come into force.
    pub(super) fn reconfigure(&mut self, organisations: &OrganisationIndex) {
        let limited = organisations.iter().filter_map(|it| {
            let allowance = it.allowance()?;
            let limited =
                LimitedOrganisation { name: it.name.clone(), allowance, logged_refusals: 0 };
            Some((name_hash(&it.name), limited))
        });
        self.limited = limited.collect();
    }

    /// Decides on an ask as the owner of the bucket.
    fn decide(
        &mut self,
        now: Time,
        from: NodeId,
        seq: u64,
        organisation: u64,
        delegation: &Delegation,
    ) -> Decision {
        let Some(fleet_known_since) = self.fleet_known_since else { return Decision::NotYet };
        let phase = match now.since(fleet_known_since) {
            it if it < SETTLING_TIME => OwnerPhase::Settling,
            _ => OwnerPhase::Settled,
        };
        let bucket = self.bucket(organisation);
        self.owner.ask(now, from, seq, bucket, delegation, phase)
    }

    fn bucket(&self, organisation: u64) -> (u64, Option<Allowance>) {
        (organisation, self.limited.get(&organisation).map(|it| it.allowance))
    }

    /// Number of asks that this node decided by its own share, without an answer of the owner.
    pub(super) fn decided_alone(&self) -> u64 {
        self.client.without_owner
    }
}

impl Control {
    /// Asks whether an organisation may make one more request; the answer is sent to `tx`.
    pub(super) fn admit(&mut self, now: Time, organisation: u64, tx: oneshot::Sender<Admission>) {
        self.refresh_owners(now);
        let owners = &self.allowances.owners.0;
        let (seq, action) = self.allowances.client.ask(now, organisation, owners);
        self.allowances.waiting.insert(seq, tx);
        self.perform_allowance_action(now, action);
    }

    pub(super) fn handle_allowance_message(
        &mut self,
        now: Time,
        from: NodeId,
        message: AllowanceMessage,
    ) {
        match message {
            AllowanceMessage::Ask { seq, organisation, delegation } => {
                let decision = self.allowances.decide(now, from, seq, organisation, &delegation);
                self.send_allowance_message(from, AllowanceMessage::Answer { seq, decision });
            }
            AllowanceMessage::Answer { seq, decision } => {
                let action = self.allowances.client.answer(now, from, seq, decision);
                action.into_iter().for_each(|it| self.perform_allowance_action(now, it));
            }
            // The size of a share depends on the size of the fleet, which is unknown before.
            AllowanceMessage::Delegate(it) if self.allowances.fleet_known_since.is_some() => {
                self.allowances.owner.buckets.delegate(now, from, &it);
            }
            AllowanceMessage::Delegate(_) => {}
        }
    }

    /// Refills buckets, delegates shares and handles timeouts. Returns at once if no organisation is limited.
    pub(super) fn tick_allowances(&mut self, now: Time) {
        if self.allowances.limited.is_empty() && self.allowances.is_idle() {
            return;
        }
        self.refresh_owners(now);
        let size = self.exchange.members().len() + 1;
        if !self.exchange.is_discovering(now) {
            self.allowances.fleet_known_since.get_or_insert(now);
        }
        let Allowances { client, owner, owners: (owners, _), fleet_known_since, .. } =
            &mut self.allowances;
        owner.buckets.set_nodes(now, size);
        if fleet_known_since.is_some() {
            client.fleet_discovered(now, owners);
            let delegation = client.delegation(now, owners, self.me.node);
            owner.buckets.delegate(now, self.me.node, &delegation);
        }
        for action in client.tick(now, owners) {
            self.perform_allowance_action(now, action);
        }
    }

    fn perform_allowance_action(&mut self, now: Time, action: AllowanceAction) {
        match action {
            AllowanceAction::AskHere { seq, organisation, delegation } => {
                let me = self.me.node;
                let decision = self.allowances.decide(now, me, seq, organisation, &delegation);
                if let Some(it) = self.allowances.client.answer(now, me, seq, decision) {
                    self.perform_allowance_action(now, it);
                }
            }
            AllowanceAction::Send(node, message) => self.send_allowance_message(node, message),
            AllowanceAction::PassOver(node) => {
                if !self.client.passes_over(now, node) {
                    self.client.pass_over(now, node);
                }
                self.allowances.owners.1 = Time::default();
                self.refresh_owners(now);
            }
            AllowanceAction::Settle(seq, outcome) => self.settle_admission(seq, outcome),
        }
    }

    fn settle_admission(&mut self, seq: u64, outcome: AllowanceOutcome) {
        let admission = match outcome {
            AllowanceOutcome::Decided(Decision::Granted) => Admission::Granted,
            AllowanceOutcome::Decided(Decision::NotYet) => Admission::Unknown,
            AllowanceOutcome::Decided(Decision::Exhausted { retry_after, .. }) => {
                Admission::Exhausted { retry_after }
            }
            AllowanceOutcome::Unknown => Admission::Unknown,
        };
        match admission {
            Admission::Granted => self.allowances.granted += 1,
            _ => self.allowances.refused += 1,
        }
        if let Some(tx) = self.allowances.waiting.remove(&seq) {
            // The request may have been cancelled meanwhile.
            let _ = tx.send(admission);
        }
    }

    fn send_allowance_message(&mut self, node: NodeId, message: AllowanceMessage) {
        self.send_frame(node, Message::Allowance(message));
    }

    fn refresh_owners(&mut self, now: Time) {
        let (known, at) = &self.allowances.owners;
        if !known.is_empty() && now.since(*at) < OWNERS_REFRESH_INTERVAL {
            return;
        }
        let nodes = ServingNodes::new(now, self.me, &self.topology, &self.exchange).serving();
        let asked = nodes.iter().filter(|it| !self.client.passes_over(now, it.node));
        let asked: Vec<_> = asked.map(|it| (it.node, it.millicores)).collect();
        self.allowances.owners = (owners(&asked), now);
    }

    /// Reports on the organisations with an allowance, as this node knows them.
    pub(super) fn organisation_reports(&self) -> Vec<OrganisationReport> {
        let Allowances { owner, limited, owners: (owners, _), .. } = &self.allowances;
        let held: FxHashMap<_, _> =
            owner.buckets.report().map(|it| (it.organisation, it)).collect();
        let mut all: Vec<OrganisationReport> = limited
            .iter()
            .map(|(hash, it)| {
                let bucket = held.get(hash);
                OrganisationReport {
                    name: it.name.to_string(),
                    rate_per_s: it.allowance.rate_per_s,
                    burst: it.allowance.burst,
                    owned_by: owner_of(*hash, owners).map(|it| self.addr_of(it)),
                    left: bucket.map(|it| it.left),
                    granted: bucket.map_or(0, |it| it.granted),
                    refused: bucket.map_or(0, |it| it.refused),
                }
            })
            .collect();
        all.sort_by(|a, b| (b.refused, &a.name).cmp(&(a.refused, &b.name)));
        all.truncate(MAX_REPORTED);
        all
    }

    /// Logs the organisations that were refused by buckets of this node since the last call.
    pub(super) fn log_allowances(&mut self) {
        let Allowances { owner, limited, .. } = &mut self.allowances;
        let mut refusing: Vec<_> = Vec::new();
        for it in owner.buckets.report() {
            let Some(known) = limited.get_mut(&it.organisation) else { continue };
            let before = std::mem::replace(&mut known.logged_refusals, it.refused);
            if it.refused > before {
                refusing.push((it.refused - before, known.name.clone(), known.allowance, it));
            }
        }
        refusing.sort_by_key(|it| std::cmp::Reverse(it.0));
        let omitted = refusing.len().saturating_sub(MAX_LOGGED);
        for (refused, name, allowance, it) in refusing.into_iter().take(MAX_LOGGED) {
            info!(self.log, "allowance used up"; "organisation" => name.as_str(),
                "refused" => refused, "granted_so_far" => it.granted, "left" => it.left,
                "rate_per_s" => allowance.rate_per_s, "burst" => allowance.burst);
        }
        if omitted > 0 {
            warn!(self.log, "more allowances used up"; "organisations" => omitted);
        }
    }
}
