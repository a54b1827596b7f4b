//! Retry budget of each service. The budget limits retries to a share of the recent requests,
//! because unlimited retries would multiply the load of a failing service.

use std::collections::{BTreeMap, VecDeque};

use waxwing_types::{Millis, ServiceId};

/// Length of the sliding window over which requests and retries are counted.
const WINDOW_LENGTH: Millis = Millis::from_secs(10);
/// Length of one bucket of the window.
const BUCKET_LENGTH: Millis = Millis::from_secs(1);
/// Retries allowed per thousand requests while the load is low.
const RETRIES_PERMILLE: u64 = 100;
/// Retries allowed per thousand requests at full load.
const FULL_LOAD_RETRIES_PERMILLE: u64 = 20;
/// Load, in thousandths of the capacity, up to which [`RETRIES_PERMILLE`] applies.
const LOW_LOAD_PERMILLE: u64 = 500;
/// Retries always allowed in a window. Without them a service with few requests could never retry,
/// because a tenth of a few requests is less than one.
const MIN_RETRIES: u64 = 3;

/// Requests and retries of one service during one second.
#[derive(Debug, Default, Clone, Copy)]
struct Bucket {
    start: Millis,
    requests: u64,
    retries: u64,
}

/// Retry budgets of all services in one daemon.
#[derive(Debug, Default)]
pub struct RetryBudget {
    services: BTreeMap<ServiceId, VecDeque<Bucket>>,
}

impl RetryBudget {
    /// Counts an admitted request, which increases the budget.
    pub fn record_request(&mut self, now: Millis, service: &ServiceId) {
        if let Some(bucket) = self.current_bucket(now, service) {
            bucket.requests += 1;
        }
    }

    /// Takes one retry from the budget. Returns `false` if the budget is exhausted. `load_permille`
    /// is the share of the service's concurrency limit that is in use, in thousandths.
    pub fn try_take(&mut self, now: Millis, service: &ServiceId, load_permille: u64) -> bool {
        let (requests, retries) = self.totals(now, service);
        let allowed = (requests * allowed_permille(load_permille) / 1000).max(MIN_RETRIES);
        if retries >= allowed {
            return false;
        }
        if let Some(bucket) = self.current_bucket(now, service) {
            bucket.retries += 1;
        }
        true
    }

    /// Returns the bucket of the current second. Adds the bucket if it is missing, and drops
    /// buckets outside of the window.
    fn current_bucket(&mut self, now: Millis, service: &ServiceId) -> Option<&mut Bucket> {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), VecDeque::new());
        }
        let buckets = self.services.get_mut(service)?;
        while buckets
            .front()
            .is_some_and(|b| now.since(b.start) >= WINDOW_LENGTH)
        {
            buckets.pop_front();
        }
        if buckets
            .back()
            .is_none_or(|b| now.since(b.start) >= BUCKET_LENGTH)
        {
            buckets.push_back(Bucket {
                start: now,
                ..Bucket::default()
            });
        }
        buckets.back_mut()
    }
}

impl RetryBudget {
    /// Number of requests and number of retries in the window.
    fn totals(&self, now: Millis, service: &ServiceId) -> (u64, u64) {
        self.services
            .get(service)
            .into_iter()
            .flatten()
            .filter(|b| now.since(b.start) < WINDOW_LENGTH)
            .fold((0, 0), |(requests, retries), b| {
                (requests + b.requests, retries + b.retries)
            })
    }
}

/// Retries allowed per thousand requests at this load. Decreases linearly from [`RETRIES_PERMILLE`]
/// at [`LOW_LOAD_PERMILLE`] to [`FULL_LOAD_RETRIES_PERMILLE`] at full load.
fn allowed_permille(load_permille: u64) -> u64 {
    let excess = load_permille.min(1000).saturating_sub(LOW_LOAD_PERMILLE);
    RETRIES_PERMILLE
        - (RETRIES_PERMILLE - FULL_LOAD_RETRIES_PERMILLE) * excess / (1000 - LOW_LOAD_PERMILLE)
}
