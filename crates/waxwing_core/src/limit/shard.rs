//! Shard leases: the ownership of the shards of this VM's domain, as far as this VM knows it.

use waxwing_types::{Millis, Revision, VmId, common_derives};

use super::limit_state::OwnershipWindow;
use super::owners::{OwnersTable, SHARD_COUNT, ShardEntry, rank_vms};
use super::{LeaseMode, OwnersWriteOutcome, RateLimiterSettings};
use crate::ShardId;

/// Shortest term of the quota leases granted before a prepared handover, and thus about the time
/// for which the next owner grants nothing. Borrowers renew leases once per term.
const MIN_TERM_BEFORE_HANDOVER: Millis = Millis(500);

common_derives! {
    /// State of a shard lease that this VM holds.
    pub(crate) struct OwnedShard {
        /// Send time of the last renewal that the standby acknowledged.
        pub(crate) last_acked: Option<Millis>,
        /// Send time of the last write of the entry that took effect.
        pub(crate) last_written: Option<Millis>,
        /// When the standby last acknowledged a renewal, or became the standby.
        pub(crate) standby_heard_at: Millis,
        /// Time by which all quota leases granted by the previous owner have expired.
        pub(crate) may_grant_from: Millis,
        /// When this VM will hand the shard over to the VM that ranks first. `None`: no handover is
        /// prepared. Until then, the terms of new quota leases become shorter.
        pub(crate) handover_at: Option<Millis>,
    }
}

common_derives! {
    /// What this VM knows about one shard.
    #[derive(Default)]
    pub(crate) struct Shard {
        pub(crate) entry: ShardEntry,
        /// When this VM first saw the entry in its present form.
        pub(crate) entry_changed_at: Millis,
        /// State of this VM's shard lease. `None`: this process does not own the shard.
        pub(crate) owned: Option<OwnedShard>,
        /// When this VM, as the standby, last acknowledged a renewal.
        pub(crate) last_ack_sent: Option<Millis>,
        /// Version of the table when this VM, as the standby, sent a takeover write. Until a newer
        /// version is known, the write may take effect, and this VM acknowledges no renewals.
        pub(crate) takeover_old_version: Option<Revision>,
        /// Time since which another live VM has ranked first by rendezvous hashing.
        pub(crate) outranked_since: Option<Millis>,
    }
}

common_derives! {
    /// A conditional write of the table whose effect is not known yet.
    pub(crate) struct PendingWrite {
        pub(crate) sent_at: Millis,
        pub(crate) expected_version: Option<Revision>,
        pub(crate) table: OwnersTable,
        /// Whether neither an outcome nor a timeout of the write has been recorded yet.
        pub(crate) awaits_outcome: bool,
        /// Send time of the first write that expects this version and may still take effect.
        pub(crate) oldest_sent_at: Millis,
        /// For each shard, whether a write that expects this version changes owner or standby.
        pub(crate) epoch_changed_by_shard: Vec<bool>,
        /// For each shard, whether a write that expects this version changes the owner.
        pub(crate) owner_changed_by_shard: Vec<bool>,
    }
}

common_derives! {
    /// All shards of this VM's domain.
    pub(crate) struct Shards {
        pub(crate) list: Vec<Shard>,
        /// Version of the table. `None`: the store has no table.
        pub(crate) version: Option<Revision>,
        pub(crate) table_was_read: bool,
        pub(crate) pending: Option<PendingWrite>,
        pub(crate) last_store_response: Option<Millis>,
        pub(crate) last_table_read: Option<Millis>,
        /// Whether the table must be read before the next write: a newer version may exist.
        pub(crate) needs_read: bool,
        /// Live VMs of the domain, including this one.
        pub(crate) live_vms: Vec<VmId>,
        pub(crate) renewals_sent_at: Option<Millis>,
        pub(crate) last_handover: Option<Millis>,
        /// Highest `ShardEntry::write_counter` that this VM has sent. The next write uses a higher
        /// value, so that an entry read back shows which write produced it.
        pub(crate) max_write_counter: u64,
        pub(crate) stopping: bool,
    }
}

