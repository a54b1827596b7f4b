//! Metrics of one edge daemon, rendered as Prometheus text.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use metrics::{Counter, Gauge, Histogram, counter, gauge, histogram, with_local_recorder};
use metrics_exporter_prometheus::{PrometheusHandle, PrometheusRecorder};
use smol_str::SmolStr;
use waxwing_store::Family;
use waxwing_types::{RefusalReason, RetryReason, common_derives};

use crate::metric::recorder;

common_derives! {
    key
    /// How a request ended, as metrics show it.
    pub(crate) enum Outcome {
        /// A target answered below 500.
        Answered,
        /// A target answered 500 or above.
        Failed,
        /// The daemon answered.
        Refused,
    }
}

impl Outcome {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::Refused => "refused",
        }
    }
}

/// The metrics of one daemon. Those without further labels are registered at start, so that each shows
/// as 0 before it first occurs.
pub(crate) struct Metrics {
    recorder: Arc<PrometheusRecorder>,
    handle: PrometheusHandle,
    refusals: Vec<Counter>,
    retries: Vec<Counter>,
    store_failures: HashMap<Family, Counter>,
    unreadable: HashMap<Family, Counter>,
    latencies: Mutex<HashMap<(SmolStr, Outcome), Histogram>>,
    /// Requests in flight.
    pub(crate) running: Gauge,
    /// Version of the deployment in force.
    pub(crate) version: Gauge,
    /// Registered entry VMs, with this one.
    pub(crate) vms: Gauge,
    /// Whether callers may be sent here, 0 or 1.
    pub(crate) ready: Gauge,
}

/// Commands.
impl Metrics {
    /// Registers all metrics in a recorder of their own.
    pub(crate) fn new() -> Self {
        let recorder = Arc::new(recorder());
        let handle = recorder.handle();
        let refusal =
            |r: &RefusalReason| counter!("waxwing_edge_refusals_total", "reason" => r.as_str());
        let retry =
            |r: &RetryReason| counter!("waxwing_edge_retries_total", "reason" => r.as_str());
        let failure =
            |f: Family| counter!("waxwing_edge_store_failures_total", "family" => f.as_str());
        let unread = |f: Family| counter!("waxwing_edge_unreadable_total", "family" => f.as_str());
        with_local_recorder(&*recorder, || Self {
            handle,
            refusals: RefusalReason::ALL.iter().map(refusal).collect(),
            retries: RetryReason::ALL.iter().map(retry).collect(),
            store_failures: Family::ALL.into_iter().map(|f| (f, failure(f))).collect(),
            unreadable: Family::ALL.into_iter().map(|f| (f, unread(f))).collect(),
            latencies: Mutex::default(),
            running: gauge!("waxwing_edge_requests_running"),
            version: gauge!("waxwing_edge_deployment_version"),
            vms: gauge!("waxwing_edge_vms"),
            ready: gauge!("waxwing_edge_ready"),
            recorder: Arc::clone(&recorder),
        })
    }

    /// Counts a refusal.
    pub(crate) fn refused(&self, reason: RefusalReason) {
        self.refusals[reason as usize].increment(1);
    }

    /// Counts a retry.
    pub(crate) fn retried(&self, reason: RetryReason) {
        self.retries[reason as usize].increment(1);
    }

    /// Counts a failed call to the store.
    pub(crate) fn store_failed(&self, family: Family) {
        if let Some(counter) = self.store_failures.get(&family) {
            counter.increment(1);
        }
    }

    /// Counts an entry that cannot be read.
    pub(crate) fn unread(&self, family: Family) {
        if let Some(counter) = self.unreadable.get(&family) {
            counter.increment(1);
        }
    }

    /// Counts the seconds from arrival to the head of the answer.
    pub(crate) fn ended(&self, route: &SmolStr, outcome: Outcome, secs: f64) {
        let mut latencies = self
            .latencies
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let key = (route.clone(), outcome);
        let latency = latencies.entry(key).or_insert_with(|| {
            let (route, outcome) = (route.to_string(), outcome.as_str());
            with_local_recorder(&*self.recorder, || {
                histogram!("waxwing_edge_answer_seconds", "route" => route, "outcome" => outcome)
            })
        });
        latency.record(secs);
    }

    /// Moves the samples of the histograms into their buckets. Without it the samples pile up until the
    /// metrics are rendered, which may be never.
    pub(crate) fn condense(&self) {
        self.handle.run_upkeep();
    }
}

/// Queries.
impl Metrics {
    /// The metrics as Prometheus text.
    pub(crate) fn render(&self) -> String {
        self.handle.render()
    }
}
