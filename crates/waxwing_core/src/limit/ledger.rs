//! All limits of one VM.

use std::collections::BTreeMap;

use waxwing_types::{DomainId, Micros, Millis, Revision, VmId};

use super::account::{Account, Terms, Window};
use super::owners::shard_of;
use super::plan::MAX_GAP;
use super::shard::{Shards, shard_id};
use super::share::Division;
use super::{
    LimitSpec, OwnersTable, OwnersWriteOutcome, RateLimiterAction, RateLimiterSettings, SHARD_COUNT,
};
use crate::{BorrowReply, BorrowRequest, LimitKey, RenewReply, RenewRequest, ShardId};

/// All limits of one VM: shards owned, quota leases given and held, admission.
///
/// All times are readings of this VM's clock. A driver passes every outcome of an action with the
/// time of the `tick` that returned the action.
#[derive(Debug)]
pub struct RateLimiter {
    pub(super) settings: RateLimiterSettings,
    pub(super) accounts: BTreeMap<LimitKey, Account>,
    pub(super) shards: Shards,
    /// Tables of the other domains. `None`: the store holds none.
    pub(super) tables: BTreeMap<DomainId, Option<(Revision, OwnersTable)>>,
    /// Owners in other domains, by shard.
    pub(super) lenders: Vec<Vec<VmId>>,
    pub(super) revision: Revision,
    /// All failure domains of the deployment.
    pub(super) domains: Vec<DomainId>,
    /// Windows that all accounts have. Empty: some account has others.
    windows: Vec<Option<Window>>,
    /// A tick is due before the next regular one.
    pub(super) short: bool,
}

impl RateLimiter {
    /// A ledger that starts at `now` with no limits, no tokens and no shards.
    pub fn new(settings: RateLimiterSettings, now: Millis) -> Self {
        Self {
            shards: Shards::new(now, &settings.vm),
            settings,
            accounts: BTreeMap::new(),
            tables: BTreeMap::new(),
            lenders: vec![Vec::new(); SHARD_COUNT],
            revision: Revision(0),
            domains: Vec::new(),
            windows: Vec::new(),
            short: false,
        }
    }

    /// Takes over the limits of the configuration at `revision`, up to which it is complete, and
    /// all failure domains of the deployment.
    pub fn configure(
        &mut self,
        now: Millis,
        revision: Revision,
        domains: Vec<DomainId>,
        specs: Vec<LimitSpec>,
    ) {
        let first = self.revision.0 == 0;
        self.domains = domains;
        self.revision = self.revision.max(revision);
        let drift = self.settings.max_clock_drift_permille;
        let own = self.settings.domain.clone();
        for (key, account) in &mut self.accounts {
            if !specs.iter().any(|s| &s.key == key) {
                account.divide(now, |d| d.withdraw(&own, revision));
            }
        }
        for spec in specs {
            if let Some(account) = self.accounts.get_mut(&spec.key) {
                if spec.revision > account.division.spec().revision {
                    account.divide(now, |d| d.change(spec, &own, drift));
                }
                continue;
            }
            let (key, shard) = (spec.key.clone(), shard_of(&spec.key));
            let division = if first {
                Division::found(spec)
            } else {
                Division::created(spec, &own, drift)
            };
            self.accounts
                .insert(key, Account::new(now, shard, division));
        }
        self.settle(now);
        self.windows.clear();
        self.sync_windows(now);
    }

    /// Takes over the live VMs of the own domain, without leaving ones. This one counts as live.
    pub fn on_live_vms(&mut self, _now: Millis, live: &[VmId]) {
        let mut live = live.to_vec();
        if !live.contains(&self.settings.vm) {
            live.push(self.settings.vm.clone());
        }
        self.shards.live = live;
    }

    /// Takes the costs from all limits or from none.
    ///
    /// # Errors
    /// The first limit that has too few tokens or is unknown.
    pub fn admit(&mut self, now: Millis, costs: &[(LimitKey, Micros)]) -> Result<(), LimitKey> {
        for (key, cost) in costs {
            if let Some(account) = self.accounts.get_mut(key) {
                account.demand.record(now, cost.0);
            }
        }
        self.admit_again(now, costs)
    }