impl Shards {
    pub(crate) fn new(now: Millis, vm: &VmId) -> Self {
        let shard = || Shard {
            entry_changed_at: now,
            ..Shard::default()
        };
        Self {
            list: (0..SHARD_COUNT).map(|_| shard()).collect(),
            version: None,
            table_was_read: false,
            pending: None,
            last_store_response: None,
            last_table_read: None,
            needs_read: true,
            live_vms: vec![vm.clone()],
            renewals_sent_at: None,
            last_handover: None,
            max_write_counter: 0,
            stopping: false,
        }
    }

    /// Applies the domain's table. `version` is `None` if the store has no table.
    pub(crate) fn on_owners_table(
        &mut self,
        now: Millis,
        settings: &RateLimiterSettings,
        version: Option<Revision>,
        table: &OwnersTable,
    ) {
        self.last_store_response = Some(now);
        self.needs_read = false;
        if self.table_was_read && version < self.version {
            return;
        }
        self.table_was_read = true;
        let resolved = self.resolve_pending_write(version);
        self.version = version;
        for index in 0..SHARD_COUNT {
            let Some(entry) = table.shards.get(index) else {
                continue;
            };
            let shard = &mut self.list[index];
            let took_effect = |p: &&PendingWrite| {
                p.table.shards[index] == *entry && p.table.shards[index] != shard.entry
            };
            let sent_at = resolved.as_ref().filter(took_effect).map(|p| p.sent_at);
            if shard.takeover_old_version.is_some() && version > shard.takeover_old_version {
                shard.takeover_old_version = None;
            }
            shard.apply_entry(now, settings, entry, sent_at);
        }
    }

    /// Removes and returns the pending write if `version` shows that it took effect or never will.
    fn resolve_pending_write(&mut self, version: Option<Revision>) -> Option<PendingWrite> {
        let pending = self.pending.take()?;
        if version > pending.expected_version {
            return Some(pending);
        }
        self.pending = Some(pending);
        None
    }

    /// Applies the outcome of the write sent at `sent_at`.
    pub(crate) fn on_owners_write_outcome(
        &mut self,
        now: Millis,
        settings: &RateLimiterSettings,
        sent_at: Millis,
        outcome: OwnersWriteOutcome,
    ) {
        let Some(pending) = self.pending.as_mut().filter(|p| p.sent_at == sent_at) else {
            return;
        };
        pending.awaits_outcome = false;
        match outcome {
            OwnersWriteOutcome::Written(version) => {
                let table = pending.table.clone();
                self.on_owners_table(now, settings, Some(version), &table);
            }
            OwnersWriteOutcome::Conflict => {
                self.last_store_response = Some(now);
                self.needs_read = true;
            }
            OwnersWriteOutcome::Unknown => {
                self.last_store_response = None;
                self.needs_read = true;
            }
        }
    }
}

impl Shards {
    /// The ownership window of a shard. `None`: this VM may not spend or grant the shard's shares.
    pub(crate) fn ownership_window(
        &self,
        settings: &RateLimiterSettings,
        index: usize,
    ) -> Option<OwnershipWindow> {
        let shard = self.list.get(index)?;
        let owned = shard.owned.as_ref()?;
        if self.stopping || self.changes_owner(index) {
            return None;
        }
        let expiry = |t: Option<Millis>| t.map_or(Millis::ZERO, |t| t + settings.shard_lease_term);
        let renewed_until = match settings.lease_mode {
            LeaseMode::Standby => expiry(owned.last_acked).max(expiry(owned.last_written)),
            LeaseMode::Store => expiry(owned.last_written),
        };
        let no_standby = settings.lease_mode == LeaseMode::Standby && shard.entry.standby.is_none();
        let end = match self.pending.as_ref().filter(|_| self.changes_epoch(index)) {
            _ if !no_standby => renewed_until,
            // A standby that the pending write names takes over a lease term later at the earliest.
            Some(pending) => renewed_until.max(expiry(Some(pending.oldest_sent_at))),
            None => Millis::MAX,
        };
        let last_written = owned.last_written.unwrap_or(Millis::ZERO);
        let orphan_takeover_at = last_written
            + (settings.orphan_timeout - settings.lease_margin(settings.orphan_timeout));
        Some(OwnershipWindow {
            start: owned.may_grant_from,
            end: end.min(orphan_takeover_at),
        })
    }

