//! All decisions of waxwingrail, as `(now, event) -> actions`.
//!
//! Nothing here opens a socket, reads a clock, starts a thread or draws from an ambient random
//! source: time and seeds come in as arguments.

mod limit;
mod block;
mod config;
mod member;
mod message;
mod steer;

pub use limit::{
    LeaseMode, Ledger, LedgerAction, LedgerSettings, LimitSpec, OwnersTable, SHARDS, ShardEntry,
    WriteOutcome,
};
pub use block::{BlockParts, BlockTable};
pub use config::{ActiveShift, Adoption, Candidate, Config, ConfigCounts, Delta, Page};
pub use member::{Members, PULL_PERIOD, SILENCE, Vm, WATCHERS, rank};
pub use message::{
    Ask, BorrowReply, BorrowRequest, Fingerprint, Grant, LimitKey, PullReply, PullRequest,
    RenewReply, RenewRequest, ShardEpoch, ShardId, VersionedRecord,
};
pub use steer::{Answer, Course, LIFETIME, Steering};
