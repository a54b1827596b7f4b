//! All decisions of waxwingrail, as `(now, event) -> actions`.
//!
//! Nothing here opens a socket, reads a clock, starts a thread or draws from an ambient random
//! source: time and seeds come in as arguments.

mod message;

pub use message::{
    Ask, BorrowReply, BorrowRequest, Fingerprint, Grant, LimitKey, PullReply, PullRequest,
    RenewReply, RenewRequest, ShardEpoch, ShardId, VersionedRecord,
};
