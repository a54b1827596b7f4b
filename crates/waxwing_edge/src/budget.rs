//! The budget of repeated requests, which all VMs share by holding a part each.

use std::collections::HashMap;

use waxwing_types::{Millis, ServiceId, common_derives};

/// Parts into which the window is divided.
const SLICES: usize = 10;
/// Part of its share that a VM spends, so that uneven windows of several VMs stay within the sum.
const SPENT_SHARE: f64 = 0.8;

common_derives! {
    copy
    /// The budget over all VMs.
    pub struct RetryBudgetConfig {
        /// Length of the window.
        pub window: Millis,
        /// Repeats for each 1000 requests.
        pub retry_permille: u32,
        /// Repeats in a window whatever the requests.
        pub base_retries: u32,
    }
}

#[derive(Default, Clone, Copy)]
struct Slice {
    number: u64,
    requests: u32,
    repeats: u32,
}

#[derive(Default)]
struct Counts {
    slices: [Slice; SLICES],
}

/// The budgets of all services on one VM.
pub struct RetryBudgets {
    rule: RetryBudgetConfig,
    services: HashMap<ServiceId, Counts>,
}

/// Queries.
impl RetryBudgets {
    /// Whether a request to a service may be sent once more.
    #[allow(clippy::cast_precision_loss, reason = "counts of seconds are small")]
    pub fn allows_retry(&self, now: Millis, service: &ServiceId, vms: usize) -> bool {
        let Some(counts) = self.services.get(service) else {
            return false;
        };
        let (requests, repeats) = counts.sums(self.number(now));
        let slack = f64::from(self.rule.base_retries) / vms.max(1) as f64;
        let earned = f64::from(requests) * f64::from(self.rule.retry_permille) / 1000.0;
        f64::from(repeats) + 1.0 <= (earned + slack) * SPENT_SHARE
    }

    fn number(&self, now: Millis) -> u64 {
        now.0 * SLICES as u64 / self.rule.window.0.max(1)
    }
}

/// Commands.
impl RetryBudgets {
    /// Budgets without requests.
    pub fn new(rule: RetryBudgetConfig) -> Self {
        Self {
            rule,
            services: HashMap::new(),
        }
    }

    /// Counts the first send of a request.
    pub fn record_request(&mut self, now: Millis, service: &ServiceId) {
        self.slice(now, service).requests += 1;
    }

    /// Counts a further send.
    pub fn record_retry(&mut self, now: Millis, service: &ServiceId) {
        self.slice(now, service).repeats += 1;
    }

    fn slice(&mut self, now: Millis, service: &ServiceId) -> &mut Slice {
        let number = self.number(now);
        let counts = self.services.entry(service.clone()).or_default();
        #[allow(clippy::cast_possible_truncation, reason = "below SLICES")]
        let slice = &mut counts.slices[(number % SLICES as u64) as usize];
        if slice.number != number {
            *slice = Slice {
                number,
                ..Slice::default()
            };
        }
        slice
    }
}

impl Counts {
    /// Requests and repeats of the window that ends with a slice.
    fn sums(&self, number: u64) -> (u32, u32) {
        let within = |slice: &&Slice| slice.number + SLICES as u64 > number;
        let fresh = self.slices.iter().filter(within);
        fresh.fold((0, 0), |(requests, repeats), slice| {
            (requests + slice.requests, repeats + slice.repeats)
        })
    }
}
