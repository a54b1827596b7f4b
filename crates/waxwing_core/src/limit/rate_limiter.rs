//! The rate limiter of one VM.

use std::collections::BTreeMap;

use waxwing_types::{DomainId, Micros, Millis, Revision, VmId};

use super::borrowing::MAX_LOCAL_BACKOFF;
use super::domain_share::DomainShare;
use super::limit_state::{LeaseParams, LimitState, OwnershipWindow};
use super::owners::shard_of;
use super::shard::{Shards, shard_id};
use super::{
    LimitSpec, OwnersTable, OwnersWriteOutcome, RateLimiterAction, RateLimiterSettings, SHARD_COUNT,
};
use crate::{BorrowReply, BorrowRequest, LimitKey, RenewReply, RenewRequest, ShardId};

/// The rate limiter of one VM. It admits requests if all their limits have enough tokens, and
/// borrows quota from other VMs. For the shards that this VM owns, it also grants quota to other
/// VMs.
///
/// All times are readings of this VM's clock. The driver reports every outcome of an action with
/// the time of the `tick` that returned the action. `Micros` are millionths of a token.
#[derive(Debug)]
pub struct RateLimiter {
    pub(super) settings: RateLimiterSettings,
    pub(super) limits: BTreeMap<LimitKey, LimitState>,
    pub(super) shards: Shards,
    /// Owners tables of the other domains, with their versions. `None`: the store has no table for
    /// the domain.
    pub(super) remote_tables: BTreeMap<DomainId, Option<(Revision, OwnersTable)>>,
    /// For each shard, its owners in other domains.
    pub(super) remote_owners: Vec<Vec<VmId>>,
    /// Revision of the configuration.
    pub(super) revision: Revision,
    /// All failure domains of the deployment.
    pub(super) domains: Vec<DomainId>,
    /// For each shard, the time in which this VM may spend the shard's shares, as last passed to
    /// the limits. Emptied by `configure`, so that the next sync passes the windows to all limits.
    ownership_windows: Vec<Option<OwnershipWindow>>,
    /// Whether `tick` should be called before the next regular tick.
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
    /// caller must have received every change up to that revision.
    pub fn configure(
        &mut self,
        now: Millis,
        revision: Revision,
        domains: Vec<DomainId>,
        specs: Vec<LimitSpec>,
    ) {
        let is_first_config = self.revision.0 == 0;
        self.domains = domains;
        self.revision = self.revision.max(revision);
        let drift_permille = self.settings.max_clock_drift_permille;
        let own_domain = self.settings.domain.clone();
        for (key, limit) in &mut self.limits {
            if !specs.iter().any(|s| &s.key == key) {
                limit.update_share(now, |s| s.withdraw(&own_domain, revision));
            }
        }
        for spec in specs {
            if let Some(limit) = self.limits.get_mut(&spec.key) {
                if spec.revision > limit.domain_share.spec().revision {
                    limit.update_share(now, |s| s.update_spec(spec, &own_domain, drift_permille));
                }
                continue;
            }
            let (key, shard) = (spec.key.clone(), shard_of(&spec.key));
            // Limits of the first configuration may be older than this process, and other domains
            // may spend under an earlier spec.
            let domain_share = if is_first_config {
                DomainShare::of_existing_limit(spec)
            } else {
                DomainShare::of_new_limit(spec, &own_domain, drift_permille)
            };
            self.limits
                .insert(key, LimitState::new(now, shard, domain_share));
        }
        self.apply_confirmed_specs(now);
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

    /// Admits a request by taking all its costs, or refuses the request and takes nothing. In both
    /// cases the costs count as demand, which determines how much quota is borrowed.
    ///
    /// # Errors
    /// Returns the first limit that is unknown or has too few tokens.
    pub fn admit(&mut self, now: Millis, costs: &[(LimitKey, Micros)]) -> Result<(), LimitKey> {
        for (key, cost) in costs {
            if let Some(limit) = self.limits.get_mut(key) {
                limit.demand.record(now, cost.0);
            }
        }
        self.try_take(now, costs)
    }

    /// Like `admit`, but the costs don't count as demand. Used for retries of refused requests.
    ///
    /// # Errors
    /// Returns the first limit that is unknown or has too few tokens.
    pub fn try_take(&mut self, now: Millis, costs: &[(LimitKey, Micros)]) -> Result<(), LimitKey> {
        let mut refused_by = None;
        for (index, (key, cost)) in costs.iter().enumerate() {
            let earlier_costs = costs[..index].iter().filter(|(k, _)| k == key);
            let total_cost = earlier_costs.fold(*cost, |sum, (_, c)| sum.saturating_add(*c));
            let covered = self.limits.get_mut(key).is_some_and(|limit| {
                limit.advance_to(now);
                limit.tokens() >= total_cost.0
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

    /// Takes an amount that was already spent. If the limit has too few tokens, the rest becomes
    /// debt, which later refills pay off.
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

    /// Rate and burst of a limit that this VM may spend itself at `now`. The sums over all VMs
    /// never exceed the rate and the burst of the limit.
    pub fn spendable_quota(&mut self, now: Millis, key: &LimitKey) -> (Micros, Micros) {
        let quota = self.limits.get_mut(key).map(|limit| {
            limit.advance_to(now);
            limit.spendable_quota()
        });
        let quota = quota.unwrap_or_default();
        (Micros(quota.rate), Micros(quota.burst))
    }

    /// Handles a borrow request: records what the VM wants, and grants quota leases. The reply
    /// omits the limits for which no quota is granted.
    pub fn on_borrow_request(&mut self, now: Millis, request: &BorrowRequest) -> BorrowReply {
        let is_remote = request.domain != self.settings.domain;
        let term = if is_remote {
            self.settings.max_quota_lease_term
        } else {
            self.settings.quota_lease_term(self.shards.live_vms.len())
        };
        let mut grants = Vec::new();
        self.sync_ownership_windows(now);
        for limit_request in &request.limits {
            let Some(limit) = self.limits.get_mut(&limit_request.key) else {
                continue;
            };
            let index = usize::from(limit.shard.0);
            let window = self.shards.ownership_window(&self.settings, index);
            let Some(window) = window.filter(|w| w.end > now) else {
                continue;
            };
            let epoch = self.shards.list[index].entry.epoch;
            let term = self.settings.nested_term(term, window.end.since(now));
            let term = self.shards.lease_term_before_handover(now, index, term);
            let lease_params = LeaseParams {
                epoch,
                is_remote,
                term,
                expires_at: now + self.settings.with_margin(term),
            };
            grants.extend(limit.grant(now, request, limit_request, lease_params));
            self.early_tick_needed |= !is_remote && limit.is_low_on_tokens_to_lend();
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
        let is_remote = self.remote_owners.iter().any(|o| o.contains(owner));
        let backoff_range = if is_remote {
            (
                self.settings.min_remote_borrow_interval,
                self.settings.borrow_interval,
            )
        } else {
            (self.settings.min_borrow_interval, MAX_LOCAL_BACKOFF)
        };
        for (key, limit) in &mut self.limits {
            let grant = reply.grants.iter().find(|g| &g.key == key);
            let gained = grant.is_some_and(|g| limit.accept_grant(now, sent_at, owner, g));
            if grant.is_some() || limit.borrowing.is_last_request_time(owner, sent_at) {
                // Retries are slowed down only while tokens are low and the replies bring nothing.
                let resets_backoff = gained || !limit.is_low_on_tokens(now);
                limit.borrowing.record_reply(
                    now,
                    owner,
                    (grant.is_some(), resets_backoff),
                    backoff_range,
                );
            }
        }
    }

    /// Answers a request to renew shard leases. The sender is the shards' owner, and this VM is the
    /// standby.
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
        self.apply_confirmed_specs(now);
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
            self.apply_confirmed_specs(now);
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
        for (to, request) in self.shards.take_due_renewals(now, &self.settings) {
            actions.push(RateLimiterAction::RenewShardLeases { to, request });
        }
        self.apply_confirmed_specs(now);
        self.add_borrow_requests(now, &mut actions);
        actions
    }

    /// Stops granting quota and starts to hand over all shards. Keep calling `tick` until
    /// `owns_no_shards` returns true.
    pub fn stop(&mut self, now: Millis) {
        self.shards.stopping = true;
        self.sync_ownership_windows(now);
    }

    /// Passes the shards' ownership windows to all limits, if any window has changed.
    fn sync_ownership_windows(&mut self, now: Millis) {
        let windows: Vec<_> = (0..SHARD_COUNT)
            .map(|index| self.shards.ownership_window(&self.settings, index))
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
    /// Whether one round trip to another VM may bring more tokens of a limit. False while the
    /// replies of all lenders bring no tokens, which happens when the limit is exhausted.
    pub fn expects_tokens(&self, key: &LimitKey) -> bool {
        self.limits.get(key).is_some_and(LimitState::expects_tokens)
    }

    /// Whether `tick` should be called before the next regular tick, to borrow tokens.
    pub fn needs_tick(&self) -> bool {
        self.early_tick_needed
    }

    /// Whether no shard's entry names this VM's process as the owner.
    pub fn owns_no_shards(&self) -> bool {
        self.shards.list.iter().all(|s| s.owned.is_none())
    }

    /// The shards whose entries name this VM's process as the owner. This VM may be unable to spend
    /// their shares at present.
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
