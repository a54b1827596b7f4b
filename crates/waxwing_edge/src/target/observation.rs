//! What VMs tell each other about targets: each VM the others of its failure domain, and a few of its region.
//!
//! Answers the load of a large fleet: many VMs share the targets of a region, and one VM sends a request to a given
//! target every few seconds at most. Its own responses say nothing about the target's present load, and a target that
//! turned slow or fails would be found out by each VM for itself, at the cost of a request each time.

use serde::{Deserialize, Serialize};
use waxwing_types::{Millis, common_derives};

use super::{TargetKey, TargetOutcome, TargetPool};

/// Half-life of the outcomes in [`TargetHealth`]. Heartbeats, which carry the outcomes, are one second apart.
const HALF_LIFE: Millis = Millis(2000);
/// Minimum number of failures, of all VMs together, for a target to count as failing. A target that loses one response
/// in forty stays below this number.
const MIN_FAILURES: f64 = 1.5;
/// Fraction of failed requests above which a target counts as failing.
const MAX_FAILURE_RATE: f64 = 0.3;
/// Minimum number of responses for a target to count as slow. The times of single requests differ too much.
const MIN_RESPONSES: f64 = 4.0;

/// Greatest load in an observation, in requests.
const MAX_LOAD: u16 = 9999;
/// Greatest numbers of answered and of failed requests in an observation.
const MAX_COUNT: u16 = 999;
/// Greatest sum of latencies in an observation.
const MAX_LATENCY_SUM: Millis = Millis(9_999_999);

common_derives! {
    /// What a VM has observed of a target since its last heartbeat. Encoded as a list of numbers, since a heartbeat
    /// has room for few bytes: at most 39 for each target.
    #[derive(Copy, Serialize, Deserialize)]
    #[serde(from = "Encoded", into = "Encoded")]
    pub struct TargetObservation {
        /// The lower 32 bits of the number of the process, [`TargetProcess`](crate::TargetProcess). What is said of one process
        /// does not apply to the next one under its id.
        pub process: u32,
        /// Requests of all VMs that run or wait at the target, from its last load report; `None` if there is no recent
        /// report.
        pub load: Option<u16>,
        /// Age of the load report.
        pub load_age: Millis,
        /// Requests that the target answered, without errors.
        pub answered: u16,
        /// Requests that failed at the target, or were answered with an error.
        pub failed: u16,
        /// Sum of the latencies of the answered requests.
        pub latency_sum: Millis,
    }
}

/// Process, load plus one or zero, age of the load in ms, answered, failed, sum of latencies in ms.
type Encoded = (u32, u32, u16, u16, u16, u32);

impl From<Encoded> for TargetObservation {
    fn from(encoded: Encoded) -> Self {
        let (process, load, load_age, answered, failed, latency_sum) = encoded;
        Self {
            process,
            load: load.checked_sub(1).map(bounded_load),
            load_age: Millis(u64::from(load_age)),
            answered,
            failed,
            latency_sum: Millis(u64::from(latency_sum)),
        }
    }
}

impl From<TargetObservation> for Encoded {
    fn from(observation: TargetObservation) -> Self {
        (
            observation.process,
            observation.load.map_or(0, |load| u32::from(load) + 1),
            u16::try_from(observation.load_age.0).unwrap_or(u16::MAX),
            observation.answered,
            observation.failed,
            u32::try_from(observation.latency_sum.0).unwrap_or(u32::MAX),
        )
    }
}

/// The load of an observation, at most [`MAX_LOAD`].
pub(super) fn bounded_load(load: u32) -> u16 {
    u16::try_from(load).unwrap_or(MAX_LOAD).min(MAX_LOAD)
}

