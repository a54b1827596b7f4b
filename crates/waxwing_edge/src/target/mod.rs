//! The targets of all services: what they say of themselves, what this VM sees of them, and the choice
//! of one for a request.

mod pick;
mod pool;
mod state;

use std::net::SocketAddr;

use slotmap::new_key_type;
use waxwing_types::{DomainId, Millis, RegionId, ServiceId, TargetId, common_derives};

pub use pool::TargetPool;

new_key_type! {
    /// A process of a target in the table.
    pub struct TargetKey;
}

common_derives! {
    /// Where a VM stands, and the region of each failure domain.
    pub struct VmLocation {
        /// The VM's failure domain.
        pub domain: DomainId,
        /// The VM's region.
        pub region: RegionId,
        /// Region of each failure domain.
        pub domain_regions: Vec<(DomainId, RegionId)>,
    }
}

common_derives! {
    copy
    /// How a cold target is spared.
    pub struct ColdStartLimit {
        /// Requests in 1000 s that it tolerates from all VMs together.
        pub rate: u64,
        /// Time for which it counts as cold if it does not say so.
        pub duration: Millis,
    }
}

common_derives! {
    copy
    /// What a target reports with an answer.
    pub struct LoadReport {
        /// Requests that it runs.
        pub running: u32,
        /// Requests that wait at it.
        pub waiting: u32,
        /// Its slots.
        pub slots: u32,
    }
}

common_derives! {
    /// What is needed to send to a target.
    pub struct SelectedTarget {
        /// The target.
        pub id: TargetId,
        /// Its address.
        pub address: SocketAddr,
        /// Its region.
        pub region: RegionId,
        /// Time that the request is expected to wait at it.
        pub expected_wait: Millis,
    }
}

/// What a request wants of a target.
pub struct TargetCriteria<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// Hash of the object that the request is about.
    pub affinity_hash: Option<u64>,
    /// Whether the request has a large body, which is kept in the failure domain.
    pub large_body: bool,
    /// Whether the request may be served in a region.
    pub region_allowed: &'a dyn Fn(&RegionId) -> bool,
    /// Targets to which it was sent.
    pub tried: &'a [TargetKey],
    /// Time within which the answer is to come.
    pub time_left: Millis,
    /// Time within which an answer of the route is in time.
    pub latency_objective: Millis,
}

common_derives! {
    /// The end of a choice.
    pub enum Selection {
        /// A target, whose slot is taken until [`TargetPool::on_request_end`].
        Selected(TargetKey, SelectedTarget),
        /// The request would not be answered in time. A slot is expected after the wait.
        Overloaded {
            /// Time until a slot is expected.
            wait: Millis,
        },
        /// No target is usable.
        NoTarget,
    }
}

common_derives! {
    copy
    /// How a request at a target ended.
    pub enum TargetOutcome {
        /// It was answered.
        Answered {
            /// Time from the send to the head of the answer.
            latency: Millis,
            /// Whether the answer is no failure of the target.
            success: bool,
        },
        /// The target did not run it.
        Shed,
        /// Another process has the target's address.
        Misdirected,
        /// No connection could be opened.
        ConnectFailed,
        /// The connection broke.
        ConnectionBroken,
        /// The time was over.
        TimedOut,
        /// The caller left.
        Cancelled,
    }
}
