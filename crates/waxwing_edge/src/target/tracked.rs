//! What this VM knows about one target.

use waxwing_records::{Registration, TargetState};
use waxwing_types::{Millis, RegionId};

use super::cold_start::ColdStart;
use super::continuity::Continuity;
use super::notice::NoticeState;
use super::observation::{TargetHealth, TargetObservation, UnsentOutcomes, bounded_load};
use super::{ENTRY_LAG, LoadReport, TargetOutcome, Warmth};
use crate::quarantine::TargetProcess;

/// Greatest load that is used, in requests per slot. A wrong report must not keep a target out of use for long through
/// the mean of the reports.
const MAX_LOAD_PER_SLOT: u32 = 8;
/// Time constant with which a load report loses its weight, in multiples of the service's latency.
const REPORT_TIME_CONSTANT: f64 = 1.5;
/// Age at which a load report is no longer used.
const LOAD_REPORT_TTL: Millis = Millis(1500);
/// Time for which a target is ejected. An ejected target gets no requests. The time doubles with each further
/// failed attempt to connect.
const BASE_EJECTION_TIME: Millis = Millis(400);
/// Greatest number of doublings of the ejection time.
const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// Consecutive broken or timed out requests after which a target is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Weight (0 to 1) of a new sample in the moving averages of a target.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Fraction of failed requests above which a target is avoided, so that other targets are preferred.
const MAX_FAILURE_RATE: f64 = 0.3;
/// Latency, as a multiple of the service's average, above which a target is avoided.
const MAX_LATENCY_RATIO: f64 = 2.5;
/// Mean latency of the requests of all VMs, as a multiple of the service's average, above which a target is avoided. A
/// target that handles each object for the first time takes up to three times the average.
const MAX_REPORTED_LATENCY_RATIO: f64 = 3.5;
/// Time after the last sample for which a target is avoided. After this time the target is tried again.
const AVOIDANCE_TIME: Millis = Millis(1000);

/// Shape parameter of the gamma distribution that models how the requests of a VM are spread over the targets
/// of a region. Popular affinity keys make the numbers of requests per target differ by about their mean.
const GAMMA_SHAPE: f64 = 1.5;

/// Estimates how many requests other VMs have at a target. The estimate is derived from this VM's requests at
/// all targets of the same service in the same region.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OtherVmLoadEstimator {
    /// Number of other VMs that send requests to these targets.
    pub(crate) other_vm_count: f64,
    /// Mean number of this VM's requests in flight per target.
    pub(crate) mean_own_in_flight: f64,
    /// Average unloaded latency of the service in ms, 0 if unknown.
    pub(crate) unloaded_latency_ms: f64,
}

impl OtherVmLoadEstimator {
    /// Estimates the requests of other VMs at a target. `own_in_flight` is the number of this VM's requests
    /// in flight at the target. The number of requests of one VM at a target is modelled as Poisson
    /// distributed. Its mean is the same for all VMs, and gamma distributed over the targets. The estimate is
    /// the posterior mean, multiplied by the number of other VMs.
    fn estimate(self, own_in_flight: u32) -> f64 {
        if self.mean_own_in_flight <= 0.0 {
            return 0.0;
        }
        self.other_vm_count * (GAMMA_SHAPE + f64::from(own_in_flight))
            / (GAMMA_SHAPE / self.mean_own_in_flight + 1.0)
    }

    /// Weight (0 to 1) of a load report of a given age. The load changes as requests end, so the weight falls with the
    /// age in multiples of the service's latency.
    #[allow(clippy::cast_precision_loss, reason = "reports are recent")]
    fn report_weight(self, age: Millis) -> f64 {
        let time_constant_ms = REPORT_TIME_CONSTANT * self.unloaded_latency_ms;
        if time_constant_ms > 0.0 {
            (-(age.0 as f64) / time_constant_ms).exp()
        } else {
            1.0
        }
    }
}

/// The load that a target reported.
struct ReportedLoad {
    at: Millis,
    /// Requests of all VMs that run or wait at the target.
    total: u32,
    /// Requests of this VM in flight at the target when the report arrived.
    own_in_flight: u32,
    /// Moving average of the reported loads.
    mean: f64,
}

