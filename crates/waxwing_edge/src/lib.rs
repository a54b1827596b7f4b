//! The decisions of an entry VM about the requests that it routes: route, quota, target, retries,
//! quarantine, and which entry VMs callers use. The crate has no I/O, clock or threads.

mod datagram;
mod fleet;
mod hash;
mod peer_message;
mod quarantine;
mod quota;
mod rank_admission;
mod region_split;
mod request_name;
mod retry_after;
mod retry_budget;
mod routing_table;
mod target;

pub use datagram::{Datagram, DatagramFilter};
pub use fleet::{Fleet, READER_STARTUP_TIME};
pub use hash::{hash_bytes, mix64};
pub use peer_message::{PeerMessage, StateReport};
pub use quarantine::{Crash, Quarantine, TargetProcess};
pub use quota::{
    Admission, NoTokenAction, QuotaCoordinator, TokenExchange, WorkspaceQuotas, WorkspaceTokens,
};
pub use rank_admission::Priority;
pub use request_name::{NameHasher, RequestName};
pub use retry_after::{pause_retry_after, spread_retry_after, startup_retry_after};
pub use retry_budget::{RetryBudgetConfig, RetryBudgets};
pub use routing_table::{RouteMatch, RoutingTable};
pub use target::{
    ColdStartLimit, ColdStartTerms, ConnectionUse, HealthAnswer, LoadReport, NoticeChange,
    NoticeKind, NoticedTarget, Pause, PauseRequest, SelectedTarget, Selection, TargetAlert,
    TargetCriteria, TargetKey, TargetNotice, TargetObservation, TargetOutcome, TargetPool,
    Topology, Warmth,
};
