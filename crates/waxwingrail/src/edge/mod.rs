//! The edge daemon: a request proxy that reads its routes, targets and peer VMs from a registry.

mod admission;
mod alerts;
mod apply;
mod attempts;
mod body;
mod connection;
mod crash;
mod daemon;
mod deployment;
mod forward;
mod handlers;
mod list;
mod memory;
mod metric;
mod notice;
mod origin;
mod patch;
mod peers;
mod refusal;
mod registration;
mod request;
mod request_body;
mod request_head;
mod request_names;
mod restore;
mod settings;
mod state;
mod state_age;
mod stop;
#[cfg(test)]
mod test_settings;
mod ticks;
mod watch;
mod watch_progress;

pub use daemon::{EdgeComponents, EdgeDaemon, run};
pub use settings::{EdgeCommand, EdgeSettings, parse_command_line};
