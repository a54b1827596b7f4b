//! Messages that the daemons of different VMs exchange.

use std::fmt;

use smol_str::SmolStr;
use waxwing_types::{
    DomainId, Incarnation, Micros, Millis, RegionId, Revision, ShiftName, VmId, WorkspaceId,
    common_derives,
};

common_derives! {
    /// Identifies a rate limit whose tokens several VMs share.
    #[derive(PartialOrd, Ord, Hash)]
    pub enum LimitKey {
        /// Limit on the requests of a workspace.
        Workspace(WorkspaceId),
        /// Limit on the requests that a traffic shift moves.
        Shift(ShiftName),
        /// Limit on the bytes sent over the link from one region to another.
        Link {
            /// Region that sends.
            from: RegionId,
            /// Region that receives.
            to: RegionId,
        },
        /// Limit on the requests that other regions send to a region.
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
    /// Number of a shard. The limits of a failure domain are divided into shards.
    #[derive(Default)]
    pub struct ShardId(pub u8);
}

common_derives! {
    /// The part of one limit that a VM asks to borrow.
    pub struct LimitRequest {
        /// The limit to borrow from.
        pub key: LimitKey,
        /// Requested refill rate, in millionths of a token per second.
        pub rate: Micros,
        /// Requested burst, in millionths of a token.
        pub burst: Micros,
        /// Tokens requested for immediate use, in millionths.
        pub tokens: Micros,
        /// Sequence number of the grant that the borrower holds, 0 if it holds none.
        pub current_grant_seq: u64,
    }
}

common_derives! {
    /// A request to borrow from limits, sent to the VM that owns their shards.
    pub struct BorrowRequest {
        /// The VM that borrows.
        pub from: VmId,
        /// Incarnation of the borrower's process.
        pub incarnation: Incarnation,
        /// The borrower's failure domain.
        pub domain: DomainId,
        /// The requested part of each limit.
        pub limits: Vec<LimitRequest>,
    }
}

common_derives! {
    /// The part of one limit that the owner lends to a borrower.
    pub struct Grant {
        /// The limit that is lent.
        pub key: LimitKey,
        /// Sequence number, which increases with each grant of this limit to this borrower.
        pub seq: u64,
        /// Refill rate lent, in millionths of a token per second.
        pub rate: Micros,
        /// Burst lent, in millionths of a token.
        pub burst: Micros,
        /// Tokens that the borrower may spend immediately, in millionths.
        pub tokens: Micros,
        /// How long the grant is valid. The borrower counts from the time of sending the request.
        pub term: Millis,
    }
}

common_derives! {
    /// The owner's reply to a [`BorrowRequest`].
    pub struct BorrowReply {
        /// One grant for each limit that is lent. A requested limit without a grant was not lent.
        pub grants: Vec<Grant>,
    }
}

common_derives! {
    copy
    /// A shard and its ownership epoch.
    pub struct ShardEpoch {
        /// The shard.
        pub shard: ShardId,
        /// Ownership epoch, which increases with each change of the owner or the standby.
        pub epoch: u64,
    }
}

common_derives! {
    /// An owner's request to its standby to renew its shard leases.
    pub struct RenewRequest {
        /// The VM that owns the shards.
        pub from: VmId,
        /// Incarnation of the owner's process.
        pub incarnation: Incarnation,
        /// The shards whose leases to renew. The receiver is their standby.
        pub shards: Vec<ShardEpoch>,
    }
}

common_derives! {
    /// The standby's reply to a [`RenewRequest`].
    pub struct RenewReply {
        /// The shards whose renewal the standby acknowledges.
        pub acked: Vec<ShardEpoch>,
    }
}

common_derives! {
    key
    /// Hash that identifies a caller's request. A repeated request has the same fingerprint.
    pub struct Fingerprint(pub u64);
}

common_derives! {
    /// A request for the configuration records that changed. It also serves as a heartbeat.
    pub struct PullRequest {
        /// The VM that sends this message.
        pub from: VmId,
        /// Incarnation of the sender's process.
        pub incarnation: Incarnation,
        /// The sender's failure domain.
        pub domain: DomainId,
        /// The revision after which the sender requests changes. This is the sender's own revision,
        /// or a higher revision while the sender receives several pages.
        pub after: Revision,
        /// Whether the sender's process is stopping.
        pub stopping: bool,
    }
}

common_derives! {
    /// A record with its path and version in the store.
    pub struct VersionedRecord {
        /// Path of the record in the store.
        pub path: SmolStr,
        /// Revision of the store at which this value was written.
        pub version: Revision,
        /// Value of the record, as stored.
        pub value: Vec<u8>,
    }
}

common_derives! {
    /// The reply to a [`PullRequest`].
    pub struct PullReply {
        /// The VM that sends this message.
        pub from: VmId,
        /// Incarnation of the sender's process.
        pub incarnation: Incarnation,
        /// Highest revision up to which the sender holds every record. After the last page of a
        /// transfer, the receiver holds every record up to this revision too.
        pub revision: Revision,
        /// Age of the sender's configuration: the time since the store was last known to hold
        /// nothing newer than `revision`. [`Millis::MAX`] if the sender does not know that time.
        pub age: Millis,
        /// The records that changed, in the order of their versions.
        pub records: Vec<VersionedRecord>,
        /// Whether more records follow. The next pull requests the records after the last of
        /// `records`.
        pub more: bool,
        /// Fingerprints of quarantined requests, newest first.
        pub quarantined: Vec<Fingerprint>,
        /// Whether the sender's process is stopping.
        pub stopping: bool,
    }
}
