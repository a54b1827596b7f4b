//! What a request brings with it.

use std::net::IpAddr;

use smol_str::SmolStr;
use waxwing_records::KeyHash;
use waxwing_types::{Millis, RegionId, ServiceId, WorkspaceId, common_derives};

common_derives! {
    key
    /// A request in one daemon. The daemon numbers its requests and never uses a number twice.
    pub struct FlowId(pub u64);
}

common_derives! {
    /// The key that a caller presented.
    pub struct PresentedKey {
        /// Public id, the part before the dot.
        pub id: SmolStr,
        /// Hash of the whole key.
        pub hash: KeyHash,
    }
}

common_derives! {
    /// Work that an entry VM of another region authenticated, admitted and passed on.
    pub struct Forwarded {
        /// Workspace of the request. `None` on a public route without a key.
        pub workspace: Option<WorkspaceId>,
        /// Region of the VM that passed it on.
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
        /// Key of the caller. Forwarded work carries the key's id and hash, so that the receiving
        /// VM can check the key again when the request leaves its queue.
        pub api_key: Option<PresentedKey>,
        /// Value of `Idempotency-Key`.
        pub idempotency_key: Option<SmolStr>,
        /// Value of `Request-Timeout-Ms`.
        pub requested_timeout: Option<Millis>,
        /// Length of the body in bytes, if known.
        pub body_length: Option<u64>,
        /// Address of the client.
        pub client_ip: IpAddr,
        /// Hash of the first 4 KiB of the body, 0 for none.
        pub body_prefix_hash: u64,
        /// Set if another region passed the request on.
        pub forwarded: Option<Forwarded>,
    }
}
