//! The tokens of one workspace on one VM.

use waxwing_types::{Micros, Millis};

use super::Admission;

/// Span over which demand is averaged.
const DEMAND_SPAN: Millis = Millis(1000);
/// Demand ahead for which a VM wants to hold tokens. An exchange with the keeper takes up to 0.4 s.
const AHEAD: Millis = Millis(700);
/// Part of its burst, in percent, with which a process starts: the rules allow a tenth more than rate
/// and burst, and every process may start again at the same moment.
const START_PERCENT: u64 = 25;
/// Tokens below which a VM holds none for its own requests.
const LEAST_HELD: u64 = 2 * ONE;
/// Longest time for which a VM adds tokens at once. All accounts are looked at four times a second; a longer
/// pause means that the VM was suspended, and others have added its part meanwhile.
const MOST_PASSED: Millis = Millis(1500);
/// One token.
pub(super) const ONE: u64 = Micros::PER_UNIT;

/// What one VM holds of a workspace's quota, in millionths of a request.
pub(super) struct Account {
    /// Tokens of the VM's own part that it has not handed over or spent.
    pub(super) own: u64,
    /// Tokens that others gave.
    pub(super) held: u64,
    pub(super) at: Millis,
    pub(super) rate: u64,
    /// Millionths.
    pub(super) burst: u64,
    /// Requests in 1000 s, averaged.
    pub(super) demand: u64,
    pub(super) arrivals: u64,
    pub(super) span: Millis,
    pub(super) urgent: Millis,
    /// Whether the last request for a waiting request's token brought nothing so far.
    pub(super) pending: bool,
    /// Number of VMs whose parts this VM adds: itself until it knows the keeper, none while it hears
    /// one, those that it hears as the keeper.
    pub(super) parts: u64,
    /// Whether this VM keeps the tokens of its failure domain.
    pub(super) kept: bool,
    /// Tokens that others of the failure domain asked for and did not get since the last exchange.
    pub(super) unmet: u64,
    /// Tokens that the failure domain spent since the last exchange.
    pub(super) served: u64,
    /// Tokens that it spends between two exchanges, averaged.
    pub(super) spent: u64,
}

impl Account {
    pub(super) fn new(now: Millis, rate: u64, burst: u64, vms: u64) -> Self {
        Self {
            own: burst * START_PERCENT / 100 / vms,
            held: 0,
            at: now,
            rate,
            burst,
            demand: 0,
            arrivals: 0,
            span: now,
            urgent: Millis::ZERO,
            pending: false,
            parts: 1,
            kept: false,
            unmet: 0,
            served: 0,
            spent: 0,
        }
    }

    /// Most tokens that the VM stores of the parts that it adds.
    pub(super) fn own_most(&self, vms: u64) -> u64 {
        self.burst * self.parts / vms
    }

    pub(super) fn tokens(&self) -> u64 {
        self.own + self.held
    }

    /// Takes tokens, those of others first, so that the own part goes on growing.
    pub(super) fn spend(&mut self, amount: u64) {
        let held = amount.min(self.held);
        self.held -= held;
        self.own = self.own.saturating_sub(amount - held);
    }

    /// Adds the tokens of the time that passed, up to what the VM may store.
    pub(super) fn advance(&mut self, now: Millis, vms: u64) {
        let passed = now.since(self.at).min(MOST_PASSED);
        self.at = now;
        // A rate for 1000 s is a rate of millionths for each ms.
        let refill = self.rate * passed.0 * self.parts / vms;
        let most = self.own_most(vms).max(self.own);
        self.own = (self.own + refill).min(most);
        let span = now.since(self.span);
        if span >= DEMAND_SPAN {
            let demand = self.arrivals * 1_000_000 / span.0;
            self.demand = u64::midpoint(self.demand, demand);
            self.arrivals = 0;
            self.span = now;
        }
    }

    pub(super) fn take(&mut self) -> bool {
        if self.tokens() < ONE {
            return false;
        }
        self.spend(ONE);
        if self.kept {
            self.served += ONE;
        }
        true
    }

    pub(super) fn short(&self, vms: u64) -> Admission {
        let missing = ONE - self.tokens().min(ONE);
        let wait = missing * vms / self.rate.max(1);
        Admission::NoToken {
            wait: Millis(wait.max(1)),
        }
    }

    /// Tokens that the VM's own requests need soon. Few are not held, since parts of a token admit
    /// nothing here and something at the keeper.
    pub(super) fn need(&self, vms: u64) -> u64 {
        let present = self.arrivals * 1_000_000 / DEMAND_SPAN.0;
        let demand = self.demand.max(present);
        let need = demand.saturating_sub(self.rate * self.parts / vms) * AHEAD.0;
        if need < LEAST_HELD { 0 } else { need }
    }
}