    /// Like `admit`, for a request that counts as demand already because it was turned down before.
    ///
    /// # Errors
    /// The first limit that has too few tokens or is unknown.
    pub fn admit_again(
        &mut self,
        now: Millis,
        costs: &[(LimitKey, Micros)],
    ) -> Result<(), LimitKey> {
        let mut lacking = None;
        for (index, (key, cost)) in costs.iter().enumerate() {
            let earlier = costs[..index].iter().filter(|(k, _)| k == key);
            let total = earlier.fold(*cost, |sum, (_, c)| sum.saturating_add(*c));
            let covered = self.accounts.get_mut(key).is_some_and(|account| {
                account.advance(now);
                account.tokens() >= total.0
            });
            if !covered {
                lacking = lacking.or_else(|| Some(key.clone()));
            }
        }
        if lacking.is_none() {
            for (key, cost) in costs {
                self.take(now, key, *cost);
            }
        }
        self.short |= lacking.is_some();
        lacking.map_or(Ok(()), Err)
    }

    fn take(&mut self, now: Millis, key: &LimitKey, cost: Micros) {
        if let Some(account) = self.accounts.get_mut(key) {
            account.take(cost.0);
            self.short |= account.is_short(now);
        }
    }

    /// Takes an amount that was spent already; what the limit lacks is taken from later tokens.
    pub fn charge(&mut self, now: Millis, key: &LimitKey, amount: Micros) {
        if let Some(account) = self.accounts.get_mut(key) {
            account.charge(now, amount.0);
        }
    }

    /// What `admit` could take at `now`.
    pub fn available_tokens(&mut self, now: Millis, key: &LimitKey) -> Micros {
        self.accounts.get_mut(key).map_or(Micros::ZERO, |account| {
            account.advance(now);
            Micros(account.tokens())
        })
    }

    /// Rate and burst of a limit that this VM may spend itself at `now`. Over all VMs, the sum of
    /// either never exceeds the limit.
    pub fn spendable_quota(&mut self, now: Millis, key: &LimitKey) -> (Micros, Micros) {
        let capacity = self.accounts.get_mut(key).map(|account| {
            account.advance(now);
            account.capacity()
        });
        let capacity = capacity.unwrap_or_default();
        (Micros(capacity.rate), Micros(capacity.burst))
    }

    /// Answers a VM that borrows. What is not granted is missing in the reply.
    pub fn on_borrow_request(&mut self, now: Millis, request: &BorrowRequest) -> BorrowReply {
        let cross = request.domain != self.settings.domain;
        let term = if cross {
            self.settings.max_quota_lease_term
        } else {
            self.settings.quota_term(self.shards.live.len())
        };
        let end = now + self.settings.with_margin(term);
        let mut grants = Vec::new();
        self.sync_windows(now);
        for ask in &request.limits {
            let Some(account) = self.accounts.get_mut(&ask.key) else {
                continue;
            };
            let index = usize::from(account.shard.0);
            let held = self.shards.window(&self.settings, index);
            if held.is_none_or(|w| w.until <= now) {
                continue;
            }
            let epoch = self.shards.list[index].entry.epoch;
            let terms = Terms {
                epoch,
                cross,
                term,
                end,
            };
            grants.extend(account.lend(now, request, ask, terms));
            self.short |= !cross && account.is_low();
        }
        BorrowReply { grants }
    }

    /// Takes over grants of `owner` in reply to a request sent at `sent_at`.
    pub fn on_borrow_reply(
        &mut self,
        now: Millis,
        sent_at: Millis,
        owner: &VmId,
        reply: &BorrowReply,
    ) {
        let cross = self.lenders.iter().any(|l| l.contains(owner));
        let gaps = if cross {
            (
                self.settings.min_cross_domain_borrow_interval,
                self.settings.borrow_interval,
            )
        } else {
            (self.settings.min_borrow_interval, MAX_GAP)
        };
        for (key, account) in &mut self.accounts {
            let grant = reply.grants.iter().find(|g| &g.key == key);
            let gained = grant.is_some_and(|g| account.adopt(now, sent_at, owner, g));
            if grant.is_some() || account.asks.was_sent(owner, sent_at) {
                let useful = gained || !account.is_short(now);
                account
                    .asks
                    .note_reply(now, owner, (grant.is_some(), useful), gaps);
            }
        }
    }

