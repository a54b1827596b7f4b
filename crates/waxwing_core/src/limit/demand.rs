//! Estimates how much of a limit a VM will spend.

use waxwing_types::{Micros, Millis, common_derives};

use super::bucket::Quota;

/// Duration in milliseconds that one slot of the history covers.
const SLOT_MS: u64 = 500;
/// Number of slots in the history.
const SLOT_COUNT: usize = 8;
/// Number of newest slots over which the recent average is taken, including the current slot.
const RECENT_SLOTS: usize = 3;
/// Shortest time in milliseconds over which a rate is averaged. Over a shorter time, the rate of
/// the first requests would be overestimated.
const MIN_AVERAGING_MS: u64 = 500;
/// A VM stops borrowing for a limit that had no requests for this long.
const IDLE_TIMEOUT: Millis = Millis::from_secs(600);
/// Requests per second below which a VM borrows tokens only, and no rate.
const MIN_REQUESTS_PER_SECOND_FOR_RATE: u64 = 8;
/// Factor from the estimated to the wanted rate, as numerator and denominator. With a higher
/// factor, VMs would hold idle quota. Domains whose own share is not available need that quota.
const HEADROOM: (u64, u64) = (21, 20);

common_derives! {
    /// Records the costs of the requests of the last four seconds, both admitted and refused, and
    /// estimates the demand from them.
    pub(crate) struct DemandEstimator {
        /// Cost per slot, as a ring buffer that is indexed by slot number.
        slots: [u64; SLOT_COUNT],
        /// Number of the current slot, counted from time zero.
        current_slot: u64,
        started_at: Millis,
        /// Time of the last request.
        last_request: Option<Millis>,
        /// Highest cost of a request so far in micro-tokens, and at least one whole token.
        max_cost: u64,
    }
}

impl DemandEstimator {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            slots: [0; SLOT_COUNT],
            current_slot: now.0 / SLOT_MS,
            started_at: now,
            last_request: None,
            max_cost: Micros::PER_UNIT,
        }
    }

    pub(crate) fn record(&mut self, now: Millis, cost: u64) {
        self.advance_to(now);
        let slot = &mut self.slots[slot_index(self.current_slot)];
        *slot = slot.saturating_add(cost);
        self.last_request = Some(now);
        self.max_cost = self.max_cost.max(cost);
    }

    /// Makes the slot of `now` the current slot, and clears the positions of the ring buffer that
    /// hold older slots.
    fn advance_to(&mut self, now: Millis) {
        let current_slot = now.0 / SLOT_MS;
        let slots_passed = current_slot.saturating_sub(self.current_slot);
        if slots_passed >= SLOT_COUNT as u64 {
            self.slots = [0; SLOT_COUNT];
        } else {
            for n in self.current_slot + 1..=current_slot {
                self.slots[slot_index(n)] = 0;
            }
        }
        self.current_slot = self.current_slot.max(current_slot);
    }
}

impl DemandEstimator {
    /// The rate and burst that the VM needs for its own requests. Zero if the limit had no requests
    /// for `IDLE_TIMEOUT`.
    ///
    /// A VM with few requests wants burst only: it can borrow tokens after nearly every request, so
    /// a refill rate of its own would be wasted. The burst covers half a second of the rate. With a
    /// higher burst, tokens would stay unspent in many buckets while other buckets are empty.
    pub(crate) fn wanted_quota(&self, now: Millis) -> Quota {
        if !self.is_active(now) {
            return Quota::ZERO;
        }
        let rate = self.rate(now);
        let burst = (rate / 2).saturating_add(self.max_cost);
        if rate
            < self
                .max_cost
                .saturating_mul(MIN_REQUESTS_PER_SECOND_FOR_RATE)
        {
            // Fractions of a request's cost in many buckets admit no request.
            let burst = burst - burst % self.max_cost;
            return Quota { rate: 0, burst };
        }
        Quota { rate, burst }
    }

    /// The wanted rate in micro-tokens per second: the higher of the recent and the longer average,
    /// times `HEADROOM`. The longer average counts for at most twice the recent average, so that
    /// quota is released soon after the demand has ended.
    pub(crate) fn rate(&self, now: Millis) -> u64 {
        let recent = self.average(now, RECENT_SLOTS);
        let longer = self.average(now, SLOT_COUNT).min(recent.saturating_mul(2));
        let estimate = recent.max(longer);
        estimate.saturating_mul(HEADROOM.0) / HEADROOM.1
    }

    /// Highest cost of a request so far, and at least one whole token.
    pub(crate) fn max_cost(&self) -> u64 {
        self.max_cost
    }

    /// Whether the limit had a request, or was created, within `IDLE_TIMEOUT`.
    fn is_active(&self, now: Millis) -> bool {
        now.since(self.last_request.unwrap_or(self.started_at)) < IDLE_TIMEOUT
    }

    /// Average cost per second over the newest `slot_count` slots.
    fn average(&self, now: Millis, slot_count: usize) -> u64 {
        let current_slot = now.0 / SLOT_MS;
        let oldest_slot = (current_slot + 1).saturating_sub(slot_count as u64);
        let sum: u128 = (oldest_slot..=current_slot)
            .filter(|&n| n <= self.current_slot && n + SLOT_COUNT as u64 > self.current_slot)
            .map(|n| u128::from(self.slots[slot_index(n)]))
            .sum();
        let elapsed_ms = now.0 - (oldest_slot * SLOT_MS).min(now.0);
        let elapsed_ms = elapsed_ms
            .min(now.since(self.started_at).0)
            .max(MIN_AVERAGING_MS);
        u64::try_from(sum * 1000 / u128::from(elapsed_ms)).unwrap_or(u64::MAX)
    }
}

/// Position of a slot in the ring buffer.
fn slot_index(slot: u64) -> usize {
    usize::try_from(slot % SLOT_COUNT as u64).unwrap_or(0)
}
