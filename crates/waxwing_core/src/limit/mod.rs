//! Distributed rate limits: shares of failure domains, quota leases and shard leases.

mod action;
mod ledger;
mod owners;
mod spec;

pub use action::{LedgerAction, WriteOutcome};
pub use ledger::Ledger;
pub use owners::{OwnersTable, SHARDS, ShardEntry};
pub use spec::{LeaseMode, LedgerSettings, LimitSpec};
