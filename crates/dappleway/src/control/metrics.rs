//! Metrics of the control thread: endpoints, repeats, the platform and the configuration in force. The number of
//! label values does not grow with services, endpoints or nodes, only with failure domains.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::ServedFetch;
use policy::{DispatchCounts, FarReason, Refusal, State, Time};
use prometheus::{
    Gauge, GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry,
};
use rustc_hash::FxHashMap;

use super::Control;
use super::exchange::FarTraffic;
use crate::services::SendCounts;

/// Metrics of the control thread.
pub struct ControlMetrics {
    endpoints: IntGaugeVec,
    repeats: IntCounterVec,
    budget: GaugeVec,
    queued: IntGauge,
    platform_calls: IntCounter,
    platform_age: Gauge,
    config_version: IntGauge,
    config_age: Gauge,
    config_behind: Gauge,
    platform_failures: IntCounter,
    platform_era: IntGauge,
    registry_revision: IntGauge,
    nodes: IntGauge,
    first_sends: IntCounter,
    asks: IntCounterVec,
    permits: IntCounterVec,
    /// Sends granted, by service and placement.
    placements: IntCounterVec,
    /// Redirected requests, by service and reason.
    redirects_answered: IntCounterVec,
    contention: IntCounterVec,
    refusals: IntCounterVec,
    peer_messages: IntCounterVec,
    unacknowledged: IntGauge,
    acknowledged: Histogram,
    admissions: IntCounterVec,
    fetches: FetchesServed,
    by_domain: IntGauge,
    cut_off: IntGauge,
    domain_slots: GaugeVec,
    sends_by_distance: IntCounterVec,
    redirects: IntCounterVec,
    far_frames: IntCounterVec,
    far_bytes: IntCounterVec,
}

/// Metrics of the fetches that this node served to peers.
#[derive(Clone)]
pub struct FetchesServed {
    count: IntCounterVec,
    bytes: IntCounter,
}

impl FetchesServed {
    fn new() -> prometheus::Result<Self> {
        let count = Opts::new(
            "dappleway_fetches_served_total",
            "Fetches by peers that this node served, by outcome.",
        );
        Ok(Self {
            count: IntCounterVec::new(count, &["outcome"])?,
            bytes: IntCounter::new(
                "dappleway_fetches_served_bytes_total",
                "Bytes sent to peers in answer to their fetches.",
            )?,
        })
    }

    /// Counts a fetch that has ended.
    pub fn record(&self, it: &ServedFetch) {
        self.count.with_label_values(&[it.outcome.name()]).inc();
        self.bytes.inc_by(it.bytes as u64);
    }
}

impl ControlMetrics {
    /// Sets whether this node reaches no endpoint itself.
    pub(super) fn set_cut_off(&self, is_cut_off: bool) {
        self.cut_off.set(is_cut_off.into());
    }

