//! Decides when and how a VM changes its domain's owners table.

use waxwing_types::{Millis, Revision, common_derives};

use super::shard::{PendingWrite, Shards};
use super::{LeaseMode, OwnersTable, RateLimiterSettings, SHARD_COUNT, ShardEntry};

/// Time without an outcome after which the effect of a write counts as unknown.
const WRITE_TIMEOUT: Millis = Millis::from_secs(5);
/// Shortest time between two reads of the table.
const MIN_READ_INTERVAL: Millis = Millis(300);
/// A write is sent only if the store has responded within this time, because a write during a store
/// outage could cost an owner its shard leases. A write that changes the owner or the standby may
/// take effect although no response arrives. Until its outcome is known, renewals sent after the
/// write don't extend the shard lease. The lease would expire during the outage, and the shard's
/// limits would refuse all requests.
const MAX_RESPONSE_AGE: Millis = Millis::from_secs(1);
/// Time for which another VM must rank first for a shard, by rendezvous hashing, before the owner
/// hands the shard over to that VM.
const MIN_OUTRANKED_TIME: Millis = Millis::from_secs(10);
/// Shortest time between two handovers to VMs that rank first.
const MIN_HANDOVER_INTERVAL: Millis = Millis::from_secs(15);
/// Time after which a prepared handover that could not be written is given up. Without a limit, the
/// owner would grant short quota leases for as long as a store outage lasts.
const HANDOVER_WRITE_TIMEOUT: Millis = Millis::from_secs(3);

common_derives! {
    /// State of the limits of one shard, as far as it affects the shard's entry.
    pub(crate) struct ShardSummary {
        /// Whether a limit has a newer revision than the entry's confirmed revision.
        pub(crate) has_unconfirmed_limit: bool,
        /// Whether the present shares and the held leases cover all granted quota.
        pub(crate) granted_is_covered: bool,
        /// Longest remaining term of the quota leases granted.
        pub(crate) max_outstanding_term: Millis,
    }
}

common_derives! {
    /// What to do with the owners table.
    pub(crate) enum TableAction {
        Nothing,
        Read,
        Write(OwnersTable),
    }
}

impl Shards {
    /// Returns the next action on the owners table, and records the read or write as sent. The
    /// caller must send it. `config_revision` is the revision of this VM's configuration.
    pub(crate) fn next_table_action(
        &mut self,
        now: Millis,
        settings: &RateLimiterSettings,
        config_revision: Revision,
        summaries: &[ShardSummary],
    ) -> TableAction {
        if let Some(pending) = self.pending.as_mut().filter(|p| p.awaits_outcome) {
            if now.since(pending.sent_at) < WRITE_TIMEOUT {
                return TableAction::Nothing;
            }
            pending.awaits_outcome = false;
            self.needs_read = true;
        }
        self.update_outranked(now, settings);
        self.prepare_handover(now, settings);
        if self.needs_read {
            return self.read_if_due(now);
        }
        let table = self.proposed_table(now, settings, config_revision, summaries);
        let Some(table) = table else {
            return TableAction::Nothing;
        };
        if self
            .last_store_response
            .is_none_or(|t| now.since(t) > MAX_RESPONSE_AGE)
        {
            return self.read_if_due(now);
        }
        self.record_write(now, settings, &table);
        TableAction::Write(table)
    }

    /// Returns `Read`, or `Nothing` if the last read is less than `MIN_READ_INTERVAL` ago.
    fn read_if_due(&mut self, now: Millis) -> TableAction {
        if self
            .last_table_read
            .is_some_and(|t| now.since(t) < MIN_READ_INTERVAL)
        {
            return TableAction::Nothing;
        }
        self.last_table_read = Some(now);
        TableAction::Read
    }

