//! Test doubles for the platform, targets and callers.

mod http;
mod store;

pub use store::{Control, MemoryStore, Stats, serve_store};
