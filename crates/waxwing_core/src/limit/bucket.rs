//! Quotas and token buckets, counted in integer micro-tokens (millionths of a token).

use waxwing_types::{Micros, Millis, common_derives};

common_derives! {
    copy
    /// A refill rate and a burst.
    #[derive(Default)]
    pub(crate) struct Quota {
        /// Micro-tokens per second.
        pub(crate) rate: u64,
        /// Micro-tokens.
        pub(crate) burst: u64,
    }
}

impl Quota {
    pub(crate) const ZERO: Self = Self { rate: 0, burst: 0 };

    pub(crate) fn new(rate: Micros, burst: Micros) -> Self {
        Self {
            rate: rate.0,
            burst: burst.0,
        }
    }

    pub(crate) fn min(self, other: Self) -> Self {
        Self {
            rate: self.rate.min(other.rate),
            burst: self.burst.min(other.burst),
        }
    }

    pub(crate) fn max(self, other: Self) -> Self {
        Self {
            rate: self.rate.max(other.rate),
            burst: self.burst.max(other.burst),
        }
    }

    /// Saturating sum of rate and of burst.
    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            rate: self.rate.saturating_add(other.rate),
            burst: self.burst.saturating_add(other.burst),
        }
    }

    /// Difference of rate and of burst, each at least zero.
    pub(crate) fn minus(self, other: Self) -> Self {
        Self {
            rate: self.rate.saturating_sub(other.rate),
            burst: self.burst.saturating_sub(other.burst),
        }
    }

    /// Whether neither the rate nor the burst exceeds that of `other`.
    pub(crate) fn fits_in(self, other: Self) -> bool {
        self.rate <= other.rate && self.burst <= other.burst
    }

    /// Returns `self * numerator / denominator`, computed separately for rate and burst.
    pub(crate) fn scaled_by(self, numerator: Self, denominator: Self) -> Self {
        Self {
            rate: scale(self.rate, numerator.rate, denominator.rate),
            burst: scale(self.burst, numerator.burst, denominator.burst),
        }
    }
}

/// Returns `amount * numerator / denominator`, rounded down, or `amount` if `denominator` is zero.
fn scale(amount: u64, numerator: u64, denominator: u64) -> u64 {
    if denominator == 0 {
        return amount;
    }
    let scaled = u128::from(amount) * u128::from(numerator) / u128::from(denominator);
    u64::try_from(scaled).unwrap_or(u64::MAX)
}

common_derives! {
    /// A token bucket. The caller passes the current rate and burst to each operation.
    #[derive(Default)]
    pub(crate) struct TokenBucket {
        /// Micro-tokens that can be taken.
        tokens: u64,
        /// Micro-tokens charged beyond `tokens`. Refills and credits pay off this debt first.
        debt: u64,
        /// Fraction of a micro-token left over from the last refill, in thousandths (0 to 999).
        refill_remainder: u64,
    }
}

impl TokenBucket {
    /// Adds the tokens that accrue during `elapsed`, up to the burst.
    pub(crate) fn refill(&mut self, quota: Quota, elapsed: Millis) {
        let gained =
            u128::from(quota.rate) * u128::from(elapsed.0) + u128::from(self.refill_remainder);
        self.refill_remainder = u64::try_from(gained % 1000).unwrap_or(0);
        self.credit(
            u64::try_from(gained / 1000).unwrap_or(u64::MAX),
            quota.burst,
        );
    }

    /// Pays off debt, then adds the rest of `amount` as tokens, up to the burst.
    pub(crate) fn credit(&mut self, amount: u64, burst: u64) {
        let repaid = amount.min(self.debt);
        self.debt -= repaid;
        self.tokens = self.tokens.saturating_add(amount - repaid);
        self.cap_to(burst);
    }

    /// Drops tokens beyond the burst.
    pub(crate) fn cap_to(&mut self, burst: u64) {
        if self.tokens >= burst {
            self.tokens = burst;
            self.refill_remainder = 0;
        }
    }

    /// Takes `amount` tokens. The caller has checked that the bucket holds them.
    pub(crate) fn take(&mut self, amount: u64) {
        debug_assert!(
            amount <= self.tokens,
            "took more tokens than the bucket holds"
        );
        self.tokens = self.tokens.saturating_sub(amount);
    }

    /// Takes an amount that was already spent, and records the uncovered part as debt.
    pub(crate) fn charge(&mut self, amount: u64) {
        let covered = amount.min(self.tokens);
        self.tokens -= covered;
        self.debt = self.debt.saturating_add(amount - covered);
    }
}

impl TokenBucket {
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    pub(crate) fn check_invariants(&self, burst: u64) {
        assert!(
            self.tokens <= burst,
            "bucket holds {} tokens, more than its burst {burst}",
            self.tokens
        );
        assert!(
            self.debt == 0 || self.tokens == 0,
            "bucket holds tokens and debt at once"
        );
        assert!(
            self.refill_remainder < 1000,
            "refill remainder {} is not below 1000",
            self.refill_remainder
        );
    }
}
