//! Prometheus metrics of one edge daemon.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use metrics::{Counter, Gauge, Histogram, counter, gauge, histogram, with_local_recorder};
use metrics_exporter_prometheus::{PrometheusHandle, PrometheusRecorder};
use smol_str::SmolStr;
use waxwing_edge::{HealthAnswer, NoticeKind, Warmth};
use waxwing_store::Family;
use waxwing_types::{Millis, RefusalReason, RetryReason, common_derives};

use super::origin::{Origin, ReadSource};
use crate::metric::recorder;

common_derives! {
    key
    /// How a request ended, as a metric label.
    pub(crate) enum RequestOutcome {
        /// A target answered with a status below 500.
        Answered,
        /// A target answered with status 500 or above.
        Failed,
        /// The daemon refused the request itself.
        Refused,
    }
}

common_derives! {
    key
    /// The answer of a target to a health check, as a metric label.
    pub(crate) enum HealthCheck {
        Warm,
        Cold,
        /// The target does not say whether it is cold.
        Unclear,
        /// Another target answered.
        OtherTarget,
        Unanswered,
    }
}

impl HealthCheck {
    const ALL: &'static [Self] = &[
        Self::Warm,
        Self::Cold,
        Self::Unclear,
        Self::OtherTarget,
        Self::Unanswered,
    ];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Warm => "warm",
            Self::Cold => "cold",
            Self::Unclear => "unclear",
            Self::OtherTarget => "other_target",
            Self::Unanswered => "unanswered",
        }
    }
}

impl From<HealthAnswer> for HealthCheck {
    fn from(answer: HealthAnswer) -> Self {
        match answer {
            HealthAnswer::Warm => Self::Warm,
            HealthAnswer::Cold(_) => Self::Cold,
            HealthAnswer::Unclear => Self::Unclear,
        }
    }
}

impl RequestOutcome {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::Refused => "refused",
        }
    }
}

/// The metrics of one daemon. Metrics whose label values are known at startup are registered at startup, and
/// are exported as 0 until their first event.
pub(crate) struct Metrics {
    recorder: Arc<PrometheusRecorder>,
    handle: PrometheusHandle,
    refusals: Vec<Counter>,
    retries: Vec<Counter>,
    target_notices: Vec<Counter>,
    target_sends: Vec<Counter>,
    health_checks: Vec<Counter>,
    store_failures: HashMap<Family, Counter>,
    unreadable_entries: HashMap<Family, Counter>,
    given_up_calls: HashMap<Family, Counter>,
    deployments: Vec<Counter>,
    deployment_bytes: Vec<Counter>,
    rejected_deployments: Counter,
    /// Patches of the deployment that arrived and could not be used.
    pub(crate) unused_patches: Counter,
    state_ages: HashMap<Family, Gauge>,
    watch_ages: HashMap<Family, Gauge>,
    latencies: Mutex<HashMap<(SmolStr, RequestOutcome), Histogram>>,
    /// Responses that did not belong to the request that was sent.
    pub(crate) foreign_responses: Counter,
    /// Connections to targets that were opened.
    pub(crate) target_connections: Counter,
    /// Number of requests being handled.
    pub(crate) running_requests: Gauge,
    /// Version of the deployment in use.
    pub(crate) deployment_version: Gauge,
    /// Epoch of the store, 0 if it states none.
    pub(crate) store_epoch: Gauge,
    /// Number of registered VMs that run an edge daemon, including this one.
    pub(crate) registered_vms: Gauge,
    /// Number of known targets that said that they are leaving.
    pub(crate) leaving_targets: Gauge,
    /// Number of known targets in a pause for which they asked.
    pub(crate) paused_targets: Gauge,
    /// Requests of this VM that were running at targets when these crashed.
    pub(crate) request_crashes: Counter,
    /// Number of requests that are refused because they crashed targets.
    pub(crate) quarantined_requests: Gauge,
    /// 1 if callers may send requests to this VM, else 0.
    pub(crate) ready: Gauge,
}

