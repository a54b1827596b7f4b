//! The trait through which a daemon reads a deployment and registers itself.

use smol_str::SmolStr;
use waxwing_records::{Deployment, Registration, VmEntry};
use waxwing_types::{DomainId, Millis, Revision, StoreEpoch, common_derives};

use crate::{Pending, WriteOutcome};

common_derives! {
    key
    /// A family of entries, each with a watch of its own.
    pub enum Family {
        /// The deployment record.
        Deployment,
        /// Targets.
        Targets,
        /// Failure domains whose targets are to get nothing.
        Evacuations,
        /// Entry VMs.
        Vms,
    }
}

impl Family {
    /// Every family.
    pub const ALL: [Self; 4] = [
        Self::Deployment,
        Self::Targets,
        Self::Evacuations,
        Self::Vms,
    ];

    /// The family as logs and metrics show it.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Deployment => "deployment",
            Self::Targets => "targets",
            Self::Evacuations => "evacuations",
            Self::Vms => "vms",
        }
    }
}

common_derives! {
    /// The content of an entry.
    #[allow(clippy::large_enum_variant, reason = "moved once on its way to its table")]
    pub enum Entry {
        /// The deployment record.
        Deployment(Deployment),
        /// A target.
        Target(Registration),
        /// A failure domain that is evacuated.
        Evacuation(DomainId),
        /// An entry VM.
        Vm(VmEntry),
        /// The entry cannot be read, with the reason. It names nothing to use.
        Unreadable(String),
    }
}

common_derives! {
    /// An entry that exists, changed or went.
    pub struct Change {
        /// Name of the entry in its family.
        pub name: SmolStr,
        /// Its content, `None` if it was removed.
        pub entry: Option<Entry>,
        /// Revision of the change, also of a removal. 0 if the store states none.
        pub revision: Revision,
    }
}

common_derives! {
    key
    /// How new an answer has to be.
    pub enum Freshness {
        /// The newest state of the store.
        Latest,
        /// A state of some seconds ago will do, which costs the store less. A watch from its revision brings
        /// what changed since.
        Recent,
    }
}

common_derives! {
    /// The end of a list.
    pub enum ListOutcome {
        /// All entries of the family at a revision.
        Listed {
            /// The entries.
            entries: Vec<Change>,
            /// Revision from which to watch.
            revision: Revision,
        },
        /// No usable answer, with the reason.
        Unreachable(String),
    }
}

common_derives! {
    /// The end of a watch.
    pub enum WatchOutcome {
        /// What changed, nothing if the wait ended.
        Changed {
            /// The changes in their order.
            changes: Vec<Change>,
            /// Revision from which to go on.
            revision: Revision,
        },
        /// The store no longer holds the changes after the revision.
        HistoryGone,
        /// No usable answer, with the reason.
        Unreachable(String),
    }
}

common_derives! {
    /// The end of a call, with the epoch in which the store was.
    pub struct Answer<T> {
        /// The end of the call.
        pub outcome: T,
        /// The epoch that the answer states. `None` if there was no answer, or if the store states none.
        pub epoch: Option<StoreEpoch>,
        /// Size of the answer in bytes, 0 if there was none.
        pub bytes: u64,
    }
}

impl<T> Answer<T> {
    /// The same answer with another form of its outcome.
    pub fn map<U>(self, convert: impl FnOnce(T) -> U) -> Answer<U> {
        Answer {
            outcome: convert(self.outcome),
            epoch: self.epoch,
            bytes: self.bytes,
        }
    }
}

/// Lists and watches families of entries.
pub trait Registry: Send + Sync {
    /// All entries of a family. `timeout` bounds the time until the answer begins, and each pause in it; an answer that goes
    /// on is not given up.
    fn list(
        &self,
        family: Family,
        freshness: Freshness,
        timeout: Millis,
    ) -> Pending<'_, Answer<ListOutcome>>;

    /// Changes after a revision. Waits up to `wait` for the first one; `timeout` holds from then on as for a list. Of an older
    /// state, changes may come seconds late.
    fn watch(
        &self,
        family: Family,
        after: Revision,
        freshness: Freshness,
        wait: Millis,
        timeout: Millis,
    ) -> Pending<'_, Answer<WatchOutcome>>;

    /// Creates or replaces the entry of a VM.
    fn announce<'a>(
        &'a self,
        vm: &'a VmEntry,
        timeout: Millis,
    ) -> Pending<'a, Answer<WriteOutcome>>;

    /// Removes the entry of a VM.
    fn withdraw<'a>(
        &'a self,
        vm: &'a VmEntry,
        timeout: Millis,
    ) -> Pending<'a, Answer<WriteOutcome>>;
}