impl TargetPool {
    /// Returns what this VM has observed of targets since the last call, for the other VMs of the failure domain: at most
    /// `max_count` observations. Targets at which requests failed come first; what is left out is returned by the next
    /// call.
    pub fn take_observations(&mut self, now: Millis, max_count: usize) -> Vec<TargetObservation> {
        let mut keys: Vec<(bool, TargetKey)> = self
            .targets
            .iter()
            .filter(|(_, target)| target.has_observation())
            .map(|(key, target)| (!target.has_unsent_failure(), key))
            .collect();
        keys.sort_unstable();
        keys.truncate(max_count);
        keys.into_iter()
            .filter_map(|(_, key)| self.targets[key].take_observation(now))
            .collect()
    }

    /// Applies what another VM of the failure domain has observed of targets. Unknown targets are ignored.
    pub fn apply_observations(&mut self, now: Millis, observations: &[TargetObservation]) {
        for observation in observations {
            let key = self.keys_by_process.get(&observation.process);
            if let Some(target) = key.and_then(|key| self.targets.get_mut(*key)) {
                target.apply_observation(now, observation);
            }
        }
    }
}

/// The outcomes of this VM's requests to a target since its last heartbeat.
#[derive(Debug, Default)]
pub(super) struct UnsentOutcomes {
    pub(super) answered: u16,
    pub(super) failed: u16,
    pub(super) latency_sum: Millis,
    /// Whether a load report arrived.
    pub(super) has_load: bool,
}

impl UnsentOutcomes {
    pub(super) fn record(&mut self, outcome: TargetOutcome) {
        match outcome {
            TargetOutcome::Answered {
                latency,
                success: true,
            } => {
                self.answered = (self.answered + 1).min(MAX_COUNT);
                self.latency_sum = (self.latency_sum + latency).min(MAX_LATENCY_SUM);
            }
            TargetOutcome::Answered { success: false, .. }
            | TargetOutcome::Shed
            | TargetOutcome::NoUsableResponse
            | TargetOutcome::Misdirected
            | TargetOutcome::ConnectFailed
            | TargetOutcome::ConnectionBroken => self.record_failure(),
            TargetOutcome::TimedOut | TargetOutcome::Cancelled => {}
        }
    }

    fn record_failure(&mut self) {
        self.failed = (self.failed + 1).min(MAX_COUNT);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.answered == 0 && self.failed == 0 && !self.has_load
    }
}

/// The recent outcomes of the requests of all VMs of the failure domain at a target. Older outcomes count less.
#[derive(Debug, Default)]
pub(super) struct TargetHealth {
    answered: f64,
    failed: f64,
    latency_sum_ms: f64,
    updated_at: Millis,
}

impl TargetHealth {
    /// Adds outcomes.
    #[allow(clippy::cast_precision_loss, reason = "latencies are short")]
    pub(super) fn add(&mut self, now: Millis, answered: u16, failed: u16, latency_sum: Millis) {
        let weight = self.weight(now);
        self.updated_at = now;
        self.answered = self.answered * weight + f64::from(answered);
        self.failed = self.failed * weight + f64::from(failed);
        self.latency_sum_ms = self.latency_sum_ms * weight + latency_sum.0 as f64;
    }

    /// Whether many requests failed.
    pub(super) fn is_failing(&self, now: Millis) -> bool {
        self.failed * self.weight(now) >= MIN_FAILURES
            && self.failed > MAX_FAILURE_RATE * (self.failed + self.answered)
    }

    /// Whether the mean latency is above a limit.
    pub(super) fn is_slower_than(&self, now: Millis, latency_ms: f64) -> bool {
        self.answered * self.weight(now) >= MIN_RESPONSES
            && self.latency_sum_ms > latency_ms * self.answered
    }

    /// Weight of the outcomes of the last update.
    #[allow(clippy::cast_precision_loss, reason = "times are short")]
    fn weight(&self, now: Millis) -> f64 {
        let age = now.since(self.updated_at).0 as f64 / HALF_LIFE.0 as f64;
        0.5_f64.powf(age)
    }
}
