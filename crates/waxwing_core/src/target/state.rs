//! What one daemon observed of one target.

use waxwing_records::Target;
use waxwing_types::{Millis, common_derives};

/// Time over which a cold target's concurrency grows from one to its slots.
const RAMP: Millis = Millis::from_secs(5);
/// Consecutive failures after which a target is ejected.
const EJECT_AFTER: u32 = 3;
/// First time of ejection; doubles with each further one.
const EJECT_BASE: Millis = Millis::from_secs(1);
/// Greatest number of doublings, for at most 64 s.
const EJECT_DOUBLINGS: u32 = 6;
/// First pause after a target shed a request; doubles while it goes on shedding.
const SHED_PAUSE: Millis = Millis(10);
/// Greatest number of doublings, for at most 640 ms.
const SHED_DOUBLINGS: u32 = 6;
/// Factor on the concurrency limit when a target sheds.
const SHED_FACTOR: f64 = 0.7;
/// Part of a new sample in the averages of latency and shedding.
const GAIN: f64 = 0.2;
/// Time in which half of a target's deviation from the others' latency is forgotten while nothing
/// new is observed. Without it a target that was slow once would never be tried again.
const HALF_LIFE: f64 = 5000.0;
/// Age up to which a load report counts.
const REPORT_LIFE: Millis = Millis::from_secs(2);
/// Reported use of the slots above which the concurrency limit is lowered, in thousandths.
const REPORT_HIGH: u32 = 800;
/// Reported use from which on only a quarter of the slots is used. Never less, because a report
/// may be wrong.
const REPORT_FULL: u32 = 1200;

common_derives! {
    copy
    /// A target's own word on its load.
    pub struct LoadReport {
        /// Slots in use over all callers, in thousandths of the target's slots.
        pub used: u32,
    }
}

common_derives! {
    copy
    /// What an attempt showed.
    pub enum Observation {
        /// The head of the answer arrived after this time.
        Answered(Millis),
        /// The target refused the request without running it.
        Shed,
        /// The connection could not be opened or broke, or the route's time ran out.
        Failed,
        /// The attempt was given up after this time.
        GivenUp(Millis),
    }
}

common_derives! {
    key
    /// How near a target is. Nearer ones come first.
    pub(super) enum Distance {
        /// In the daemon's failure domain.
        Domain,
        /// In its region.
        Region,
        /// In another region; reached through an entry VM there.
        Remote,
    }
}

/// Observations of one target.
#[derive(Clone, Debug)]
pub(super) struct State {
    pub(super) spec: Target,
    pub(super) distance: Distance,
    /// Whether the record no longer names it.
    pub(super) gone: bool,
    /// Distinguishes targets that had the same name one after the other.
    pub(super) generation: u64,
    pub(super) in_flight: u32,
    /// Start of the concurrency ramp.
    warm_since: Millis,
    /// Adaptive concurrency, 1 to the slots.
    limit: f64,
    /// Average time to the head of the answer in ms, with the time of the last sample.
    latency: Option<(f64, Millis)>,
    /// Average share of shed requests.
    shed: f64,
    sheds: u32,
    paused_until: Millis,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Millis>,
    /// Until when it is used only after all others, because it fails but may not be ejected.
    last_until: Millis,
    report: Option<(LoadReport, Millis)>,
}

impl State {
    pub(super) fn new(now: Millis, spec: Target, distance: Distance, generation: u64) -> Self {
        Self {
            limit: f64::from(spec.slots),
            spec,
            distance,
            gone: false,
            generation,
            in_flight: 0,
            warm_since: now,
            latency: None,
            shed: 0.0,
            sheds: 0,
            paused_until: Millis::ZERO,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            last_until: Millis::ZERO,
            report: None,
        }
    }

    /// Takes in an observation. `may_eject` says whether the half limit leaves room.
    pub(super) fn observe(&mut self, now: Millis, seen: Observation, may_eject: bool) {
        match seen {
            Observation::Answered(span) => self.on_answer(now, millis(span)),
            Observation::Shed => self.on_shed(now),
            Observation::Failed => self.on_failure(now, may_eject),
            Observation::GivenUp(span) => self.on_given_up(now, millis(span)),
        }
    }

    pub(super) fn on_report(&mut self, now: Millis, report: LoadReport) {
        self.report = Some((report, now));
    }

    pub(super) fn set_spec(&mut self, spec: Target, distance: Distance) {
        self.limit = self.limit.min(f64::from(spec.slots));
        self.spec = spec;
        self.distance = distance;
        self.gone = false;
    }

    fn on_answer(&mut self, now: Millis, span: f64) {
        if self.ejected_until.take().is_some() {
            // The target was probably started anew, so its caches are cold.
            self.warm_since = now;
        }
        self.failures = 0;
        self.last_until = Millis::ZERO;
        self.ejections = self.ejections.saturating_sub(1);
        self.sheds = 0;
        self.shed -= GAIN * self.shed;
        self.limit = (self.limit + 1.0 / self.limit).min(f64::from(self.spec.slots));
        self.sample(now, span);
    }

