//! What this VM knows about one target.

use waxwing_records::{Registration, TargetState};
use waxwing_types::{Millis, RegionId};

use super::{ColdStartLimit, LoadReport, TargetOutcome};

/// Age from which a load report is no longer used.
const LOAD_REPORT_TTL: Millis = Millis(1500);
/// Time for which a target is ejected. It doubles with each further failed connection.
const BASE_EJECTION_TIME: Millis = Millis(400);
/// Greatest number of times that the ejection time doubles.
const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// Consecutive broken or timed out requests after which a target is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Failure rate above which a target is avoided.
const MAX_FAILURE_RATE: f64 = 0.3;
/// Latency, as a multiple of the service's average, above which a target is avoided.
const MAX_LATENCY_RATIO: f64 = 2.5;
/// Time after its last sample for which a target is avoided. It is then tried again.
const AVOIDANCE_TIME: Millis = Millis(1000);
/// Token for one request to a cold target, in millionths. A VM holds at most one, so that the VMs do not send
/// several requests at once.
const COLD_TOKEN: u64 = 1_000_000;

/// Shape parameter of the gamma distribution that models how many requests each VM sends to the targets of a
/// region. Popular affinity keys make the numbers differ by about their mean.
const GAMMA_SHAPE: f64 = 1.5;

/// The basis for an estimate of other VMs' requests at a service's targets in a region.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OtherVmLoad {
    /// Number of other VMs that send requests to the targets.
    pub(crate) other_vms: f64,
    /// Mean number of this VM's requests in flight at one of the targets.
    pub(crate) mean_own_in_flight: f64,
}

impl OtherVmLoad {
    /// Estimates the requests of other VMs at a target at which this VM has `own_in_flight`: the posterior
    /// mean of a Poisson count whose rate is gamma distributed over the targets.
    fn estimate(self, own_in_flight: u32) -> f64 {
        if self.mean_own_in_flight <= 0.0 {
            return 0.0;
        }
        self.other_vms * (GAMMA_SHAPE + f64::from(own_in_flight))
            / (GAMMA_SHAPE / self.mean_own_in_flight + 1.0)
    }
}

/// The load that a target reported.
struct ReportedLoad {
    at: Millis,
    /// Requests of all VMs that run or wait at the target.
    total: u32,
    /// Requests of this VM in flight at the target when the report arrived.
    own_in_flight: u32,
}

/// A target process, with what it registered and reported and what this VM observed of it.
pub(crate) struct TrackedTarget {
    pub(crate) registration: Registration,
    /// Index of its region in the pool.
    pub(crate) region: usize,
    pub(crate) region_id: RegionId,
    pub(crate) in_own_domain: bool,
    /// Hash of its id.
    pub(crate) id_hash: u64,
    /// Requests of this VM that are in flight at it.
    pub(crate) in_flight: u32,
    slots: u32,
    reported_load: Option<ReportedLoad>,
    consecutive_failures: u32,
    ejected_until: Millis,
    /// Average latency in ms, 0 before the first response.
    latency_ms: f64,
    /// Moving average of failures, from 0 to 1.
    failure_rate: f64,
    last_sample: Millis,
    last_response: Millis,
    cold_until: Millis,
    /// Tokens for requests of this VM while the target is cold, in millionths of a request.
    cold_tokens: u64,
    last_cold_refill: Millis,
}

/// Queries.
impl TrackedTarget {
    /// Whether the target has registered itself as accepting requests.
    pub(crate) fn is_ready(&self) -> bool {
        match self.registration.state {
            TargetState::Ready => true,
            TargetState::Draining => false,
        }
    }

    /// Whether the target is not ejected. After an ejection it gets one request at a time until it responds.
    pub(crate) fn is_available(&self, now: Millis) -> bool {
        now >= self.ejected_until
            && (self.consecutive_failures < FAILURES_TO_EJECT || self.in_flight == 0)
    }

    pub(crate) fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until
    }

    /// Whether other targets are preferred, since this one was recently slow or failed often.
    /// `unloaded_latency_ms` is the average of the service.
    pub(crate) fn is_avoided(&self, now: Millis, unloaded_latency_ms: f64) -> bool {
        let is_recent = now.since(self.last_sample) < AVOIDANCE_TIME || self.in_flight > 0;
        let is_slow =
            unloaded_latency_ms > 0.0 && self.latency_ms > MAX_LATENCY_RATIO * unloaded_latency_ms;
        is_recent && (is_slow || self.failure_rate > MAX_FAILURE_RATE)
    }

    pub(crate) fn slots(&self) -> f64 {
        f64::from(self.slots.max(1))
    }

    /// Requests of all VMs that run or wait at the target: from its last report if that is recent, or else
    /// estimated.
    pub(crate) fn load(&self, now: Millis, other_vm_load: OtherVmLoad) -> f64 {
        let own = self.in_flight;
        match &self.reported_load {
            Some(report) if now.since(report.at) < LOAD_REPORT_TTL => f64::from(
                (report.total + own)
                    .saturating_sub(report.own_in_flight)
                    .max(own),
            ),
            Some(_) | None => f64::from(own) + other_vm_load.estimate(own),
        }
    }

    /// Expected time in ms for which a further request is queued at the target.
    pub(crate) fn expected_wait_ms(
        &self,
        now: Millis,
        unloaded_latency_ms: f64,
        other_vm_load: OtherVmLoad,
    ) -> f64 {
        let excess = self.load(now, other_vm_load) + 1.0 - self.slots();
        excess.max(0.0) / self.slots() * unloaded_latency_ms
    }

    /// Whether this VM may send a request to the target while it is cold.
    pub(crate) fn has_cold_token(&self) -> bool {
        self.cold_tokens >= COLD_TOKEN
    }
}

