//! Quota and token buckets in micro-tokens, with exact integer arithmetic.

use waxwing_types::{Micros, Millis, common_derives};

common_derives! {
    copy
    /// A refill rate with a burst.
    #[derive(Default)]
    pub(crate) struct Quota {
        /// Micro-tokens a second.
        pub(crate) rate: u64,
        /// Micro-tokens.
        pub(crate) burst: u64,
    }
}

impl Quota {
    pub(crate) const ZERO: Self = Self { rate: 0, burst: 0 };

    pub(crate) fn of(rate: Micros, burst: Micros) -> Self {
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

    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            rate: self.rate.saturating_add(other.rate),
            burst: self.burst.saturating_add(other.burst),
        }
    }

    pub(crate) fn minus(self, other: Self) -> Self {
        Self {
            rate: self.rate.saturating_sub(other.rate),
            burst: self.burst.saturating_sub(other.burst),
        }
    }

    /// Whether both components are at most those of `other`.
    pub(crate) fn fits(self, other: Self) -> bool {
        self.rate <= other.rate && self.burst <= other.burst
    }

    /// `self * part / whole` in both components.
    pub(crate) fn scaled(self, part: Self, whole: Self) -> Self {
        Self {
            rate: scale(self.rate, part.rate, whole.rate),
            burst: scale(self.burst, part.burst, whole.burst),
        }
    }
}

/// `amount * part / whole`, rounded down; `amount` if `whole` is zero.
fn scale(amount: u64, part: u64, whole: u64) -> u64 {
    if whole == 0 {
        return amount;
    }
    let scaled = u128::from(amount) * u128::from(part) / u128::from(whole);
    u64::try_from(scaled).unwrap_or(u64::MAX)
}

common_derives! {
    /// A token bucket whose rate and burst come from outside.
    #[derive(Default)]
    pub(crate) struct Bucket {
        tokens: u64,
        /// Amount spent beyond the tokens; refills and credits pay it off first.
        debt: u64,
        /// Remainder of the refill in thousandths of a micro-token, below 1000.
        rest: u64,
    }
}

impl Bucket {
    /// Adds the refill of `span`, up to the burst.
    pub(crate) fn refill(&mut self, quota: Quota, span: Millis) {
        let gained = u128::from(quota.rate) * u128::from(span.0) + u128::from(self.rest);
        self.rest = u64::try_from(gained % 1000).unwrap_or(0);
        self.credit(
            u64::try_from(gained / 1000).unwrap_or(u64::MAX),
            quota.burst,
        );
    }

    /// Adds tokens, up to the burst.
    pub(crate) fn credit(&mut self, amount: u64, burst: u64) {
        let paid = amount.min(self.debt);
        self.debt -= paid;
        self.tokens = self.tokens.saturating_add(amount - paid);
        self.clip(burst);
    }

    /// Drops the tokens beyond the burst.
    pub(crate) fn clip(&mut self, burst: u64) {
        if self.tokens >= burst {
            self.tokens = burst;
            self.rest = 0;
        }
    }

    /// Takes an amount that `tokens` covers.
    pub(crate) fn take(&mut self, amount: u64) {
        debug_assert!(amount <= self.tokens, "took more than the tokens");
        self.tokens = self.tokens.saturating_sub(amount);
    }

    /// Takes an amount that was spent already.
    pub(crate) fn charge(&mut self, amount: u64) {
        let covered = amount.min(self.tokens);
        self.tokens -= covered;
        self.debt = self.debt.saturating_add(amount - covered);
    }
}

impl Bucket {
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    pub(crate) fn check_invariants(&self, burst: u64) {
        assert!(self.tokens <= burst, "tokens {} > {burst}", self.tokens);
        assert!(self.debt == 0 || self.tokens == 0, "tokens despite debt");
        assert!(self.rest < 1000, "remainder {} of a refill", self.rest);
    }
}