    fn on_shed(&mut self, now: Millis) {
        self.failures = 0;
        self.shed += GAIN * (1.0 - self.shed);
        self.paused_until = now + doubled(SHED_PAUSE, self.sheds.min(SHED_DOUBLINGS));
        self.sheds += 1;
        self.limit = (self.limit * SHED_FACTOR).max(1.0);
    }

    fn on_failure(&mut self, now: Millis, may_eject: bool) {
        self.failures += 1;
        // A target that was ejected and fails its trial is ejected at once.
        if self.failures < EJECT_AFTER && self.ejected_until.is_none() {
            return;
        }
        let until = now + doubled(EJECT_BASE, self.ejections.min(EJECT_DOUBLINGS));
        self.ejections += 1;
        if may_eject {
            self.ejected_until = Some(until);
        } else {
            self.last_until = until;
        }
    }

    /// A time that was given up is a lower bound of the latency.
    fn on_given_up(&mut self, now: Millis, span: f64) {
        if self.latency.is_none_or(|(average, _)| span > average) {
            self.sample(now, span);
        }
    }

    fn sample(&mut self, now: Millis, span: f64) {
        let average = self
            .latency
            .map_or(span, |(average, _)| average + GAIN * (span - average));
        self.latency = Some((average, now));
    }
}

impl State {
    /// Whether the target may get new work, now or when a slot is free.
    pub(super) fn is_usable(&self, now: Millis) -> bool {
        !self.spec.leaving
            && !self.gone
            && self.distance != Distance::Remote
            && !self.is_ejected(now)
    }

    pub(super) fn is_ejected(&self, now: Millis) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether it is used only after all others.
    pub(super) fn is_last(&self, now: Millis) -> bool {
        now < self.last_until
    }

    /// Requests that it may run at once for this daemon.
    pub(super) fn limit(&self, now: Millis) -> u32 {
        if self.ejected_until.is_some() {
            // One request tries whether the target works again.
            return 1;
        }
        let slots = f64::from(self.spec.slots);
        let warm = millis(now.since(self.warm_since)) / millis(RAMP);
        let ramp = 1.0 + (slots - 1.0) * warm.min(1.0);
        whole(self.limit.min(ramp).min(self.report_cap(now)))
    }

    pub(super) fn free(&self, now: Millis) -> u32 {
        if now < self.paused_until {
            return 0;
        }
        self.limit(now).saturating_sub(self.in_flight)
    }

    /// Cost of choosing the target. `usual` is the latency of targets on which nothing is known.
    pub(super) fn score(&self, now: Millis, usual: f64) -> f64 {
        let load = f64::from(self.in_flight + 1);
        let trouble = f64::from(1 + self.failures) * (1.0 + 2.0 * self.shed);
        load * self.latency(now, usual).max(0.5) * trouble
    }

    pub(super) fn known_latency(&self) -> Option<f64> {
        self.latency.map(|(average, _)| average)
    }

    /// The reported use of the slots, while it is fresh.
    pub(super) fn reported(&self, now: Millis) -> Option<u32> {
        self.report
            .filter(|(_, at)| now.since(*at) < REPORT_LIFE)
            .map(|(report, _)| report.used)
    }

    fn latency(&self, now: Millis, usual: f64) -> f64 {
        let Some((average, at)) = self.latency else {
            return usual;
        };
        let kept = 0.5_f64.powf(millis(now.since(at)) / HALF_LIFE);
        usual + (average - usual) * kept
    }

    fn report_cap(&self, now: Millis) -> f64 {
        let slots = f64::from(self.spec.slots);
        let used = self
            .reported(now)
            .unwrap_or(0)
            .clamp(REPORT_HIGH, REPORT_FULL);
        let over = f64::from(used - REPORT_HIGH) / f64::from(REPORT_FULL - REPORT_HIGH);
        (slots * (1.0 - 0.75 * over)).max(1.0)
    }

    pub(super) fn check_invariants(&self) {
        let slots = f64::from(self.spec.slots);
        let name = &self.spec.name;
        assert!(
            (1.0..=slots).contains(&self.limit),
            "{name}: concurrency limit"
        );
        assert!((0.0..=1.0).contains(&self.shed), "{name}: share of sheds");
    }
}

fn doubled(base: Millis, times: u32) -> Millis {
    Millis(base.0 << times)
}

#[allow(clippy::cast_precision_loss)] // spans are far below 2^52 ms
pub(super) fn millis(span: Millis) -> f64 {
    span.0 as f64
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // saturates, never negative
pub(super) fn span(millis: f64) -> Millis {
    Millis(millis.ceil() as u64)
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // 1 to MAX_SLOTS
fn whole(limit: f64) -> u32 {
    limit as u32
}
