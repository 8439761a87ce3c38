//! Metrics of the request path. The number of label values does not depend on the number of
//! endpoints or routes.

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};

/// Metrics of the request path.
#[derive(Clone)]
pub struct Metrics {
    /// Requests by outcome.
    pub requests: IntCounterVec,
    /// Requests that were given up without an answer from an endpoint, by cause.
    pub given_up: IntCounterVec,
    /// Requests rejected because their caller is not authorized, by reason.
    pub denied: IntCounterVec,
    /// Sends to endpoints by outcome.
    pub sends: IntCounterVec,
    /// Attempts to open a connection to an endpoint, by outcome.
    pub connections: IntCounterVec,
    /// Connections to endpoints through another node that were asked for, by outcome.
    pub detours: IntCounterVec,
    /// First sends of a request that an endpoint refused before running it.
    pub first_shed: IntCounter,
    /// Hedged sends.
    pub hedges: IntCounter,
    /// Downloads resumed on another endpoint.
    pub resumes: IntCounter,
    /// Requests that arrived after the signal of a planned stop.
    pub arrived_late: IntCounter,
    /// Requests that ended before their answer was complete, by how far they had come.
    pub cut: IntCounterVec,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Memory used by long request bodies that are kept for a repeat, in bytes.
    pub held_body_bytes: IntGauge,
    /// Memory used by long answers that are buffered until they are complete and read, in bytes.
    pub held_answer_bytes: IntGauge,
    /// Time from a request's head to the head of its answer by outcome, in seconds.
    pub latency: HistogramVec,
    /// Time that a send waits for its slot, in seconds.
    pub slot_wait: Histogram,
}

impl Metrics {
    /// Creates the metrics and registers them.
    pub fn register(registry: &Registry) -> prometheus::Result<Self> {
        let counter = |name: &str, help: &str| IntCounter::new(name, help);
        let by_outcome =
            |name: &str, help: &str| IntCounterVec::new(Opts::new(name, help), &["outcome"]);
        let slot_wait = HistogramOpts::new("dappleway_slot_wait_seconds", "Time to get a slot.")
            .buckets(prometheus::exponential_buckets(0.00005, 2.0, 16)?);
        let latency = HistogramOpts::new(
            "dappleway_request_seconds",
            "Time from a request's head to the head of its answer by outcome.",
        )
        .buckets(prometheus::exponential_buckets(0.001, 2.0, 14)?);
        let metrics = Self {
            requests: by_outcome("dappleway_requests_total", "Requests by outcome.")?,
            given_up: IntCounterVec::new(
                Opts::new(
                    "dappleway_given_up_total",
                    "Requests given up without an answer from an endpoint, by cause.",
                ),
                &["cause"],
            )?,
            denied: IntCounterVec::new(
                Opts::new(
                    "dappleway_denied_total",
                    "Requests rejected because their caller is not authorized, by reason.",
                ),
                &["why"],
            )?,
            sends: by_outcome("dappleway_sends_total", "Sends to endpoints by outcome.")?,
            connections: by_outcome(
                "dappleway_endpoint_connections_total",
                "Attempts to open a connection to an endpoint by outcome.",
            )?,
            detours: by_outcome(
                "dappleway_detours_total",
                "Connections to endpoints through another node that were asked for, by outcome.",
            )?,
            first_shed: counter(
                "dappleway_first_sends_shed_total",
                "First sends that an endpoint refused before running them.",
            )?,
            hedges: counter("dappleway_hedges_total", "Hedged sends.")?,
            resumes: counter("dappleway_resumes_total", "Downloads resumed on another endpoint.")?,
            arrived_late: counter(
                "dappleway_requests_during_stop_total",
                "Requests that arrived after the signal of a planned stop.",
            )?,
            cut: IntCounterVec::new(
                Opts::new(
                    "dappleway_requests_cut_total",
                    "Requests that ended before their answer was complete, by how far they had come.",
                ),
                &["stage"],
            )?,
            in_flight: IntGauge::new("dappleway_requests_in_flight", "Requests in flight.")?,
            held_body_bytes: IntGauge::new(
                "dappleway_held_body_bytes",
                "Memory used by long request bodies that are kept for a repeat.",
            )?,
            held_answer_bytes: IntGauge::new(
                "dappleway_held_answer_bytes",
                "Memory used by long answers that are buffered until they are complete and read.",
            )?,
            latency: HistogramVec::new(latency, &["outcome"])?,
            slot_wait: Histogram::with_opts(slot_wait)?,
        };
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.given_up.clone()))?;
        registry.register(Box::new(metrics.denied.clone()))?;
        registry.register(Box::new(metrics.sends.clone()))?;
        registry.register(Box::new(metrics.connections.clone()))?;
        registry.register(Box::new(metrics.detours.clone()))?;
        registry.register(Box::new(metrics.first_shed.clone()))?;
        registry.register(Box::new(metrics.hedges.clone()))?;
        registry.register(Box::new(metrics.resumes.clone()))?;
        registry.register(Box::new(metrics.arrived_late.clone()))?;
        registry.register(Box::new(metrics.cut.clone()))?;
        registry.register(Box::new(metrics.in_flight.clone()))?;
        registry.register(Box::new(metrics.held_body_bytes.clone()))?;
        registry.register(Box::new(metrics.held_answer_bytes.clone()))?;
        registry.register(Box::new(metrics.latency.clone()))?;
        registry.register(Box::new(metrics.slot_wait.clone()))?;
        Ok(metrics)
    }
}
