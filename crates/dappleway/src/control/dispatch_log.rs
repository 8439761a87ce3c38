//! Once a second, for each service whose slots were handed out here: what was asked for, how it ended, and which
//! endpoints had no work while a part was not served.

use std::time::Duration;

use policy::{DispatchCounts, Dispatcher, IdleEndpoint, Notice, Occupancy, RateLimit, Time};
use serde_json::json;
use slog::info;

use super::Control;
use crate::services::{Noticed, Scope};

/// Idle endpoints named in one line at most.
const MAX_NAMED: usize = 24;

/// What one service's dispatcher tells.
struct Line {
    service: u64,
    scope: Scope,
    counts: DispatchCounts,
    occupancy: Occupancy,
    queued: usize,
    strain: &'static str,
    /// Endpoints without work, described.
    idle: Vec<String>,
}

impl Control {
    /// Logs what was handed out here since the last time.
    pub(super) fn log_dispatch(&mut self, now: Time) {
        let mut lines = Vec::new();
        self.services.for_each(|service, scope, it| {
            let counts = it.take_counts();
            if counts != DispatchCounts::default() {
                let idle = if it.is_strained() { name_idle(now, it) } else { Vec::new() };
                lines.push(Line {
                    service,
                    scope,
                    counts,
                    occupancy: it.occupancy(now),
                    queued: it.queued(),
                    strain: it.strain_name(),
                    idle,
                });
            }
        });
        for it in lines {
            let Some(state) = self.services.get(it.service) else { continue };
            let (name, is_fleet) = (state.service.name.as_str(), it.scope == Scope::Fleet);
            let Line { counts, occupancy, idle, .. } = it;
            self.metrics.note_permits(&counts);
            info!(self.log, "slots handed out"; "service" => name, "dispatched_here" => is_fleet,
                "first_sends" => counts.first, "repeats" => counts.repeats,
                "repeats_refused" => counts.repeats_refused, "answered" => counts.answered,
                "failed" => counts.failed, "timed_out" => counts.timed_out,
                "shed_last" => counts.shed_last, "queue_refused" => counts.queue_refused,
                "waited_in_vain" => counts.waited_in_vain, "withdrawn" => counts.withdrawn,
                "rejected" => counts.rejected,
                "unserved_elsewhere" => counts.unserved_elsewhere,
                "refused_before" => counts.refused_before, "queued" => it.queued,
                "released" => counts.released, "freed_early" => counts.freed_early, "expired" => counts.expired,
                "in_use" => occupancy.in_use, "travelling" => occupancy.travelling, "expected" => occupancy.expected,
                "sound" => occupancy.sound, "sound_idle" => occupancy.sound_idle,
                "limited" => occupancy.limited, "limit_per_s" => occupancy.limit_per_s,
                "to_limited" => counts.to_limited, "leaving" => occupancy.leaving, "resting" => occupancy.resting, "strain" => it.strain);
            if !idle.is_empty() {
                info!(self.log, "endpoints without work"; "service" => name,
                    "dispatched_here" => is_fleet, "endpoints" => state.service.endpoints.len(),
                    "idle" => idle.join(" "));
            }
        }
    }
}

/// Messages to peers that take longer than this were lost, or waited beside what else a link carries.
const SLOW_MESSAGE: Duration = Duration::from_millis(40);

impl Control {
    /// Counts a message to a peer that was acknowledged after `it`.
    pub(super) fn note_acknowledged(&mut self, it: Duration) {
        self.metrics.note_acknowledged(it);
        self.acknowledged.push(it);
    }

    /// Logs how long messages to peers took in a second in which one of them was slow.
    pub(super) fn log_acknowledged(&mut self) {
        let mut took = std::mem::take(&mut self.acknowledged);
        took.sort_unstable();
        let Some(longest) = took.last().filter(|it| **it > SLOW_MESSAGE) else { return };
        let ms = |it: &Duration| it.as_secs_f64() * 1e3;
        info!(self.log, "messages to peers slow"; "messages" => took.len(),
            "slow" => took.iter().filter(|it| **it > SLOW_MESSAGE).count(),
            "middle_ms" => ms(&took[took.len() / 2]), "longest_ms" => ms(longest));
    }

    /// Logs what an endpoint says of itself and this node did not know.
    pub(super) fn log_notice(&self, service: u64, it: &Noticed) {
        let Some(state) = self.services.get(service) else { return };
        let (service, endpoint) = (state.service.name.as_str(), it.endpoint.as_str());
        let dispatched_here = state.own.is_some();
        match it.notice {
            Notice::RateLimit(limit) => info!(self.log, "endpoint rate limit";
                "service" => service, "endpoint" => endpoint, "dispatched_here" => dispatched_here,
                "per_s" => limit.map(RateLimit::per_second)),
            Notice::Leaving => info!(self.log, "endpoint says that it leaves";
                "service" => service, "endpoint" => endpoint, "dispatched_here" => dispatched_here),
            Notice::Backoff(length) => info!(self.log, "endpoint asks for rest";
                "service" => service, "endpoint" => endpoint, "dispatched_here" => dispatched_here,
                "node" => self.addr_of(it.by), "ms" => length.as_millis() as u64),
        }
    }
}

fn name_idle(now: Time, it: &Dispatcher) -> Vec<String> {
    it.idle_endpoints(now).take(MAX_NAMED).map(|it| describe(&it)).collect()
}

/// One endpoint in few signs, so that a line stays short; docs/OPERATIONS.md names the places.
fn describe(it: &IdleEndpoint) -> String {
    let ms = |it: Option<Duration>| it.map(|it| it.as_millis() as u64);
    json!([
        it.id.as_str(),
        it.state,
        it.used,
        it.is_missing,
        (it.sick * 100.0) as u32,
        ms(it.idle),
        ms(it.since_failure),
        it.in_use,
        ms(it.oldest_open)
    ])
    .to_string()
}
