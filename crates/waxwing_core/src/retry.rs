//! Whether a request may be sent again: a budget for each service, so that retries cannot multiply
//! the load of a service that is failing.

use std::collections::{BTreeMap, VecDeque};

use waxwing_types::{Millis, ServiceId};

/// Span over which requests and retries are counted.
const WINDOW: Millis = Millis::from_secs(10);
/// Length of one counter of the window.
const BUCKET: Millis = Millis::from_secs(1);
/// Retries allowed for each thousand requests while load is low.
const SHARE_PERMILLE: u64 = 100;
/// Retries allowed for each thousand requests at full load.
const FULL_SHARE_PERMILLE: u64 = 20;
/// Load up to which the whole share is allowed.
const LOW_LOAD_PERMILLE: u64 = 500;
/// Retries allowed in a window whatever the number of requests. Without them a service with few
/// requests could never retry, because a tenth of a few requests is less than one.
const FLOOR: u64 = 3;

/// Counters of one second.
#[derive(Debug, Default, Clone, Copy)]
struct Bucket {
    start: Millis,
    requests: u64,
    retries: u64,
}

/// The budget of retries of one daemon.
#[derive(Debug, Default)]
pub struct RetryBudget {
    services: BTreeMap<ServiceId, VecDeque<Bucket>>,
}

impl RetryBudget {
    /// Counts a request that was admitted.
    pub fn record_request(&mut self, now: Millis, service: &ServiceId) {
        if let Some(bucket) = self.bucket(now, service) {
            bucket.requests += 1;
        }
    }

    /// Takes one retry from the budget. `load` is the share of the service's concurrency in use,
    /// in thousandths.
    pub fn try_take(&mut self, now: Millis, service: &ServiceId, load: u64) -> bool {
        let (requests, retries) = self.totals(now, service);
        let allowed = (requests * share(load) / 1000).max(FLOOR);
        if retries >= allowed {
            return false;
        }
        if let Some(bucket) = self.bucket(now, service) {
            bucket.retries += 1;
        }
        true
    }

    fn bucket(&mut self, now: Millis, service: &ServiceId) -> Option<&mut Bucket> {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), VecDeque::new());
        }
        let buckets = self.services.get_mut(service)?;
        while buckets
            .front()
            .is_some_and(|b| now.since(b.start) >= WINDOW)
        {
            buckets.pop_front();
        }
        if buckets.back().is_none_or(|b| now.since(b.start) >= BUCKET) {
            buckets.push_back(Bucket {
                start: now,
                ..Bucket::default()
            });
        }
        buckets.back_mut()
    }
}

impl RetryBudget {
    /// Requests and retries of the window.
    fn totals(&self, now: Millis, service: &ServiceId) -> (u64, u64) {
        self.services
            .get(service)
            .into_iter()
            .flatten()
            .filter(|b| now.since(b.start) < WINDOW)
            .fold((0, 0), |(requests, retries), b| {
                (requests + b.requests, retries + b.retries)
            })
    }
}

/// Allowed retries for each thousand requests: falls in a straight line above low load.
fn share(load: u64) -> u64 {
    let over = load.min(1000).saturating_sub(LOW_LOAD_PERMILLE);
    SHARE_PERMILLE - (SHARE_PERMILLE - FULL_SHARE_PERMILLE) * over / (1000 - LOW_LOAD_PERMILLE)
}
