//! Allowances of organisations: asked for at the owners of their buckets, decided where this node is one.

use std::time::Duration;

use caller::Admission;
use fleet::{
    AllowanceAction, AllowanceClient, AllowanceMessage, AllowanceOutcome, AllowanceOwner, Message,
    OwnerPhase,
};
use operator::OrganisationReport;
use policy::{Decision, Entrusted, NodeId, Time, owner_of, owners};
use resources::{Allowance, Name, OrganisationIndex};
use rustc_hash::FxHashMap;
use slog::{info, warn};
use tokio::sync::oneshot;

use super::{Control, Nodes};
use crate::services::name_hash;

/// Interval at which the owners are worked out anew.
const OWNERS_REFRESH: Duration = Duration::from_millis(100);
/// Asks are said again after so many times the patience for slots: nobody's slot is held meanwhile.
const PATIENCE: u32 = 2;
/// Once a node knows the fleet, the others entrust their shares to it within this. Until then nobody is refused: those that have
/// waited would meet buckets with the shares of a few.
const SETTLES: Duration = Duration::from_millis(250);
/// Organisations in a report at most.
const MAX_REPORTED: usize = 200;
/// Organisations named in the log in a second at most.
const MAX_LOGGED: usize = 8;

/// A limited organisation.
#[derive(Clone, Debug)]
struct Limited {
    name: Name,
    allowance: Allowance,
    /// Requests refused here when that was last logged.
    refused_before: u64,
}

/// What the control thread holds for allowances.
pub(super) struct Allowances {
    client: AllowanceClient,
    owner: AllowanceOwner,
    waiting: FxHashMap<u64, oneshot::Sender<Admission>>,
    /// Organisations that are limited, by the hash of their name.
    limited: FxHashMap<u64, Limited>,
    /// The owners that this node asks, and when they were worked out.
    owners: (Vec<NodeId>, Time),
    /// Since when this node knows the fleet.
    known_since: Option<Time>,
    /// Requests granted and refused to callers of this node.
    pub(super) granted: u64,
    pub(super) refused: u64,
}

impl Allowances {
    pub(super) fn new(me: NodeId, timeout: Duration, life: u32) -> Self {
        Self {
            client: AllowanceClient::new(me, timeout * PATIENCE, life),
            owner: AllowanceOwner::new(me),
            waiting: FxHashMap::default(),
            limited: FxHashMap::default(),
            owners: (Vec::new(), Time::default()),
            known_since: None,
            granted: 0,
            refused: 0,
        }
    }

    /// Whether no ask is under way.
    pub(super) fn is_idle(&self) -> bool {
        self.client.is_idle()
    }

    /// Follows a configuration that has come into force.
    pub(super) fn reconfigure(&mut self, organisations: &OrganisationIndex) {
        let limited = organisations.iter().filter_map(|it| {
            let allowance = it.allowance()?;
            let limited = Limited { name: it.name.clone(), allowance, refused_before: 0 };
            Some((name_hash(&it.name), limited))
        });
        self.limited = limited.collect();
    }

    /// Decides on an ask.
    fn decide(
        &mut self,
        now: Time,
        from: NodeId,
        seq: u64,
        organisation: u64,
        entrusted: &Entrusted,
    ) -> Decision {
        let Some(known_since) = self.known_since else { return Decision::NotYet };
        let phase = match now.since(known_since) {
            it if it < SETTLES => OwnerPhase::Settling,
            _ => OwnerPhase::Settled,
        };
        let bucket = self.bucket(organisation);
        self.owner.ask(now, from, seq, bucket, entrusted, phase)
    }

    fn bucket(&self, organisation: u64) -> (u64, Option<Allowance>) {
        (organisation, self.limited.get(&organisation).map(|it| it.allowance))
    }

    /// Asks that were settled by this node alone.
    pub(super) fn alone(&self) -> u64 {
        self.client.alone
    }
}

impl Control {
    /// Finds out whether an organisation may make one more request.
    pub(super) fn admit(&mut self, now: Time, organisation: u64, tx: oneshot::Sender<Admission>) {
        self.refresh_owners(now);
        let owners = &self.allowances.owners.0;
        let (seq, action) = self.allowances.client.ask(now, organisation, owners);
        self.allowances.waiting.insert(seq, tx);
        self.allowance_action(now, action);
    }

