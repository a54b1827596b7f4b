//! The quota tokens of one workspace that one VM holds.

use waxwing_types::{Micros, Millis};

use super::{Admission, QuotaCoordinator};

/// Interval after which the average demand is updated.
const DEMAND_INTERVAL: Millis = Millis(1000);
/// Length of time for which a VM wants to hold the tokens for its expected demand. An exchange with the
/// coordinator takes up to 0.4 s.
const DEMAND_HORIZON: Millis = Millis(700);
/// Percentage of the burst of a failure domain that its coordinator holds at first. All processes may restart at the
/// same time, and the platform tolerates only 10 % above rate and burst.
const INITIAL_BURST_PERCENT: u64 = 25;
/// Need below which a VM holds no tokens for its own requests, in millionths of a token.
const MIN_NEED: u64 = 2 * ONE_TOKEN;
/// Number of whole received tokens that a VM may hold even if it needs fewer. One token request may bring
/// several grants.
const MAX_RECEIVED: u64 = 4;
/// Longest time for which tokens are added at once. All accounts are updated four times per second, so a
/// longer pause means that the VM was suspended. Other VMs have refilled the share of a suspended VM.
const MAX_REFILL_TIME: Millis = Millis(1500);
/// One token in millionths. A token admits one request.
pub(super) const ONE_TOKEN: u64 = Micros::PER_UNIT;

/// The tokens of a workspace's quota that one VM holds. Token amounts are in millionths of a token. A share
/// is the part of rate and burst that belongs to one VM.
pub(super) struct Account {
    /// Tokens from the shares that this VM refills.
    pub(super) refilled: u64,
    /// Tokens received from other VMs.
    pub(super) received: u64,
    pub(super) last_refill: Millis,
    /// Requests per 1000 s that all VMs together may admit.
    pub(super) rate: u64,
    /// Burst of all VMs together, in millionths of a token.
    pub(super) burst: u64,
    /// Average demand at this VM, in requests per 1000 s.
    pub(super) mean_demand: u64,
    /// Requests that arrived since `arrivals_since`.
    pub(super) arrivals: u64,
    pub(super) arrivals_since: Millis,
    /// When this VM last asked another VM for a token, for a caller's request that waited.
    pub(super) last_token_request: Millis,
    /// Whether no tokens have arrived since the last token request.
    pub(super) token_request_pending: bool,
    /// Number of VMs whose shares this VM refills. The number is 0 until the coordinator is known, and while
    /// another VM is the coordinator. A coordinator counts itself and the VMs from which it gets heartbeats.
    pub(super) share_count: u64,
    /// Whether this VM is the quota coordinator of the workspace in its failure domain.
    pub(super) is_coordinator: bool,
    /// Whether this process has known a coordinator of the workspace, itself or another VM.
    pub(super) coordinator_known: bool,
    /// Tokens that other VMs asked for and did not get since the last exchange.
    pub(super) unmet: u64,
    /// Tokens that this VM granted to other VMs, or spent as coordinator, since the last exchange.
    pub(super) spent: u64,
    /// Moving average of `spent` between two exchanges.
    pub(super) mean_spent: u64,
}

impl Account {
    /// Creates an account without tokens.
    pub(super) fn new(now: Millis, rate: u64, burst: u64) -> Self {
        Self {
            refilled: 0,
            received: 0,
            last_refill: now,
            rate,
            burst,
            mean_demand: 0,
            arrivals: 0,
            arrivals_since: now,
            last_token_request: Millis::ZERO,
            token_request_pending: false,
            share_count: 0,
            is_coordinator: false,
            coordinator_known: false,
            unmet: 0,
            spent: 0,
            mean_spent: 0,
        }
    }

    /// Sets the limit. If the burst is lowered, the tokens are reduced in the same proportion: all VMs together then hold no
    /// more than the new burst, wherever the tokens are.
    pub(super) fn set_limit(&mut self, rate: u64, burst: u64) {
        if burst < self.burst {
            self.refilled = scale(self.refilled, burst, self.burst);
            self.received = scale(self.received, burst, self.burst);
        }
        self.rate = rate;
        self.burst = burst;
    }

