//! When a VM changes the table of owners, and how.

use waxwing_types::{Millis, Revision, VmId, common_derives};

use super::shard::{Pending, Shards};
use super::{LeaseMode, OwnersTable, RateLimiterSettings, SHARD_COUNT, ShardEntry};

/// An update without outcome for this long counts as unknown.
const WRITE_TIMEOUT: Millis = Millis::from_secs(5);
/// Least time between two reads of the table.
const READ_GAP: Millis = Millis(300);
/// An update is sent only if the store responded within this time: an update with an unknown
/// result invalidates later acknowledgements, which would stop the limits during a store outage.
const RESPONSIVE: Millis = Millis::from_secs(1);
/// Time for which rendezvous hashing must name another VM before it gets the shard.
const SETTLED: Millis = Millis::from_secs(10);
/// Least time between two handovers to VMs that joined.
const HANDOVER_GAP: Millis = Millis::from_secs(15);

common_derives! {
    /// What the accounts say about a shard.
    pub(crate) struct ShardFacts {
        /// Whether the entry does not confirm the revision of a limit of the shard yet.
        pub(crate) unconfirmed: bool,
        /// Whether all commitments fit into the present shares.
        pub(crate) fits: bool,
        /// Longest remaining term of the quota leases granted.
        pub(crate) outstanding: Millis,
    }
}

common_derives! {
    /// What to do about the table.
    pub(crate) enum Decision {
        Nothing,
        Read,
        Write(OwnersTable),
    }
}

impl Shards {
    /// Decides what to do, and notes it as done.
    pub(crate) fn decide(
        &mut self,
        now: Millis,
        settings: &RateLimiterSettings,
        revision: Revision,
        facts: &[ShardFacts],
    ) -> Decision {
        if let Some(pending) = self.pending.as_mut().filter(|p| p.in_flight) {
            if now.since(pending.sent_at) < WRITE_TIMEOUT {
                return Decision::Nothing;
            }
            pending.in_flight = false;
            self.stale = true;
        }
        self.note_displaced(now, settings);
        if self.stale {
            return self.read(now);
        }
        let table = self.proposal(now, settings, revision, facts);
        let Some(table) = table else {
            return Decision::Nothing;
        };
        if self.responded.is_none_or(|t| now.since(t) > RESPONSIVE) {
            return self.read(now);
        }
        self.note_write(now, settings, &table);
        Decision::Write(table)
    }

    fn read(&mut self, now: Millis) -> Decision {
        if self.asked.is_some_and(|t| now.since(t) < READ_GAP) {
            return Decision::Nothing;
        }
        self.asked = Some(now);
        Decision::Read
    }

    fn note_displaced(&mut self, now: Millis, settings: &RateLimiterSettings) {
        for index in 0..SHARD_COUNT {
            let first = self.ranked(settings, index).into_iter().next();
            let displaced = first.is_some_and(|vm| vm != settings.vm);
            let since = &mut self.list[index].displaced;
            *since = if displaced { since.or(Some(now)) } else { None };
        }
    }

    fn note_write(&mut self, now: Millis, settings: &RateLimiterSettings, table: &OwnersTable) {
        for (shard, entry) in self.list.iter_mut().zip(&table.shards) {
            let takes =
                entry.owner.as_ref() == Some(&settings.vm) && shard.entry.owner != entry.owner;
            if takes && shard.entry.standby.as_ref() == Some(&settings.vm) {
                shard.attempted = self.version;
            }
            let gives = entry.owner != shard.entry.owner && shard.owned.is_some();
            if gives {
                self.handed = Some(now);
            }
            self.write_counter = self.write_counter.max(entry.write_counter);
        }
        let changes = self.list.iter().zip(&table.shards);
        let mut pending = Pending {
            sent_at: now,
            expected_version: self.version,
            table: table.clone(),
            in_flight: true,
            since: now,
            alters: changes
                .clone()
                .map(|(s, e)| s.entry.epoch != e.epoch)
                .collect(),
            gives: changes.map(|(s, e)| s.entry.owner != e.owner).collect(),
        };
        if let Some(earlier) = self.pending.take() {
            pending.since = earlier.since;
            for index in 0..SHARD_COUNT {
                pending.alters[index] |= earlier.alters[index];
                pending.gives[index] |= earlier.gives[index];
            }
        }
        self.pending = Some(pending);
    }
}

impl Shards {
    fn proposal(
        &self,
        now: Millis,
        settings: &RateLimiterSettings,
        revision: Revision,
        facts: &[ShardFacts],
    ) -> Option<OwnersTable> {
        let mut table = self.table();
        let mut changed = false;
        let mut handed = false;
        for (index, facts) in facts.iter().enumerate() {
            let Some(mut entry) = self.propose(now, settings, revision, index, facts) else {
                continue;
            };
            let gives =
                self.list[index].owned.is_some() && entry.owner.as_ref() != Some(&settings.vm);
            if gives && handed && !self.stopping {
                continue;
            }
            handed |= gives;
            entry.write_counter = entry.write_counter.max(self.write_counter) + 1;
            table.shards[index] = entry;
            changed = true;
        }
        changed.then_some(table)
    }