/// Updates.
impl Metrics {
    /// Registers the metrics in a recorder that only this daemon uses.
    pub(crate) fn new() -> Self {
        let recorder = Arc::new(recorder());
        let handle = recorder.handle();
        let refusal = |reason: &RefusalReason| counter!("waxwing_edge_refusals_total", "reason" => reason.as_str());
        let retry = |reason: &RetryReason| counter!("waxwing_edge_retries_total", "reason" => reason.as_str());
        let notice = |kind: &NoticeKind| counter!("waxwing_edge_target_notices_total", "kind" => kind.as_str());
        let send = |warmth: &Warmth| counter!("waxwing_edge_target_sends_total", "target" => warmth.as_str());
        let health_check = |check: &HealthCheck| counter!("waxwing_edge_health_checks_total", "answer" => check.as_str());
        let store_failure = |family: Family| counter!("waxwing_edge_store_failures_total", "family" => family.as_str());
        let unreadable =
            |family: Family| counter!("waxwing_edge_unreadable_total", "family" => family.as_str());
        let given_up = |family: Family| counter!("waxwing_edge_store_calls_given_up_total", "family" => family.as_str());
        let deployment = |source: &ReadSource| counter!("waxwing_edge_deployments_total", "source" => source.as_str());
        let deployment_bytes = |source: &ReadSource| counter!("waxwing_edge_deployment_bytes_total", "source" => source.as_str());
        let state_age =
            |family: Family| gauge!("waxwing_edge_state_age_seconds", "family" => family.as_str());
        let watch_age =
            |family: Family| gauge!("waxwing_edge_watch_age_seconds", "family" => family.as_str());
        with_local_recorder(&*recorder, || Self {
            handle,
            refusals: RefusalReason::ALL.iter().map(refusal).collect(),
            retries: RetryReason::ALL.iter().map(retry).collect(),
            target_notices: NoticeKind::ALL.iter().map(notice).collect(),
            health_checks: HealthCheck::ALL.iter().map(health_check).collect(),
            target_sends: Warmth::ALL.iter().map(send).collect(),
            store_failures: Family::ALL
                .into_iter()
                .map(|family| (family, store_failure(family)))
                .collect(),
            unreadable_entries: Family::ALL
                .into_iter()
                .map(|family| (family, unreadable(family)))
                .collect(),
            given_up_calls: Family::ALL
                .into_iter()
                .map(|family| (family, given_up(family)))
                .collect(),
            deployments: ReadSource::ALL.iter().map(deployment).collect(),
            deployment_bytes: ReadSource::ALL.iter().map(deployment_bytes).collect(),
            rejected_deployments: counter!("waxwing_edge_deployments_rejected_total"),
            unused_patches: counter!("waxwing_edge_patches_unused_total"),
            state_ages: Family::ALL
                .into_iter()
                .map(|family| (family, state_age(family)))
                .collect(),
            watch_ages: Family::ALL
                .into_iter()
                .map(|family| (family, watch_age(family)))
                .collect(),
            latencies: Mutex::default(),
            foreign_responses: counter!("waxwing_edge_foreign_responses_total"),
            target_connections: counter!("waxwing_edge_target_connections_total"),
            running_requests: gauge!("waxwing_edge_requests_running"),
            deployment_version: gauge!("waxwing_edge_deployment_version"),
            store_epoch: gauge!("waxwing_edge_store_epoch"),
            registered_vms: gauge!("waxwing_edge_vms"),
            leaving_targets: gauge!("waxwing_edge_targets_leaving"),
            paused_targets: gauge!("waxwing_edge_targets_paused"),
            request_crashes: counter!("waxwing_edge_request_crashes_total"),
            quarantined_requests: gauge!("waxwing_edge_quarantined_requests"),
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

    /// Counts a request for which a target was selected.
    pub(crate) fn count_send(&self, warmth: Warmth) {
        self.target_sends[warmth as usize].increment(1);
    }

    pub(crate) fn count_health_check(&self, check: HealthCheck) {
        self.health_checks[check as usize].increment(1);
    }

    /// Counts what a target said of itself in a response.
    pub(crate) fn count_notice(&self, kind: NoticeKind) {
        self.target_notices[kind as usize].increment(1);
    }

    /// Counts a failed call to the store. A family is a kind of registry entries, such as targets or VMs.
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

    /// Counts a call to the store that was ended without an answer, for a read of the latest state.
    pub(crate) fn count_given_up(&self, family: Family) {
        if let Some(counter) = self.given_up_calls.get(&family) {
            counter.increment(1);
        }
    }

    /// Counts a deployment that came into force.
    pub(crate) fn count_deployment(&self, origin: Origin) {
        self.deployments[origin.source as usize].increment(1);
        self.deployment_bytes[origin.source as usize].increment(origin.bytes);
    }

    /// Counts a deployment that was read and not used, because it is invalid.
    pub(crate) fn count_rejected_deployment(&self) {
        self.rejected_deployments.increment(1);
    }

    /// Sets the time since this VM was known to have all changes of a family, and the time for which its watch waits.
    #[allow(clippy::cast_precision_loss, reason = "metrics are floating point")]
    pub(crate) fn set_ages(&self, family: Family, state_age: Millis, watch_age: Millis) {
        for (gauges, age) in [(&self.state_ages, state_age), (&self.watch_ages, watch_age)] {
            if let Some(gauge) = gauges.get(&family) {
                gauge.set(age.0 as f64 / 1000.0);
            }
        }
    }

    /// Records a finished request, with the time from its arrival to the head of the response.
    pub(crate) fn record_end(&self, route: &SmolStr, outcome: RequestOutcome, secs: f64) {
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