    /// Sets the coordinator. If it is this VM and this process knew no coordinator before, this VM gets the initial
    /// tokens of the shares that it refills: kept together they admit requests, while the initial share of one VM of a
    /// large fleet is below one token.
    pub(super) fn set_coordinator<A>(&mut self, coordinator: &QuotaCoordinator<A>, vm_count: u64) {
        (self.is_coordinator, self.share_count) = match coordinator {
            QuotaCoordinator::Local { share_count } => (true, *share_count as u64),
            QuotaCoordinator::Remote(_) => (false, 0),
        };
        if !std::mem::replace(&mut self.coordinator_known, true) {
            self.refilled += self.refill_capacity(vm_count) * INITIAL_BURST_PERCENT / 100;
        }
    }

    /// Drops refilled tokens beyond the shares of the burst that this VM refills, or beyond its own share.
    pub(super) fn drop_excess(&mut self, vm_count: u64) {
        let share = self.burst * self.share_count.max(1) / vm_count;
        self.refilled = self.refilled.min(share);
    }

    /// Capacity for tokens from the shares that this VM refills.
    pub(super) fn refill_capacity(&self, vm_count: u64) -> u64 {
        self.burst * self.share_count / vm_count
    }

    /// Most tokens from other VMs that this VM may hold.
    pub(super) fn max_received(&self, vm_count: u64) -> u64 {
        self.need(vm_count).max(ONE_TOKEN * MAX_RECEIVED)
    }

    /// Adds tokens to those of the shares that this VM refills, up to their capacity, if it is the coordinator. Returns the
    /// added amount.
    pub(super) fn store(&mut self, amount: u64, vm_count: u64) -> u64 {
        if !self.is_coordinator {
            return 0;
        }
        let room = self.refill_capacity(vm_count).saturating_sub(self.refilled);
        let added = amount.min(room);
        self.refilled += added;
        added
    }

    /// Stores received tokens that the requests at this VM no longer need. Those without room are lost. Any other VM than the
    /// coordinator sends such tokens to the coordinator.
    pub(super) fn settle_received(&mut self, vm_count: u64) {
        let surplus = self.received.saturating_sub(self.max_received(vm_count));
        self.received -= surplus;
        self.store(surplus, vm_count);
    }

    pub(super) fn tokens(&self) -> u64 {
        self.refilled + self.received
    }

    /// Removes tokens: first received tokens, then refilled tokens. Refilled tokens can thus accumulate.
    pub(super) fn remove(&mut self, amount: u64) {
        let from_received = amount.min(self.received);
        self.received -= from_received;
        self.refilled = self.refilled.saturating_sub(amount - from_received);
    }

    /// Advances the account to `now`: adds the tokens for the time since the last refill, up to the capacity,
    /// and updates the average demand.
    pub(super) fn advance(&mut self, now: Millis, vm_count: u64) {
        let elapsed = now.since(self.last_refill).min(MAX_REFILL_TIME);
        self.last_refill = now;
        // One request per 1000 s is one millionth of a token per ms.
        let refill = self.rate * elapsed.0 * self.share_count / vm_count;
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

    /// Takes the token for one request. Returns false if there is no whole token.
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

    /// Returns [`Admission::NoToken`] with the time in which the refill of one VM's share yields the missing
    /// part of a token.
    pub(super) fn no_token(&self, vm_count: u64) -> Admission {
        let missing = ONE_TOKEN - self.tokens().min(ONE_TOKEN);
        let wait = missing * vm_count / self.rate.max(1);
        Admission::NoToken {
            wait: Millis(wait.max(1)),
        }
    }

    /// Tokens that the requests at this VM are expected to need in addition to the VM's own refill. A need
    /// below [`MIN_NEED`] counts as 0: a fraction of a token admits no request here, but fractions from
    /// several VMs add up to whole tokens at the coordinator.
    pub(super) fn need(&self, vm_count: u64) -> u64 {
        let current_demand = self.arrivals * 1_000_000 / DEMAND_INTERVAL.0;
        let demand = self.mean_demand.max(current_demand);
        let need =
            demand.saturating_sub(self.rate * self.share_count / vm_count) * DEMAND_HORIZON.0;
        if need < MIN_NEED { 0 } else { need }
    }
}

/// Returns `amount * numerator / denominator`, rounded down.
fn scale(amount: u64, numerator: u64, denominator: u64) -> u64 {
    let scaled = u128::from(amount) * u128::from(numerator) / u128::from(denominator);
    u64::try_from(scaled).unwrap_or(u64::MAX)
}
