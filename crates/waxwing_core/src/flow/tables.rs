//! The shared tables that a step of a flow works on.

use waxwing_records::{KeyHash, Service, Workspace};
use waxwing_types::{
    DomainId, Micros, Millis, RegionId, ServiceId, ShiftName, WorkspaceId, common_derives,
};

use crate::{FairQueue, LimitKey, Quarantine, RetryBudget, TargetTable};

common_derives! {
    /// Where the daemon runs.
    pub struct Place {
        /// Failure domain of the VM.
        pub domain: DomainId,
        /// Region of the failure domain.
        pub region: RegionId,
    }
}

/// What a flow asks of the configuration.
pub trait Directory {
    /// The workspace of a key, if the key is known and the hash matches.
    fn workspace_of(&self, id: &str, hash: &KeyHash) -> Option<&WorkspaceId>;
    /// The record of a workspace.
    fn workspace(&self, id: &WorkspaceId) -> Option<&Workspace>;
    /// The record of a service.
    fn service(&self, id: &ServiceId) -> Option<&Service>;
    /// The region of a failure domain.
    fn region_of(&self, domain: &DomainId) -> Option<&RegionId>;
    /// Time since the configuration was last known to be current.
    fn age(&self, now: Millis) -> Millis;
}

/// What a flow asks of the limits.
pub trait Admission {
    /// Takes all amounts or none.
    ///
    /// # Errors
    /// The first limit that has too little.
    fn admit(&mut self, now: Millis, wants: &[(LimitKey, Micros)]) -> Result<(), LimitKey>;
    /// Takes an amount that was spent already.
    fn charge(&mut self, now: Millis, key: &LimitKey, amount: Micros);
}

/// What a flow asks of the steering of traffic.
pub trait Regions {
    /// The planned shift under which a request of the service moves, and the region it moves to.
    fn shift(
        &self,
        now: Millis,
        service: &ServiceId,
        rng: &mut fastrand::Rng,
    ) -> Option<(ShiftName, RegionId)>;
}

/// The tables of one daemon, borrowed for one step.
pub struct Tables<'a> {
    /// Where the daemon runs.
    pub place: &'a Place,
    /// Records in force.
    pub config: &'a dyn Directory,
    /// Limits.
    pub ledger: &'a mut dyn Admission,
    /// Queues of waiting requests.
    pub queue: &'a mut FairQueue,
    /// Observations of targets.
    pub targets: &'a mut TargetTable,
    /// Fingerprints of poison requests.
    pub quarantine: &'a mut Quarantine,
    /// Budget of retries.
    pub retries: &'a mut RetryBudget,
    /// Planned shifts.
    pub steering: &'a dyn Regions,
    /// Random generator.
    pub rng: &'a mut fastrand::Rng,
}
