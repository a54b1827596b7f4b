//! Estimate of what a VM will spend of a limit.

use waxwing_types::{Micros, Millis, common_derives};

use super::bucket::Quota;

/// Length of a slot of the history.
const SLOT: u64 = 500;
/// Slots of the history.
const SLOTS: usize = 8;
/// Slots that make up the recent past, the running one included.
const RECENT: usize = 3;
/// Shorter histories overestimate the rate of the first requests.
const MIN_SPAN: u64 = 500;
/// A limit without demand for longer than this is not asked for.
const WARM: Millis = Millis::from_secs(600);
/// Requests a second below which a VM takes tokens one by one instead of a rate.
const FEW: u64 = 8;
/// Headroom of the wanted rate over the estimate, as a fraction. More would keep idle quota from
/// domains whose own share is lost.
const HEADROOM: (u64, u64) = (21, 20);

common_derives! {
    /// Costs of the last four seconds, admitted and refused alike.
    pub(crate) struct Demand {
        slots: [u64; SLOTS],
        /// Number of the running slot.
        head: u64,
        start: Millis,
        /// Last request. `None`: none yet.
        last: Option<Millis>,
        /// Greatest cost of a request so far, at least one unit.
        unit: u64,
    }
}

impl Demand {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            slots: [0; SLOTS],
            head: now.0 / SLOT,
            start: now,
            last: None,
            unit: Micros::PER_UNIT,
        }
    }

    pub(crate) fn record(&mut self, now: Millis, cost: u64) {
        self.roll(now);
        let slot = &mut self.slots[index(self.head)];
        *slot = slot.saturating_add(cost);
        self.last = Some(now);
        self.unit = self.unit.max(cost);
    }

    fn roll(&mut self, now: Millis) {
        let head = now.0 / SLOT;
        let passed = head.saturating_sub(self.head);
        if passed >= SLOTS as u64 {
            self.slots = [0; SLOTS];
        } else {
            for n in self.head + 1..=head {
                self.slots[index(n)] = 0;
            }
        }
        self.head = self.head.max(head);
    }
}

impl Demand {
    /// Rate and burst to ask for. Zero if the limit has been idle for long.
    ///
    /// A bucket that is topped up after nearly every request wastes a rate of its own, so a VM
    /// with few requests asks for burst alone. More burst than half a second of the rate would lie
    /// idle in many buckets while others are empty.
    pub(crate) fn want(&self, now: Millis) -> Quota {
        if !self.is_warm(now) {
            return Quota::ZERO;
        }
        let rate = self.rate(now);
        let burst = (rate / 2).saturating_add(self.unit);
        if rate < self.unit.saturating_mul(FEW) {
            // Parts of a token in many buckets admit nothing.
            let burst = burst - burst % self.unit;
            return Quota { rate: 0, burst };
        }
        Quota { rate, burst }
    }

    /// The recent or the longer average, whichever is greater, with headroom; but no more than
    /// twice the recent one, so that quota is free soon after the demand has ended.
    pub(crate) fn rate(&self, now: Millis) -> u64 {
        let recent = self.average(now, RECENT);
        let longer = self.average(now, SLOTS).min(recent.saturating_mul(2));
        let estimate = recent.max(longer);
        estimate.saturating_mul(HEADROOM.0) / HEADROOM.1
    }

    /// Greatest cost of a request.
    pub(crate) fn unit(&self) -> u64 {
        self.unit
    }

    fn is_warm(&self, now: Millis) -> bool {
        now.since(self.last.unwrap_or(self.start)) < WARM
    }

    /// Cost a second over the newest `count` slots.
    fn average(&self, now: Millis, count: usize) -> u64 {
        let head = now.0 / SLOT;
        let oldest = (head + 1).saturating_sub(count as u64);
        let sum: u128 = (oldest..=head)
            .filter(|&n| n <= self.head && n + SLOTS as u64 > self.head)
            .map(|n| u128::from(self.slots[index(n)]))
            .sum();
        let span = now.0 - (oldest * SLOT).min(now.0);
        let span = span.min(now.since(self.start).0).max(MIN_SPAN);
        u64::try_from(sum * 1000 / u128::from(span)).unwrap_or(u64::MAX)
    }
}

fn index(slot: u64) -> usize {
    usize::try_from(slot % SLOTS as u64).unwrap_or(0)
}
