//! What one VM knows of one target.

use waxwing_records::{Registration, TargetState};
use waxwing_types::{Millis, RegionId};

use super::{ColdStartLimit, LoadReport, TargetOutcome};

/// Age of a load report after which it says nothing.
const REPORT_LIFE: Millis = Millis(1500);
/// First time for which a target without a connection is left out. Doubles with each failure.
const EJECT_BASE: Millis = Millis(400);
/// Doublings of that time.
const EJECT_DOUBLINGS: u32 = 3;
/// Breaks in a row after which a target is left out.
const BREAKS: u32 = 3;
/// Weight of a new sample in the averages.
const WEIGHT: f64 = 0.2;
/// Part of failures above which a target is avoided.
const FAULTY: f64 = 0.3;
/// Latency, in multiples of the service's, above which a target is avoided.
const SLOW: f64 = 2.5;
/// Time after which an avoided target is tried again.
const RETRIAL: Millis = Millis(1000);
/// Requests to a cold target that this VM may have stored: one, so that VMs do not send at once.
const COLD_STORE: u64 = 1_000_000;

/// Shape of the gamma distribution that the targets of a region are taken to follow in how much each VM
/// sends them. Popular objects make targets differ by about their mean.
const SHAPE: f64 = 1.5;

/// What is known of the requests of other VMs at the targets of a region.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Crowd {
    /// Other VMs that send to them.
    pub(crate) others: f64,
    /// Requests of this VM at one of them, on average.
    pub(crate) mean: f64,
}

impl Crowd {
    /// Requests of the other VMs at a target at which this one has `own`: the posterior mean of a Poisson
    /// count whose rate is gamma distributed over the targets.
    fn expected(self, own: u32) -> f64 {
        if self.mean <= 0.0 {
            return 0.0;
        }
        self.others * (SHAPE + f64::from(own)) / (SHAPE / self.mean + 1.0)
    }
}

struct Report {
    at: Millis,
    total: u32,
    /// Requests of this VM at the target when the report came.
    own: u32,
}

/// A process of a target.
pub(crate) struct State {
    pub(crate) entry: Registration,
    pub(crate) region: usize,
    pub(crate) region_id: RegionId,
    pub(crate) near: bool,
    pub(crate) hash: u64,
    pub(crate) inflight: u32,
    slots: u32,
    report: Option<Report>,
    breaks: u32,
    out: Millis,
    /// Average latency in ms, 0 before the first answer.
    latency: f64,
    /// Average part of failures.
    faults: f64,
    /// Time of the last sample.
    seen: Millis,
    /// Time of the last answer.
    answered: Millis,
    cold: Millis,
    cold_tokens: u64,
    cold_at: Millis,
}

/// Queries.
impl State {
    /// Whether the target says that it takes requests.
    pub(crate) fn is_ready(&self) -> bool {
        match self.entry.state {
            TargetState::Ready => true,
            TargetState::Draining => false,
        }
    }

    /// Whether requests may be sent, as far as this VM has seen. After a failure one request at a time
    /// tries the target.
    pub(crate) fn responds(&self, now: Millis) -> bool {
        now >= self.out && (self.breaks < BREAKS || self.inflight == 0)
    }

    pub(crate) fn is_cold(&self, now: Millis) -> bool {
        now < self.cold
    }

    /// Whether other targets are to be preferred.
    pub(crate) fn is_avoided(&self, now: Millis, work: f64) -> bool {
        let recent = now.since(self.seen) < RETRIAL || self.inflight > 0;
        let slow = work > 0.0 && self.latency > SLOW * work;
        recent && (slow || self.faults > FAULTY)
    }

    pub(crate) fn slots(&self) -> f64 {
        f64::from(self.slots.max(1))
    }

    /// Requests that the target runs or holds, of all VMs as far as known or expected.
    pub(crate) fn load(&self, now: Millis, crowd: Crowd) -> f64 {
        let own = self.inflight;
        match &self.report {
            Some(report) if now.since(report.at) < REPORT_LIFE => {
                f64::from((report.total + own).saturating_sub(report.own).max(own))
            }
            Some(_) | None => f64::from(own) + crowd.expected(own),
        }
    }

