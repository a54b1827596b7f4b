//! The periodic work of the rate limiter that spans all limits.

use std::collections::BTreeMap;

use waxwing_types::{DomainId, Millis, Revision, VmId};

use super::borrowing::BorrowContext;
use super::ownership_changes::{ShardSummary, TableAction};
use super::{OwnersTable, RateLimiter, RateLimiterAction, SHARD_COUNT};
use crate::{BorrowRequest, LimitRequest, ShardId};

/// Time for which a withdrawn limit is kept. If the limit is configured again after that, all
/// leases granted earlier have expired.
const WITHDRAWN_LIMIT_RETENTION: Millis = Millis::from_secs(3600);

impl RateLimiter {
    /// Returns the read or write of the domain's owners table that is due, if any.
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
            has_unconfirmed_limit: false,
            granted_is_covered: true,
            max_outstanding_term: Millis::ZERO,
        };
        let mut summaries = vec![without_limits; SHARD_COUNT];
        for limit in self.limits.values() {
            let index = usize::from(limit.shard.0);
            let summary = &mut summaries[index];
            let confirmed_revision = self.shards.list[index].entry.confirmed_revision;
            summary.has_unconfirmed_limit |=
                limit.domain_share.spec().revision > confirmed_revision;
            summary.granted_is_covered &= limit.granted_is_covered(now);
            summary.max_outstanding_term = summary
                .max_outstanding_term
                .max(limit.granted.last_expiry().since(now));
        }
        summaries
    }

    /// Adds the borrow requests that are due to `actions`, one per lender. `local` stands for this
    /// VM's domain, `remote` for the other domains.
    pub(super) fn add_borrow_requests(
        &mut self,
        now: Millis,
        actions: &mut Vec<RateLimiterAction>,
    ) {
        let local_interval = self
            .settings
            .borrow_interval_for(self.shards.live_vms.len());
        let mut limits_by_lender: BTreeMap<VmId, Vec<LimitRequest>> = BTreeMap::new();
        for (key, limit) in &mut self.limits {
            let index = usize::from(limit.shard.0);
            let owns_shard = self
                .shards
                .ownership_window(&self.settings, index)
                .is_some();
            let shard_owner = self.shards.list[index].entry.owner.as_ref();
            let context = BorrowContext {
                owns_shard,
                local_owner: shard_owner.filter(|vm| **vm != self.settings.vm),
                remote_owners: &self.remote_owners[index],
                local_interval,
                remote_interval: Millis(self.settings.max_quota_lease_term.0 / 3),
                min_local_interval: self.settings.min_borrow_interval,
                min_remote_interval: self.settings.min_remote_borrow_interval,
            };
            for (lender, limit_request) in limit.take_due_requests(now, key, &context) {
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

    /// Puts the full share of each changed limit in force once every other domain has confirmed the
    /// limit's newest spec. Until then, this domain may spend less than its share under that spec.
    /// Also removes limits that were withdrawn more than `WITHDRAWN_LIMIT_RETENTION` ago.
    pub(super) fn apply_confirmed_specs(&mut self, now: Millis) {
        let drift_permille = self.settings.max_clock_drift_permille;
        let own_domain = &self.settings.domain;
        // A domain whose table has not been read yet may spend under an earlier spec.
        let mut other_domains = self.domains.iter().filter(|d| *d != own_domain);
        let all_tables_known = other_domains.all(|d| self.remote_tables.contains_key(d));
        for limit in self.limits.values_mut() {
            if limit.domain_share.is_fully_in_force() {
                continue;
            }
            let revision = limit.domain_share.spec().revision;
            let all_confirmed = self.remote_tables.iter().all(|(domain, table)| {
                let may_have_share = limit.domain_share.may_have_share(domain);
                let entry = table.as_ref().and_then(|(_, t)| t.entry(limit.shard));
                entry.is_none_or(|e| {
                    let cannot_spend = e.epoch == 0 || (e.owner.is_none() && !may_have_share);
                    // An owner that has confirmed a later revision than this VM has may spend under
                    // a newer spec.
                    let owner_is_not_ahead =
                        e.owner.is_none() || e.confirmed_revision <= self.revision;
                    cannot_spend || (e.confirmed_revision >= revision && owner_is_not_ahead)
                })
            });
            if all_tables_known && all_confirmed {
                limit.update_share(now, |s| s.apply_full_share(own_domain, drift_permille));
            }
        }
        self.limits.retain(|_, l| {
            !l.domain_share.is_withdrawn()
                || now.since(l.retention_start(now)) < WITHDRAWN_LIMIT_RETENTION
        });
    }

    /// Recomputes the shard owners of other domains from the owners tables of these domains.
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
