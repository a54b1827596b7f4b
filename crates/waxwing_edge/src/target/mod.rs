//! The targets of all services: what they register and report, what this VM observes of them, and the
//! selection of a target for a request.
//!
//! A target is cold for some time after it starts, and may be cold after an evacuation of its failure domain.
//! A cold target tolerates only a few requests ([`ColdStartLimit`]).

mod cold_start;
mod continuity;
mod notice;
mod observation;
mod pause;
mod pool;
mod select;
mod tracked;

use std::net::SocketAddr;

use slotmap::new_key_type;
use waxwing_types::{DomainId, Incarnation, Millis, RegionId, ServiceId, TargetId, common_derives};

use crate::Priority;

pub use cold_start::ColdStartTerms;
pub use continuity::{ConnectionUse, HealthAnswer, TargetAlert};
pub use notice::{NoticeChange, NoticeKind, NoticedTarget, TargetNotice};
pub use observation::TargetObservation;
pub use pause::{Pause, PauseRequest};
pub use pool::TargetPool;

/// Time within which the entry of a process is read.
const ENTRY_LAG: Millis = Millis::from_secs(3);

new_key_type! {
    /// Key of a target process in a [`TargetPool`].
    pub struct TargetKey;
}

common_derives! {
    /// The regions of all failure domains, and the failure domain and region of this VM.
    pub struct Topology {
        /// Failure domain of this VM.
        pub own_domain: DomainId,
        /// Region of this VM.
        pub own_region: RegionId,
        /// Region of each failure domain of the system.
        pub domain_regions: Vec<(DomainId, RegionId)>,
    }
}

common_derives! {
    copy
    /// Limits the requests to each cold target of a service. The VMs that send requests to a cold target share
    /// its limit. Each of these VMs keeps one token bucket per cold target for its share. The tokens are called
    /// cold start tokens; one token allows one request.
    pub struct ColdStartLimit {
        /// Requests per 1000 s that a cold target may get from all VMs together.
        pub requests_per_1000_s: u64,
        /// Time that a cold target needs to become warm. Applied to the targets of a failure domain when its
        /// evacuation ends, because their registrations may not state how long they remain cold.
        pub cold_time: Millis,
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
    key
    /// Whether a target has become warm, as far as this VM knows, as a metric label.
    pub enum Warmth {
        /// The target handles requests at its full rate.
        Warm,
        /// The target tolerates only a few requests.
        Cold,
    }
}

impl Warmth {
    /// All values.
    pub const ALL: &'static [Self] = &[Self::Warm, Self::Cold];

    /// The value as a metric label.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Warm => "warm",
            Self::Cold => "cold",
        }
    }
}

common_derives! {
    /// The target that was selected for a request.
    pub struct SelectedTarget {
        /// Id of the target. The request carries this id, by which another process at the same address
        /// detects that the request is not meant for it ([`TargetOutcome::Misdirected`]).
        pub id: TargetId,
        /// The process of the target.
        pub incarnation: Incarnation,
        /// Address to send the request to.
        pub address: SocketAddr,
        /// Region of the target.
        pub region: RegionId,
        /// Expected queueing time of the request at the target.
        pub expected_wait: Millis,
        /// What this VM took the target for.
        pub warmth: Warmth,
        /// When the target was selected.
        pub selected_at: Millis,
    }
}

/// What a request needs from its target.
pub struct TargetCriteria<'a> {
    /// The service that handles the request.
    pub service: &'a ServiceId,
    /// Hash of the request's affinity key; requests with the same hash prefer the same target.
    pub affinity_hash: Option<u64>,
    /// Whether the request has a large body. Targets in this VM's failure domain are then preferred.
    pub large_body: bool,
    /// Returns whether the request may be served in a region.
    pub region_allowed: &'a dyn Fn(&RegionId) -> bool,
    /// Targets that were already tried for the request.
    pub tried: &'a [TargetKey],
    /// Time until the deadline of the request.
    pub time_left: Millis,
    /// Latency objective of the route.
    pub latency_objective: Millis,
    /// Priority of the request while the service is overloaded.
    pub priority: Priority,
}

common_derives! {
    /// Result of the selection of a target.
    pub enum Selection {
        /// A target was selected. The request counts as in flight until [`TargetPool::on_request_end`].
        Selected(TargetKey, SelectedTarget),
        /// No response is expected before the deadline, because of the queue at the best target. This is the
        /// target with the lowest sum of the expected queueing time and the expected extra time for a target
        /// that is not preferred, was slow or failed often. While the service is overloaded, a shorter queue is
        /// enough if many requests come before this one by priority.
        Overloaded {
            /// Time by which the queue is too long for the request. The caller should wait this long before
            /// the next attempt, so that the queue becomes shorter.
            retry_after: Millis,
        },
        /// No target may get the request, and at least one asked for a pause. The caller should come back when the first
        /// pause has ended.
        Paused(Pause),
        /// No target may get the request: none is usable, or each usable target was already tried or is in a
        /// region that is not allowed.
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
            /// False if the response has a 5xx status (server error), true for any other status.
            success: bool,
        },
        /// The target rejected the request without running it.
        Shed,
        /// Another process responded at the target's address.
        Misdirected,
        /// No connection to the target could be opened.
        ConnectFailed,
        /// The target responded, but not with a response that can be used for the request.
        NoUsableResponse,
        /// The connection broke before the response was complete.
        ConnectionBroken,
        /// The deadline of the request passed.
        TimedOut,
        /// The request was cancelled because the caller left.
        Cancelled,
    }
}
