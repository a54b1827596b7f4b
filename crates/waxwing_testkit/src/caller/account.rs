//! The account of what was sent and what came back.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::Outcome;

/// Requests and their outcomes.
#[derive(Clone, Debug, Default)]
pub struct Account {
    sent: u64,
    fallbacks: u64,
    statuses: BTreeMap<u16, u64>,
    reasons: BTreeMap<SmolStr, u64>,
    targets: BTreeMap<SmolStr, u64>,
    lost: u64,
    times: Vec<Duration>,
}

/// An account in numbers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Summary {
    /// Requests sent.
    pub sent: u64,
    /// Requests with a complete response, by status.
    pub statuses: BTreeMap<u16, u64>,
    /// Requests without a complete response.
    pub lost: u64,
    /// Rejections and losses, by reason.
    pub reasons: BTreeMap<SmolStr, u64>,
    /// Responses by target, as far as targets name themselves.
    pub targets: BTreeMap<SmolStr, u64>,
    /// Attempts beyond the first VM.
    pub fallbacks: u64,
    /// Times of successful requests in milliseconds: median, 99th percentile and greatest.
    pub p50_ms: f64,
    /// See `p50_ms`.
    pub p99_ms: f64,
    /// See `p50_ms`.
    pub max_ms: f64,
}

impl Account {
    /// Adds the outcome of one request.
    pub fn add(&mut self, outcome: &Outcome) {
        self.sent += 1;
        self.fallbacks += u64::from(outcome.attempts.saturating_sub(1));
        match outcome.status {
            Some(status) => *self.statuses.entry(status).or_default() += 1,
            None => self.lost += 1,
        }
        if !outcome.reason.is_empty() {
            *self.reasons.entry(outcome.reason.clone()).or_default() += 1;
        }
        if !outcome.target.is_empty() {
            *self.targets.entry(outcome.target.clone()).or_default() += 1;
        }
        if outcome.status.is_some_and(|s| (200..300).contains(&s)) {
            self.times.push(outcome.time);
        }
    }

    /// The account in numbers.
    pub fn summary(&self) -> Summary {
        let mut times = self.times.clone();
        times.sort_unstable();
        let percentile = |percent: usize| {
            let at = (times.len() * percent).div_ceil(100).saturating_sub(1);
            times.get(at).map_or(0.0, |t| t.as_secs_f64() * 1000.0)
        };
        Summary {
            sent: self.sent,
            statuses: self.statuses.clone(),
            lost: self.lost,
            reasons: self.reasons.clone(),
            targets: self.targets.clone(),
            fallbacks: self.fallbacks,
            p50_ms: percentile(50),
            p99_ms: percentile(99),
            max_ms: percentile(100),
        }
    }
}