    /// Creates the metrics and registers them.
    pub fn register(registry: &Registry) -> prometheus::Result<Self> {
        let gauge = |name: &str, help: &str| -> prometheus::Result<IntGauge> {
            let it = IntGauge::new(name, help)?;
            registry.register(Box::new(it.clone()))?;
            Ok(it)
        };
        let seconds = |name: &str, help: &str| -> prometheus::Result<Gauge> {
            let it = Gauge::new(name, help)?;
            registry.register(Box::new(it.clone()))?;
            Ok(it)
        };
        let it = Self {
            endpoints: IntGaugeVec::new(
                Opts::new("dappleway_endpoints", "Endpoints by state, as this node sees them."),
                &["state"],
            )?,
            repeats: IntCounterVec::new(
                Opts::new(
                    "dappleway_repeats_total",
                    "Sends beyond the first that dispatchers of this node were asked for, by outcome.",
                ),
                &["outcome"],
            )?,
            budget: GaugeVec::new(
                Opts::new(
                    "dappleway_repeat_budget",
                    "Repeats in the current window, allowed and spent, for services that this node dispatches.",
                ),
                &["part"],
            )?,
            queued: gauge("dappleway_queued", "Requests queued for a slot at this node.")?,
            platform_calls: IntCounter::new(
                "dappleway_platform_calls_total",
                "Calls of this node to the platform.",
            )?,
            platform_age: seconds(
                "dappleway_platform_age_seconds",
                "Time since the platform last answered this node or a node that reported the answer to this one.",
            )?,
            config_version: gauge(
                "dappleway_config_version",
                "Version of the configuration in force; 0 for none.",
            )?,
            config_age: seconds(
                "dappleway_config_age_seconds",
                "Time since the configuration came into force at this node.",
            )?,
            config_behind: seconds(
                "dappleway_config_behind_seconds",
                "Time since a newer configuration, not in force at this node yet, is known to exist; 0 for none.",
            )?,
            platform_failures: IntCounter::new(
                "dappleway_platform_failures_total",
                "Reads of the platform that failed.",
            )?,
            platform_era: gauge(
                "dappleway_platform_era",
                "Latest known era of the platform; it rises when the platform is restored from an older copy.",
            )?,
            registry_revision: gauge(
                "dappleway_registry_revision",
                "Platform revision up to which all changes of the endpoints are known.",
            )?,
            nodes: gauge(
                "dappleway_nodes",
                "Known nodes of the fleet, this one included.",
            )?,
            first_sends: IntCounter::new(
                "dappleway_first_sends_total",
                "First sends of requests that dispatchers of this node were asked for; the repeat budget grows with them.",
            )?,
            asks: IntCounterVec::new(
                Opts::new(
                    "dappleway_asks_total",
                    "Asks of this node for slots that failed at first: unanswered, or followed by this node picking an endpoint itself.",
                ),
                &["outcome"],
            )?,
            permits: IntCounterVec::new(
                Opts::new(
                    "dappleway_permits_ended_total",
                    "Slots handed out by this node that became free: released, freed_early when the answer began, or expired without renewal.",
                ),
                &["how"],
            )?,
            placements: IntCounterVec::new(
                Opts::new(
                    "dappleway_placements_total",
                    "Sends granted by this node, by service and placement: near, or far with the reason.",
                ),
                &["service", "placement"],
            )?,
            redirects_answered: IntCounterVec::new(
                Opts::new(
                    "dappleway_redirects_answered_total",
                    "Requests that this node redirected to another failure domain, by service and reason.",
                ),
                &["service", "reason"],
            )?,
            contention: IntCounterVec::new(
                Opts::new(
                    "dappleway_contention_total",
                    "Requests that found no slot at this node, by priority (3 for 3 and above): queued, refused, or evicted from the queue.",
                ),
                &["priority", "event"],
            )?,
            refusals: IntCounterVec::new(
                Opts::new(
                    "dappleway_slot_refusals_total",
                    "Requests that this node refused a slot, by reason.",
                ),
                &["reason"],
            )?,
            peer_messages: IntCounterVec::new(
                Opts::new(
                    "dappleway_peer_messages_total",
                    "Permit messages to peers that were not acknowledged in time: sent again, or given up.",
                ),
                &["outcome"],
            )?,
            unacknowledged: gauge(
                "dappleway_peer_messages_unacknowledged",
                "Permit messages to peers that are not acknowledged yet.",
            )?,
            acknowledged: Histogram::with_opts(
                HistogramOpts::new(
                    "dappleway_peer_acknowledged_seconds",
                    "Time from the first send of a permit message to its acknowledgement by the peer.",
                )
                .buckets(vec![0.002, 0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.3, 3.0]),
            )?,
            admissions: IntCounterVec::new(
                Opts::new(
                    "dappleway_allowance_requests_total",
                    "Requests of limited organisations at this node: granted, refused, or decided by its own share alone.",
                ),
                &["outcome"],
            )?,
            fetches: FetchesServed::new()?,
            cut_off: gauge(
                "dappleway_cut_off",
                "1 while this node reaches no endpoint itself.",
            )?,
            by_domain: gauge(
                "dappleway_services_by_failure_domain",
                "Services of which each failure domain has a dispatching node of its own.",
            )?,
            domain_slots: GaugeVec::new(
                Opts::new(
                    "dappleway_domain_slots",
                    "Slots usable and in use and requests queued by failure domain, summed over the services whose loads this node knows.",
                ),
                &["failure_domain", "part"],
            )?,
            sends_by_distance: IntCounterVec::new(
                Opts::new(
                    "dappleway_sends_by_distance_total",
                    "Slots granted to requests of this node, in its own failure domain (near) and in others (far).",
                ),
                &["distance"],
            )?,
            redirects: IntCounterVec::new(
                Opts::new(
                    "dappleway_redirects_total",
                    "Requests of this node that asked for a slot in another failure domain, by reason; returned: no node answered there.",
                ),
                &["reason"],
            )?,
            far_frames: IntCounterVec::new(
                Opts::new(
                    "dappleway_far_frames_total",
                    "Frames sent to nodes of other failure domains: about slots and allowances, or control.",
                ),
                &["kind"],
            )?,
            far_bytes: IntCounterVec::new(
                Opts::new(
                    "dappleway_far_bytes_total",
                    "Bytes of frames sent to nodes of other failure domains: about slots and allowances, or control.",
                ),
                &["kind"],
            )?,
        };
        registry.register(Box::new(it.endpoints.clone()))?;
        registry.register(Box::new(it.repeats.clone()))?;
        registry.register(Box::new(it.budget.clone()))?;
        registry.register(Box::new(it.platform_calls.clone()))?;
        registry.register(Box::new(it.platform_failures.clone()))?;
        registry.register(Box::new(it.first_sends.clone()))?;
        registry.register(Box::new(it.asks.clone()))?;
        registry.register(Box::new(it.permits.clone()))?;
        registry.register(Box::new(it.placements.clone()))?;
        registry.register(Box::new(it.redirects_answered.clone()))?;
        registry.register(Box::new(it.contention.clone()))?;
        registry.register(Box::new(it.refusals.clone()))?;
        registry.register(Box::new(it.peer_messages.clone()))?;
        registry.register(Box::new(it.acknowledged.clone()))?;
        registry.register(Box::new(it.admissions.clone()))?;
        registry.register(Box::new(it.fetches.count.clone()))?;
        registry.register(Box::new(it.fetches.bytes.clone()))?;
        registry.register(Box::new(it.domain_slots.clone()))?;
        registry.register(Box::new(it.sends_by_distance.clone()))?;
        registry.register(Box::new(it.redirects.clone()))?;
        registry.register(Box::new(it.far_frames.clone()))?;
        registry.register(Box::new(it.far_bytes.clone()))?;
        Ok(it)
    }

