//! The rate limiter of one VM.

use std::collections::BTreeMap;

use waxwing_types::{DomainId, Micros, Millis, Revision, VmId};

use super::borrowing::MAX_BACKOFF;
use super::domain_share::DomainShare;
use super::limit_state::{LeaseTerms, LimitState, OwnershipWindow};
use super::owners::shard_of;
use super::shard::{Shards, shard_id};
use super::{
    LimitSpec, OwnersTable, OwnersWriteOutcome, RateLimiterAction, RateLimiterSettings, SHARD_COUNT,
};
use crate::{BorrowReply, BorrowRequest, LimitKey, RenewReply, RenewRequest, ShardId};

/// The rate limiter of one VM. Admits requests against all limits, borrows quota from other VMs,
/// and grants quota to them for the shards that this VM owns.
///
/// All times are readings of this VM's clock. The driver reports every outcome of an action with
/// the time of the `tick` that returned the action.
#[derive(Debug)]
pub struct RateLimiter {
    pub(super) settings: RateLimiterSettings,
    pub(super) limits: BTreeMap<LimitKey, LimitState>,
    pub(super) shards: Shards,
    /// Owners tables of the other domains. `None`: the store has no table for the domain.
    pub(super) remote_tables: BTreeMap<DomainId, Option<(Revision, OwnersTable)>>,
    /// For each shard, its owners in other domains.
    pub(super) remote_owners: Vec<Vec<VmId>>,
    /// Revision of the configuration.
    pub(super) revision: Revision,
    /// All failure domains of the deployment.
    pub(super) domains: Vec<DomainId>,
    /// For each shard, the ownership window that all its limits have. Empty: some limit has another
    /// window.
    ownership_windows: Vec<Option<OwnershipWindow>>,
    /// Whether a tick is needed before the next regular one.
    pub(super) early_tick_needed: bool,
}

impl RateLimiter {
    /// Creates a rate limiter that starts at `now` without limits, tokens and shards.
    pub fn new(settings: RateLimiterSettings, now: Millis) -> Self {
        Self {
            shards: Shards::new(now, &settings.vm),
            settings,
            limits: BTreeMap::new(),
            remote_tables: BTreeMap::new(),
            remote_owners: vec![Vec::new(); SHARD_COUNT],
            revision: Revision(0),
            domains: Vec::new(),
            ownership_windows: Vec::new(),
            early_tick_needed: false,
        }
    }

    /// Applies all limits and failure domains of the deployment, as configured at `revision`. The
    /// configuration must be complete up to that revision.
    pub fn configure(
        &mut self,
        now: Millis,
        revision: Revision,
        domains: Vec<DomainId>,
        specs: Vec<LimitSpec>,
    ) {
        let first_config = self.revision.0 == 0;
        self.domains = domains;
        self.revision = self.revision.max(revision);
        let max_drift = self.settings.max_clock_drift_permille;
        let own = self.settings.domain.clone();
        for (key, limit) in &mut self.limits {
            if !specs.iter().any(|s| &s.key == key) {
                limit.update_share(now, |s| s.withdraw(&own, revision));
            }
        }
        for spec in specs {
            if let Some(limit) = self.limits.get_mut(&spec.key) {
                if spec.revision > limit.domain_share.spec().revision {
                    limit.update_share(now, |s| s.update_spec(spec, &own, max_drift));
                }
                continue;
            }
            let (key, shard) = (spec.key.clone(), shard_of(&spec.key));
            let domain_share = if first_config {
                DomainShare::of_existing_limit(spec)
            } else {
                DomainShare::of_new_limit(spec, &own, max_drift)
            };
            self.limits
                .insert(key, LimitState::new(now, shard, domain_share));
        }
        self.apply_confirmed_shares(now);
        self.ownership_windows.clear();
        self.sync_ownership_windows(now);
    }

    /// Sets the live VMs of this VM's domain, without those that are leaving. This VM always counts
    /// as live.
    pub fn on_live_vms(&mut self, _now: Millis, live: &[VmId]) {
        let mut live = live.to_vec();
        if !live.contains(&self.settings.vm) {
            live.push(self.settings.vm.clone());
        }
        self.shards.live_vms = live;
    }

    /// Admits a request by taking all its costs, or takes nothing and refuses it.
    ///
    /// # Errors
    /// Returns the first limit that is unknown or has too few tokens.
    pub fn admit(&mut self, now: Millis, costs: &[(LimitKey, Micros)]) -> Result<(), LimitKey> {
        for (key, cost) in costs {
            if let Some(limit) = self.limits.get_mut(key) {
                limit.demand.record(now, cost.0);
            }
        }
        self.admit_again(now, costs)
    }

