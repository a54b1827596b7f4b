//! The target double: slots, latency, load report, shedding, draining and crashes.

mod run;
mod server;
mod settings;
mod state;

pub use run::{Run, RunEnd, Runs};
pub use server::Target;
pub use settings::{Load, TargetControl, TargetSettings};
