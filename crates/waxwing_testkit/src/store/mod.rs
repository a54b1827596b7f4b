//! The store double: in process as a [`waxwing_store::Store`] and over HTTP as a process.

mod control;
mod memory;
mod server;
mod state;

pub use control::Control;
pub use memory::MemoryStore;
pub use server::serve_store;
pub use state::Stats;
