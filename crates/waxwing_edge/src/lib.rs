//! The decisions about a routed request: route, admission, target, repetition, entry VMs. Without I/O,
//! clock or threads.

mod budget;
mod fleet;
mod hash;
mod mix;
mod plan;
mod poison;
mod quota;
mod target;

pub use budget::{BudgetRule, RetryBudgets};
pub use fleet::{Fleet, PeerMessage};
pub use hash::{hash_bytes, mix64};
pub use plan::{Access, Plan};
pub use poison::Poison;
pub use quota::{Admission, Keeper, Quota, QuotaNews, QuotaPart, Urgent};
pub use target::{
    ColdRule, Ended, LoadReport, Pick, Place, TargetKey, TargetPool, TargetView, Want,
};
