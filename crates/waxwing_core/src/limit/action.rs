//! What the ledger asks its driver to do, and what comes of it.

use smol_str::SmolStr;
use waxwing_types::{Revision, VmId, common_derives};

use crate::{BorrowRequest, RenewRequest};

common_derives! {
    /// An effect that the driver of the ledger carries out.
    pub enum RateLimiterAction {
        /// Send `request`; pass the reply to `RateLimiter::on_borrow_reply` with the time of this action.
        Borrow {
            /// The lender.
            to: VmId,
            /// The request.
            request: BorrowRequest,
        },
        /// Send `request`; pass the reply to `RateLimiter::on_renew_reply` with the time of this action.
        Renew {
            /// The standby.
            to: VmId,
            /// The request.
            request: RenewRequest,
        },
        /// Write the domain's table if its version is still `expected_version`; pass the outcome to
        /// `RateLimiter::on_owners_write_outcome` with the time of this action.
        WriteOwners {
            /// Path in the store.
            path: SmolStr,
            /// The table as JSON.
            value: Vec<u8>,
            /// Version that the write replaces. `None`: the object must not exist.
            expected_version: Option<Revision>,
        },
        /// Read the domain's table; pass it to `RateLimiter::on_owners_table` or `RateLimiter::on_owners_table_absent`.
        ReadOwners {
            /// Path in the store.
            path: SmolStr,
        },
    }
}

common_derives! {
    copy
    /// What came of a conditional update.
    pub enum OwnersWriteOutcome {
        /// It took effect and produced this version.
        Written(Revision),
        /// The object had another version; nothing changed.
        Conflict,
        /// No answer, or an error: it may have taken effect, and may do so later.
        Unknown,
    }
}
