//! A plain token bucket in true time, fed with every admission. Shares no code with the limits.

/// Rate in tokens a second and burst in tokens.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    pub rate: u64,
    pub burst: u64,
}

#[derive(Debug)]
pub struct Oracle {
    /// Bounds that may be in force somewhere; the greatest counts.
    bounds: Vec<(u64, Bound)>,
    /// Thousandths of a token; true time in milliseconds makes the refill exact.
    level: i128,
    at: u64,
}

impl Oracle {
    pub fn new(revision: u64, bound: Bound) -> Self {
        Self {
            bounds: vec![(revision, bound)],
            level: i128::from(bound.burst) * 1000,
            at: 0,
        }
    }

    /// A new bound counts beside the earlier ones until those are retired.
    pub fn change(&mut self, now: u64, revision: u64, bound: Bound) {
        self.refill(now);
        self.bounds.push((revision, bound));
    }

    /// Forgets the bounds of revisions before `revision`.
    pub fn retire_before(&mut self, now: u64, revision: u64) {
        self.refill(now);
        let newest = self.bounds.iter().map(|b| b.0).max().unwrap_or(0);
        self.bounds.retain(|b| b.0 >= revision.min(newest));
        self.refill(now);
    }

    /// Tokens left, in thousandths.
    pub fn level(&mut self, now: u64) -> i128 {
        self.refill(now);
        self.level
    }

    pub fn admit(&mut self, now: u64, cost: u64) {
        self.refill(now);
        self.level -= i128::from(cost) * 1000;
    }

    /// The greatest rate and burst that may be in force.
    pub fn bound(&self) -> Bound {
        Bound {
            rate: self.bounds.iter().map(|b| b.1.rate).max().unwrap_or(0),
            burst: self.bounds.iter().map(|b| b.1.burst).max().unwrap_or(0),
        }
    }

    fn refill(&mut self, now: u64) {
        let Bound { rate, burst } = self.bound();
        self.level += i128::from(rate) * i128::from(now - self.at);
        self.level = self.level.min(i128::from(burst) * 1000);
        self.at = now;
    }
}
