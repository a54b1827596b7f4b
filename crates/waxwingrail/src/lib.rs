//! The daemon on an entry VM, as a library.

mod logging;
mod lookup;
mod metric;
mod request;
mod settings;
mod state;

pub use logging::start as start_logging;
pub use settings::{Command, LogFormat, Settings, read as read_settings};
pub use state::Parts;
