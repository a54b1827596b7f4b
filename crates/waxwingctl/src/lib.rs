//! The operator's command line: settings, commands and their reports.
//!
//! It is a library so that tests can run commands against the store double in process.

mod command;
mod diff;
mod exit;
mod report;
mod run;
mod settings;

pub use exit::Exit;
pub use run::{Sources, main, run};
pub use settings::{Command, Explain, Settings, parse};
