//! Prometheus metrics of one edge daemon.

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
    /// How a request ended, as a metric label.
    pub(crate) enum Outcome {
        /// A target answered with a status below 500.
        Answered,
        /// A target answered with status 500 or above.
        Failed,
        /// The daemon refused the request itself.
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

/// The metrics of one daemon. Metrics whose label values are known at startup are registered then, so that
/// each is exported as 0 before its first event.
pub(crate) struct Metrics {
    recorder: Arc<PrometheusRecorder>,
    handle: PrometheusHandle,
    refusals: Vec<Counter>,
    retries: Vec<Counter>,
    store_failures: HashMap<Family, Counter>,
    unreadable_entries: HashMap<Family, Counter>,
    latencies: Mutex<HashMap<(SmolStr, Outcome), Histogram>>,
    /// Number of requests being handled.
    pub(crate) running_requests: Gauge,
    /// Version of the deployment in use.
    pub(crate) deployment_version: Gauge,
    /// Number of registered entry VMs, including this one.
    pub(crate) registered_vms: Gauge,
    /// 1 if callers may send requests to this VM, else 0.
    pub(crate) ready: Gauge,
}

/// Updates.
impl Metrics {
    /// Registers the metrics in a recorder that only this daemon uses.
    pub(crate) fn new() -> Self {
        let recorder = Arc::new(recorder());
        let handle = recorder.handle();
        let refusal =
            |r: &RefusalReason| counter!("waxwing_edge_refusals_total", "reason" => r.as_str());
        let retry =
            |r: &RetryReason| counter!("waxwing_edge_retries_total", "reason" => r.as_str());
        let store_failure =
            |f: Family| counter!("waxwing_edge_store_failures_total", "family" => f.as_str());
        let unreadable =
            |f: Family| counter!("waxwing_edge_unreadable_total", "family" => f.as_str());
        with_local_recorder(&*recorder, || Self {
            handle,
            refusals: RefusalReason::ALL.iter().map(refusal).collect(),
            retries: RetryReason::ALL.iter().map(retry).collect(),
            store_failures: Family::ALL
                .into_iter()
                .map(|f| (f, store_failure(f)))
                .collect(),
            unreadable_entries: Family::ALL
                .into_iter()
                .map(|f| (f, unreadable(f)))
                .collect(),
            latencies: Mutex::default(),
            running_requests: gauge!("waxwing_edge_requests_running"),
            deployment_version: gauge!("waxwing_edge_deployment_version"),
            registered_vms: gauge!("waxwing_edge_vms"),
            ready: gauge!("waxwing_edge_ready"),
            recorder: Arc::clone(&recorder),
        })
    }

    pub(crate) fn count_refusal(&self, reason: RefusalReason) {
        self.refusals[reason as usize].increment(1);
    }

    pub(crate) fn count_retry(&self, reason: RetryReason) {
        self.retries[reason as usize].increment(1);
    }

    /// Counts a failed call to the store for a family of entries.
    pub(crate) fn count_store_failure(&self, family: Family) {
        if let Some(counter) = self.store_failures.get(&family) {
            counter.increment(1);
        }
    }

    /// Counts an entry whose content cannot be decoded.
    pub(crate) fn count_unreadable_entry(&self, family: Family) {
        if let Some(counter) = self.unreadable_entries.get(&family) {
            counter.increment(1);
        }
    }

    /// Records a finished request, with the seconds from its arrival to the head of the response.
    pub(crate) fn record_end(&self, route: &SmolStr, outcome: Outcome, secs: f64) {
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

    /// Moves the samples of the histograms into their buckets. Otherwise the samples accumulate in memory
    /// until the metrics are rendered, which may never happen.
    pub(crate) fn run_upkeep(&self) {
        self.handle.run_upkeep();
    }
}

/// Queries.
impl Metrics {
    /// Renders the metrics as Prometheus text.
    pub(crate) fn render(&self) -> String {
        self.handle.render()
    }
}
