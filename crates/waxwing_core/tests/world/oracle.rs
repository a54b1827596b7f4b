//! A reference token bucket that runs on simulation time and sees every admitted request. It shares
//! no code with the limits under test.

/// A rate in tokens per second and a burst in tokens.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    pub rate: u64,
    pub burst: u64,
}

/// The reference token bucket of one limit.
#[derive(Debug)]
pub struct Oracle {
    /// The limits that at least one VM may still apply, each with its revision. The bucket has the
    /// greatest rate and the greatest burst among these limits.
    limits: Vec<(u64, RateLimit)>,
    /// The tokens left, in thousandths. With this unit, a refill for whole milliseconds is exact.
    /// Negative if more tokens were spent than the limits allow.
    millitokens: i128,
    /// Time of the last refill, in milliseconds.
    refilled_at: u64,
}

impl Oracle {
    pub fn new(revision: u64, limit: RateLimit) -> Self {
        Self {
            limits: vec![(revision, limit)],
            millitokens: i128::from(limit.burst) * 1000,
            refilled_at: 0,
        }
    }

    /// Adds a new limit. The earlier limits stay effective until they are retired.
    pub fn add_limit(&mut self, now: u64, revision: u64, limit: RateLimit) {
        self.refill(now);
        self.limits.push((revision, limit));
    }

    /// Removes the limits of revisions before `revision`, but keeps the newest limit.
    pub fn retire_limits_before(&mut self, now: u64, revision: u64) {
        self.refill(now);
        let newest = self.limits.iter().map(|l| l.0).max().unwrap_or(0);
        self.limits.retain(|l| l.0 >= revision.min(newest));
        self.refill(now);
    }

    /// The tokens that are left, in thousandths.
    pub fn available_millitokens(&mut self, now: u64) -> i128 {
        self.refill(now);
        self.millitokens
    }

    /// Takes the tokens of an admitted request, even if there are too few.
    pub fn spend(&mut self, now: u64, cost: u64) {
        self.refill(now);
        self.millitokens -= i128::from(cost) * 1000;
    }

    /// The greatest rate and the greatest burst of all limits that are not retired.
    pub fn effective_limit(&self) -> RateLimit {
        RateLimit {
            rate: self.limits.iter().map(|l| l.1.rate).max().unwrap_or(0),
            burst: self.limits.iter().map(|l| l.1.burst).max().unwrap_or(0),
        }
    }

    fn refill(&mut self, now: u64) {
        let RateLimit { rate, burst } = self.effective_limit();
        self.millitokens += i128::from(rate) * i128::from(now - self.refilled_at);
        self.millitokens = self.millitokens.min(i128::from(burst) * 1000);
        self.refilled_at = now;
    }
}
