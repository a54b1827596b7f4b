//! Retry budgets, which limit the retries of all VMs together: each VM uses only its share.

use std::collections::HashMap;

use waxwing_types::{Millis, ServiceId, common_derives};

/// Number of slices of the sliding window over which requests and retries are counted.
const WINDOW_SLICES: usize = 10;
/// Fraction of its share that a VM uses. The windows of the VMs are not aligned; the rest is a margin that
/// keeps their sum within the budget.
const USABLE_FRACTION: f64 = 0.8;

common_derives! {
    copy
    /// A retry budget that all VMs share.
    pub struct RetryBudgetConfig {
        /// Length of the sliding window.
        pub window: Millis,
        /// Retries allowed for each 1000 requests of the window.
        pub retry_permille: u32,
        /// Retries allowed in a window in addition, regardless of the number of requests.
        pub base_retries: u32,
    }
}

#[derive(Default, Clone, Copy)]
struct Slice {
    /// Number of the slice since the start of the clock.
    index: u64,
    requests: u32,
    retries: u32,
}

#[derive(Default)]
struct SlidingWindow {
    /// Ring buffer, indexed by [`Slice::index`] modulo its length.
    slices: [Slice; WINDOW_SLICES],
}

/// The retry budgets of all services on one VM.
pub struct RetryBudgets {
    config: RetryBudgetConfig,
    services: HashMap<ServiceId, SlidingWindow>,
}

/// Queries.
impl RetryBudgets {
    /// Whether a request to a service may be retried, when `vm_count` VMs share the budget.
    #[allow(clippy::cast_precision_loss, reason = "counts of seconds are small")]
    pub fn allows_retry(&self, now: Millis, service: &ServiceId, vm_count: usize) -> bool {
        let Some(window) = self.services.get(service) else {
            return false;
        };
        let (requests, retries) = window.totals(self.slice_index(now));
        let base = f64::from(self.config.base_retries) / vm_count.max(1) as f64;
        let earned = f64::from(requests) * f64::from(self.config.retry_permille) / 1000.0;
        f64::from(retries) + 1.0 <= (earned + base) * USABLE_FRACTION
    }

    fn slice_index(&self, now: Millis) -> u64 {
        now.0 * WINDOW_SLICES as u64 / self.config.window.0.max(1)
    }
}

/// Commands.
impl RetryBudgets {
    /// Creates budgets without any recorded requests.
    pub fn new(config: RetryBudgetConfig) -> Self {
        Self {
            config,
            services: HashMap::new(),
        }
    }

    /// Counts the first attempt of a request.
    pub fn record_request(&mut self, now: Millis, service: &ServiceId) {
        self.slice(now, service).requests += 1;
    }

    /// Counts a retry of a request.
    pub fn record_retry(&mut self, now: Millis, service: &ServiceId) {
        self.slice(now, service).retries += 1;
    }

    /// The slice for the current time, reset if it still holds counts of an earlier window.
    fn slice(&mut self, now: Millis, service: &ServiceId) -> &mut Slice {
        let index = self.slice_index(now);
        let window = self.services.entry(service.clone()).or_default();
        #[allow(clippy::cast_possible_truncation, reason = "below WINDOW_SLICES")]
        let slice = &mut window.slices[(index % WINDOW_SLICES as u64) as usize];
        if slice.index != index {
            *slice = Slice {
                index,
                ..Slice::default()
            };
        }
        slice
    }
}

impl SlidingWindow {
    /// Requests and retries of the window whose last slice is `last_index`.
    fn totals(&self, last_index: u64) -> (u32, u32) {
        let in_window = |slice: &&Slice| slice.index + WINDOW_SLICES as u64 > last_index;
        let recent = self.slices.iter().filter(in_window);
        recent.fold((0, 0), |(requests, retries), slice| {
            (requests + slice.requests, retries + slice.retries)
        })
    }
}
