//! The request as the daemon receives it.

use std::net::IpAddr;

use smol_str::SmolStr;
use waxwing_records::KeyHash;
use waxwing_types::{Millis, RegionId, ServiceId, WorkspaceId, common_derives};

common_derives! {
    key
    /// Number of a request within one daemon, never reused.
    pub struct FlowId(pub u64);
}

common_derives! {
    /// API key that the caller sent with the request.
    pub struct PresentedKey {
        /// Public key id: the part of the key before the dot.
        pub id: SmolStr,
        /// Hash of the whole key.
        pub hash: KeyHash,
    }
}

common_derives! {
    /// Data about a request that an entry VM of another region authenticated, admitted and
    /// forwarded.
    pub struct Forwarded {
        /// Workspace of the request. `None` on a public route without a valid key.
        pub workspace: Option<WorkspaceId>,
        /// Region of the VM that forwarded the request.
        pub from_region: RegionId,
    }
}

common_derives! {
    /// A request as it arrives, without its body.
    pub struct IncomingRequest {
        /// Service named in the URL.
        pub service: ServiceId,
        /// HTTP method in upper case.
        pub method: SmolStr,
        /// Path and query below the service, starting with `/`.
        pub path: SmolStr,
        /// API key of the caller. Forwarded requests carry its id and hash, so that the receiving
        /// VM can check the key again when the request leaves its queue.
        pub api_key: Option<PresentedKey>,
        /// Value of the `Idempotency-Key` header.
        pub idempotency_key: Option<SmolStr>,
        /// Value of the `Request-Timeout-Ms` header.
        pub requested_timeout: Option<Millis>,
        /// Length of the body in bytes, if known.
        pub body_length: Option<u64>,
        /// IP address of the client.
        pub client_ip: IpAddr,
        /// Hash of the whole body. `None` until its end has arrived.
        pub body_hash: Option<u64>,
        /// Set if an entry VM of another region forwarded the request.
        pub forwarded: Option<Forwarded>,
    }
}
