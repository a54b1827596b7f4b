//! Actions that the rate limiter requests from its driver, and the outcome of writes.

use smol_str::SmolStr;
use waxwing_types::{Revision, VmId, common_derives};

use crate::{BorrowRequest, RenewRequest};

common_derives! {
    /// An action for the driver of the rate limiter to carry out.
    pub enum RateLimiterAction {
        /// Send `request`, and pass the reply to `RateLimiter::on_borrow_reply` with the time of
        /// the `tick` that returned this action.
        Borrow {
            /// The VM to borrow from. It owns the shards of all limits in the request, in this VM's
            /// domain or in another domain.
            to: VmId,
            /// Quota that this VM wants of each limit.
            request: BorrowRequest,
        },
        /// Ask a standby, a VM that takes a shard over if the owner fails, to acknowledge the
        /// renewal of shard leases. Send `request`, and pass the reply to
        /// `RateLimiter::on_renew_reply` with the time of the `tick` that returned this action.
        RenewShardLeases {
            /// The VM that the owners table names as the standby of all shards in the request.
            to: VmId,
            /// Shards whose leases this VM, as their owner, renews.
            request: RenewRequest,
        },
        /// Write the owners table of this VM's domain, which names the owner of each shard. The
        /// write must fail if the table's version is not `expected_version`. Pass the outcome to
        /// `RateLimiter::on_owners_write_outcome` with the time of the `tick` that returned this
        /// action.
        WriteOwners {
            /// Path in the store.
            path: SmolStr,
            /// The table as JSON.
            value: Vec<u8>,
            /// Version that the write replaces. `None`: the object must not exist.
            expected_version: Option<Revision>,
        },
        /// Read the owners table of this VM's domain, and pass the table to
        /// `RateLimiter::on_owners_table`. If the store has no table, call
        /// `RateLimiter::on_owners_table_absent`.
        ReadOwners {
            /// Path in the store.
            path: SmolStr,
        },
    }
}

common_derives! {
    copy
    /// Outcome of a conditional write of an owners table.
    pub enum OwnersWriteOutcome {
        /// The write took effect and produced this version.
        Written(Revision),
        /// The object had another version, and nothing changed.
        Conflict,
        /// The write failed or got no reply. It may have taken effect, or may still do so.
        Unknown,
    }
}