    /// Updates, for each shard, the time since which another VM has ranked first.
    fn update_outranked(&mut self, now: Millis, settings: &RateLimiterSettings) {
        for index in 0..SHARD_COUNT {
            let first = self.ranked_vms(settings, index).into_iter().next();
            let outranked = first.is_some_and(|vm| vm != settings.vm);
            let since = &mut self.list[index].outranked_since;
            *since = if outranked { since.or(Some(now)) } else { None };
        }
    }

    /// Starts to prepare the handover of one shard for which another VM has ranked first for long
    /// enough. A prepared handover is due once all quota leases with a full term have expired: the
    /// next owner grants nothing until the leases of this owner have expired, and the share of the
    /// domain would be unused for a full term. Gives up a handover that has become needless or that
    /// the store did not accept in time.
    fn prepare_handover(&mut self, now: Millis, settings: &RateLimiterSettings) {
        let mut is_preparing = false;
        for shard in &mut self.list {
            let is_outranked = shard.outranked_since.is_some();
            let Some(owned) = &mut shard.owned else {
                continue;
            };
            let timed_out = owned
                .handover_at
                .is_some_and(|at| now.since(at) > HANDOVER_WRITE_TIMEOUT);
            if timed_out {
                self.last_handover = Some(now);
            }
            if timed_out || !is_outranked {
                owned.handover_at = None;
            }
            is_preparing |= owned.handover_at.is_some();
        }
        let too_soon = self
            .last_handover
            .is_some_and(|t| now.since(t) < MIN_HANDOVER_INTERVAL);
        if is_preparing || too_soon {
            return;
        }
        let lease_end = now + settings.with_margin(settings.max_quota_lease_term);
        let mut candidates = self.list.iter_mut().filter_map(|shard| {
            let outranked_for = now.since(shard.outranked_since?);
            let owned = shard.owned.as_mut()?;
            (outranked_for >= MIN_OUTRANKED_TIME && owned.may_grant_from <= now).then_some(owned)
        });
        if let Some(owned) = candidates.next() {
            owned.handover_at = Some(lease_end);
        }
    }

    /// Records a write of `table` as sent. Its effect is unknown until the outcome arrives or a
    /// later version of the table is read.
    fn record_write(&mut self, now: Millis, settings: &RateLimiterSettings, table: &OwnersTable) {
        for (shard, entry) in self.list.iter_mut().zip(&table.shards) {
            let takes_over =
                entry.owner.as_ref() == Some(&settings.vm) && shard.entry.owner != entry.owner;
            // The old owner's lease must not be extended once this VM, as the standby, may have
            // taken the shard over. This VM therefore acknowledges no renewals until the table has
            // a newer version.
            if takes_over && shard.entry.standby.as_ref() == Some(&settings.vm) {
                shard.takeover_old_version = self.version;
            }
            let hands_over = entry.owner != shard.entry.owner && shard.owned.is_some();
            if hands_over {
                self.last_handover = Some(now);
            }
            // The next write uses a higher value. An entry that is read back then shows which write
            // produced it.
            self.max_write_counter = self.max_write_counter.max(entry.write_counter);
        }
        let entry_pairs = self.list.iter().zip(&table.shards);
        let mut pending = PendingWrite {
            sent_at: now,
            expected_version: self.version,
            table: table.clone(),
            awaits_outcome: true,
            oldest_sent_at: now,
            epoch_changed_by_shard: entry_pairs
                .clone()
                .map(|(s, e)| s.entry.epoch != e.epoch)
                .collect(),
            owner_changed_by_shard: entry_pairs.map(|(s, e)| s.entry.owner != e.owner).collect(),
        };
        // The outcome of an earlier write is unknown, so its changes may still take effect too. The
        // merged record covers both writes.
        if let Some(earlier) = self.pending.take() {
            pending.oldest_sent_at = earlier.oldest_sent_at;
            for index in 0..SHARD_COUNT {
                pending.epoch_changed_by_shard[index] |= earlier.epoch_changed_by_shard[index];
                pending.owner_changed_by_shard[index] |= earlier.owner_changed_by_shard[index];
            }
        }
        self.pending = Some(pending);
    }
}

