//! State of one limit on one VM: its domain's share, quota leases held and granted, and tokens.

use waxwing_types::{Micros, Millis, VmId, common_derives};

use super::borrowing::BorrowingState;
use super::bucket::{Quota, TokenBucket};
use super::demand::DemandEstimator;
use super::domain_share::DomainShare;
use super::fair_share::max_min_fair_cap;
use super::granted_leases::{GrantedLeases, ProcessId};
use super::held_leases::HeldLeases;
use crate::{BorrowRequest, Grant, LimitRequest, ShardId};

common_derives! {
    copy
    /// Ownership window: the time in which a shard's owner may spend and grant the domain's shares
    /// of the shard's limits.
    pub(crate) struct OwnershipWindow {
        /// Time by which all quota leases granted by the previous owner have expired.
        pub(crate) start: Millis,
        /// Expiry of the shard lease.
        pub(crate) end: Millis,
    }
}

common_derives! {
    copy
    /// Parameters of the quota leases that an owner grants in reply to one request.
    pub(crate) struct LeaseParams {
        /// Epoch of the shard, which increases with each change of owner or standby.
        pub(crate) epoch: u64,
        /// Whether the borrower belongs to another failure domain.
        pub(crate) is_remote: bool,
        /// Duration of the lease as told to the borrower.
        pub(crate) term: Millis,
        /// Expiry on the owner's clock, including the safety margin for clock drift.
        pub(crate) expires_at: Millis,
    }
}

/// State of one limit on one VM. All tokens are in one bucket. Its rate and burst are the quota of
/// the leases held, minus the quota of the leases granted. On the shard's owner, the domain's share
/// is added.
#[derive(Debug)]
pub(crate) struct LimitState {
    pub(crate) shard: ShardId,
    pub(crate) domain_share: DomainShare,
    pub(crate) held: HeldLeases,
    pub(crate) granted: GrantedLeases,
    /// Demand of the requests that this VM handles.
    pub(crate) demand: DemandEstimator,
    /// Tokens given to VMs of this domain that borrow tokens without a rate.
    token_only_demand: DemandEstimator,
    pub(crate) borrowing: BorrowingState,
    /// When the limit was withdrawn. `None`: it is configured.
    withdrawn_at: Option<Millis>,
    /// Time in which this VM may spend the domain's share. `None`: never.
    pub(super) ownership_window: Option<OwnershipWindow>,
    bucket: TokenBucket,
    /// Time up to which the bucket has been refilled.
    refilled_until: Millis,
    /// Rate and burst of the bucket until `quota_valid_until`.
    spendable_quota: Quota,
    /// Next time at which a lease or the ownership window starts or ends.
    quota_valid_until: Millis,
}

impl LimitState {
    pub(crate) fn new(now: Millis, shard: ShardId, domain_share: DomainShare) -> Self {
        Self {
            shard,
            domain_share,
            held: HeldLeases::default(),
            granted: GrantedLeases::default(),
            demand: DemandEstimator::new(now),
            token_only_demand: DemandEstimator::new(now),
            borrowing: BorrowingState::default(),
            withdrawn_at: None,
            ownership_window: None,
            bucket: TokenBucket::default(),
            refilled_until: now,
            spendable_quota: Quota::ZERO,
            quota_valid_until: Millis::ZERO,
        }
    }

    /// Refills the bucket up to `now`, in steps between the times at which rate and burst change.
    pub(crate) fn advance_to(&mut self, now: Millis) {
        while self.refilled_until < now {
            if self.refilled_until >= self.quota_valid_until {
                self.update_spendable_quota(self.refilled_until);
            }
            let next = now.min(self.quota_valid_until);
            self.bucket.cap_to(self.spendable_quota.burst);
            self.bucket
                .refill(self.spendable_quota, next - self.refilled_until);
            self.refilled_until = next;
        }
        if now >= self.quota_valid_until {
            self.held.remove_expired(now);
            self.granted.remove_expired(now);
            self.update_spendable_quota(now);
        }
        self.bucket.cap_to(self.spendable_quota.burst);
    }

    /// Applies a change to the domain's share.
    pub(crate) fn update_share(&mut self, now: Millis, update: impl FnOnce(&mut DomainShare)) {
        self.advance_to(now);
        update(&mut self.domain_share);
        let withdrawn = self.domain_share.is_withdrawn();
        self.withdrawn_at = withdrawn.then(|| self.withdrawn_at.unwrap_or(now));
        self.on_quota_change(now);
    }

    /// Sets the time in which this VM may spend the domain's share. `None`: never.
    pub(crate) fn set_ownership_window(&mut self, now: Millis, window: Option<OwnershipWindow>) {
        if self.ownership_window == window {
            return;
        }
        // A window that has ended is not extended: the share counts as lost since then, and the
        // quota has to be computed anew.
        let extends = |old: OwnershipWindow, new: OwnershipWindow| {
            old.start == new.start && now < old.end && old.end <= new.end
        };
        if let (Some(old), Some(new)) = (self.ownership_window, window)
            && extends(old, new)
        {
            self.ownership_window = window;
            return;
        }
        self.advance_to(now);
        self.ownership_window = window;
        self.on_quota_change(now);
    }