    /// Adds the counts of slots that became free.
    pub fn count_permits(&self, counts: &DispatchCounts) {
        self.permits.with_label_values(&["released"]).inc_by(counts.released.into());
        self.permits.with_label_values(&["freed_early"]).inc_by(counts.freed_early.into());
        self.permits.with_label_values(&["expired"]).inc_by(counts.expired.into());
        for (priority, it) in counts.by_priority.iter().enumerate() {
            let priority = priority.to_string();
            for (event, n) in
                [("queued", it.queued), ("refused", it.refused), ("evicted", it.evicted)]
            {
                self.contention.with_label_values(&[&priority, event]).inc_by(n.into());
            }
        }
        for (reason, n) in Refusal::ALL.into_iter().zip(counts.refusals) {
            self.refusals.with_label_values(&[reason.name()]).inc_by(n.into());
        }
    }

    /// Adds the counts of near and far sends and of redirected requests.
    pub fn count_placements(&self, service: &str, counts: &DispatchCounts) {
        let add = |counter: &IntCounterVec, label: &str, n: u32| {
            if n > 0 {
                counter.with_label_values(&[service, label]).inc_by(n.into());
            }
        };
        add(&self.placements, "near", counts.near);
        for reason in FarReason::ALL {
            add(&self.placements, reason.name(), counts.far.of(reason));
            add(&self.redirects_answered, reason.name(), counts.redirected.of(reason));
        }
    }

    /// Counts a read of the platform that failed.
    pub fn count_platform_failure(&self) {
        self.platform_failures.inc();
    }

    /// Records the time until a peer acknowledged a message.
    pub fn observe_ack_time(&self, it: Duration) {
        self.acknowledged.observe(it.as_secs_f64());
    }

    /// Metrics for the task that serves fetches of peers.
    pub fn fetches_served(&self) -> FetchesServed {
        self.fetches.clone()
    }
}

/// Raises a counter to a sum that is kept elsewhere. The sum decreases only when the object that keeps it is
/// dropped; the counter then keeps its value.
fn raise_to(counter: &IntCounter, to: u64) {
    counter.inc_by(to.saturating_sub(counter.get()));
}