/// A target process, with what it registered and reported and what this VM observed of it.
pub(crate) struct TrackedTarget {
    pub(crate) registration: Registration,
    /// Index of the target's region in [`super::TargetPool`].
    pub(crate) region_index: usize,
    pub(crate) region: RegionId,
    pub(crate) in_own_domain: bool,
    /// Hash of the target's id.
    pub(crate) id_hash: u64,
    /// Requests of this VM that are in flight at the target.
    pub(crate) in_flight: u32,
    slots: u32,
    reported_load: Option<ReportedLoad>,
    consecutive_failures: u32,
    pub(super) ejected_until: Millis,
    /// Average latency in ms, 0 before the first response.
    latency_ms: f64,
    /// Moving average of the fraction of failed requests.
    failure_rate: f64,
    last_sample: Millis,
    last_response: Millis,
    /// What the target said of itself.
    pub(crate) notices: NoticeState,
    /// Pauses for which a process asked that may be a later one.
    pub(super) unidentified_notices: NoticeState,
    /// Outcomes of the requests of all VMs of the failure domain.
    health: TargetHealth,
    /// What the next heartbeat tells other VMs.
    unsent: UnsentOutcomes,
    pub(super) cold_start: ColdStart,
    pub(super) continuity: Continuity,
}

/// Queries.
impl TrackedTarget {
    /// Whether the target's registration states that the target accepts requests.
    pub(crate) fn is_ready(&self) -> bool {
        match self.registration.state {
            TargetState::Ready => true,
            TargetState::Draining => false,
        }
    }

    /// Whether the target is not ejected after failures. When the ejection time has passed, the target gets one
    /// request at a time until it responds; while such a request is in flight, the target counts as ejected.
    pub(crate) fn is_not_ejected(&self, now: Millis) -> bool {
        now >= self.ejected_until
            && (self.consecutive_failures < FAILURES_TO_EJECT || self.in_flight == 0)
    }

    pub(crate) fn is_cold(&self, now: Millis) -> bool {
        self.cold_start.is_cold(now)
    }

    pub(crate) fn warmth(&self, now: Millis) -> Warmth {
        if self.is_cold(now) {
            Warmth::Cold
        } else {
            Warmth::Warm
        }
    }

    /// Whether other targets are preferred, because this target was recently slow or failed often.
    /// `unloaded_latency_ms` is the average unloaded latency of the service.
    pub(crate) fn is_avoided(&self, now: Millis, unloaded_latency_ms: f64) -> bool {
        let is_recent = now.since(self.last_sample) < AVOIDANCE_TIME || self.in_flight > 0;
        let is_slow =
            unloaded_latency_ms > 0.0 && self.latency_ms > MAX_LATENCY_RATIO * unloaded_latency_ms;
        let is_reported = self.health.is_failing(now)
            || unloaded_latency_ms > 0.0
                && self
                    .health
                    .is_slower_than(now, MAX_REPORTED_LATENCY_RATIO * unloaded_latency_ms);
        is_reported || is_recent && (is_slow || self.failure_rate > MAX_FAILURE_RATE)
    }

    pub(crate) fn slots(&self) -> f64 {
        f64::from(self.slots.max(1))
    }

    /// Number of requests of all VMs that run or wait at the target. The number comes from the last load
    /// report if the report is recent, and the older the report, the more from the mean of the reports; without a recent
    /// report, the requests of other VMs are estimated.
    pub(crate) fn load(&self, now: Millis, load_estimator: OtherVmLoadEstimator) -> f64 {
        let own = self.in_flight;
        match &self.reported_load {
            Some(report) if now.since(report.at) < LOAD_REPORT_TTL => {
                let weight = load_estimator.report_weight(now.since(report.at));
                let total = report.mean + (f64::from(report.total) - report.mean) * weight;
                (total + f64::from(own) - f64::from(report.own_in_flight)).max(f64::from(own))
            }
            Some(_) | None => f64::from(own) + load_estimator.estimate(own),
        }
    }

    /// Whether the load is known from a recent report or from requests of this VM, and not only estimated.
    pub(crate) fn is_load_known(&self, now: Millis) -> bool {
        let report = self.reported_load.as_ref();
        self.in_flight > 0 || report.is_some_and(|report| now.since(report.at) < LOAD_REPORT_TTL)
    }

    /// Whether there is something to tell other VMs.
    pub(crate) fn has_observation(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Whether a request failed since the last observation that was sent to other VMs.
    pub(crate) fn has_unsent_failure(&self) -> bool {
        self.unsent.failed > 0
    }

    /// Whether this VM may send a request to the target, unless something else keeps it from that: the target is warm, or this
    /// VM has a cold start token.
    pub(crate) fn is_warm_or_has_token(&self, now: Millis) -> bool {
        !self.is_cold(now) || self.cold_start.has_token(now)
    }

    /// The process by which VMs name the target to each other.
    pub(super) fn process(&self) -> u32 {
        TargetProcess::new(&self.registration.id, self.registration.incarnation).short()
    }
}

/// Commands.
impl TrackedTarget {
    pub(crate) fn new(
        now: Millis,
        registration: Registration,
        region_index_and_id: (usize, RegionId),
        in_own_domain: bool,
        id_hash: u64,
    ) -> Self {
        Self {
            slots: registration.slots,
            cold_start: ColdStart::new(now, registration.cold_left),
            continuity: Continuity::default(),
            registration,
            region_index: region_index_and_id.0,
            region: region_index_and_id.1,
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
            notices: NoticeState::default(),
            unidentified_notices: NoticeState::default(),
            health: TargetHealth::default(),
            unsent: UnsentOutcomes::default(),
        }
    }

