//! Library of the `waxwingrail` daemon, which runs on each entry VM and routes requests to targets.

mod admin;
mod daemon;
pub mod edge;
mod logging;
mod lookup;
mod metric;
mod request;
mod run;
mod settings;
mod signal;
mod state;
mod task;

pub use daemon::{BoundAddresses, Daemon};
pub use logging::start as start_logging;
pub use run::{Workers, run};
pub use settings::{Command, LogFormat, Settings, read as read_settings};
pub use state::DaemonComponents;