    /// Like `admit`, for a request that `admit` has refused before and that counts as demand
    /// already.
    ///
    /// # Errors
    /// Returns the first limit that is unknown or has too few tokens.
    pub fn admit_again(
        &mut self,
        now: Millis,
        costs: &[(LimitKey, Micros)],
    ) -> Result<(), LimitKey> {
        let mut refused_by = None;
        for (index, (key, cost)) in costs.iter().enumerate() {
            let earlier = costs[..index].iter().filter(|(k, _)| k == key);
            let total = earlier.fold(*cost, |sum, (_, c)| sum.saturating_add(*c));
            let covered = self.limits.get_mut(key).is_some_and(|limit| {
                limit.advance_to(now);
                limit.tokens() >= total.0
            });
            if !covered {
                refused_by = refused_by.or_else(|| Some(key.clone()));
            }
        }
        if refused_by.is_none() {
            for (key, cost) in costs {
                self.take(now, key, *cost);
            }
        }
        self.early_tick_needed |= refused_by.is_some();
        refused_by.map_or(Ok(()), Err)
    }

    fn take(&mut self, now: Millis, key: &LimitKey, cost: Micros) {
        if let Some(limit) = self.limits.get_mut(key) {
            limit.take(cost.0);
            self.early_tick_needed |= limit.is_low_on_tokens(now);
        }
    }

    /// Takes an amount that was already spent, from later tokens if the limit lacks them.
    pub fn charge(&mut self, now: Millis, key: &LimitKey, amount: Micros) {
        if let Some(limit) = self.limits.get_mut(key) {
            limit.charge(now, amount.0);
        }
    }

    /// Tokens that `admit` could take at `now`.
    pub fn available_tokens(&mut self, now: Millis, key: &LimitKey) -> Micros {
        self.limits.get_mut(key).map_or(Micros::ZERO, |limit| {
            limit.advance_to(now);
            Micros(limit.tokens())
        })
    }

    /// Rate and burst of a limit that this VM may spend itself at `now`. Summed over all VMs,
    /// neither ever exceeds the limit.
    pub fn spendable_quota(&mut self, now: Millis, key: &LimitKey) -> (Micros, Micros) {
        let capacity = self.limits.get_mut(key).map(|limit| {
            limit.advance_to(now);
            limit.capacity()
        });
        let capacity = capacity.unwrap_or_default();
        (Micros(capacity.rate), Micros(capacity.burst))
    }

    /// Answers a VM that wants to borrow quota. The reply omits limits of which nothing is granted.
    pub fn on_borrow_request(&mut self, now: Millis, request: &BorrowRequest) -> BorrowReply {
        let cross_domain = request.domain != self.settings.domain;
        let term = if cross_domain {
            self.settings.max_quota_lease_term
        } else {
            self.settings.quota_lease_term(self.shards.live_vms.len())
        };
        let expires_at = now + self.settings.with_margin(term);
        let mut grants = Vec::new();
        self.sync_ownership_windows(now);
        for limit_request in &request.limits {
            let Some(limit) = self.limits.get_mut(&limit_request.key) else {
                continue;
            };
            let index = usize::from(limit.shard.0);
            let window = self.shards.window(&self.settings, index);
            if window.is_none_or(|w| w.end <= now) {
                continue;
            }
            let epoch = self.shards.list[index].entry.epoch;
            let terms = LeaseTerms {
                epoch,
                cross_domain,
                term,
                expires_at,
            };
            grants.extend(limit.grant(now, request, limit_request, terms));
            self.early_tick_needed |= !cross_domain && limit.is_pool_low();
        }
        BorrowReply { grants }
    }

    /// Applies the reply of shard owner `owner` to a borrow request sent at `sent_at`.
    pub fn on_borrow_reply(
        &mut self,
        now: Millis,
        sent_at: Millis,
        owner: &VmId,
        reply: &BorrowReply,
    ) {
        let cross_domain = self.remote_owners.iter().any(|o| o.contains(owner));
        let backoff_range = if cross_domain {
            (
                self.settings.min_cross_domain_borrow_interval,
                self.settings.borrow_interval,
            )
        } else {
            (self.settings.min_borrow_interval, MAX_BACKOFF)
        };
        for (key, limit) in &mut self.limits {
            let grant = reply.grants.iter().find(|g| &g.key == key);
            let gained = grant.is_some_and(|g| limit.accept_grant(now, sent_at, owner, g));
            if grant.is_some() || limit.borrowing.was_last_sent_at(owner, sent_at) {
                let useful = gained || !limit.is_low_on_tokens(now);
                limit
                    .borrowing
                    .record_reply(now, owner, (grant.is_some(), useful), backoff_range);
            }
        }
    }

    /// Answers the owner of shards that asks this VM, as the standby, to renew its shard leases.
    pub fn on_renew_request(&mut self, now: Millis, request: &RenewRequest) -> RenewReply {
        self.shards
            .on_renew_request(now, &self.settings.vm, request)
    }

