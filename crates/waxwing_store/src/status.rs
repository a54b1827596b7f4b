//! The value of `status/{domain}`.

use serde::{Deserialize, Serialize};
use waxwing_types::{DomainId, Millis, Revision, VmId, common_derives};

common_derives! {
    /// What one VM of a failure domain reports of it.
    #[derive(Serialize, Deserialize)]
    pub struct DomainStatus {
        /// The failure domain.
        pub domain: DomainId,
        /// The VM that wrote this.
        pub vm: VmId,
        /// Revision in force.
        pub revision: Revision,
        /// Time since the failure domain last heard that this is the newest revision.
        pub age_ms: Millis,
        /// VMs that serve.
        pub live: u32,
        /// VMs that are being stopped.
        pub leaving: u32,
        /// When it was written, in seconds since 1970 by the writer's clock. Only shown to operators.
        pub written: u64,
    }
}

impl DomainStatus {
    /// Path of the status of a failure domain in the store.
    pub fn path(domain: &DomainId) -> String {
        format!("status/{domain}")
    }
}
