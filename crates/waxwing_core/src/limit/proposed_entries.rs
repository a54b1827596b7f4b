//! The entries by which a VM takes a shard over, hands it over, or changes it as its owner.

use waxwing_types::{Millis, Revision, VmId};

use super::owners::ShardEntry;
use super::ownership_changes::ShardSummary;
use super::shard::Shards;
use super::{LeaseMode, RateLimiterSettings};

impl Shards {
    /// The entry by which this VM becomes the owner.
    pub(super) fn takeover_entry(
        &self,
        settings: &RateLimiterSettings,
        config_revision: Revision,
        index: usize,
    ) -> ShardEntry {
        let previous = &self.list[index].entry;
        let mut others = self.other_vms_by_rank(settings, index);
        // The previous owner may be dead although it is still listed as live, so it becomes the
        // standby only if there is no other VM.
        others.sort_by_key(|vm| Some(vm) == previous.owner.as_ref());
        // Quota leases that the previous owner granted under earlier shares may still be in force,
        // so the confirmed revision stays as it is. In epoch 0 there was no previous owner, and no
        // quota lease can be in force.
        let confirmed_revision = if previous.epoch == 0 {
            config_revision
        } else {
            previous.confirmed_revision
        };
        ShardEntry {
            owner: Some(settings.vm.clone()),
            incarnation: settings.incarnation,
            epoch: previous.epoch + 1,
            standby: others
                .into_iter()
                .next()
                .filter(|_| settings.lease_mode == LeaseMode::Standby),
            write_counter: previous.write_counter,
            confirmed_revision,
            max_outstanding_term: None,
            nested_leases: settings.nests_leases(),
        }
    }

    /// The entry by which this VM hands a shard over to the next VM by rank.
    pub(super) fn handover_entry(
        &self,
        now: Millis,
        settings: &RateLimiterSettings,
        index: usize,
        summary: &ShardSummary,
    ) -> ShardEntry {
        let shard = &self.list[index];
        let mut others = self.other_vms_by_rank(settings, index).into_iter();
        // If quota leases of this owner's predecessor may still be in force, the next owner must
        // wait for their expiry too.
        let outstanding_term = match &shard.owned {
            Some(owned) => Some(
                summary
                    .max_outstanding_term
                    .max(owned.may_grant_from.since(now)),
            ),
            None => shard.entry.max_outstanding_term,
        };
        ShardEntry {
            owner: others.next(),
            incarnation: waxwing_types::Incarnation(0),
            epoch: shard.entry.epoch + 1,
            standby: others.next(),
            write_counter: shard.entry.write_counter,
            confirmed_revision: shard.entry.confirmed_revision,
            max_outstanding_term: outstanding_term,
            nested_leases: false,
        }
    }

    /// The entry that the owner of a shard should write in place of its present entry, if a change
    /// or a rewrite is due.
    pub(super) fn updated_entry(
        &self,
        now: Millis,
        settings: &RateLimiterSettings,
        config_revision: Revision,
        index: usize,
        summary: &ShardSummary,
    ) -> Option<ShardEntry> {
        let shard = &self.list[index];
        let owned = shard.owned.as_ref()?;
        let may_grant = owned.may_grant_from <= now;
        if owned.handover_at.is_some_and(|at| at <= now) {
            return Some(self.handover_entry(now, settings, index, summary));
        }
        let mut entry = shard.entry.clone();
        entry.nested_leases = settings.nests_leases();
        entry.standby = self.choose_standby(now, settings, index, owned.standby_heard_at);
        if entry.standby != shard.entry.standby {
            entry.epoch += 1;
        }
        if summary.has_unconfirmed_limit && summary.granted_is_covered && may_grant {
            entry.confirmed_revision = entry.confirmed_revision.max(config_revision);
        }
        let entry_age = owned.last_written.map_or(Millis::MAX, |t| now.since(t));
        let rewrite_interval = match settings.lease_mode {
            LeaseMode::Standby => settings.entry_rewrite_interval,
            LeaseMode::Store => settings.shard_renew_interval,
        };
        (entry != shard.entry || entry_age >= rewrite_interval).then_some(entry)
    }

    /// The VM that the entry should name as the standby. The present standby stays if it is live
    /// and `standby_heard_at` is at most 2.5 renew intervals ago. Otherwise another live VM
    /// replaces it, if there is one.
    fn choose_standby(
        &self,
        now: Millis,
        settings: &RateLimiterSettings,
        index: usize,
        standby_heard_at: Millis,
    ) -> Option<VmId> {
        if settings.lease_mode == LeaseMode::Store {
            return None;
        }
        let others = self.other_vms_by_rank(settings, index);
        let present = self.list[index].entry.standby.clone();
        let present_is_live = present.as_ref().is_some_and(|vm| others.contains(vm));
        let standby_is_silent =
            now.since(standby_heard_at).0 > settings.shard_renew_interval.0 * 5 / 2;
        if present_is_live && !standby_is_silent {
            return present;
        }
        let replacement = others.into_iter().find(|vm| Some(vm) != present.as_ref());
        replacement.or(present.filter(|_| present_is_live))
    }

    /// The other live VMs by rendezvous hashing rank.
    fn other_vms_by_rank(&self, settings: &RateLimiterSettings, index: usize) -> Vec<VmId> {
        let mut ranked = self.ranked_vms(settings, index);
        ranked.retain(|vm| vm != &settings.vm);
        ranked
    }
}