    /// Takes `amount` tokens. The caller has checked that the bucket holds them.
    pub(crate) fn take(&mut self, amount: u64) {
        self.bucket.take(amount);
    }

    /// Takes an amount that was already spent. The part that exceeds the tokens becomes debt.
    pub(crate) fn charge(&mut self, now: Millis, amount: u64) {
        self.advance_to(now);
        self.demand.record(now, amount);
        self.bucket.charge(amount);
    }

    /// Puts a grant in force. Returns true if the grant brought more quota, or tokens for at least
    /// a quarter of the most expensive request.
    pub(crate) fn accept_grant(
        &mut self,
        now: Millis,
        sent_at: Millis,
        lender: &VmId,
        grant: &Grant,
    ) -> bool {
        self.advance_to(now);
        let previous_quota = self.spendable_quota;
        let committed = self.granted.total(now);
        let share_and_committed = (self.spendable_share(now), committed);
        let tokens = self
            .held
            .accept_grant(now, sent_at, lender, grant, share_and_committed);
        self.on_quota_change(now);
        self.bucket.credit(tokens, self.spendable_quota.burst);
        tokens >= self.demand.max_cost() / 4 || !self.spendable_quota.fits_in(previous_quota)
    }

    /// Grants a VM a quota lease with up to the requested quota, and takes the tokens that are sent
    /// with the lease. The fair division and the leases granted to other VMs may lower the quota.
    pub(crate) fn grant(
        &mut self,
        now: Millis,
        request: &BorrowRequest,
        limit_request: &LimitRequest,
        params: LeaseParams,
    ) -> Option<Grant> {
        self.advance_to(now);
        let process = &(request.from.clone(), request.incarnation);
        let previously_committed = self.granted.committed_to(now, process);
        let wanted_with_expiry = (
            Quota::new(limit_request.rate, limit_request.burst),
            params.expires_at,
        );
        if !self.granted.record_request(
            process,
            params.is_remote,
            wanted_with_expiry,
            limit_request.current_grant_seq,
        ) {
            return None;
        }
        if self.granted.committed_to(now, process) != previously_committed {
            self.on_quota_change(now);
        }
        let quota = self.grantable_quota(now, process, wanted_with_expiry.0, params);
        if quota == Quota::ZERO && self.granted.committed_to(now, process) == Quota::ZERO {
            return None;
        }
        let tokens =
            self.take_tokens_for_grant(now, process, quota, limit_request, params.is_remote);
        if !params.is_remote && limit_request.rate.0 == 0 {
            self.token_only_demand.record(now, tokens);
        }
        let seq = self
            .granted
            .record_grant(process, params.epoch, quota, params.expires_at);
        self.update_spendable_quota(now);
        self.bucket.cap_to(self.spendable_quota.burst);
        Some(Grant {
            key: limit_request.key.clone(),
            seq,
            rate: Micros(quota.rate),
            burst: Micros(quota.burst),
            tokens: Micros(tokens),
            term: params.term,
        })
    }

    /// Takes the tokens that are sent with a grant, at most as many as requested. These are the
    /// tokens that no longer fit in the bucket once the burst is lent, or all tokens beyond a
    /// reserve if that is more. The reserve is at most half of the tokens. For a borrower of this
    /// domain, it covers the burst that this VM wants. For a borrower of another domain, it covers
    /// the burst that all of this VM's domain wants.
    ///
    /// A VM of this domain that has too few tokens for one request gets enough for one request. If
    /// the bucket holds too few for that, the VM gets only the tokens that no longer fit: fractions
    /// of a request's cost in many buckets admit no request.
    fn take_tokens_for_grant(
        &mut self,
        now: Millis,
        process: &ProcessId,
        quota: Quota,
        limit_request: &LimitRequest,
        is_remote: bool,
    ) -> u64 {
        let total = self.spendable_share(now).plus(self.held.total(now));
        let committed_to_others = self
            .granted
            .total(now)
            .minus(self.granted.committed_to(now, process));
        let committed =
            committed_to_others.plus(self.granted.committed_to(now, process).max(quota));
        let tokens = self.bucket.tokens();
        let no_longer_fitting = tokens.saturating_sub(total.minus(committed).burst);
        let beyond_reserve = if is_remote {
            tokens - self.domain_demand(now).burst.min(tokens / 2)
        } else {
            let borrower_tokens = limit_request.burst.0.saturating_sub(limit_request.tokens.0);
            let missing_for_request = self.demand.max_cost().saturating_sub(borrower_tokens);
            let reserve = self.demand.wanted_quota(now).burst.min(tokens / 2);
            if missing_for_request > tokens {
                0
            } else {
                missing_for_request.max(tokens - reserve)
            }
        };
        let amount = limit_request
            .tokens
            .0
            .min(quota.burst)
            .min(no_longer_fitting.max(beyond_reserve));
        self.bucket.take(amount);
        amount
    }

