//! Shard leases: what this VM knows of the ownership of its domain's shards.

use waxwing_types::{Millis, Revision, VmId, common_derives};

use super::account::Window;
use super::owners::ranked;
use super::{
    LeaseMode, OwnersTable, OwnersWriteOutcome, RateLimiterSettings, SHARD_COUNT, ShardEntry,
};
use crate::{RenewReply, RenewRequest, ShardEpoch, ShardId};

common_derives! {
    /// A shard that this VM owns.
    pub(crate) struct Owned {
        /// Send time of the last renewal that the standby acknowledged.
        pub(crate) acked: Option<Millis>,
        /// Send time of the last write that took effect.
        pub(crate) written: Option<Millis>,
        /// When the standby was last heard of or named.
        pub(crate) heard: Millis,
        /// End of the wait for the predecessor's quota leases.
        pub(crate) from: Millis,
    }
}

common_derives! {
    /// What this VM knows of one shard.
    #[derive(Default)]
    pub(crate) struct Shard {
        pub(crate) entry: ShardEntry,
        /// When the entry was first seen as it is.
        pub(crate) since: Millis,
        /// State of the own shard lease. `None`: not the owner.
        pub(crate) owned: Option<Owned>,
        /// When this VM last acknowledged a renewal.
        pub(crate) ack_given: Option<Millis>,
        /// Version that the last takeover by this VM was to replace.
        pub(crate) attempted: Option<Revision>,
        /// Since when rendezvous hashing has named another live VM.
        pub(crate) displaced: Option<Millis>,
    }
}

common_derives! {
    /// A conditional update whose effect is not known yet.
    pub(crate) struct Pending {
        pub(crate) sent_at: Millis,
        pub(crate) expected_version: Option<Revision>,
        pub(crate) table: OwnersTable,
        /// Whether the outcome is still to come.
        pub(crate) in_flight: bool,
        /// Send time of the first update of the same version, each of which may still take effect.
        pub(crate) since: Millis,
        /// Shards of which one of these updates changes owner or standby.
        pub(crate) alters: Vec<bool>,
        /// Shards that one of these updates gives to another owner.
        pub(crate) gives: Vec<bool>,
    }
}

common_derives! {
    /// All shards of the own domain.
    pub(crate) struct Shards {
        pub(crate) list: Vec<Shard>,
        /// Version of the table. `None`: the store holds none.
        pub(crate) version: Option<Revision>,
        /// Whether the table was read at least once.
        pub(crate) known: bool,
        pub(crate) pending: Option<Pending>,
        /// When the store last responded.
        pub(crate) responded: Option<Millis>,
        /// When the table was last asked for.
        pub(crate) asked: Option<Millis>,
        /// Whether the table must be read because something newer exists.
        pub(crate) stale: bool,
        /// Live VMs of the domain, this one included.
        pub(crate) live: Vec<VmId>,
        /// Send time of the last renewals.
        pub(crate) renewed: Option<Millis>,
        /// Last handover to another VM.
        pub(crate) handed: Option<Millis>,
        /// Greatest `beat` proposed so far. Each proposal is unique, so that an entry read back
        /// shows which of several updates produced it.
        pub(crate) write_counter: u64,
        pub(crate) stopping: bool,
    }
}

impl Shards {
    pub(crate) fn new(now: Millis, vm: &VmId) -> Self {
        let shard = || Shard {
            since: now,
            ..Shard::default()
        };
        Self {
            list: (0..SHARD_COUNT).map(|_| shard()).collect(),
            version: None,
            known: false,
            pending: None,
            responded: None,
            asked: None,
            stale: true,
            live: vec![vm.clone()],
            renewed: None,
            handed: None,
            write_counter: 0,
            stopping: false,
        }
    }

    /// Takes over the domain's table; `version` is `None` if the store holds none.
    pub(crate) fn on_owners_table(
        &mut self,
        now: Millis,
        settings: &RateLimiterSettings,
        version: Option<Revision>,
        table: &OwnersTable,
    ) {
        self.responded = Some(now);
        self.stale = false;
        if self.known && version < self.version {
            return;
        }
        self.known = true;
        let written = self.resolve(version);
        self.version = version;
        for index in 0..SHARD_COUNT {
            let Some(entry) = table.shards.get(index) else {
                continue;
            };
            let shard = &mut self.list[index];
            let took_effect = |p: &&Pending| {
                p.table.shards[index] == *entry && p.table.shards[index] != shard.entry
            };
            let sent_at = written.as_ref().filter(took_effect).map(|p| p.sent_at);
            if shard.attempted.is_some() && version > shard.attempted {
                shard.attempted = None;
            }
            shard.adopt(now, settings, entry, sent_at);
        }
    }

