//! All decisions of waxwingrail, as `(now, event) -> actions`.
//!
//! Nothing here opens a socket, reads a clock, starts a thread or draws from an ambient random
//! source: time and seeds come in as arguments.

mod limit;
mod message;

pub use limit::{
    LeaseMode, Ledger, LedgerAction, LedgerSettings, LimitSpec, OwnersTable, SHARDS, ShardEntry,
    WriteOutcome,
};
pub use message::{
    Ask, BorrowReply, BorrowRequest, Fingerprint, Grant, LimitKey, PullReply, PullRequest,
    RenewReply, RenewRequest, ShardEpoch, ShardId, VersionedRecord,
};