    /// Applies the reply of `standby` to a renewal request sent at `sent_at`.
    pub fn on_renew_reply(
        &mut self,
        now: Millis,
        sent_at: Millis,
        standby: &VmId,
        reply: &RenewReply,
    ) {
        self.shards.on_renew_reply(now, sent_at, standby, reply);
        self.sync_ownership_windows(now);
    }

    /// Applies the owners table of a domain as read from the store. The driver passes the tables of
    /// all domains at the start, and each table again when it changes.
    pub fn on_owners_table(
        &mut self,
        now: Millis,
        domain: &DomainId,
        version: Revision,
        table: &OwnersTable,
    ) {
        if domain == &self.settings.domain {
            self.shards
                .on_owners_table(now, &self.settings, Some(version), table);
            self.sync_ownership_windows(now);
            return;
        }
        let known = self.remote_tables.get(domain).and_then(Option::as_ref);
        if known.is_some_and(|(v, _)| *v >= version) {
            return;
        }
        self.remote_tables
            .insert(domain.clone(), Some((version, table.clone())));
        self.update_remote_owners();
        self.apply_confirmed_shares(now);
    }

    /// Records that the store has no owners table for a domain.
    pub fn on_owners_table_absent(&mut self, now: Millis, domain: &DomainId) {
        if domain == &self.settings.domain {
            let table = OwnersTable::without_owners();
            self.shards
                .on_owners_table(now, &self.settings, None, &table);
            self.sync_ownership_windows(now);
        } else {
            self.remote_tables.entry(domain.clone()).or_insert(None);
            self.apply_confirmed_shares(now);
        }
    }

    /// Applies the outcome of the `WriteOwners` action that was sent at `sent_at`.
    pub fn on_owners_write_outcome(
        &mut self,
        now: Millis,
        sent_at: Millis,
        outcome: OwnersWriteOutcome,
    ) {
        self.shards
            .on_owners_write_outcome(now, &self.settings, sent_at, outcome);
        self.sync_ownership_windows(now);
    }

    /// Returns the actions that are due. Call it at least every 100 ms, and after `admit` and
    /// `on_borrow_request` if `needs_tick` returns true.
    pub fn tick(&mut self, now: Millis) -> Vec<RateLimiterAction> {
        self.early_tick_needed = false;
        let mut actions = self.update_owners_table(now);
        self.sync_ownership_windows(now);
        for (to, request) in self.shards.due_renewals(now, &self.settings) {
            actions.push(RateLimiterAction::Renew { to, request });
        }
        self.apply_confirmed_shares(now);
        self.send_borrow_requests(now, &mut actions);
        actions
    }

    /// Stops granting quota and starts to hand over all shards. Keep calling `tick` until
    /// `owns_no_shards` returns true.
    pub fn stop(&mut self, now: Millis) {
        self.shards.stopping = true;
        self.sync_ownership_windows(now);
    }

    /// Passes changed ownership windows of the shards on to their limits.
    fn sync_ownership_windows(&mut self, now: Millis) {
        let windows: Vec<_> = (0..SHARD_COUNT)
            .map(|index| self.shards.window(&self.settings, index))
            .collect();
        if windows == self.ownership_windows {
            return;
        }
        for limit in self.limits.values_mut() {
            limit.set_ownership_window(now, windows[usize::from(limit.shard.0)]);
        }
        self.ownership_windows = windows;
    }
}

impl RateLimiter {
    /// Whether this VM may soon get more tokens of a limit, within the time of a call to another
    /// VM. False while all lenders reply without tokens, as they do when the limit is exhausted.
    pub fn expects_tokens(&self, key: &LimitKey) -> bool {
        self.limits.get(key).is_some_and(LimitState::expects_tokens)
    }

    /// Whether `tick` should be called before the next regular tick, to borrow tokens.
    pub fn needs_tick(&self) -> bool {
        self.early_tick_needed
    }

    /// Whether this VM owns no shards.
    pub fn owns_no_shards(&self) -> bool {
        self.shards.list.iter().all(|s| s.owned.is_none())
    }

    /// The shards that this VM owns, whether or not it may spend their shares at present.
    pub fn owned_shards(&self) -> Vec<ShardId> {
        let owned = |index: &usize| self.shards.list[*index].owned.is_some();
        (0..SHARD_COUNT).filter(owned).map(shard_id).collect()
    }

    /// Identity of the VM, lease terms and request intervals.
    pub fn settings(&self) -> &RateLimiterSettings {
        &self.settings
    }

    /// Asserts invariants that hold after every call.
    ///
    /// # Panics
    /// Panics if an invariant does not hold.
    pub fn check_invariants(&self, now: Millis) {
        for limit in self.limits.values() {
            limit.check_invariants(now);
        }
        self.shards.check_invariants();
    }
}
