//! Distributed rate limiting.
//!
//! Each limit is divided into one share per failure domain. Each domain distributes its shares over
//! shards by the hash of the limit's key. One VM of the domain owns a shard. The VM holds a shard
//! lease, spends the shares in the shard, and lends parts of them to other VMs as quota leases. A
//! quota lease allows its holder to spend a rate and a burst for a limited time. The holder may
//! lend parts of the quota to other VMs.
//!
//! - The owners table of a domain is an object in the store. It has one entry per shard, which
//!   names the owner and the standby.
//! - The standby acknowledges renewals of the shard lease, and takes the shard over if they stop.
//! - The ownership window of a shard is the time in which its owner may spend and grant the shares.
//! - The confirmed revision in an entry is a revision of the configuration. The owner confirms that
//!   all quota that it has granted fits in the domain's shares under that configuration.
//! - A shard is orphaned if its entry has not changed for so long that the owner and the standby
//!   may both be gone.

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
mod proposed_entries;
mod rate_limiter;
mod renewal;
mod shard;
mod spec;
#[cfg(test)]
mod tests;
mod tick;

pub use action::{OwnersWriteOutcome, RateLimiterAction};
pub use owners::{OwnersTable, SHARD_COUNT, ShardEntry};
pub use rate_limiter::RateLimiter;
pub use spec::{LeaseMode, LimitSpec, RateLimiterSettings};
