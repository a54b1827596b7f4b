//! The platform's object store: the trait and its HTTP adapter.

mod http;
mod outcome;
mod registry;
mod status;
mod store;
pub mod wire;

pub use http::HttpStore;
pub use outcome::{ChangesOutcome, Object, ReadOutcome, Vm, VmState, VmsOutcome, WriteOutcome};
pub use registry::{Answer, Change, Entry, Family, Freshness, ListOutcome, Registry, WatchOutcome};
pub use status::DomainStatus;
pub use store::{Condition, MAX_VALUE_BYTES, Pending, Store};
