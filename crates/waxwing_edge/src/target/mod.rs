//! The targets of all services: what they register and report, what this VM observes of them, and the
//! selection of a target for a request.

mod pool;
mod select;
mod tracked;

use std::net::SocketAddr;

use slotmap::new_key_type;
use waxwing_types::{DomainId, Millis, RegionId, ServiceId, TargetId, common_derives};

pub use pool::TargetPool;

new_key_type! {
    /// Key of a target process in a [`TargetPool`].
    pub struct TargetKey;
}

common_derives! {
    /// The location of a VM, and the region of each failure domain.
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
    /// Limits the requests to cold targets of a service.
    pub struct ColdStartLimit {
        /// Requests per 1000 s that a cold target may get from all VMs together.
        pub rate: u64,
        /// Time for which a target counts as cold if it may have become cold without reporting it.
        pub duration: Millis,
    }
}

common_derives! {
    copy
    /// The load that a target reports with a response.
    pub struct LoadReport {
        /// Requests that the target is running.
        pub running: u32,
        /// Requests that are queued at the target.
        pub waiting: u32,
        /// Requests that the target can run at the same time.
        pub slots: u32,
    }
}

common_derives! {
    /// The target that was selected for a request.
    pub struct SelectedTarget {
        /// Id of the target.
        pub id: TargetId,
        /// Address to send the request to.
        pub address: SocketAddr,
        /// Region of the target.
        pub region: RegionId,
        /// Time for which the request is expected to be queued at the target.
        pub expected_wait: Millis,
    }
}

/// What a request needs from its target.
pub struct TargetCriteria<'a> {
    /// The service that handles the request.
    pub service: &'a ServiceId,
    /// Hash of the request's affinity key; requests with the same hash prefer the same target.
    pub affinity_hash: Option<u64>,
    /// Whether the request has a large body, for which targets in this VM's failure domain are preferred.
    pub large_body: bool,
    /// Returns whether the request may be served in a region.
    pub region_allowed: &'a dyn Fn(&RegionId) -> bool,
    /// Targets that were already tried for the request.
    pub tried: &'a [TargetKey],
    /// Time that is left for the response.
    pub time_left: Millis,
    /// Latency objective of the route.
    pub latency_objective: Millis,
}

common_derives! {
    /// Result of the selection of a target.
    pub enum Selection {
        /// A target was selected. The request counts as in flight until [`TargetPool::on_request_end`].
        Selected(TargetKey, SelectedTarget),
        /// No target is expected to respond in time.
        Overloaded {
            /// Time after which a target is expected to respond in time.
            wait: Millis,
        },
        /// There is no usable target.
        NoTarget,
    }
}

common_derives! {
    copy
    /// How a request at a target ended.
    pub enum TargetOutcome {
        /// The target responded.
        Answered {
            /// Time from sending the request to receiving the response head.
            latency: Millis,
            /// Whether the response reports no failure of the target.
            success: bool,
        },
        /// The target rejected the request without running it.
        Shed,
        /// Another process responded at the target's address.
        Misdirected,
        /// No connection to the target could be opened.
        ConnectFailed,
        /// The connection broke before the response was complete.
        ConnectionBroken,
        /// The deadline of the request passed.
        TimedOut,
        /// The request was cancelled because the caller left.
        Cancelled,
    }
}
