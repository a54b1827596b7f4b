//! What changes for this VM when the store comes back from an older copy of its state.
//!
//! The store then lacks what was written since the copy, and gives revisions out again. It raises its epoch, which each
//! answer states. The operator and the targets write again what is lost. This VM reads the latest state of all families, and
//! for a short time trusts what it knows more than the copy.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet, HashSet};

use waxwing_records::Registration;
use waxwing_store::{Change, Entry, Family};
use waxwing_types::{DomainId, Incarnation, Millis, StoreEpoch, TargetId, common_derives};

use super::state::Shared;

/// Time for which evacuations stay in force that the copy lacks. The operator writes them again within this time.
const EVACUATIONS_GRACE: Millis = Millis::from_secs(4);
/// Time for which targets of the copy get no requests that had left before the restore. The entry of a target that does not run
/// expires within this time, or is removed again.
const LEFT_TARGETS_GRACE: Millis = Millis::from_secs(10);
/// Time for which this VM remembers targets that have left. A copy is some seconds old.
const LEFT_TARGETS_MEMORY: Millis = Millis::from_secs(60);

common_derives! {
    copy
    /// The epoch that an answer of the store states, compared with the highest one known.
    pub(crate) enum AnswerEpoch {
        /// The same, or the answer states none.
        Current,
        /// A higher one: the store has been restored since the epoch that is named here.
        Restored(StoreEpoch),
        /// A lower one. What the answer states may be lost.
        Earlier,
    }
}

/// Records the epoch that an answer states. After a restore, all known revisions are void.
pub(crate) fn record_epoch(shared: &Shared, stated: Option<StoreEpoch>) -> AnswerEpoch {
    let now = shared.now();
    let epoch = shared.watch_progress().record_epoch(now, stated);
    if let (AnswerEpoch::Restored(before), Some(stated)) = (epoch, stated) {
        log::warn!(epoch = stated.0, before = before.0; "store restored from a copy");
    }
    epoch
}

/// What this VM knows of the time before a restore and the copy may lack.
#[derive(Default)]
pub(crate) struct RestoreGrace {
    /// Time at which a family was first listed after the last restore.
    listed_at: BTreeMap<Family, Millis>,
    /// Targets that have left, with their incarnations and the time.
    left_targets: BTreeMap<TargetId, (Incarnation, Millis)>,
    /// Targets of the copy that had left before the restore.
    withheld_targets: BTreeMap<TargetId, Registration>,
    /// Evacuations in force that the copy lacks.
    kept_evacuations: BTreeSet<DomainId>,
}

/// Commands.
impl RestoreGrace {
    /// Records that a list of a family is the first one after a restore.
    pub(crate) fn on_restored_list(&mut self, now: Millis, family: Family) {
        self.listed_at.insert(family, now);
    }

    /// Records that a target has left.
    pub(crate) fn on_target_left(&mut self, now: Millis, id: TargetId, incarnation: Incarnation) {
        self.left_targets
            .retain(|_, (_, left_at)| now.since(*left_at) < LEFT_TARGETS_MEMORY);
        self.left_targets.insert(id, (incarnation, now));
    }

    /// Records that a target has written its entry, or that the entry was removed.
    pub(crate) fn on_target_change(&mut self, id: &TargetId) {
        self.withheld_targets.remove(id);
    }

    /// Takes the targets out of a list that had left before the restore.
    pub(crate) fn withhold_targets(&mut self, now: Millis, entries: Vec<Change>) -> Vec<Change> {
        self.withheld_targets.clear();
        let Some(listed_at) = self.listed_at.get(&Family::Targets).copied() else {
            return entries;
        };
        if now.since(listed_at) >= LEFT_TARGETS_GRACE {
            return entries;
        }
        let mut used = Vec::with_capacity(entries.len());
        for change in entries {
            match change.entry {
                Some(Entry::Target(target)) if self.has_left(&target, listed_at) => {
                    self.withheld_targets.insert(target.id.clone(), target);
                }
                _ => used.push(change),
            }
        }
        used
    }

    /// Takes the withheld targets whose entries were not removed in time.
    pub(crate) fn take_due_targets(&mut self, now: Millis) -> Vec<Registration> {
        if self.is_in_grace(now, Family::Targets, LEFT_TARGETS_GRACE) {
            return Vec::new();
        }
        let due = std::mem::take(&mut self.withheld_targets);
        due.into_values().collect()
    }

    /// Returns which of the evacuations in force stay in force although a list lacks them.
    pub(crate) fn keep_evacuations(
        &mut self,
        now: Millis,
        in_force: HashSet<DomainId>,
        listed: &HashSet<DomainId>,
    ) -> HashSet<DomainId> {
        self.kept_evacuations.clear();
        if self.is_in_grace(now, Family::Evacuations, EVACUATIONS_GRACE) {
            let missing = in_force.into_iter().filter(|d| !listed.contains(d));
            self.kept_evacuations.extend(missing);
        }
        self.kept_evacuations.iter().cloned().collect()
    }

    /// Records that the operator has written or ended an evacuation.
    pub(crate) fn on_evacuation_change(&mut self, domain: &DomainId) {
        self.kept_evacuations.remove(domain);
    }

    /// Takes the evacuations that were not written again in time.
    pub(crate) fn take_due_evacuations(&mut self, now: Millis) -> BTreeSet<DomainId> {
        if self.is_in_grace(now, Family::Evacuations, EVACUATIONS_GRACE) {
            return BTreeSet::new();
        }
        std::mem::take(&mut self.kept_evacuations)
    }
}

/// Queries.
impl RestoreGrace {
    /// Whether a target of a list is a process that had left when the family was first listed after the restore.
    fn has_left(&self, target: &Registration, listed_at: Millis) -> bool {
        let left = self.left_targets.get(&target.id);
        left.is_some_and(|(incarnation, left_at)| {
            target.incarnation <= *incarnation && *left_at < listed_at
        })
    }

    fn is_in_grace(&self, now: Millis, family: Family, grace: Millis) -> bool {
        let listed_at = self.listed_at.get(&family);
        listed_at.is_some_and(|listed_at| now.since(*listed_at) < grace)
    }
}