impl Shards {
    /// The table with all changes that are due, if any. Hands over at most one shard at a time,
    /// unless this VM is stopping.
    fn proposed_table(
        &self,
        now: Millis,
        settings: &RateLimiterSettings,
        config_revision: Revision,
        summaries: &[ShardSummary],
    ) -> Option<OwnersTable> {
        let mut table = self.table();
        let mut changed = false;
        let mut has_handover = false;
        for (index, summary) in summaries.iter().enumerate() {
            let Some(mut entry) =
                self.proposed_entry(now, settings, config_revision, index, summary)
            else {
                continue;
            };
            let hands_over =
                self.list[index].owned.is_some() && entry.owner.as_ref() != Some(&settings.vm);
            if hands_over && has_handover && !self.stopping {
                continue;
            }
            has_handover |= hands_over;
            entry.write_counter = entry.write_counter.max(self.max_write_counter) + 1;
            table.shards[index] = entry;
            changed = true;
        }
        changed.then_some(table)
    }

    /// The entry that should replace the present entry of a shard, if any.
    fn proposed_entry(
        &self,
        now: Millis,
        settings: &RateLimiterSettings,
        config_revision: Revision,
        index: usize,
        summary: &ShardSummary,
    ) -> Option<ShardEntry> {
        let shard = &self.list[index];
        let entry = &shard.entry;
        let names_this_vm = entry.owner.as_ref() == Some(&settings.vm);
        if self.stopping {
            // Incarnation 0 marks an entry that a handover wrote. If this VM, the new owner, has
            // not written its own incarnation yet, it may hand the shard over without doing so.
            let may_hand_over =
                names_this_vm && (shard.owned.is_some() || entry.incarnation.0 == 0);
            return may_hand_over.then(|| self.handover_entry(now, settings, index, summary));
        }
        if shard.owned.is_some() {
            return self.updated_entry(now, settings, config_revision, index, summary);
        }
        // The owner may have confirmed a later configuration than this VM has. That configuration
        // may give this domain lower shares, and other domains may have raised their shares since.
        // If this VM took the shard over, it would spend too much.
        if config_revision.0 == 0 || config_revision < entry.confirmed_revision {
            return None;
        }
        let takes_over = if names_this_vm {
            entry.incarnation < settings.incarnation
        } else {
            self.may_take_over(now, settings, index)
        };
        takes_over.then(|| self.takeover_entry(settings, config_revision, index))
    }

    /// Whether this VM may take over a shard whose entry names another owner or none.
    fn may_take_over(&self, now: Millis, settings: &RateLimiterSettings, index: usize) -> bool {
        let shard = &self.list[index];
        let owner = shard.entry.owner.as_ref();
        let mut successors = self.ranked_vms(settings, index);
        successors.retain(|vm| Some(vm) != owner);
        let ranks_first = successors.first() == Some(&settings.vm);
        let unchanged_for = now.since(shard.entry_changed_at);
        if owner.is_none() {
            return ranks_first;
        }
        let lease_expired = match settings.lease_mode {
            LeaseMode::Standby => {
                // This VM acknowledges a renewal when the renewal arrives. A change of the entry
                // counts like a renewal.
                let time_since_renewal = shard
                    .last_ack_sent
                    .map_or(unchanged_for, |t| now.since(t).min(unchanged_for));
                shard.entry.standby.as_ref() == Some(&settings.vm)
                    && time_since_renewal > settings.with_margin(settings.shard_lease_term)
            }
            LeaseMode::Store => {
                ranks_first && unchanged_for > settings.with_margin(settings.shard_lease_term)
            }
        };
        // A shard whose entry has not changed for `orphan_timeout` counts as orphaned. Its owner
        // and its standby may both be gone, so the VM that ranks first takes the shard over.
        lease_expired
            || (ranks_first && unchanged_for > settings.with_margin(settings.orphan_timeout))
    }
}