impl Control {
    /// Updates all metrics that are derived from the control state.
    pub(super) fn update_metrics(&mut self, now: Time) {
        let mut states: FxHashMap<&'static str, i64> = FxHashMap::default();
        for it in self.services.iter() {
            for (dispatcher, i) in it.endpoint_views(now) {
                let state = dispatcher.endpoints()[i].state;
                *states.entry(State::name(state)).or_default() += 1;
            }
        }
        let (mut queued, mut granted, mut refused, mut first) = (0, 0, 0, 0);
        let (mut allowed, mut spent) = (0.0, 0.0);
        self.services.for_each(|_, scope, it| {
            queued += it.queued() as i64;
            let repeats = it.repeats(now);
            granted += repeats.granted;
            refused += repeats.refused;
            first += repeats.first_total;
            if scope.is_fleet() && it.is_dispatching(now) {
                allowed += repeats.allowed;
                spent += repeats.spent;
            }
        });
        let it = &self.metrics;
        for state in State::NAMES {
            let count = states.get(state).copied().unwrap_or_default();
            it.endpoints.with_label_values(&[state]).set(count);
        }
        it.queued.set(queued);
        raise_to(&it.repeats.with_label_values(&["granted"]), granted);
        raise_to(&it.repeats.with_label_values(&["refused"]), refused);
        it.budget.with_label_values(&["allowed"]).set(allowed);
        it.budget.with_label_values(&["spent"]).set(spent);
        raise_to(&it.first_sends, first);
        raise_to(&it.asks.with_label_values(&["unanswered"]), self.client.timeouts);
        raise_to(&it.asks.with_label_values(&["picked_alone"]), self.client.direct);
        raise_to(&it.peer_messages.with_label_values(&["resent"]), self.delivery.resent);
        raise_to(&it.peer_messages.with_label_values(&["given_up"]), self.delivery.given_up);
        it.unacknowledged.set(self.delivery.held() as i64);
        raise_to(&it.admissions.with_label_values(&["granted"]), self.allowances.granted);
        raise_to(&it.admissions.with_label_values(&["refused"]), self.allowances.refused);
        raise_to(&it.admissions.with_label_values(&["alone"]), self.allowances.decided_alone());
        raise_to(&it.platform_calls, self.platform_calls);
        let versions = self.exchange.replica().versions();
        it.config_version.set(versions.config as i64);
        it.platform_era.set(versions.registry.era as i64);
        it.registry_revision.set(versions.registry.revision as i64);
        it.config_age.set(now.since(self.in_force_since).as_secs_f64());
        it.config_behind.set(self.exchange.reader_election().behind_for(now).as_secs_f64());
        it.platform_age
            .set(self.exchange.reader_election().time_since_confirmation(now).as_secs_f64());
        it.nodes.set(self.exchange.members().len() as i64 + 1);
        self.update_domain_metrics(now);
    }

    fn update_domain_metrics(&self, now: Time) {
        let it = &self.metrics;
        it.by_domain.set(self.services.dispatched_by_domain().count() as i64);
        let mut sums: BTreeMap<&str, [f64; 3]> = BTreeMap::new();
        let mut sends = SendCounts::default();
        for service in self.services.iter() {
            sends.near += service.sends.near;
            sends.far += service.sends.far;
            for load in service.known_loads(now) {
                let Some(name) = service.domains().name(load.failure_domain) else { continue };
                let sum = sums.entry(name.as_str()).or_default();
                sum[0] += f64::from(load.usable);
                sum[1] += f64::from(load.in_use);
                sum[2] += f64::from(load.queued);
            }
        }
        // Failure domains whose loads are not known any more have no value.
        it.domain_slots.reset();
        for (name, [usable, in_use, queued]) in sums {
            for (part, value) in [("usable", usable), ("in_use", in_use), ("queued", queued)] {
                it.domain_slots.with_label_values(&[name, part]).set(value);
            }
        }
        raise_to(&it.sends_by_distance.with_label_values(&["near"]), sends.near);
        raise_to(&it.sends_by_distance.with_label_values(&["far"]), sends.far);
        for (reason, count) in self.client.redirects.by_reason() {
            raise_to(&it.redirects.with_label_values(&[reason.name()]), count);
        }
        raise_to(&it.redirects.with_label_values(&["returned"]), self.client.redirects.returned);
        let FarTraffic { slots, control } = self.far_traffic;
        for (kind, count) in [("slots", slots), ("control", control)] {
            raise_to(&it.far_frames.with_label_values(&[kind]), count.frames);
            raise_to(&it.far_bytes.with_label_values(&[kind]), count.bytes);
        }
    }
}
