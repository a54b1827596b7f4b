//! The records by which operators describe workspaces, keys, services, regions, planned shifts and
//! client blocks: their types, their schema versions and their checks.

mod blocks;
mod check;
mod deployment;
mod document;
mod finding;
mod key;
mod patch;
mod reference;
mod region;
mod registration;
mod service;
mod shift;
mod split;
mod wire;
mod workspace;

pub use blocks::{Block, Blocks};
pub use deployment::{
    Backend, CallerLimits, Deployment, HostRoute, RunKind, ServiceSpec, WorkspaceSpec,
};
pub use document::{Document, Kind, MAX_RECORD_BYTES, Record, RecordName};
pub use finding::{Finding, Findings};
pub use key::{Key, KeyHash};
pub use patch::{ChangeLog, DeploymentPatch, Item, ItemChange, ItemId, PatchError};
pub use reference::check_references;
pub use region::{Domain, Link, Region};
pub use registration::{Registration, TargetState, VmEntry};
pub use service::{Route, Service, Target};
pub use shift::Shift;
pub use split::split_records;
pub use workspace::Workspace;
