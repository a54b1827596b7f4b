//! Metrics of the daemon, rendered in the Prometheus text format.
//!
//! All metrics are registered at start, so that the counter of each reason is shown as 0 before the
//! reason first occurs.

use metrics::{Counter, Gauge, Histogram, counter, gauge, histogram, with_local_recorder};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle, PrometheusRecorder};
use waxwing_types::{RefusalReason, RetryReason};

/// Upper bounds of the histogram buckets in seconds.
const BUCKET_BOUNDS: &[f64] = &[
    0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0,
];

/// Builds a recorder whose histograms use [`BUCKET_BOUNDS`].
pub(crate) fn recorder() -> PrometheusRecorder {
    let builder = PrometheusBuilder::new();
    // `set_buckets` fails only for an empty list, and the list is a non-empty constant.
    let builder = builder
        .set_buckets(BUCKET_BOUNDS)
        .unwrap_or_else(|_| PrometheusBuilder::new());
    builder.build_recorder()
}

/// The metrics of one daemon.
pub(crate) struct Metrics {
    handle: PrometheusHandle,
    /// Refused requests, one counter per [`RefusalReason`] in the order of its variants.
    refusals: Vec<Counter>,
    /// Retried attempts, one counter per [`RetryReason`] in the order of its variants.
    retries: Vec<Counter>,
    /// Requests received.
    pub(crate) requests: Counter,
    /// Look-ups of entry VMs that were answered.
    pub(crate) lookups: Counter,
    /// Attempts sent to other regions.
    pub(crate) region_forwards: Counter,
    /// Callers that disconnected before the response was complete.
    pub(crate) caller_disconnects: Counter,
    /// Failed calls to other entry VMs.
    pub(crate) peer_failures: Counter,
    /// Failed calls to the store.
    pub(crate) store_failures: Counter,
    /// Connections closed because too many were open.
    pub(crate) connections_refused: Counter,
    /// Panics caught in worker threads.
    pub(crate) panics: Counter,
    /// Seconds from the arrival of a request to the head of its response.
    pub(crate) latency: Histogram,
    /// Seconds from the arrival of a request to the start of its first attempt.
    pub(crate) added_latency: Histogram,
    /// Duration of a store call on an idempotency record, in seconds.
    pub(crate) store_latency: Histogram,
    /// Revision of the configuration in use.
    pub(crate) config_revision: Gauge,
    /// Age of the configuration in use, in seconds.
    pub(crate) config_age: Gauge,
    /// Shards of rate limits that this VM owns.
    pub(crate) shards_owned: Gauge,
    /// Requests waiting in the fair queue.
    pub(crate) queue_length: Gauge,
    /// Requests that are not finished.
    pub(crate) requests_running: Gauge,
    /// Open connections of callers.
    pub(crate) connections: Gauge,
    /// Idle connections to targets.
    pub(crate) idle_connections: Gauge,
    /// 1 if the daemon is ready, else 0.
    pub(crate) ready: Gauge,
}

impl Metrics {
    /// Registers all metrics in a new recorder, which no other daemon in the process shares.
    pub(crate) fn new() -> Self {
        let recorder = recorder();
        let handle = recorder.handle();
        with_local_recorder(&recorder, || Self::register(handle))
    }

    /// Registers all metrics in the current recorder.
    fn register(handle: PrometheusHandle) -> Self {
        let refusal_counter =
            |r: &RefusalReason| counter!("waxwing_refusals_total", "reason" => r.as_str());
        let retry_counter =
            |reason: &RetryReason| counter!("waxwing_retries_total", "reason" => reason.as_str());
        Self {
            handle,
            refusals: RefusalReason::ALL.iter().map(refusal_counter).collect(),
            retries: RetryReason::ALL.iter().map(retry_counter).collect(),
            requests: counter!("waxwing_requests_total"),
            lookups: counter!("waxwing_lookups_total"),
            region_forwards: counter!("waxwing_forwards_total"),
            caller_disconnects: counter!("waxwing_abandoned_total"),
            peer_failures: counter!("waxwing_peer_failures_total"),
            store_failures: counter!("waxwing_store_failures_total"),
            connections_refused: counter!("waxwing_connections_refused_total"),
            panics: counter!("waxwing_panics_total"),
            latency: histogram!("waxwing_response_seconds"),
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

    /// Increments the counter of a refusal reason.
    pub(crate) fn count_refusal(&self, reason: RefusalReason) {
        self.refusals[reason as usize].increment(1);
    }

    /// Increments the counter of a retry reason.
    pub(crate) fn count_retry(&self, reason: RetryReason) {
        self.retries[reason as usize].increment(1);
    }
}

impl Metrics {
    /// Renders all metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> String {
        self.handle.render()
    }

    /// Sorts the recorded histogram samples into buckets. Has to be called regularly: samples
    /// otherwise accumulate in memory until the metrics are rendered, which may never happen.
    pub(crate) fn run_upkeep(&self) {
        self.handle.run_upkeep();
    }
}
