//! Events that a flow handles and actions that it returns.

use std::net::SocketAddr;

use waxwing_types::{
    Millis, RegionId, RetryReason, Revision, TargetId, WorkspaceId, common_derives,
};

use super::{FlowId, Refusal};

common_derives! {
    /// Result of a store call on the idempotency record.
    pub enum StoreOutcome {
        /// The record was created with this version.
        Created(Revision),
        /// The record was not created because it exists, with this version and value.
        Exists(Revision, Vec<u8>),
        /// The record was read and has this version and value.
        Read(Revision, Vec<u8>),
        /// The record does not exist.
        NotFound,
        /// The record was updated and now has this version.
        Updated(Revision),
        /// The record was not updated because its version is not the expected one.
        Conflict,
        /// The store did not respond. A write may have taken effect or may still do so.
        NoResponse,
    }
}

common_derives! {
    /// Something that happened to a request.
    ///
    /// An attempt ends with `ConnectFailed`, `ConnectionBroken`, `UnusableResponse`,
    /// `ResponseComplete`, `RegionRefused`, or a `ResponseHead` with `not_run`.
    /// [`FlowAction::CancelAttempt`] also ends an attempt, and so does the next
    /// [`FlowAction::SendToTarget`] or [`FlowAction::ForwardToRegion`]. The daemon delivers no event of an attempt after its end.
    /// The daemon delivers exactly one `StoreCallEnded` for each store call.
    pub enum FlowEvent {
        /// The request head was received. First event of each flow.
        Start,
        /// The time of the last [`FlowAction::SetTimer`] was reached.
        Timer,
        /// The request left the fair queue: either its turn came, or the queue removed it.
        Dequeued,
        /// A store call ended with this outcome.
        StoreCallEnded(StoreOutcome),
        /// The connection to the target or region could not be opened. Nothing was sent.
        ConnectFailed,
        /// The response head arrived.
        ResponseHead {
            /// HTTP status.
            status: u16,
            /// Whether the response states that the request was not run.
            not_run: bool,
        },
        /// The response is complete.
        ResponseComplete {
            /// Bytes sent to the target or region.
            bytes_out: u64,
            /// Bytes received from the target or region.
            bytes_in: u64,
        },
        /// The connection broke when part of the request may already have been sent.
        ConnectionBroken,
        /// A response arrived that cannot be used. The request may have run, and the target has not crashed.
        UnusableResponse,
        /// The start of the request body was sent and is no longer buffered. The request therefore
        /// cannot be sent again. Delivered before the event that ends the attempt.
        BodyConsumed,
        /// The caller closed its connection.
        CallerDisconnected,
        /// The region to which the request was forwarded refused it without running it.
        RegionRefused,
    }
}

common_derives! {
    /// Action that the daemon executes for a request.
    pub enum FlowAction {
        /// Create a record in the store if it does not exist.
        CreateRecord {
            /// Path of the record.
            path: String,
            /// Value of the record.
            value: Vec<u8>,
        },
        /// Read a record from the store.
        ReadRecord {
            /// Path of the record.
            path: String,
        },
        /// Update a record in the store if it has the expected version.
        UpdateRecord {
            /// Path of the record.
            path: String,
            /// Expected version.
            version: Revision,
            /// New value of the record.
            value: Vec<u8>,
        },
        /// Wait for [`FlowEvent::Dequeued`]: the request was added to the fair queue.
        WaitInQueue,
        /// Deliver [`FlowEvent::Timer`] at this time. Replaces the previous timer.
        SetTimer(Millis),
        /// Send the request to a target.
        SendToTarget {
            /// The target.
            target: TargetId,
            /// Address of the target.
            address: SocketAddr,
            /// Value of the `X-Workspace` header.
            workspace: Option<WorkspaceId>,
            /// Time by which the response head must arrive.
            deadline: Millis,
        },
        /// Forward the request to an entry VM of another region.
        ForwardToRegion {
            /// The region.
            region: RegionId,
            /// Time by which the response head must arrive.
            deadline: Millis,
        },
        /// Relay the head and the body of the response to the caller.
        RelayResponse,
        /// Close the connection to the target or region.
        CancelAttempt,
        /// Respond to the caller with a problem body (`application/problem+json`).
        Refuse(Refusal),
        /// Deliver [`FlowEvent::Dequeued`] to another flow, which left the fair queue.
        NotifyDequeued(FlowId),
        /// Count a retry in the metrics: the request is about to be sent again for this reason.
        ReportRetry(RetryReason),
    }
}
