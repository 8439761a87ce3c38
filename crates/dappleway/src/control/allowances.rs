//! Allowances of organisations: asked for at the owners of their buckets, decided where this node is one.

use std::time::Duration;

use caller::Admission;
use fleet::{
    AllowanceAction, AllowanceClient, AllowanceMessage, AllowanceOutcome, AllowanceOwner, Message,
};
use operator::OrganisationReport;
use policy::{Decision, NodeId, Time, owner_of, owners};
use resources::{Allowance, Callers, Name};
use rustc_hash::FxHashMap;
use slog::{info, warn};
use tokio::sync::oneshot;

use super::{Control, Nodes};
use crate::services::name_hash;

/// Interval at which the owners are worked out anew.
const OWNERS_REFRESH: Duration = Duration::from_millis(100);
/// Asks are said again after so many times the patience for slots: nobody's slot is held meanwhile.
const PATIENCE: u32 = 2;
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
            granted: 0,
            refused: 0,
        }
    }

    /// Whether no ask is under way.
    pub(super) fn is_idle(&self) -> bool {
        self.client.is_idle()
    }

    /// Follows a configuration that has come into force.
    pub(super) fn reconfigure(&mut self, callers: &Callers) {
        let limited = callers.iter().filter_map(|it| {
            let allowance = it.allowance()?;
            let limited = Limited { name: it.name.clone(), allowance, refused_before: 0 };
            Some((name_hash(&it.name), limited))
        });
        self.limited = limited.collect();
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
            // What a node that still finds others owns of an allowance is not known.
            AllowanceMessage::Ask { seq, .. } if self.exchange.is_finding(now) => {
                let decision = Decision::NotYet;
                self.send_allowance(from, AllowanceMessage::Answer { seq, decision });
            }
            AllowanceMessage::Entrust(_) if self.exchange.is_finding(now) => {}
            AllowanceMessage::Ask { seq, organisation, entrusted } => {
                let bucket = self.allowances.bucket(organisation);
                let owner = &mut self.allowances.owner;
                let decision = owner.ask(now, from, seq, bucket, &entrusted);
                self.send_allowance(from, AllowanceMessage::Answer { seq, decision });
            }
            AllowanceMessage::Answer { seq, decision } => {
                let action = self.allowances.client.answer(now, from, seq, decision);
                action.into_iter().for_each(|it| self.allowance_action(now, it));
            }
            AllowanceMessage::Entrust(it) => {
                self.allowances.owner.buckets.entrust(now, from, &it);
            }
        }
    }

    /// Moves what time alone moves. Costs nothing where no organisation is limited.
    pub(super) fn tick_allowances(&mut self, now: Time) {
        if self.allowances.limited.is_empty() && self.allowances.is_idle() {
            return;
        }
        self.refresh_owners(now);
        let (size, is_finding) = (self.exchange.members().len() + 1, self.exchange.is_finding(now));
        let Allowances { client, owner, owners: (owners, _), .. } = &mut self.allowances;
        owner.buckets.set_nodes(now, size);
        if !is_finding {
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
            // It is asked for again.
            AllowanceAction::AskHere { .. } if self.exchange.is_finding(now) => {}
            AllowanceAction::AskHere { seq, organisation, entrusted } => {
                let me = self.me.node;
                let bucket = self.allowances.bucket(organisation);
                let owner = &mut self.allowances.owner;
                let decision = owner.ask(now, me, seq, bucket, &entrusted);
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
        let nodes = Nodes { now, me: self.me, exchange: &self.exchange }.serving();
        let asked: Vec<_> =
            nodes.into_iter().filter(|(id, _)| !self.client.passes_over(now, *id)).collect();
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
