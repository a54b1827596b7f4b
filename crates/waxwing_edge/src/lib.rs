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

pub use budget::{RetryBudgetConfig, RetryBudgets};
pub use fleet::{Fleet, PeerMessage};
pub use hash::{hash_bytes, mix64};
pub use plan::{RouteMatch, RoutingTable};
pub use poison::Quarantine;
pub use quota::{
    Admission, NoTokenAction, QuotaCoordinator, TokenExchange, WorkspaceQuotas, WorkspaceTokens,
};
pub use target::{
    ColdStartLimit, LoadReport, SelectedTarget, Selection, TargetCriteria, TargetKey,
    TargetOutcome, TargetPool, VmLocation,
};
