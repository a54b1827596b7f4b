//! Identifiers, units and the clock type that every other crate shares.

mod clock;
mod derives;
mod id;
mod reason;
mod unit;

pub use clock::{Clock, Millis, MonotonicClock};
pub use id::{
    DomainId, Incarnation, RegionId, ServiceId, ShiftName, SiteId, TargetId, VmId, WorkspaceId,
};
pub use reason::{Ran, RefusalReason, RetryReason};
pub use unit::{Micros, Revision, StoreEpoch};
