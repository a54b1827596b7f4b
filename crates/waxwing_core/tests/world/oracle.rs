//! A plain token bucket in true time, fed with every admission. Shares no code with the limits.

/// Rate in tokens a second and burst in tokens.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    pub rate: u64,
    pub burst: u64,
}

#[derive(Debug)]
pub struct Oracle {
    /// Bounds that may be in force somewhere; the greatest counts.
    limits: Vec<(u64, RateLimit)>,
    /// Thousandths of a token; true time in milliseconds makes the refill exact.
    level: i128,
    at: u64,
}

impl Oracle {
    pub fn new(revision: u64, bound: RateLimit) -> Self {
        Self {
            limits: vec![(revision, bound)],
            level: i128::from(bound.burst) * 1000,
            at: 0,
        }
    }

    /// A new bound counts beside the earlier ones until those are retired.
    pub fn add_limit(&mut self, now: u64, revision: u64, bound: RateLimit) {
        self.refill(now);
        self.limits.push((revision, bound));
    }

    /// Forgets the bounds of revisions before `revision`.
    pub fn retire_limits_before(&mut self, now: u64, revision: u64) {
        self.refill(now);
        let newest = self.limits.iter().map(|b| b.0).max().unwrap_or(0);
        self.limits.retain(|b| b.0 >= revision.min(newest));
        self.refill(now);
    }

    /// Tokens left, in thousandths.
    pub fn available_millitokens(&mut self, now: u64) -> i128 {
        self.refill(now);
        self.level
    }

    pub fn spend(&mut self, now: u64, cost: u64) {
        self.refill(now);
        self.level -= i128::from(cost) * 1000;
    }

    /// The greatest rate and burst that may be in force.
    pub fn effective_limit(&self) -> RateLimit {
        RateLimit {
            rate: self.limits.iter().map(|b| b.1.rate).max().unwrap_or(0),
            burst: self.limits.iter().map(|b| b.1.burst).max().unwrap_or(0),
        }
    }

    fn refill(&mut self, now: u64) {
        let RateLimit { rate, burst } = self.effective_limit();
        self.level += i128::from(rate) * i128::from(now - self.at);
        self.level = self.level.min(i128::from(burst) * 1000);
        self.at = now;
    }
}
