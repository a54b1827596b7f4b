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
            /// The lender.
            to: VmId,
            /// The request.
            request: BorrowRequest,
        },
        /// Send `request`, and pass the reply to `RateLimiter::on_renew_reply` with the time of the
        /// `tick` that returned this action.
        Renew {
            /// The standby.
            to: VmId,
            /// The request.
            request: RenewRequest,
        },
        /// Write the domain's owners table if its version is still `expected_version`, and pass the
        /// outcome to `RateLimiter::on_owners_write_outcome` with the time of the `tick` that
        /// returned this action.
        WriteOwners {
            /// Path in the store.
            path: SmolStr,
            /// The table as JSON.
            value: Vec<u8>,
            /// Version that the write replaces. `None`: the object must not exist.
            expected_version: Option<Revision>,
        },
        /// Read the domain's owners table, and pass it to `RateLimiter::on_owners_table`, or call
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
        /// The write failed or was not answered. It may have taken effect, or may do so later.
        Unknown,
    }
}
