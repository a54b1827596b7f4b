//! The decision logic of waxwingrail, as state machines that map `(now, event)` to actions.
//!
//! This crate performs no I/O: it opens no socket, reads no clock, starts no thread and uses no
//! global random generator. Callers pass in the time and the random seeds.

mod block;
mod claim;
mod config;
mod flow;
mod limit;
mod member;
mod message;
mod pull;
mod quarantine;
mod queue;
mod retry;
mod steer;
mod target;

pub use block::{BlockRecords, BlockTable};
pub use claim::{Claim, ClaimRecord, ClaimState, ClaimStep, StoreCall};
pub use config::{
    ActiveShift, ApplyOutcome, Config, ConfigCounts, ConfigDelta, ParsedRecord, RecordPage,
};
pub use flow::{
    Admission, DaemonState, Flow, FlowAction, FlowEvent, FlowId, Forwarded, IncomingRequest,
    PresentedKey, Refusal, StoreOutcome,
};
pub use limit::{
    LeaseMode, LimitSpec, OwnersTable, OwnersWriteOutcome, RateLimiter, RateLimiterAction,
    RateLimiterSettings, SHARD_COUNT, ShardEntry,
};
pub use member::{
    MIN_LIVENESS_TIMEOUT, Members, PULL_PERIOD, Vm, WATCHERS_PER_DOMAIN, rendezvous_rank,
};
pub use message::{
    BorrowReply, BorrowRequest, Fingerprint, Grant, LimitKey, LimitRequest, PullReply, PullRequest,
    RenewReply, RenewRequest, ShardEpoch, ShardId, VersionedRecord,
};
pub use pull::{
    CallTimes, DEFAULT_PAGE_BYTES, PullAction, PullSettings, Puller, STALE_CONFIG_AGE,
    STORE_POLL_WAIT,
};
pub use quarantine::{FingerprintHasher, Quarantine};
pub use queue::{FairQueue, QueuedRequest};
pub use retry::RetryBudget;
pub use steer::{LOOKUP_LIFETIME, LookupAnswer, Steering};
pub use target::{Capacity, LoadReport, Observation, Slot, TargetTable};
