//! The periodic work of the rate limiter that spans all limits.

use std::collections::BTreeMap;

use waxwing_types::{DomainId, Millis, Revision, VmId};

use super::borrowing::Lenders;
use super::ownership_changes::{ShardSummary, TableAction};
use super::{OwnersTable, RateLimiter, RateLimiterAction, SHARD_COUNT};
use crate::{BorrowRequest, LimitRequest, ShardId};

/// Time for which a withdrawn limit is kept, so that all its leases have expired if it is
/// configured again.
const WITHDRAWN_LIMIT_RETENTION: Millis = Millis::from_secs(3600);

impl RateLimiter {
    /// Reads or writes the domain's owners table, if that is due.
    pub(super) fn update_owners_table(&mut self, now: Millis) -> Vec<RateLimiterAction> {
        let summaries = self.shard_summaries(now);
        let action = self
            .shards
            .next_table_action(now, &self.settings, self.revision, &summaries);
        let path = OwnersTable::path(&self.settings.domain);
        match action {
            TableAction::Nothing => Vec::new(),
            TableAction::Read => vec![RateLimiterAction::ReadOwners { path }],
            TableAction::Write(table) => vec![RateLimiterAction::WriteOwners {
                path,
                value: table.to_json(),
                expected_version: self.shards.version,
            }],
        }
    }

    fn shard_summaries(&self, now: Millis) -> Vec<ShardSummary> {
        let without_limits = ShardSummary {
            unconfirmed: false,
            granted_is_covered: true,
            max_outstanding_term: Millis::ZERO,
        };
        let mut summaries = vec![without_limits; SHARD_COUNT];
        for limit in self.limits.values() {
            let index = usize::from(limit.shard.0);
            let summary = &mut summaries[index];
            let confirmed_revision = self.shards.list[index].entry.confirmed_revision;
            summary.unconfirmed |= limit.domain_share.spec().revision > confirmed_revision;
            summary.granted_is_covered &= limit.granted_is_covered(now);
            summary.max_outstanding_term = summary
                .max_outstanding_term
                .max(limit.granted.last_expiry().since(now));
        }
        summaries
    }

    /// Sends the borrow requests that are due, one per lender.
    pub(super) fn send_borrow_requests(
        &mut self,
        now: Millis,
        actions: &mut Vec<RateLimiterAction>,
    ) {
        let interval = self
            .settings
            .borrow_interval_for(self.shards.live_vms.len());
        let mut limits_by_lender: BTreeMap<VmId, Vec<LimitRequest>> = BTreeMap::new();
        for (key, limit) in &mut self.limits {
            let index = usize::from(limit.shard.0);
            let owns_shard = self.shards.window(&self.settings, index).is_some();
            let domain_owner = self.shards.list[index].entry.owner.as_ref();
            let lenders = Lenders {
                owns_shard,
                domain_owner: domain_owner.filter(|vm| **vm != self.settings.vm),
                remote_owners: &self.remote_owners[index],
                interval,
                remote_interval: Millis(self.settings.max_quota_lease_term.0 / 3),
                min_interval: self.settings.min_borrow_interval,
                min_remote_interval: self.settings.min_cross_domain_borrow_interval,
            };
            for (lender, limit_request) in limit.due_requests(now, key, &lenders) {
                limits_by_lender
                    .entry(lender)
                    .or_default()
                    .push(limit_request);
            }
        }
        for (to, limits) in limits_by_lender {
            let request = BorrowRequest {
                from: self.settings.vm.clone(),
                incarnation: self.settings.incarnation,
                domain: self.settings.domain.clone(),
                limits,
            };
            actions.push(RateLimiterAction::Borrow { to, request });
        }
    }

    /// Applies the full share of each changed limit that all domains involved have confirmed, and
    /// removes limits that were withdrawn long ago.
    pub(super) fn apply_confirmed_shares(&mut self, now: Millis) {
        let max_drift = self.settings.max_clock_drift_permille;
        let own = &self.settings.domain;
        // A domain whose table has not been read yet may spend under an earlier spec.
        let mut others = self.domains.iter().filter(|d| *d != own);
        let all_known = others.all(|d| self.remote_tables.contains_key(d));
        for limit in self.limits.values_mut() {
            if limit.domain_share.is_fully_in_force() {
                continue;
            }
            let revision = limit.domain_share.spec().revision;
            let confirmed = self.remote_tables.iter().all(|(domain, table)| {
                let involved = limit.domain_share.involves(domain);
                let entry = table.as_ref().and_then(|(_, t)| t.entry(limit.shard));
                entry.is_none_or(|e| {
                    let unused = e.epoch == 0 || (e.owner.is_none() && !involved);
                    let is_known_here = e.owner.is_none() || e.confirmed_revision <= self.revision;
                    unused || (e.confirmed_revision >= revision && is_known_here)
                })
            });
            if all_known && confirmed {
                limit.update_share(now, |s| s.apply_full_share(own, max_drift));
            }
        }
        self.limits.retain(|_, l| {
            !l.domain_share.is_withdrawn()
                || now.since(l.unused_since(now)) < WITHDRAWN_LIMIT_RETENTION
        });
    }

    /// Recomputes the shard owners in other domains from their tables.
    pub(super) fn update_remote_owners(&mut self) {
        for (index, owners) in self.remote_owners.iter_mut().enumerate() {
            let shard = ShardId(u8::try_from(index).unwrap_or(u8::MAX));
            let owner = |(_, table): (&DomainId, &Option<(Revision, OwnersTable)>)| {
                table.as_ref()?.1.entry(shard)?.owner.clone()
            };
            *owners = self.remote_tables.iter().filter_map(owner).collect();
        }
    }
}
