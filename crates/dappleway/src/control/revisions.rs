//! Revisions that are held, refused, or come into force.

use std::sync::Arc;

use operator::Published;
use policy::Time;
use slog::{info, warn};

use super::Control;
use crate::store::{Candidate, Rejected};

impl Control {
    pub(super) fn hold(&mut self, now: Time, candidate: Candidate) {
        let held = candidate.held();
        if held.revision <= self.exchange.revisions.facts().held.revision {
            return;
        }
        info!(self.log, "revision held"; "revision" => held.revision);
        self.rejected = None;
        self.store.keep(&candidate);
        self.staged = Some(candidate.config);
        let effects = self.exchange.hold(held);
        self.apply(now, effects);
    }

    pub(super) fn reject(&mut self, rejected: Rejected) {
        if rejected.revision > self.exchange.revisions.facts().held.revision {
            warn!(self.log, "revision rejected: publish a corrected one";
                "revision" => rejected.revision, "reason" => &rejected.reason);
            self.rejected = Some(rejected);
        }
    }

    pub(super) fn put_in_force(&mut self, now: Time, revision: u64) {
        let Some(config) = self.staged.take_if(|it| it.revision == revision) else { return };
        info!(self.log, "revision in force"; "revision" => revision,
            "services" => config.services.len(), "resources" => config.resources.len());
        self.services.reconfigure(now, &config);
        let resources = Arc::new(config.resources.clone());
        self.outputs.shared.publish(config);
        self.outputs.published.send_replace(Published { revision, resources });
        self.next_readiness = now;
    }
}