    /// Ends the wait for the outcome of the pending update if the version shows that it took
    /// effect or never will, and returns it.
    fn resolve(&mut self, version: Option<Revision>) -> Option<Pending> {
        let pending = self.pending.take()?;
        if version > pending.expected_version {
            return Some(pending);
        }
        self.pending = Some(pending);
        None
    }

    /// Takes over the outcome of the update sent at `sent_at`.
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
        pending.in_flight = false;
        match outcome {
            OwnersWriteOutcome::Written(version) => {
                let table = pending.table.clone();
                self.on_owners_table(now, settings, Some(version), &table);
            }
            OwnersWriteOutcome::Conflict => {
                self.responded = Some(now);
                self.stale = true;
            }
            OwnersWriteOutcome::Unknown => {
                self.responded = None;
                self.stale = true;
            }
        }
    }

    /// Answers an owner: acknowledges the shards for which this VM is the standby in the same
    /// epoch and has not attempted a takeover.
    pub(crate) fn on_renew_request(
        &mut self,
        now: Millis,
        vm: &VmId,
        request: &RenewRequest,
    ) -> RenewReply {
        let mut acked = Vec::new();
        for renewal in &request.shards {
            let Some(shard) = self.list.get_mut(usize::from(renewal.shard.0)) else {
                continue;
            };
            let entry = &shard.entry;
            let matches = entry.owner.as_ref() == Some(&request.from)
                && entry.incarnation == request.incarnation
                && entry.standby.as_ref() == Some(vm)
                && entry.epoch == renewal.epoch;
            if matches && shard.attempted.is_none() {
                shard.ack_given = Some(now);
                acked.push(*renewal);
            } else if renewal.epoch > entry.epoch {
                self.stale = true;
            }
        }
        RenewReply { acked }
    }

    /// Takes over the acknowledgement of a renewal sent at `sent_at`.
    pub(crate) fn on_renew_reply(
        &mut self,
        now: Millis,
        sent_at: Millis,
        standby: &VmId,
        reply: &RenewReply,
    ) {
        for ack in &reply.acked {
            let index = usize::from(ack.shard.0);
            let doubted = self.changes_epoch(index) && self.sent_after_pending(sent_at);
            let Some(shard) = self.list.get_mut(index) else {
                continue;
            };
            let current =
                shard.entry.epoch == ack.epoch && shard.entry.standby.as_ref() == Some(standby);
            if let Some(owned) = shard.owned.as_mut()
                && current
                && !doubted
            {
                owned.acked = owned.acked.max(Some(sent_at));
                owned.heard = owned.heard.max(now);
            }
        }
    }

    /// The renewals that are due, one request for each standby.
    pub(crate) fn renewals(
        &mut self,
        now: Millis,
        settings: &RateLimiterSettings,
    ) -> Vec<(VmId, RenewRequest)> {
        let waited = self.renewed.map_or(Millis::MAX, |t| now.since(t));
        if settings.lease_mode == LeaseMode::Store || waited < settings.shard_renew_interval {
            return Vec::new();
        }
        self.renewed = Some(now);
        let mut requests: Vec<(VmId, RenewRequest)> = Vec::new();
        for (index, shard) in self.list.iter().enumerate() {
            let Some(standby) = shard
                .entry
                .standby
                .as_ref()
                .filter(|_| shard.owned.is_some())
            else {
                continue;
            };
            let renewal = ShardEpoch {
                shard: shard_id(index),
                epoch: shard.entry.epoch,
            };
            if let Some((_, request)) = requests.iter_mut().find(|(vm, _)| vm == standby) {
                request.shards.push(renewal);
            } else {
                let request = RenewRequest {
                    from: settings.vm.clone(),
                    incarnation: settings.incarnation,
                    shards: vec![renewal],
                };
                requests.push((standby.clone(), request));
            }
        }
        requests
    }
}