    pub(super) fn allowance_message(&mut self, now: Time, from: NodeId, message: AllowanceMessage) {
        match message {
            AllowanceMessage::Ask { seq, organisation, entrusted } => {
                let decision = self.allowances.decide(now, from, seq, organisation, &entrusted);
                self.send_allowance(from, AllowanceMessage::Answer { seq, decision });
            }
            AllowanceMessage::Answer { seq, decision } => {
                let action = self.allowances.client.answer(now, from, seq, decision);
                action.into_iter().for_each(|it| self.allowance_action(now, it));
            }
            // The size of the fleet, and so of a share, is not known before.
            AllowanceMessage::Entrust(it) if self.allowances.known_since.is_some() => {
                self.allowances.owner.buckets.entrust(now, from, &it);
            }
            AllowanceMessage::Entrust(_) => {}
        }
    }

    /// Moves what time alone moves. Costs nothing where no organisation is limited.
    pub(super) fn tick_allowances(&mut self, now: Time) {
        if self.allowances.limited.is_empty() && self.allowances.is_idle() {
            return;
        }
        self.refresh_owners(now);
        let size = self.exchange.members().len() + 1;
        if !self.exchange.is_finding(now) {
            self.allowances.known_since.get_or_insert(now);
        }
        let Allowances { client, owner, owners: (owners, _), known_since, .. } =
            &mut self.allowances;
        owner.buckets.set_nodes(now, size);
        if known_since.is_some() {
            client.know_fleet(now, owners);
            let entrusted = client.entrusted(now, owners, self.me.node);
            owner.buckets.entrust(now, self.me.node, &entrusted);
        }
        for action in client.tick(now, owners) {
            self.allowance_action(now, action);
        }
    }

    fn allowance_action(&mut self, now: Time, action: AllowanceAction) {
        match action {
            AllowanceAction::AskHere { seq, organisation, entrusted } => {
                let me = self.me.node;
                let decision = self.allowances.decide(now, me, seq, organisation, &entrusted);
                if let Some(it) = self.allowances.client.answer(now, me, seq, decision) {
                    self.allowance_action(now, it);
                }
            }
            AllowanceAction::Send(node, message) => self.send_allowance(node, message),
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
            // The caller may have left.
            let _ = tx.send(admission);
        }
    }

    fn send_allowance(&mut self, node: NodeId, message: AllowanceMessage) {
        self.send_frame(node, Message::Allowance(message));
    }

    fn refresh_owners(&mut self, now: Time) {
        let (known, at) = &self.allowances.owners;
        if !known.is_empty() && now.since(*at) < OWNERS_REFRESH {
            return;
        }
        let nodes = Nodes::new(now, self.me, &self.topology, &self.exchange).serving();
        let asked = nodes.iter().filter(|it| !self.client.passes_over(now, it.node));
        let asked: Vec<_> = asked.map(|it| (it.node, it.millicores)).collect();
        self.allowances.owners = (owners(&asked), now);
    }

    /// The limited organisations as this node knows them.
    pub(super) fn organisations(&self) -> Vec<OrganisationReport> {
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

    /// Says whose allowances were used up at the buckets of this node.
    pub(super) fn log_allowances(&mut self) {
        let Allowances { owner, limited, .. } = &mut self.allowances;
        let mut refusing: Vec<_> = Vec::new();
        for it in owner.buckets.report() {
            let Some(known) = limited.get_mut(&it.organisation) else { continue };
            let before = std::mem::replace(&mut known.refused_before, it.refused);
            if it.refused > before {
                refusing.push((it.refused - before, known.name.clone(), known.allowance, it));
            }
        }
        refusing.sort_by_key(|it| std::cmp::Reverse(it.0));
        let more = refusing.len().saturating_sub(MAX_LOGGED);
        for (refused, name, allowance, it) in refusing.into_iter().take(MAX_LOGGED) {
            info!(self.log, "allowance used up"; "organisation" => name.as_str(),
                "refused" => refused, "granted_so_far" => it.granted, "left" => it.left,
                "rate_per_s" => allowance.rate_per_s, "burst" => allowance.burst);
        }
        if more > 0 {
            warn!(self.log, "more allowances used up"; "organisations" => more);
        }
    }
}
