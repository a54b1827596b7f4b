//! The daemon of a deployment whose routes, targets and VMs are entries of a registry.

mod answer;
mod attempts;
mod body;
mod daemon;
mod forward;
mod listen;
mod metric;
mod news;
mod peers;
mod request;
mod settings;
mod state;
mod watch;

pub use daemon::{EdgeDaemon, EdgeParts, run};
pub use settings::{EdgeCommand, EdgeSettings, read};