/// Commands.
impl TrackedTarget {
    pub(crate) fn new(
        now: Millis,
        registration: Registration,
        region: (usize, RegionId),
        in_own_domain: bool,
        id_hash: u64,
    ) -> Self {
        Self {
            slots: registration.slots,
            cold_until: now + registration.cold_left,
            registration,
            region: region.0,
            region_id: region.1,
            in_own_domain,
            id_hash,
            in_flight: 0,
            reported_load: None,
            consecutive_failures: 0,
            ejected_until: Millis::ZERO,
            latency_ms: 0.0,
            failure_rate: 0.0,
            last_sample: Millis::ZERO,
            last_response: Millis::ZERO,
            cold_tokens: 0,
            last_cold_refill: now,
        }
    }

    /// Applies a new registration of the same process.
    pub(crate) fn update(&mut self, now: Millis, registration: Registration) {
        self.slots = registration.slots;
        let cold_until = now + registration.cold_left;
        if registration.cold_left > Millis::ZERO {
            self.cold_until = self.cold_until.max(cold_until);
        }
        self.registration = registration;
    }

    /// Treats the target as cold from now on, since it may have become cold without reporting it.
    pub(crate) fn mark_cold(&mut self, now: Millis, limit: ColdStartLimit) {
        self.cold_until = self.cold_until.max(now + limit.duration);
        self.cold_tokens = 0;
        self.last_cold_refill = now;
    }

    /// Adds the tokens for the time since the last refill, when `sender_count` VMs share the limit.
    pub(crate) fn refill_cold_tokens(
        &mut self,
        now: Millis,
        limit: ColdStartLimit,
        sender_count: u64,
    ) {
        let elapsed = now.since(self.last_cold_refill);
        self.last_cold_refill = now;
        // Requests per 1000 s equal millionths of a request per ms.
        let refill = limit.rate * elapsed.0 / sender_count.max(1);
        self.cold_tokens = (self.cold_tokens + refill).min(COLD_TOKEN);
    }

    /// Records that a request is being sent to the target.
    pub(crate) fn on_request_start(&mut self, now: Millis) {
        self.in_flight += 1;
        if self.is_cold(now) {
            self.cold_tokens = self.cold_tokens.saturating_sub(COLD_TOKEN);
        }
    }

    /// Records how a request at the target ended.
    pub(crate) fn on_request_end(&mut self, now: Millis, outcome: TargetOutcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            TargetOutcome::Answered { latency, success } => {
                self.consecutive_failures = 0;
                self.last_response = now;
                self.record_sample(now, success);
                #[allow(clippy::cast_precision_loss, reason = "latencies are short")]
                let latency_ms = latency.0 as f64;
                self.latency_ms = match self.latency_ms {
                    0.0 => latency_ms,
                    mean => mean + (latency_ms - mean) * SAMPLE_WEIGHT,
                };
            }
            TargetOutcome::Shed => {
                self.consecutive_failures = 0;
                self.last_response = now;
                self.record_sample(now, false);
            }
            TargetOutcome::Misdirected => self.ejected_until = Millis::MAX,
            TargetOutcome::ConnectFailed => {
                self.consecutive_failures = self.consecutive_failures.max(FAILURES_TO_EJECT) + 1;
                let doublings =
                    (self.consecutive_failures - FAILURES_TO_EJECT - 1).min(MAX_EJECTION_DOUBLINGS);
                self.ejected_until = now + Millis(BASE_EJECTION_TIME.0 << doublings);
            }
            // A target that responds to other requests is busy, not down, and its slots remain usable.
            TargetOutcome::TimedOut if now.since(self.last_response) < AVOIDANCE_TIME => {}
            TargetOutcome::ConnectionBroken | TargetOutcome::TimedOut => {
                self.consecutive_failures += 1;
                self.record_sample(now, false);
                if self.consecutive_failures >= FAILURES_TO_EJECT {
                    self.ejected_until = now + BASE_EJECTION_TIME;
                }
            }
            TargetOutcome::Cancelled => {}
        }
    }

    /// Records the load that the target reported with a response.
    pub(crate) fn on_load_report(&mut self, now: Millis, report: LoadReport) {
        if report.slots > 0 {
            self.slots = report.slots;
        }
        // The report still counts the request that it came with, which has ended by now.
        self.reported_load = Some(ReportedLoad {
            at: now,
            total: (report.running + report.waiting).max(1) - 1,
            own_in_flight: self.in_flight.saturating_sub(1),
        });
    }

    fn record_sample(&mut self, now: Millis, success: bool) {
        let failure = if success { 0.0 } else { 1.0 };
        self.failure_rate += (failure - self.failure_rate) * SAMPLE_WEIGHT;
        self.last_sample = now;
    }
}