    /// Term of a quota lease that this VM grants now, at most `term`. It is shorter while a handover
    /// of the shard is prepared, because the next owner waits until all leases have expired.
    pub(crate) fn lease_term_before_handover(
        &self,
        now: Millis,
        index: usize,
        term: Millis,
    ) -> Millis {
        let owned = self.list.get(index).and_then(|shard| shard.owned.as_ref());
        match owned.and_then(|owned| owned.handover_at) {
            Some(at) => term.min(at.since(now).max(MIN_TERM_BEFORE_HANDOVER)),
            None => term,
        }
    }

    /// Whether a write that may still take effect changes the owner or the standby of a shard.
    pub(crate) fn changes_epoch(&self, index: usize) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|p| p.epoch_changed_by_shard[index])
    }

    /// Whether a write that may still take effect changes the owner of a shard.
    fn changes_owner(&self, index: usize) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|p| p.owner_changed_by_shard[index])
    }

    pub(super) fn sent_after_pending(&self, sent_at: Millis) -> bool {
        self.pending
            .as_ref()
            .is_some_and(|p| sent_at >= p.oldest_sent_at)
    }

    /// The live VMs by rendezvous hashing rank for a shard.
    pub(crate) fn ranked_vms(&self, settings: &RateLimiterSettings, index: usize) -> Vec<VmId> {
        rank_vms(&settings.domain, shard_id(index), &self.live_vms)
    }

    pub(crate) fn check_invariants(&self) {
        for shard in &self.list {
            let has_owner = shard.entry.owner.is_some();
            assert!(
                has_owner || shard.owned.is_none(),
                "this VM holds the lease of a shard whose entry names no owner"
            );
        }
    }

    pub(crate) fn table(&self) -> OwnersTable {
        OwnersTable {
            shards: self.list.iter().map(|s| s.entry.clone()).collect(),
        }
    }
}

impl Shard {
    /// Applies an entry. `sent_at` is the send time if a write of this VM produced the entry.
    fn apply_entry(
        &mut self,
        now: Millis,
        settings: &RateLimiterSettings,
        entry: &ShardEntry,
        sent_at: Option<Millis>,
    ) {
        let old = std::mem::replace(&mut self.entry, entry.clone());
        let old_since = self.entry_changed_at;
        if old != *entry {
            self.entry_changed_at = now;
        }
        let is_owner_process =
            entry.owner.as_ref() == Some(&settings.vm) && entry.incarnation == settings.incarnation;
        if !is_owner_process {
            self.owned = None;
            return;
        }
        let standby_changed = old.standby != entry.standby;
        match self.owned.as_mut() {
            Some(owned) => {
                owned.last_written = owned.last_written.max(sent_at);
                if standby_changed {
                    owned.standby_heard_at = now;
                }
            }
            None => {
                self.owned = Some(OwnedShard {
                    last_acked: None,
                    last_written: sent_at,
                    standby_heard_at: now,
                    may_grant_from: self.grant_start(now, settings, &old, old_since),
                    handover_at: None,
                });
            }
        }
    }

    /// When a new owner may start to grant: once all quota leases of the old owner have expired.
    /// `old_since` is when this VM first saw the old entry.
    fn grant_start(
        &self,
        now: Millis,
        settings: &RateLimiterSettings,
        old: &ShardEntry,
        old_since: Millis,
    ) -> Millis {
        if old.epoch == 0 {
            return now;
        }
        if let Some(term) = old.max_outstanding_term.filter(|_| old.incarnation.0 == 0) {
            return now + settings.with_margin(term);
        }
        // A takeover write of an earlier process of this VM may take effect after this process, as
        // the standby, acknowledged renewals. The old owner's lease then ends after the takeover.
        let lease_end = self
            .last_ack_sent
            .map_or(now, |t| t + settings.with_margin(settings.shard_lease_term));
        let quota_lease_term = settings.with_margin(settings.max_quota_lease_term);
        // The standby takes over after the shard lease of the old owner has ended, and nested leases
        // have ended with it. Before the old entry named a standby, the shard lease had no end, and
        // leases of that time have a full term.
        let was_standby =
            old.standby.as_ref() == Some(&settings.vm) && old.owner.as_ref() != Some(&settings.vm);
        if was_standby && old.nested_leases {
            return now.max(lease_end).max(old_since + quota_lease_term);
        }
        now.max(lease_end) + quota_lease_term
    }
}

pub(crate) fn shard_id(index: usize) -> ShardId {
    ShardId(u8::try_from(index).unwrap_or(u8::MAX))
}
