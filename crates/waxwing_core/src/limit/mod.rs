//! Distributed rate limiting.
//!
//! Each limit is divided into one share per failure domain. The limits of a domain are spread over
//! shards. One VM owns a shard under a shard lease, spends the domain's shares of its limits, and
//! grants parts of them to other VMs as quota leases.

mod action;
mod borrowing;
mod bucket;
mod demand;
mod domain_share;
mod fair_share;
mod granted_leases;
mod held_leases;
mod limit_state;
mod owners;
mod ownership_changes;
mod rate_limiter;
mod shard;
mod spec;
#[cfg(test)]
mod tests;
mod tick;

pub use action::{OwnersWriteOutcome, RateLimiterAction};
pub use owners::{OwnersTable, SHARD_COUNT, ShardEntry};
pub use rate_limiter::RateLimiter;
pub use spec::{LeaseMode, LimitSpec, RateLimiterSettings};