    /// The entry that should replace the present one, if any.
    fn propose(
        &self,
        now: Millis,
        settings: &RateLimiterSettings,
        revision: Revision,
        index: usize,
        facts: &ShardFacts,
    ) -> Option<ShardEntry> {
        let shard = &self.list[index];
        let entry = &shard.entry;
        let mine = entry.owner.as_ref() == Some(&settings.vm);
        if self.stopping {
            let ours = mine && (shard.owned.is_some() || entry.incarnation.0 == 0);
            return ours.then(|| self.handover(now, settings, index, facts));
        }
        if shard.owned.is_some() {
            return self.keep(now, settings, revision, index, facts);
        }
        // A later configuration than the own one may have lowered the shares.
        if revision.0 == 0 || revision < entry.confirmed_revision {
            return None;
        }
        let takes = if mine {
            entry.incarnation < settings.incarnation
        } else {
            self.may_take_over(now, settings, index)
        };
        takes.then(|| self.owned_entry(settings, revision, index))
    }

    fn may_take_over(&self, now: Millis, settings: &RateLimiterSettings, index: usize) -> bool {
        let shard = &self.list[index];
        let owner = shard.entry.owner.as_ref();
        let mut successors = self.ranked(settings, index);
        successors.retain(|vm| Some(vm) != owner);
        let first = successors.first() == Some(&settings.vm);
        let unchanged = now.since(shard.since);
        if owner.is_none() {
            return first;
        }
        let lapsed = match settings.lease_mode {
            LeaseMode::Standby => {
                let quiet = shard
                    .ack_given
                    .map_or(unchanged, |t| now.since(t).min(unchanged));
                shard.entry.standby.as_ref() == Some(&settings.vm)
                    && quiet > settings.with_margin(settings.shard_lease_term)
            }
            LeaseMode::Store => {
                first && unchanged > settings.with_margin(settings.shard_lease_term)
            }
        };
        lapsed || (first && unchanged > settings.with_margin(settings.orphan_timeout))
    }

    /// The entry by which this VM becomes the owner.
    fn owned_entry(
        &self,
        settings: &RateLimiterSettings,
        revision: Revision,
        index: usize,
    ) -> ShardEntry {
        let former = &self.list[index].entry;
        let mut others = self.others(settings, index);
        // The former owner may be dead although the list still names it.
        others.sort_by_key(|vm| Some(vm) == former.owner.as_ref());
        // Quota leases under the predecessor's shares may still be in force.
        let confirmed_revision = if former.epoch == 0 {
            revision
        } else {
            former.confirmed_revision
        };
        ShardEntry {
            owner: Some(settings.vm.clone()),
            incarnation: settings.incarnation,
            epoch: former.epoch + 1,
            standby: others
                .into_iter()
                .next()
                .filter(|_| settings.lease_mode == LeaseMode::Standby),
            write_counter: former.write_counter,
            confirmed_revision,
            max_outstanding_term: None,
        }
    }

    /// The entry that hands a shard over.
    fn handover(
        &self,
        now: Millis,
        settings: &RateLimiterSettings,
        index: usize,
        facts: &ShardFacts,
    ) -> ShardEntry {
        let shard = &self.list[index];
        let mut others = self.others(settings, index).into_iter();
        // An owner that still waits for its predecessor's quota leases passes the wait on.
        let outstanding = match &shard.owned {
            Some(owned) => Some(facts.outstanding.max(owned.from.since(now))),
            None => shard.entry.max_outstanding_term,
        };
        ShardEntry {
            owner: others.next(),
            incarnation: waxwing_types::Incarnation(0),
            epoch: shard.entry.epoch + 1,
            standby: others.next(),
            write_counter: shard.entry.write_counter,
            confirmed_revision: shard.entry.confirmed_revision,
            max_outstanding_term: outstanding,
        }
    }

    /// What the owner of a shard changes about its entry.
    fn keep(
        &self,
        now: Millis,
        settings: &RateLimiterSettings,
        revision: Revision,
        index: usize,
        facts: &ShardFacts,
    ) -> Option<ShardEntry> {
        let shard = &self.list[index];
        let owned = shard.owned.as_ref()?;
        let idle = self.handed.is_none_or(|t| now.since(t) >= HANDOVER_GAP);
        let displaced = shard.displaced.is_some_and(|t| now.since(t) >= SETTLED);
        let started = owned.from <= now;
        if displaced && idle && started {
            return Some(self.handover(now, settings, index, facts));
        }
        let mut entry = shard.entry.clone();
        entry.standby = self.best_standby(now, settings, index, owned.heard);
        if entry.standby != shard.entry.standby {
            entry.epoch += 1;
        }
        if facts.unconfirmed && facts.fits && started {
            entry.confirmed_revision = entry.confirmed_revision.max(revision);
        }
        let age = owned.written.map_or(Millis::MAX, |t| now.since(t));
        let due = match settings.lease_mode {
            LeaseMode::Standby => settings.entry_rewrite_interval,
            LeaseMode::Store => settings.shard_renew_interval,
        };
        (entry != shard.entry || age >= due).then_some(entry)
    }

    /// The present standby, or another one if it is missing, not live, or silent since `heard`.
    fn best_standby(
        &self,
        now: Millis,
        settings: &RateLimiterSettings,
        index: usize,
        heard: Millis,
    ) -> Option<VmId> {
        if settings.lease_mode == LeaseMode::Store {
            return None;
        }
        let others = self.others(settings, index);
        let present = self.list[index].entry.standby.clone();
        let live = present.as_ref().is_some_and(|vm| others.contains(vm));
        let silent = now.since(heard).0 > settings.shard_renew_interval.0 * 5 / 2;
        if live && !silent {
            return present;
        }
        let another = others.into_iter().find(|vm| Some(vm) != present.as_ref());
        another.or(present.filter(|_| live))
    }

    /// The other live VMs by rendezvous rank.
    fn others(&self, settings: &RateLimiterSettings, index: usize) -> Vec<VmId> {
        let mut ranked = self.ranked(settings, index);
        ranked.retain(|vm| vm != &settings.vm);
        ranked
    }
}
