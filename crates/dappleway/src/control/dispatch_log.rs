//! Log lines about slots, written once a second for each service whose slots this node hands out: the requests and
//! their outcomes, and the endpoints that were idle while some requests were not served.

use std::time::Duration;

use policy::{
    DispatchCounts, Dispatcher, DomainLoad, FarReason, IdleEndpoint, Notice, Occupancy,
    PriorityCounts, RateLimit, Refusal, Time,
};
use resources::Name;
use serde_json::json;
use slog::info;

use super::Control;
use crate::services::{EndpointNotice, Scope, ServiceState};

/// Maximum number of idle endpoints in one line.
const MAX_IDLE_LOGGED: usize = 24;

/// Data of one log line about a dispatcher.
struct DispatchLine {
    service: u64,
    scope: Scope,
    counts: DispatchCounts,
    occupancy: Occupancy,
    queued: usize,
    pressure: &'static str,
    /// Load in the failure domains of the dispatcher's endpoints.
    loads: Vec<DomainLoad>,
    /// Descriptions of the idle endpoints.
    idle: Vec<String>,
}

impl Control {
    /// Logs the slots that this node handed out since the last call.
    pub(super) fn log_dispatch(&mut self, now: Time) {
        let mut lines = Vec::new();
        self.services.for_each(|service, scope, it| {
            let counts = it.take_counts();
            if counts != DispatchCounts::default() {
                let idle = if it.is_under_pressure() { describe_idle(now, it) } else { Vec::new() };
                lines.push(DispatchLine {
                    service,
                    scope,
                    counts,
                    occupancy: it.occupancy(now),
                    queued: it.queued(),
                    pressure: it.pressure_name(),
                    loads: if scope.is_fleet() { it.domain_loads(now) } else { Vec::new() },
                    idle,
                });
            }
        });
        for it in lines {
            let Some(state) = self.services.get(it.service) else { continue };
            let (name, is_fleet) = (state.service.name.as_str(), it.scope.is_fleet());
            let DispatchLine { counts, occupancy, idle, .. } = it;
            let domain = match it.scope {
                Scope::Fleet(Some(hash)) => state.domains().name(hash).map(Name::as_str),
                _ => None,
            };
            let loads = describe_loads(state, &it.loads);
            let remote: Vec<DomainLoad> = match domain {
                Some(_) => state.remote_loads(now),
                None => Vec::new(),
            };
            self.metrics.count_permits(&counts);
            self.metrics.count_placements(name, &counts);
            info!(self.log, "slots handed out"; "service" => name, "dispatched_here" => is_fleet,
                "failure_domain" => domain, "loads" => loads,
                "remote_loads" => describe_loads(state, &remote),
                "first_sends" => counts.first, "repeats" => counts.repeats,
                "repeats_refused" => counts.repeats_refused, "answered" => counts.answered,
                "failed" => counts.failed, "timed_out" => counts.timed_out,
                "shed_last" => counts.shed_last, "queue_refused" => counts.queue_refused,
                "refused_why" => describe_refusals(&counts), "by_priority" => describe_priorities(&counts),
                "early_returns" => counts.early_returns,
                "waited_in_vain" => counts.expired_waiting, "withdrawn" => counts.withdrawn,
                "rejected" => counts.rejected,
                "unserved_elsewhere" => counts.unserved_elsewhere,
                "refused_before" => counts.refused_before_dispatch, "queued" => it.queued,
                "released" => counts.released, "freed_early" => counts.freed_early, "expired" => counts.expired,
                "in_use" => occupancy.in_use, "travelling" => occupancy.in_transit, "expected" => occupancy.expected,
                "sound" => occupancy.healthy, "sound_idle" => occupancy.healthy_idle,
                "limited" => occupancy.limited, "limit_per_s" => occupancy.limit_per_s,
                "to_limited" => counts.to_limited,
                "refused_as_shed" => counts.refused_as_shed, "limits_lowered" => counts.limits_lowered,
                "withheld" => occupancy.withheld, "shedding" => occupancy.shedding, "leaving" => occupancy.leaving, "resting" => occupancy.with_backoffs, "strain" => it.pressure,
                "near" => counts.near, "far" => counts.far.total(),
                "far_no_endpoint" => counts.far.of(FarReason::NoEndpoint),
                "far_overflow" => counts.far.of(FarReason::Overflow),
                "far_health" => counts.far.of(FarReason::Health),
                "far_floor" => counts.far.of(FarReason::Floor),
                "redirected" => counts.redirected.total());
            if !idle.is_empty() {
                info!(self.log, "endpoints without work"; "service" => name,
                    "dispatched_here" => is_fleet, "endpoints" => state.service.endpoints.len(),
                    "idle" => idle.join(" "));
            }
        }
    }
}

