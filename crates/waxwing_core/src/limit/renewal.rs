//! Renewals of shard leases between an owner and its standby.

use waxwing_types::{Millis, VmId};

use super::shard::{Shards, shard_id};
use super::{LeaseMode, RateLimiterSettings};
use crate::{RenewReply, RenewRequest, ShardEpoch};

impl Shards {
    /// Answers an owner's request to renew its shard leases. Acknowledges a shard if this VM is its
    /// standby in the same epoch and has not tried to take the shard over.
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
            if matches && shard.takeover_old_version.is_none() {
                shard.last_ack_sent = Some(now);
                acked.push(*renewal);
            } else if renewal.epoch > entry.epoch {
                self.needs_read = true;
            }
        }
        RenewReply { acked }
    }

    /// Applies the standby's reply to a renewal sent at `sent_at`.
    pub(crate) fn on_renew_reply(
        &mut self,
        now: Millis,
        sent_at: Millis,
        standby: &VmId,
        reply: &RenewReply,
    ) {
        for ack in &reply.acked {
            let index = usize::from(ack.shard.0);
            let may_be_outdated = self.changes_epoch(index) && self.sent_after_pending(sent_at);
            let Some(shard) = self.list.get_mut(index) else {
                continue;
            };
            let is_current =
                shard.entry.epoch == ack.epoch && shard.entry.standby.as_ref() == Some(standby);
            if let Some(owned) = shard.owned.as_mut()
                && is_current
                && !may_be_outdated
            {
                owned.last_acked = owned.last_acked.max(Some(sent_at));
                owned.standby_heard_at = owned.standby_heard_at.max(now);
            }
        }
    }

    /// Returns the renewals that are due, one request per standby, and records them as sent.
    pub(crate) fn take_due_renewals(
        &mut self,
        now: Millis,
        settings: &RateLimiterSettings,
    ) -> Vec<(VmId, RenewRequest)> {
        let elapsed = self.renewals_sent_at.map_or(Millis::MAX, |t| now.since(t));
        if settings.lease_mode == LeaseMode::Store || elapsed < settings.shard_renew_interval {
            return Vec::new();
        }
        self.renewals_sent_at = Some(now);
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