    /// Takes over what is known of this process from the target of the process before it under the same id: what an unidentified
    /// process at the address said may have come from this one.
    pub(super) fn follow(&mut self, now: Millis, former: Self) {
        if former.registration.incarnation < self.registration.incarnation {
            let cold_left = self.registration.cold_left;
            self.cold_start = former.cold_start.of_later_process(now, cold_left);
            if now.since(former.unidentified_notices.paused_from) < ENTRY_LAG {
                self.notices.merge(former.unidentified_notices);
            }
        }
    }

    /// Applies a registration of the same process. A process that drains does not become ready again; a registration that
    /// states so is older.
    pub(crate) fn update(&mut self, now: Millis, mut registration: Registration) {
        if !self.is_ready() {
            registration.state = TargetState::Draining;
        }
        self.slots = registration.slots;
        if registration.cold_left > Millis::ZERO {
            self.cold_start.extend(now, registration.cold_left);
        }
        self.registration = registration;
    }

    /// Records that a request is being sent to the target.
    pub(crate) fn on_request_start(&mut self, now: Millis) {
        self.in_flight += 1;
        if self.is_cold(now) {
            self.cold_start.take_token(now);
        }
    }

    /// Records how a request at the target ended.
    pub(crate) fn on_request_end(&mut self, now: Millis, outcome: TargetOutcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.unsent.record(outcome);
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
            TargetOutcome::Shed | TargetOutcome::NoUsableResponse => {
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
            // A target that has responded recently is busy, not down, and its slots remain usable.
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
        // The report counts the request whose response carried it. That request has ended by now.
        let total = report.running.saturating_add(report.waiting).max(1) - 1;
        let own_in_flight = self.in_flight.saturating_sub(1);
        self.record_load(now, total, own_in_flight);
        self.unsent.has_load = true;
    }

    fn record_load(&mut self, at: Millis, total: u32, own_in_flight: u32) {
        let total = total.min(self.slots.max(1).saturating_mul(MAX_LOAD_PER_SLOT));
        let load = f64::from(total);
        let mean = self
            .reported_load
            .as_ref()
            .map_or(load, |r| r.mean + (load - r.mean) * SAMPLE_WEIGHT);
        self.reported_load = Some(ReportedLoad {
            at,
            total,
            own_in_flight,
            mean,
        });
    }

    /// Returns what this VM has observed since the last call; `None` if that is nothing.
    pub(crate) fn take_observation(&mut self, now: Millis) -> Option<TargetObservation> {
        if self.unsent.is_empty() {
            return None;
        }
        let unsent = std::mem::take(&mut self.unsent);
        let report = self.reported_load.as_ref();
        let is_usable = |r: &&ReportedLoad| unsent.has_load && now.since(r.at) < LOAD_REPORT_TTL;
        // A load tells others that the known process runs, and that it is warm.
        let report = report.filter(|r| is_usable(r) && !self.is_cold(now));
        // Outcomes of other VMs arrive with their heartbeats and those of this VM are added at the same interval.
        self.health
            .add(now, unsent.answered, unsent.failed, unsent.latency_sum);
        Some(TargetObservation {
            process: self.process(),
            load: report.map(|r| bounded_load(r.total)),
            load_age: report.map_or(Millis::ZERO, |r| now.since(r.at)),
            answered: unsent.answered,
            failed: unsent.failed,
            latency_sum: unsent.latency_sum,
        })
    }

    /// Applies what another VM of the failure domain has observed.
    pub(crate) fn apply_observation(&mut self, now: Millis, observation: &TargetObservation) {
        self.health.add(
            now,
            observation.answered,
            observation.failed,
            observation.latency_sum,
        );
        let at = now - observation.load_age;
        if observation.load.is_some() {
            self.continuity.hear(at);
        }
        if let Some(load) = observation.load
            && self.reported_load.as_ref().is_none_or(|r| r.at < at)
        {
            self.record_load(at, u32::from(load), self.in_flight);
        }
    }

    fn record_sample(&mut self, now: Millis, success: bool) {
        let failure = if success { 0.0 } else { 1.0 };
        self.failure_rate += (failure - self.failure_rate) * SAMPLE_WEIGHT;
        self.last_sample = now;
    }
}
