//! All decisions of waxwingrail, as `(now, event) -> actions`.
//!
//! Nothing here opens a socket, reads a clock, starts a thread or draws from an ambient random
//! source: time and seeds come in as arguments.

mod claim;
mod flow;
mod message;
mod quarantine;
mod queue;
mod retry;
mod target;

pub use claim::{Claim, ClaimRecord, ClaimState, ClaimStep, StoreCall};
pub use flow::{
    Admission, Arrival, Directory, Flow, FlowAction, FlowEvent, FlowId, Forwarded, Place,
    PresentedKey, Refusal, Regions, StoreOutcome, Tables,
};
pub use message::{
    Ask, BorrowReply, BorrowRequest, Fingerprint, Grant, LimitKey, PullReply, PullRequest,
    RenewReply, RenewRequest, ShardEpoch, ShardId, VersionedRecord,
};
pub use quarantine::Quarantine;
pub use queue::{FairQueue, Ticket};
pub use retry::RetryBudget;
pub use target::TargetTable;
