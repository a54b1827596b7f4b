//! Which requests an overloaded service still accepts, by their priority.
//!
//! Answers a load above the slots of a service in a region. Targets run requests in the order of their arrival, so the
//! request of a low priority that waits in a queue delays those of a high priority behind it. The wait with which a
//! request is accepted therefore shrinks with the part of the recent requests that come before it by priority. A request
//! that need not wait is always accepted, so slots do not stay idle.
//!
//! A VM needs no messages for this: it counts its own requests, and sees the load in the reports of the targets.

use std::collections::BTreeMap;

use waxwing_types::Millis;

/// Priority of a request: the rank of the workspace, then that of the route. Lower values come first.
pub type Priority = (u32, u32);

/// Utilization (requests per slot) of the targets of a service in a region, from which on it is overloaded: with this
/// many requests, each slot runs one.
const OVERLOAD_UTILIZATION: f64 = 1.0;
/// Time constant of the average of the utilization. Single reports differ more than the load does.
const UTILIZATION_TIME: Millis = Millis(500);
/// Interval after which the counted requests lose half of their weight.
const HALVING_INTERVAL: Millis = Millis::from_secs(1);
/// Greatest number of priorities that are told apart. Requests of further priorities count with the last one.
const MAX_PRIORITIES: usize = 64;

/// The recent requests of one service at this VM, by priority.
#[derive(Debug, Default)]
pub(crate) struct RankAdmission {
    requests: BTreeMap<Priority, f64>,
    last_halving: Millis,
    /// Average utilization of the targets, by region index, and the time of its last update.
    utilizations: BTreeMap<usize, (f64, Millis)>,
}

impl RankAdmission {
    /// Counts a request.
    pub(crate) fn record(&mut self, now: Millis, priority: Priority) {
        if now.since(self.last_halving) >= HALVING_INTERVAL {
            self.last_halving = now;
            // Priorities without requests for some seconds are forgotten.
            self.requests.retain(|_, count| {
                *count /= 2.0;
                *count > 0.1
            });
        }
        let is_new = !self.requests.contains_key(&priority);
        if is_new && self.requests.len() >= MAX_PRIORITIES {
            if let Some(mut last) = self.requests.last_entry() {
                *last.get_mut() += 1.0;
            }
            return;
        }
        *self.requests.entry(priority).or_default() += 1.0;
    }

    /// Records the utilization of the service's targets in a region, in requests per slot.
    #[allow(
        clippy::cast_precision_loss,
        reason = "times between requests are short"
    )]
    pub(crate) fn record_utilization(&mut self, now: Millis, region: usize, utilization: f64) {
        let (mean, updated_at) = self.utilizations.entry(region).or_insert((0.0, now));
        let elapsed = now.since(*updated_at).0 as f64;
        *updated_at = now;
        let weight = 1.0 - (-elapsed / UTILIZATION_TIME.0 as f64).exp();
        *mean += (utilization - *mean) * weight;
    }

    /// Greatest expected wait in ms with which a request is accepted in a region, if `max_wait_ms` is the wait after
    /// which its response would be late. A request that need not wait is always accepted.
    pub(crate) fn max_wait_ms(&self, priority: Priority, region: usize, max_wait_ms: f64) -> f64 {
        let utilization = self.utilizations.get(&region);
        let is_overloaded = utilization.is_some_and(|(mean, _)| *mean >= OVERLOAD_UTILIZATION);
        if !is_overloaded || max_wait_ms <= 0.0 {
            return max_wait_ms;
        }
        max_wait_ms * (1.0 - self.part_before(priority))
    }

    /// Part of the recent requests (0 to 1) that come before a priority.
    fn part_before(&self, priority: Priority) -> f64 {
        let total: f64 = self.requests.values().sum();
        let before: f64 = self.requests.range(..priority).map(|(_, n)| n).sum();
        if total > 0.0 { before / total } else { 0.0 }
    }
}
