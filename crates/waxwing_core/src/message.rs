//! Messages between daemons.

use std::fmt;

use smol_str::SmolStr;
use waxwing_types::{
    DomainId, Incarnation, Micros, Millis, RegionId, Revision, ShiftName, VmId, WorkspaceId,
    common_derives,
};

common_derives! {
    /// An amount that many VMs spend together.
    #[derive(PartialOrd, Ord, Hash)]
    pub enum LimitKey {
        /// Requests of a workspace.
        Workspace(WorkspaceId),
        /// Requests moved by a planned shift.
        Shift(ShiftName),
        /// Bytes sent over the link from one region to another.
        Link {
            /// Region of the sender.
            from: RegionId,
            /// Region of the receiver.
            to: RegionId,
        },
        /// Requests that other regions send to a region.
        Region(RegionId),
    }
}

impl fmt::Display for LimitKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Workspace(name) => write!(f, "workspace/{name}"),
            Self::Shift(name) => write!(f, "shift/{name}"),
            Self::Link { from, to } => write!(f, "link/{from}/{to}"),
            Self::Region(name) => write!(f, "region/{name}"),
        }
    }
}

common_derives! {
    key
    /// A shard of the limits of a failure domain.
    #[derive(Default)]
    pub struct ShardId(pub u8);
}

common_derives! {
    /// What a VM wants to borrow of one limit.
    pub struct LimitRequest {
        /// The limit.
        pub key: LimitKey,
        /// Refill rate wanted, in millionths a second.
        pub rate: Micros,
        /// Burst wanted.
        pub burst: Micros,
        /// Tokens wanted now.
        pub tokens: Micros,
        /// Sequence number of the grant in force, 0 for none.
        pub current_grant_seq: u64,
    }
}

common_derives! {
    /// A request to the owner of one or more shards.
    pub struct BorrowRequest {
        /// The borrower.
        pub from: VmId,
        /// The borrower's process.
        pub incarnation: Incarnation,
        /// The borrower's failure domain.
        pub domain: DomainId,
        /// The limits wanted.
        pub limits: Vec<LimitRequest>,
    }
}

common_derives! {
    /// What the owner lends of one limit.
    pub struct Grant {
        /// The limit.
        pub key: LimitKey,
        /// Increases with each grant of this limit to this borrower.
        pub seq: u64,
        /// Refill rate lent, in millionths a second.
        pub rate: Micros,
        /// Burst lent.
        pub burst: Micros,
        /// Tokens that come with the grant.
        pub tokens: Micros,
        /// Life of the grant, counted by the borrower from the moment it sent its request.
        pub term: Millis,
    }
}

common_derives! {
    /// The owner's answer.
    pub struct BorrowReply {
        /// Grants; a limit that is missing was not lent.
        pub grants: Vec<Grant>,
    }
}

common_derives! {
    copy
    /// A shard with the epoch of its owner.
    pub struct ShardEpoch {
        /// The shard.
        pub shard: ShardId,
        /// Increases with each change of owner or standby.
        pub epoch: u64,
    }
}

common_derives! {
    /// An owner's request to its standby to renew its shard leases.
    pub struct RenewRequest {
        /// The owner.
        pub from: VmId,
        /// The owner's process.
        pub incarnation: Incarnation,
        /// Shards for which the receiver is the standby.
        pub shards: Vec<ShardEpoch>,
    }
}

common_derives! {
    /// The standby's answer.
    pub struct RenewReply {
        /// Shards whose renewal is acknowledged.
        pub acked: Vec<ShardEpoch>,
    }
}

common_derives! {
    key
    /// A request that is recognised when it is sent again.
    pub struct Fingerprint(pub u64);
}

common_derives! {
    /// A request for what changed, which also serves as a heartbeat.
    pub struct PullRequest {
        /// The sender.
        pub from: VmId,
        /// The sender's process.
        pub incarnation: Incarnation,
        /// The sender's failure domain.
        pub domain: DomainId,
        /// Newest revision that the sender holds in full.
        pub after: Revision,
        /// Whether the sender is stopping.
        pub stopping: bool,
    }
}

common_derives! {
    /// A record as it stands in the store.
    pub struct VersionedRecord {
        /// Path in the store.
        pub path: SmolStr,
        /// Version of its last write.
        pub version: Revision,
        /// The value.
        pub value: Vec<u8>,
    }
}

common_derives! {
    /// The answer to a pull.
    pub struct PullReply {
        /// The sender.
        pub from: VmId,
        /// The sender's process.
        pub incarnation: Incarnation,
        /// Revision that the sender holds in full, and the receiver once no records follow.
        pub revision: Revision,
        /// Time since the sender, or one from whom it learnt, last heard from the store.
        pub age: Millis,
        /// Records that changed, in the order of their versions.
        pub records: Vec<VersionedRecord>,
        /// Whether further records follow in the next pull, after the last of `records`.
        pub more: bool,
        /// Requests in quarantine, newest first.
        pub quarantined: Vec<Fingerprint>,
        /// Whether the sender is stopping.
        pub stopping: bool,
    }
}
