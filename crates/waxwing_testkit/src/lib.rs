//! Test doubles for the platform, targets and callers.

mod caller;
mod http;
mod registry;
mod store;
mod target;

pub use caller::{
    Account, Call, Caller, CallerSettings, Outcome, Plan, RouteAnswer, RouteVm, Summary, run_plan,
};
pub use registry::{MemoryRegistry, RegistryCopy};
pub use store::{Control, MemoryStore, Stats, serve_store};
pub use target::{Load, Run, RunEnd, Runs, Target, TargetControl, TargetSettings};
