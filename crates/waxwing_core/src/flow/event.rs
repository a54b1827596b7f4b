//! What a flow is told and what it asks for.

use std::net::SocketAddr;

use waxwing_types::{
    Millis, RegionId, RetryReason, Revision, TargetId, WorkspaceId, common_derives,
};

use super::{FlowId, Refusal};

common_derives! {
    /// The result of a store call on the idempotency record.
    pub enum StoreOutcome {
        /// The record was created with this version.
        Created(Revision),
        /// The record could not be created because it exists.
        Exists(Revision, Vec<u8>),
        /// The record was read.
        Read(Revision, Vec<u8>),
        /// There is no record.
        NotFound,
        /// The record was updated and has this version now.
        Updated(Revision),
        /// The record has another version than the one expected.
        Conflict,
        /// No answer; a write may have taken effect or may still do so.
        NoResponse,
    }
}

common_derives! {
    /// What happened to a request.
    ///
    /// The daemon delivers no event of an attempt after `Cancel`, after the next `Send` or
    /// `Forward`, or after `ConnectFailed`, `Broken`, `Finished`, `RegionRefused` or a `Head` with
    /// `not_run`, and it delivers one outcome for each store call.
    pub enum FlowEvent {
        /// The head of the request arrived.
        Start,
        /// The time of the last `SetTimer` was reached.
        Timer,
        /// Its turn in the fair queue came, or the queue dropped it.
        Dequeued,
        /// A store call ended.
        StoreCallEnded(StoreOutcome),
        /// The connection to the target or region could not be opened; no byte was sent.
        ConnectFailed,
        /// The head of the answer arrived.
        ResponseHead {
            /// HTTP status.
            status: u16,
            /// Whether the answer says that the request was not run.
            not_run: bool,
        },
        /// The answer is complete.
        ResponseComplete {
            /// Bytes sent to the target or region.
            bytes_out: u64,
            /// Bytes received from it.
            bytes_in: u64,
        },
        /// The connection broke after a byte of the request may have been sent.
        ConnectionBroken,
        /// The start of the body was sent and is no longer kept, so that the request cannot be sent
        /// again. Comes before the end of the attempt.
        BodyConsumed,
        /// The caller closed its connection.
        CallerDisconnected,
        /// The region that was asked refused the request without running it.
        RegionRefused,
    }
}

common_derives! {
    /// What the daemon is to do for a request, in this order.
    pub enum FlowAction {
        /// Creates a record in the store if absent.
        CreateRecord {
            /// Path of the record.
            path: String,
            /// Its value.
            value: Vec<u8>,
        },
        /// Reads a record from the store.
        ReadRecord {
            /// Path of the record.
            path: String,
        },
        /// Updates a record in the store if it has the version.
        UpdateRecord {
            /// Path of the record.
            path: String,
            /// Version expected.
            version: Revision,
            /// Its new value.
            value: Vec<u8>,
        },
        /// The request waits in the fair queue for `Released`.
        WaitInQueue,
        /// Deliver `Timer` at this time. Replaces the timer set before.
        SetTimer(Millis),
        /// Sends the request to a target.
        SendToTarget {
            /// The target.
            target: TargetId,
            /// Its address.
            address: SocketAddr,
            /// Value of `X-Workspace`.
            workspace: Option<WorkspaceId>,
            /// Time until which the head of the answer is awaited.
            deadline: Millis,
        },
        /// Passes the request on to an entry VM of another region.
        ForwardToRegion {
            /// The region.
            region: RegionId,
            /// Time until which the head of the answer is awaited.
            deadline: Millis,
        },
        /// Passes the head and the body of the answer on to the caller.
        RelayResponse,
        /// Closes the connection to the target or region.
        CancelAttempt,
        /// Answers the caller with a problem body.
        Refuse(Refusal),
        /// Another flow is to be given `Released`.
        NotifyDequeued(FlowId),
        /// The request is sent again, for this reason.
        ReportRetry(RetryReason),
    }
}