/// Acknowledgement time above which a message counts as slow: acknowledgements are joined for up to 20 ms. Such a
/// message was lost and resent, or was delayed by other traffic on the link.
const SLOW_ACK: Duration = Duration::from_millis(60);

impl Control {
    /// Records the time until a peer acknowledged a message.
    pub(super) fn record_ack_time(&mut self, it: Duration) {
        self.metrics.observe_ack_time(it);
        self.ack_times.push(it);
    }

    /// Logs the acknowledgement times since the last call if one of them was slow.
    pub(super) fn log_slow_acks(&mut self) {
        let mut times = std::mem::take(&mut self.ack_times);
        times.sort_unstable();
        let Some(longest) = times.last().filter(|it| **it > SLOW_ACK) else { return };
        let ms = |it: &Duration| it.as_secs_f64() * 1e3;
        info!(self.log, "messages to peers slow"; "messages" => times.len(),
            "slow" => times.iter().filter(|it| **it > SLOW_ACK).count(),
            "middle_ms" => ms(&times[times.len() / 2]), "longest_ms" => ms(longest));
    }

    /// Logs a notice from an endpoint.
    pub(super) fn log_notice(&self, service: u64, it: &EndpointNotice) {
        let Some(state) = self.services.get(service) else { return };
        let (service, endpoint) = (state.service.name.as_str(), it.endpoint.as_str());
        let dispatched_here = !state.fleet.is_empty();
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

/// Describes loads as JSON arrays: failure domain, usable slots, slots in use, queued, served and unserved requests.
fn describe_loads(service: &ServiceState, loads: &[DomainLoad]) -> String {
    let describe = |it: &DomainLoad| {
        let name = service.domains().name(it.failure_domain).map(Name::as_str);
        let rounded = |it: f32| (f64::from(it) * 10.0).round() / 10.0;
        json!([
            name,
            rounded(it.usable),
            it.in_use,
            it.queued,
            rounded(it.served),
            rounded(it.unserved)
        ])
        .to_string()
    };
    loads.iter().map(describe).collect::<Vec<_>>().join(" ")
}

/// Refusals by reason, such as `queue-full 3, evicted 1`.
fn describe_refusals(counts: &DispatchCounts) -> String {
    let reasons = Refusal::ALL.into_iter().zip(counts.refusals);
    let seen = reasons.filter(|(_, n)| *n > 0).map(|(it, n)| format!("{} {n}", it.name()));
    seen.collect::<Vec<_>>().join(", ")
}

/// Requests queued, refused and evicted by priority, such as `0: 5/0/0, 2: 9/4/1`.
fn describe_priorities(counts: &DispatchCounts) -> String {
    let all = counts.by_priority.iter().enumerate();
    let seen = all.filter(|(_, it)| **it != PriorityCounts::default());
    let text = seen.map(|(i, it)| format!("{i}: {}/{}/{}", it.queued, it.refused, it.evicted));
    text.collect::<Vec<_>>().join(", ")
}

fn describe_idle(now: Time, it: &Dispatcher) -> Vec<String> {
    it.idle_endpoints(now).take(MAX_IDLE_LOGGED).map(|it| describe_endpoint(&it)).collect()
}

/// Describes an endpoint as a JSON array, which keeps the line short; docs/OPERATIONS.md documents the elements.
fn describe_endpoint(it: &IdleEndpoint) -> String {
    let ms = |it: Option<Duration>| it.map(|it| it.as_millis() as u64);
    json!([
        it.id.as_str(),
        it.state,
        it.usage,
        it.is_missing,
        (it.p_unhealthy * 100.0) as u32,
        ms(it.idle),
        ms(it.since_failure),
        it.in_use,
        ms(it.oldest_open)
    ])
    .to_string()
}
