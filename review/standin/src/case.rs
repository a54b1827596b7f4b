//! The cases.

pub mod config;
pub mod crash;
pub mod drain;
pub mod quota;
pub mod stop;
