//! Distributed rate limits: shares of failure domains, quota leases and shard leases.

mod account;
mod action;
mod bucket;
mod decide;
mod demand;
mod divide;
mod grant;
mod lease;
mod ledger;
mod owners;
mod plan;
mod round;
mod shard;
mod share;
mod spec;
#[cfg(test)]
mod tests;

pub use action::{OwnersWriteOutcome, RateLimiterAction};
pub use ledger::RateLimiter;
pub use owners::{OwnersTable, SHARD_COUNT, ShardEntry};
pub use spec::{LeaseMode, LimitSpec, RateLimiterSettings};
