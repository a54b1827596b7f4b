//! State of the daemon that all its flows share.

use waxwing_types::{Micros, Millis};

use crate::{
    Config, FairQueue, LimitKey, Members, Quarantine, RateLimiter, RetryBudget, Steering,
    TargetTable,
};

/// Rate limits, as far as the request path uses them.
pub trait Admission {
    /// Takes all `amounts` from their limits, or none.
    ///
    /// # Errors
    /// The first limit that has too few tokens.
    fn admit(&mut self, now: Millis, amounts: &[(LimitKey, Micros)]) -> Result<(), LimitKey>;

    /// Like [`Admission::admit`], for a request whose earlier call of `admit` failed.
    ///
    /// # Errors
    /// The first limit that has too few tokens.
    fn admit_again(&mut self, now: Millis, amounts: &[(LimitKey, Micros)]) -> Result<(), LimitKey>;

    /// Whether the VM is borrowing tokens for this limit that may arrive within the time of one
    /// call to another VM.
    fn expects_tokens(&self, key: &LimitKey) -> bool;

    /// Takes an amount that has already been used, even if the limit has too few tokens. The
    /// missing tokens are then taken from later refills.
    fn charge(&mut self, now: Millis, key: &LimitKey, amount: Micros);
}

impl Admission for RateLimiter {
    fn admit(&mut self, now: Millis, amounts: &[(LimitKey, Micros)]) -> Result<(), LimitKey> {
        self.admit(now, amounts)
    }

    fn admit_again(&mut self, now: Millis, amounts: &[(LimitKey, Micros)]) -> Result<(), LimitKey> {
        self.try_take(now, amounts)
    }

    fn expects_tokens(&self, key: &LimitKey) -> bool {
        self.expects_tokens(key)
    }

    fn charge(&mut self, now: Millis, key: &LimitKey, amount: Micros) {
        self.charge(now, key, amount);
    }
}

/// State of one daemon that its flows share, borrowed for one call of [`Flow::step`].
///
/// [`Flow::step`]: crate::Flow::step
pub struct DaemonState<'a> {
    /// Configuration records in effect.
    pub config: &'a Config,
    /// Known VMs and whether they respond.
    pub members: &'a Members,
    /// Choice of regions and planned traffic shifts.
    pub steering: &'a Steering,
    /// Rate limits of workspaces, shifts, links and regions.
    pub limits: &'a mut dyn Admission,
    /// Requests that wait for a free slot of a target.
    pub queue: &'a mut FairQueue,
    /// Health, latency and slots of the targets.
    pub targets: &'a mut TargetTable,
    /// Fingerprints of requests that crashed targets and are therefore refused.
    pub quarantine: &'a mut Quarantine,
    /// Retry budget of each service.
    pub retry_budget: &'a mut RetryBudget,
    /// Random number generator.
    pub rng: &'a mut fastrand::Rng,
}