    /// Time in ms that a further request would wait.
    pub(crate) fn wait(&self, now: Millis, work: f64, crowd: Crowd) -> f64 {
        let excess = self.load(now, crowd) + 1.0 - self.slots();
        excess.max(0.0) / self.slots() * work
    }

    /// Whether a cold target may get a request from this VM.
    pub(crate) fn has_cold_token(&self) -> bool {
        self.cold_tokens >= COLD_STORE
    }
}

/// Commands.
impl State {
    pub(crate) fn new(
        now: Millis,
        entry: Registration,
        region: (usize, RegionId),
        near: bool,
        hash: u64,
    ) -> Self {
        Self {
            slots: entry.slots,
            cold: now + entry.cold_left,
            entry,
            region: region.0,
            region_id: region.1,
            near,
            hash,
            inflight: 0,
            report: None,
            breaks: 0,
            out: Millis::ZERO,
            latency: 0.0,
            faults: 0.0,
            seen: Millis::ZERO,
            answered: Millis::ZERO,
            cold_tokens: 0,
            cold_at: now,
        }
    }

    /// The same process said something new of itself.
    pub(crate) fn update(&mut self, now: Millis, entry: Registration) {
        self.slots = entry.slots;
        let cold = now + entry.cold_left;
        if entry.cold_left > Millis::ZERO {
            self.cold = self.cold.max(cold);
        }
        self.entry = entry;
    }

    /// The target may have become cold without saying so.
    pub(crate) fn chill(&mut self, now: Millis, rule: ColdStartLimit) {
        self.cold = self.cold.max(now + rule.duration);
        self.cold_tokens = 0;
        self.cold_at = now;
    }

    /// Adds the requests that this VM may send to a cold target, if it is one of `senders`.
    pub(crate) fn refill(&mut self, now: Millis, rule: ColdStartLimit, senders: u64) {
        let passed = now.since(self.cold_at);
        self.cold_at = now;
        let refill = rule.rate * passed.0 / senders.max(1);
        self.cold_tokens = (self.cold_tokens + refill).min(COLD_STORE);
    }

    pub(crate) fn begin(&mut self, now: Millis) {
        self.inflight += 1;
        if self.is_cold(now) {
            self.cold_tokens = self.cold_tokens.saturating_sub(COLD_STORE);
        }
    }

    pub(crate) fn ended(&mut self, now: Millis, ended: TargetOutcome) {
        self.inflight = self.inflight.saturating_sub(1);
        match ended {
            TargetOutcome::Answered { latency, success } => {
                self.breaks = 0;
                self.answered = now;
                self.sample(now, success);
                #[allow(clippy::cast_precision_loss, reason = "latencies are short")]
                let latency = latency.0 as f64;
                self.latency = match self.latency {
                    0.0 => latency,
                    former => former + (latency - former) * WEIGHT,
                };
            }
            TargetOutcome::Shed => {
                self.breaks = 0;
                self.answered = now;
                self.sample(now, false);
            }
            TargetOutcome::Misdirected => self.out = Millis::MAX,
            TargetOutcome::ConnectFailed => {
                self.breaks = self.breaks.max(BREAKS) + 1;
                let doublings = (self.breaks - BREAKS - 1).min(EJECT_DOUBLINGS);
                self.out = now + Millis(EJECT_BASE.0 << doublings);
            }
            // A target that answers others is busy, not down: its slots are still worth using.
            TargetOutcome::TimedOut if now.since(self.answered) < RETRIAL => {}
            TargetOutcome::ConnectionBroken | TargetOutcome::TimedOut => {
                self.breaks += 1;
                self.sample(now, false);
                if self.breaks >= BREAKS {
                    self.out = now + EJECT_BASE;
                }
            }
            TargetOutcome::Cancelled => {}
        }
    }

    pub(crate) fn reported(&mut self, now: Millis, report: LoadReport) {
        if report.slots > 0 {
            self.slots = report.slots;
        }
        // The answered request itself has ended by now.
        self.report = Some(Report {
            at: now,
            total: (report.running + report.waiting).max(1) - 1,
            own: self.inflight.saturating_sub(1),
        });
    }

    fn sample(&mut self, now: Millis, sound: bool) {
        let fault = if sound { 0.0 } else { 1.0 };
        self.faults += (fault - self.faults) * WEIGHT;
        self.seen = now;
    }
}
