//! The value of `status/{domain}`.

use serde::{Deserialize, Serialize};
use waxwing_types::{DomainId, Millis, Revision, VmId, common_derives};

common_derives! {
    /// What one VM of a failure domain reports of it.
    #[derive(Serialize, Deserialize)]
    pub struct DomainStatus {
        /// The VM that wrote this.
        pub vm: VmId,
        /// Revision in force.
        pub revision: Revision,
        /// Age of the configuration. `None`: the store was never heard of.
        pub age_ms: Option<Millis>,
        /// VMs that respond and stay.
        pub live: usize,
        /// VMs that respond and are leaving.
        pub leaving: usize,
        /// When it was written, in seconds since 1970 by the writer's clock. Only shown to operators.
        #[serde(default)]
        pub written: u64,
    }
}

impl DomainStatus {
    /// Path of the status of a failure domain in the store.
    pub fn path(domain: &DomainId) -> String {
        format!("status/{domain}")
    }
}