impl Shards {
    /// The time in which the shares of a shard may be spent. `None`: not the owner.
    pub(crate) fn window(&self, settings: &RateLimiterSettings, index: usize) -> Option<Window> {
        let shard = self.list.get(index)?;
        let owned = shard.owned.as_ref()?;
        if self.stopping || self.gives_away(index) {
            return None;
        }
        let leased =
            |sent: Option<Millis>| sent.map_or(Millis::ZERO, |s| s + settings.shard_lease_term);
        let renewed = match settings.lease_mode {
            LeaseMode::Standby => leased(owned.acked).max(leased(owned.written)),
            LeaseMode::Store => leased(owned.written),
        };
        let alone = settings.lease_mode == LeaseMode::Standby && shard.entry.standby.is_none();
        let until = match self.pending.as_ref().filter(|_| self.changes_epoch(index)) {
            _ if !alone => renewed,
            // A standby that the pending update names takes over a term after it at the earliest.
            Some(pending) => renewed.max(leased(Some(pending.since))),
            None => Millis::MAX,
        };
        let written = owned.written.unwrap_or(Millis::ZERO);
        let orphaned =
            written + (settings.orphan_timeout - settings.margin(settings.orphan_timeout));
        Some(Window {
            from: owned.from,
            until: until.min(orphaned),
        })
    }

    /// Whether the pending update changes owner or standby of a shard.
    pub(crate) fn changes_epoch(&self, index: usize) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|p| p.alters[index])
    }

    /// Whether the pending update names another owner for a shard of this VM.
    fn gives_away(&self, index: usize) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|p| p.gives[index])
    }

    fn sent_after_pending(&self, sent_at: Millis) -> bool {
        self.pending.as_ref().is_some_and(|p| sent_at >= p.since)
    }

    /// The live VMs by rendezvous rank for a shard.
    pub(crate) fn ranked(&self, settings: &RateLimiterSettings, index: usize) -> Vec<VmId> {
        ranked(&settings.domain, shard_id(index), &self.live)
    }

    pub(crate) fn check_invariants(&self) {
        for shard in &self.list {
            let owner = shard.entry.owner.is_some();
            assert!(
                owner || shard.owned.is_none(),
                "owned a shard without owner"
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
    /// Takes over an entry; `sent_at` is the send time of the own update that produced it.
    fn adopt(
        &mut self,
        now: Millis,
        settings: &RateLimiterSettings,
        entry: &ShardEntry,
        sent_at: Option<Millis>,
    ) {
        let former = std::mem::replace(&mut self.entry, entry.clone());
        if former != *entry {
            self.since = now;
        }
        let mine =
            entry.owner.as_ref() == Some(&settings.vm) && entry.incarnation == settings.incarnation;
        if !mine {
            self.owned = None;
            return;
        }
        let renamed = former.standby != entry.standby;
        match self.owned.as_mut() {
            Some(owned) => {
                owned.written = owned.written.max(sent_at);
                if renamed {
                    owned.heard = now;
                }
            }
            None => {
                self.owned = Some(Owned {
                    acked: None,
                    written: sent_at,
                    heard: now,
                    from: self.first_grant(now, settings, &former),
                });
            }
        }
    }

    /// When a new owner may spend and grant: once every quota lease of its predecessor is over.
    fn first_grant(
        &self,
        now: Millis,
        settings: &RateLimiterSettings,
        former: &ShardEntry,
    ) -> Millis {
        if former.epoch == 0 {
            return now;
        }
        if let Some(term) = former
            .max_outstanding_term
            .filter(|_| former.incarnation.0 == 0)
        {
            return now + settings.with_margin(term);
        }
        // An earlier process of this VM may have taken the shard over while this one acknowledged
        // renewals of the predecessor, whose shard lease then lasts longer than the update.
        let lease_end = self
            .ack_given
            .map_or(now, |t| t + settings.with_margin(settings.shard_lease_term));
        now.max(lease_end) + settings.with_margin(settings.max_quota_lease_term)
    }
}

pub(crate) fn shard_id(index: usize) -> ShardId {
    ShardId(u8::try_from(index).unwrap_or(u8::MAX))
}
