//! The quota tokens of one workspace that one VM holds.

use waxwing_types::{Micros, Millis};

use super::Admission;

/// Interval after which the average demand is updated.
const DEMAND_INTERVAL: Millis = Millis(1000);
/// Time of expected demand for which a VM wants to hold tokens. An exchange with the coordinator takes up to
/// 0.4 s.
const DEMAND_HORIZON: Millis = Millis(700);
/// Percentage of its share of the burst that a new process holds. The platform tolerates 10 % above rate and
/// burst, and all processes may restart at the same time.
const INITIAL_BURST_PERCENT: u64 = 25;
/// Need below which a VM holds no tokens for its own requests.
const MIN_NEED: u64 = 2 * ONE_TOKEN;
/// Longest time for which tokens are added at once. All accounts are updated four times a second; a longer
/// pause means that the VM was suspended, and other VMs have added its share of the rate meanwhile.
const MAX_REFILL_TIME: Millis = Millis(1500);
/// One token, which admits one request, in millionths.
pub(super) const ONE_TOKEN: u64 = Micros::PER_UNIT;

/// The tokens of a workspace's quota that one VM holds. Token amounts are in millionths of a request; a share
/// is the part of rate and burst that belongs to one VM.
pub(super) struct Account {
    /// Tokens from the shares that this VM refills.
    pub(super) refilled: u64,
    /// Tokens received from other VMs.
    pub(super) received: u64,
    pub(super) last_refill: Millis,
    /// Requests per 1000 s that all VMs together may admit.
    pub(super) rate: u64,
    /// Burst of all VMs together, in millionths of a request.
    pub(super) burst: u64,
    /// Average demand at this VM, in requests per 1000 s.
    pub(super) mean_demand: u64,
    /// Requests that arrived since `arrivals_since`.
    pub(super) arrivals: u64,
    pub(super) arrivals_since: Millis,
    /// When this VM last asked another one for the token of a waiting request.
    pub(super) last_token_request: Millis,
    /// Whether no tokens arrived since then.
    pub(super) token_request_pending: bool,
    /// Number of VMs whose shares this VM refills: 1 until the coordinator is known, 0 while another VM is the
    /// coordinator. A coordinator counts itself and the VMs from which it gets heartbeats.
    pub(super) vm_shares: u64,
    /// Whether this VM is the coordinator of its failure domain.
    pub(super) is_coordinator: bool,
    /// Tokens that VMs of the failure domain asked for and did not get since the last exchange.
    pub(super) unmet: u64,
    /// Tokens that the failure domain spent since the last exchange.
    pub(super) spent: u64,
    /// Average of the tokens that the failure domain spends between two exchanges.
    pub(super) mean_spent: u64,
}

impl Account {
    pub(super) fn new(now: Millis, rate: u64, burst: u64, vm_count: u64) -> Self {
        Self {
            refilled: burst * INITIAL_BURST_PERCENT / 100 / vm_count,
            received: 0,
            last_refill: now,
            rate,
            burst,
            mean_demand: 0,
            arrivals: 0,
            arrivals_since: now,
            last_token_request: Millis::ZERO,
            token_request_pending: false,
            vm_shares: 1,
            is_coordinator: false,
            unmet: 0,
            spent: 0,
            mean_spent: 0,
        }
    }

    /// Capacity for tokens from the shares that this VM refills.
    pub(super) fn refill_capacity(&self, vm_count: u64) -> u64 {
        self.burst * self.vm_shares / vm_count
    }

    pub(super) fn tokens(&self) -> u64 {
        self.refilled + self.received
    }

    /// Removes tokens, received ones first, so that the refilled ones continue to accumulate.
    pub(super) fn remove(&mut self, amount: u64) {
        let from_received = amount.min(self.received);
        self.received -= from_received;
        self.refilled = self.refilled.saturating_sub(amount - from_received);
    }

    /// Adds the tokens for the time since the last refill, up to the capacity, and updates the average
    /// demand.
    pub(super) fn advance(&mut self, now: Millis, vm_count: u64) {
        let elapsed = now.since(self.last_refill).min(MAX_REFILL_TIME);
        self.last_refill = now;
        // Requests per 1000 s equal millionths of a request per ms.
        let refill = self.rate * elapsed.0 * self.vm_shares / vm_count;
        let capacity = self.refill_capacity(vm_count).max(self.refilled);
        self.refilled = (self.refilled + refill).min(capacity);
        let interval = now.since(self.arrivals_since);
        if interval >= DEMAND_INTERVAL {
            let demand = self.arrivals * 1_000_000 / interval.0;
            self.mean_demand = u64::midpoint(self.mean_demand, demand);
            self.arrivals = 0;
            self.arrivals_since = now;
        }
    }

    /// Takes the token for one request. Returns whether there was one.
    pub(super) fn try_take(&mut self) -> bool {
        if self.tokens() < ONE_TOKEN {
            return false;
        }
        self.remove(ONE_TOKEN);
        if self.is_coordinator {
            self.spent += ONE_TOKEN;
        }
        true
    }

    /// The result for a request without a token, with the time until the share of one VM yields it.
    pub(super) fn no_token(&self, vm_count: u64) -> Admission {
        let missing = ONE_TOKEN - self.tokens().min(ONE_TOKEN);
        let wait = missing * vm_count / self.rate.max(1);
        Admission::NoToken {
            wait: Millis(wait.max(1)),
        }
    }

    /// Tokens that the requests at this VM are expected to need beyond its refill. A small need counts as
    /// none: a fraction of a token admits no request here, but adds up with others at the coordinator.
    pub(super) fn need(&self, vm_count: u64) -> u64 {
        let current_demand = self.arrivals * 1_000_000 / DEMAND_INTERVAL.0;
        let demand = self.mean_demand.max(current_demand);
        let need = demand.saturating_sub(self.rate * self.vm_shares / vm_count) * DEMAND_HORIZON.0;
        if need < MIN_NEED { 0 } else { need }
    }
}