    /// Answers an owner that renews its shard leases.
    pub fn on_renew_request(&mut self, now: Millis, request: &RenewRequest) -> RenewReply {
        self.shards
            .on_renew_request(now, &self.settings.vm, request)
    }

    /// Takes over the acknowledgement by `standby` of a renewal sent at `sent_at`.
    pub fn on_renew_reply(
        &mut self,
        now: Millis,
        sent_at: Millis,
        standby: &VmId,
        reply: &RenewReply,
    ) {
        self.shards.on_renew_reply(now, sent_at, standby, reply);
        self.sync_windows(now);
    }

    /// Takes over the table of owners of a domain as read from the store. The driver passes the
    /// tables of all domains, at the start and on each change.
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
            self.sync_windows(now);
            return;
        }
        let known = self.tables.get(domain).and_then(Option::as_ref);
        if known.is_some_and(|(v, _)| *v >= version) {
            return;
        }
        self.tables
            .insert(domain.clone(), Some((version, table.clone())));
        self.note_lenders();
        self.settle(now);
    }

    /// The store holds no table of this domain.
    pub fn on_owners_table_absent(&mut self, now: Millis, domain: &DomainId) {
        if domain == &self.settings.domain {
            let without_owners = OwnersTable::without_owners();
            self.shards
                .on_owners_table(now, &self.settings, None, &without_owners);
            self.sync_windows(now);
        } else {
            self.tables.entry(domain.clone()).or_insert(None);
            self.settle(now);
        }
    }

    /// The outcome of the `WriteOwners` that was sent at `sent_at`.
    pub fn on_owners_write_outcome(
        &mut self,
        now: Millis,
        sent_at: Millis,
        outcome: OwnersWriteOutcome,
    ) {
        self.shards
            .on_owners_write_outcome(now, &self.settings, sent_at, outcome);
        self.sync_windows(now);
    }

    /// Does what is due. Call it at least every 100 ms, and after `admit` and `on_borrow_request` if
    /// `needs_tick` is true.
    pub fn tick(&mut self, now: Millis) -> Vec<RateLimiterAction> {
        self.short = false;
        let mut actions = self.decide(now);
        self.sync_windows(now);
        for (to, request) in self.shards.renewals(now, &self.settings) {
            actions.push(RateLimiterAction::Renew { to, request });
        }
        self.settle(now);
        self.plan(now, &mut actions);
        actions
    }

    /// Stops granting and hands the shards over. Ticks go on until `owns_no_shards`.
    pub fn stop(&mut self, now: Millis) {
        self.shards.stopping = true;
        self.sync_windows(now);
    }

    /// Passes the state of the shard leases on to the accounts.
    fn sync_windows(&mut self, now: Millis) {
        let windows: Vec<_> = (0..SHARD_COUNT)
            .map(|index| self.shards.window(&self.settings, index))
            .collect();
        if windows == self.windows {
            return;
        }
        for account in self.accounts.values_mut() {
            account.set_window(now, windows[usize::from(account.shard.0)]);
        }
        self.windows = windows;
    }
}

impl RateLimiter {
    /// Whether tokens that this VM borrows may arrive within a call to another VM. False while the
    /// lenders answer without giving any, as they do when the limit is spent.
    pub fn expects_tokens(&self, key: &LimitKey) -> bool {
        self.accounts.get(key).is_some_and(Account::expects_tokens)
    }

    /// Whether a tick would ask for tokens at once.
    pub fn needs_tick(&self) -> bool {
        self.short
    }

    /// Whether the VM owns no shard.
    pub fn owns_no_shards(&self) -> bool {
        self.shards.list.iter().all(|s| s.owned.is_none())
    }

    /// The shards that this VM owns, whether or not it may spend their shares at present.
    pub fn owned_shards(&self) -> Vec<ShardId> {
        let owned = |index: &usize| self.shards.list[*index].owned.is_some();
        (0..SHARD_COUNT).filter(owned).map(shard_id).collect()
    }

    /// Identity and durations.
    pub fn settings(&self) -> &RateLimiterSettings {
        &self.settings
    }

    /// Asserts what must hold after every call.
    ///
    /// # Panics
    /// An invariant does not hold.
    pub fn check_invariants(&self, now: Millis) {
        for account in self.accounts.values() {
            account.check_invariants(now);
        }
        self.shards.check_invariants();
    }
}
