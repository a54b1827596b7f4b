//! The shared tables that a step of a flow works on.

use waxwing_types::{Micros, Millis};

use crate::{
    Config, FairQueue, LimitKey, Members, Quarantine, RateLimiter, RetryBudget, Steering,
    TargetTable,
};

/// What the request path asks of the limits.
pub trait Admission {
    /// Takes all amounts or none.
    ///
    /// # Errors
    /// The first limit that has too little.
    fn admit(&mut self, now: Millis, wants: &[(LimitKey, Micros)]) -> Result<(), LimitKey>;

    /// Takes all amounts or none for a request that was turned down before.
    ///
    /// # Errors
    /// The first limit that has too little.
    fn admit_again(&mut self, now: Millis, wants: &[(LimitKey, Micros)]) -> Result<(), LimitKey>;

    /// Whether a limit that has too little may get more within a call to another VM.
    fn expects_tokens(&self, key: &LimitKey) -> bool;

    /// Takes an amount that was spent already.
    fn charge(&mut self, now: Millis, key: &LimitKey, amount: Micros);
}

impl Admission for RateLimiter {
    fn admit(&mut self, now: Millis, wants: &[(LimitKey, Micros)]) -> Result<(), LimitKey> {
        self.admit(now, wants)
    }

    fn admit_again(&mut self, now: Millis, wants: &[(LimitKey, Micros)]) -> Result<(), LimitKey> {
        self.try_take(now, wants)
    }

    fn expects_tokens(&self, key: &LimitKey) -> bool {
        self.expects_tokens(key)
    }

    fn charge(&mut self, now: Millis, key: &LimitKey, amount: Micros) {
        self.charge(now, key, amount);
    }
}

/// The tables of one daemon, borrowed for one step.
pub struct DaemonState<'a> {
    /// Records in force.
    pub config: &'a Config,
    /// Which VMs respond.
    pub members: &'a Members,
    /// Regions and planned shifts.
    pub steering: &'a Steering,
    /// Limits.
    pub limits: &'a mut dyn Admission,
    /// Queues of waiting requests.
    pub queue: &'a mut FairQueue,
    /// Observations of targets.
    pub targets: &'a mut TargetTable,
    /// Fingerprints of poison requests.
    pub quarantine: &'a mut Quarantine,
    /// Budget of retries.
    pub retry_budget: &'a mut RetryBudget,
    /// Random generator.
    pub rng: &'a mut fastrand::Rng,
}
