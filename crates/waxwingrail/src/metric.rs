//! Metrics of one daemon, rendered as Prometheus text.
//!
//! Every counter is registered at start, so that each reason shows as 0 before it first occurs.

use metrics::{Counter, Gauge, Histogram, counter, gauge, histogram, with_local_recorder};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle, PrometheusRecorder};
use waxwing_types::{RefusalReason, RetryReason};

/// Upper bounds of the histograms' buckets in seconds.
const BUCKETS: &[f64] = &[
    0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0,
];

/// A recorder whose histograms have the buckets of this module.
pub(crate) fn recorder() -> PrometheusRecorder {
    let builder = PrometheusBuilder::new();
    // An empty list of buckets is the only cause of an error, and the list is a constant.
    let builder = builder
        .set_buckets(BUCKETS)
        .unwrap_or_else(|_| PrometheusBuilder::new());
    builder.build_recorder()
}

/// The metrics of one daemon.
pub(crate) struct Metrics {
    handle: PrometheusHandle,
    refusals: Vec<Counter>,
    retries: Vec<Counter>,
    /// Requests that arrived.
    pub(crate) requests: Counter,
    /// Look-ups that were answered.
    pub(crate) lookups: Counter,
    /// Requests passed on to other regions.
    pub(crate) region_forwards: Counter,
    /// Callers that went away before the response was complete.
    pub(crate) caller_disconnects: Counter,
    /// Calls to peers that failed.
    pub(crate) peer_failures: Counter,
    /// Calls to the store that failed.
    pub(crate) store_failures: Counter,
    /// Connections closed because too many were open.
    pub(crate) connections_refused: Counter,
    /// Panics caught in worker threads.
    pub(crate) panics: Counter,
    /// Seconds from arrival to the head of the response.
    pub(crate) response_latency: Histogram,
    /// Seconds from arrival to the first byte sent to a target or region.
    pub(crate) added_latency: Histogram,
    /// Seconds of a call to the store.
    pub(crate) store_latency: Histogram,
    /// Revision in force.
    pub(crate) config_revision: Gauge,
    /// Age of the configuration in seconds.
    pub(crate) config_age: Gauge,
    /// Shards of limits that this VM owns.
    pub(crate) shards_owned: Gauge,
    /// Requests in the fair queue.
    pub(crate) queue_length: Gauge,
    /// Requests in flight.
    pub(crate) requests_running: Gauge,
    /// Open connections of callers.
    pub(crate) connections: Gauge,
    /// Idle connections to targets.
    pub(crate) idle_connections: Gauge,
    /// Whether the daemon is ready, 0 or 1.
    pub(crate) ready: Gauge,
}

impl Metrics {
    /// Registers all metrics in a recorder of their own.
    pub(crate) fn new() -> Self {
        let recorder = recorder();
        let handle = recorder.handle();
        with_local_recorder(&recorder, || Self::register(handle))
    }

    fn register(handle: PrometheusHandle) -> Self {
        let refusal =
            |r: &RefusalReason| counter!("waxwing_refusals_total", "reason" => r.as_str());
        let retry = |r: &RetryReason| counter!("waxwing_retries_total", "reason" => r.as_str());
        Self {
            handle,
            refusals: RefusalReason::ALL.iter().map(refusal).collect(),
            retries: RetryReason::ALL.iter().map(retry).collect(),
            requests: counter!("waxwing_requests_total"),
            lookups: counter!("waxwing_lookups_total"),
            region_forwards: counter!("waxwing_forwards_total"),
            caller_disconnects: counter!("waxwing_abandoned_total"),
            peer_failures: counter!("waxwing_peer_failures_total"),
            store_failures: counter!("waxwing_store_failures_total"),
            connections_refused: counter!("waxwing_connections_refused_total"),
            panics: counter!("waxwing_panics_total"),
            response_latency: histogram!("waxwing_response_seconds"),
            added_latency: histogram!("waxwing_added_seconds"),
            store_latency: histogram!("waxwing_store_seconds"),
            config_revision: gauge!("waxwing_config_revision"),
            config_age: gauge!("waxwing_config_age_seconds"),
            shards_owned: gauge!("waxwing_shards_owned"),
            queue_length: gauge!("waxwing_queue_length"),
            requests_running: gauge!("waxwing_requests_running"),
            connections: gauge!("waxwing_connections"),
            idle_connections: gauge!("waxwing_idle_connections"),
            ready: gauge!("waxwing_ready"),
        }
    }

    /// Counts a refusal.
    pub(crate) fn count_refusal(&self, reason: RefusalReason) {
        self.refusals[reason as usize].increment(1);
    }

    /// Counts a retry.
    pub(crate) fn count_retry(&self, reason: RetryReason) {
        self.retries[reason as usize].increment(1);
    }
}

impl Metrics {
    /// The metrics as Prometheus text.
    pub(crate) fn render(&self) -> String {
        self.handle.render()
    }

    /// Moves the samples of the histograms into their buckets. Without it the samples pile up until
    /// the metrics are rendered, which may be never.
    pub(crate) fn run_upkeep(&self) {
        self.handle.run_upkeep();
    }
}
