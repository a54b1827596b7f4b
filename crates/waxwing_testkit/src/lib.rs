//! Test doubles for the platform, targets and callers.

mod store;

pub use store::{Control, MemoryStore, Stats};
