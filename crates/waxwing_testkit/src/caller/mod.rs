//! The caller double: looks up entry VMs, sends requests and keeps an account of them.

mod account;
mod call;
mod lookup;
mod rate;

pub use account::{Account, Summary};
pub use call::{Call, Caller, CallerSettings, Outcome};
pub use lookup::{RouteAnswer, RouteVm};
pub use rate::{Plan, run_plan};