    /// Recomputes rate and burst after a change. Refills at the new rate start with the next
    /// millisecond, because another VM's bucket may already have been refilled with the same quota
    /// for the current millisecond.
    fn on_quota_change(&mut self, now: Millis) {
        self.refilled_until = self.refilled_until.max(now + Millis(1));
        self.update_spendable_quota(now);
        self.bucket.cap_to(self.spendable_quota.burst);
    }

    fn update_spendable_quota(&mut self, at: Millis) {
        let total = self.spendable_share(at).plus(self.held.total(at));
        self.spendable_quota = total.minus(self.granted.total(at));
        let mut valid_until = self.held.next_expiry(at).min(self.granted.next_expiry(at));
        for boundary in self.ownership_window.iter().flat_map(|w| [w.start, w.end]) {
            if boundary > at {
                valid_until = valid_until.min(boundary);
            }
        }
        self.quota_valid_until = valid_until;
    }
}

impl LimitState {
    /// The domain's share if `at` is within the ownership window, otherwise zero.
    pub(crate) fn spendable_share(&self, at: Millis) -> Quota {
        match self.ownership_window {
            Some(window) if window.start <= at && at < window.end => self.domain_share.quota(),
            Some(_) | None => Quota::ZERO,
        }
    }

    /// Quota that this VM may spend itself, as of the last `advance_to`.
    pub(crate) fn spendable_quota(&self) -> Quota {
        self.spendable_quota
    }

    /// Tokens in the bucket, as of the last `advance_to`.
    pub(crate) fn tokens(&self) -> u64 {
        self.bucket.tokens()
    }

    /// Quota wanted by this VM and the borrowers of its domain together.
    pub(crate) fn domain_demand(&self, now: Millis) -> Quota {
        let borrowers = self.granted.wanted_quotas(now, false).into_iter();
        borrowers.fold(self.own_demand(now), Quota::plus)
    }

    /// Quota that an owner needs in its own bucket. The rate covers its own requests and the VMs of
    /// its domain that borrow tokens without a rate. The burst covers its own requests only.
    fn own_demand(&self, now: Millis) -> Quota {
        Quota {
            rate: self
                .demand
                .rate(now)
                .saturating_add(self.token_only_demand.rate(now)),
            burst: self.demand.wanted_quota(now).burst,
        }
    }

    /// Whether the granted quota is covered by the domain's share plus the held leases that expire
    /// after the last lease granted.
    pub(crate) fn granted_is_covered(&self, now: Millis) -> bool {
        let lendable = self.held.lendable_until(self.granted.last_expiry());
        let total = self.domain_share.quota().plus(lendable);
        self.granted.total(now).fits_in(total)
    }

    /// Quota to grant to a borrower: at most the wanted quota, the borrower's fair part, and what
    /// is not committed to other borrowers.
    ///
    /// All quota that is committed now is subtracted from the quota that will still be available
    /// when the new lease expires. This is stricter than necessary at any single moment, and
    /// therefore safe at every moment until then.
    fn grantable_quota(
        &self,
        now: Millis,
        process: &ProcessId,
        wanted: Quota,
        params: LeaseParams,
    ) -> Quota {
        let share = self.spendable_share(now);
        let lendable = if params.is_remote {
            share
        } else {
            share.plus(self.held.lendable_until(params.expires_at))
        };
        let committed_to_others = self
            .granted
            .total(now)
            .minus(self.granted.committed_to(now, process));
        let uncommitted = lendable.minus(committed_to_others);
        let fair_cap = if params.is_remote {
            let unneeded = lendable.minus(self.domain_demand(now));
            let min_burst = self.demand.max_cost().min(unneeded.burst);
            fair_quota_cap(unneeded, &self.granted.wanted_quotas(now, true), min_burst)
        } else {
            let mut all_wanted = self.granted.wanted_quotas(now, false);
            all_wanted.push(self.own_demand(now));
            fair_quota_cap(lendable, &all_wanted, self.demand.max_cost())
        };
        wanted.min(fair_cap).min(uncommitted)
    }

    /// Time from which the retention of a withdrawn limit counts: when the limit was withdrawn, but
    /// `now` while the limit is configured or granted leases are in force.
    pub(crate) fn retention_start(&self, now: Millis) -> Millis {
        if self.granted.total(now) == Quota::ZERO {
            self.withdrawn_at.unwrap_or(now)
        } else {
            now
        }
    }

    pub(crate) fn check_invariants(&self, now: Millis) {
        if self.refilled_until >= now && now < self.quota_valid_until {
            self.bucket.check_invariants(self.spendable_quota.burst);
        }
    }
}

/// Max-min fair caps of rate and burst. The burst is at least `min_burst`, because a borrower with
/// less cannot admit a request.
fn fair_quota_cap(total: Quota, wanted: &[Quota], min_burst: u64) -> Quota {
    let rates: Vec<u64> = wanted.iter().map(|w| w.rate).collect();
    let bursts: Vec<u64> = wanted.iter().map(|w| w.burst).collect();
    Quota {
        rate: max_min_fair_cap(total.rate, &rates),
        burst: max_min_fair_cap(total.burst, &bursts).max(min_burst),
    }
}
