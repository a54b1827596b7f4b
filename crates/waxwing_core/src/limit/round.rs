//! The parts of a tick that look at all accounts.

use std::collections::BTreeMap;

use waxwing_types::{DomainId, Millis, Revision, VmId};

use super::decide::{Decision, ShardFacts};
use super::plan::Lenders;
use super::{OwnersTable, RateLimiter, RateLimiterAction, SHARD_COUNT};
use crate::{BorrowRequest, LimitRequest, ShardId};

/// Time for which a withdrawn limit is remembered, so that its leases are over if it returns.
const FORGET: Millis = Millis::from_secs(3600);

impl RateLimiter {
    /// Reads or changes the domain's table of owners, if that is due.
    pub(super) fn decide(&mut self, now: Millis) -> Vec<RateLimiterAction> {
        let facts = self.facts(now);
        let decision = self
            .shards
            .decide(now, &self.settings, self.revision, &facts);
        let path = OwnersTable::path(&self.settings.domain);
        match decision {
            Decision::Nothing => Vec::new(),
            Decision::Read => vec![RateLimiterAction::ReadOwners { path }],
            Decision::Write(table) => vec![RateLimiterAction::WriteOwners {
                path,
                value: table.to_json(),
                expected_version: self.shards.version,
            }],
        }
    }

    fn facts(&self, now: Millis) -> Vec<ShardFacts> {
        let without_owners = ShardFacts {
            unconfirmed: false,
            fits: true,
            outstanding: Millis::ZERO,
        };
        let mut facts = vec![without_owners; SHARD_COUNT];
        for account in self.accounts.values() {
            let index = usize::from(account.shard.0);
            let shard = &mut facts[index];
            let confirmed = self.shards.list[index].entry.confirmed_revision;
            shard.unconfirmed |= account.division.spec().revision > confirmed;
            shard.fits &= account.fits(now);
            shard.outstanding = shard.outstanding.max(account.given.last_end().since(now));
        }
        facts
    }

    /// Sends the asks that are due, one request to each lender.
    pub(super) fn plan(&mut self, now: Millis, actions: &mut Vec<RateLimiterAction>) {
        let period = self.settings.period(self.shards.live.len());
        let mut requests: BTreeMap<VmId, Vec<LimitRequest>> = BTreeMap::new();
        for (key, account) in &mut self.accounts {
            let index = usize::from(account.shard.0);
            let owner = self.shards.window(&self.settings, index).is_some();
            let home = self.shards.list[index].entry.owner.as_ref();
            let lenders = Lenders {
                owner,
                home: home.filter(|vm| **vm != self.settings.vm),
                others: &self.lenders[index],
                period,
                cross_period: Millis(self.settings.max_quota_lease_term.0 / 3),
                gap: self.settings.min_borrow_interval,
                min_cross_domain_borrow_interval: self.settings.min_cross_domain_borrow_interval,
            };
            for (lender, ask) in account.plan(now, key, &lenders) {
                requests.entry(lender).or_default().push(ask);
            }
        }
        for (to, asks) in requests {
            let request = BorrowRequest {
                from: self.settings.vm.clone(),
                incarnation: self.settings.incarnation,
                domain: self.settings.domain.clone(),
                limits: asks,
            };
            actions.push(RateLimiterAction::Borrow { to, request });
        }
    }

    /// Puts changed divisions in force that all domains concerned have confirmed.
    pub(super) fn settle(&mut self, now: Millis) {
        let drift = self.settings.max_clock_drift_permille;
        let own = &self.settings.domain;
        // A domain whose table was not read yet may spend under an earlier division.
        let mut others = self.domains.iter().filter(|d| *d != own);
        let known = others.all(|d| self.tables.contains_key(d));
        for account in self.accounts.values_mut() {
            if account.division.is_settled() {
                continue;
            }
            let revision = account.division.spec().revision;
            let confirmed = self.tables.iter().all(|(domain, table)| {
                let involved = account.division.involves(domain);
                let entry = table.as_ref().and_then(|(_, t)| t.entry(account.shard));
                entry.is_none_or(|e| {
                    let idle = e.epoch == 0 || (e.owner.is_none() && !involved);
                    let seen = e.owner.is_none() || e.confirmed_revision <= self.revision;
                    idle || (e.confirmed_revision >= revision && seen)
                })
            });
            if known && confirmed {
                account.divide(now, |d| d.settle(own, drift));
            }
        }
        self.accounts
            .retain(|_, a| !a.division.is_withdrawn() || now.since(a.idle_since(now)) < FORGET);
    }

    /// Recomputes the owners in other domains, and forgets the asks to VMs that own nothing.
    pub(super) fn note_lenders(&mut self) {
        for (index, lenders) in self.lenders.iter_mut().enumerate() {
            let shard = ShardId(u8::try_from(index).unwrap_or(u8::MAX));
            let owner = |(_, table): (&DomainId, &Option<(Revision, OwnersTable)>)| {
                table.as_ref()?.1.entry(shard)?.owner.clone()
            };
            *lenders = self.tables.iter().filter_map(owner).collect();
        }
    }
}
