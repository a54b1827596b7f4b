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
    /// Time in which a shard's owner may spend and grant the domain's shares of the shard's limits.
    pub(crate) struct OwnershipWindow {
        /// Time by which all quota leases granted by the previous owner have expired.
        pub(crate) start: Millis,
        /// Expiry of the shard lease.
        pub(crate) end: Millis,
    }
}

common_derives! {
    copy
    /// Terms of the quota leases that an owner grants in reply to one request.
    pub(crate) struct LeaseTerms {
        /// Epoch of the shard.
        pub(crate) epoch: u64,
        /// Whether the borrower belongs to another failure domain.
        pub(crate) cross_domain: bool,
        /// Duration of the lease as told to the borrower.
        pub(crate) term: Millis,
        /// Expiry on the owner's clock, including the safety margin for clock drift.
        pub(crate) expires_at: Millis,
    }
}

/// State of one limit on one VM. All tokens are in one bucket, whose capacity is the domain's share
/// (on the shard's owner only) plus the leases held minus the leases granted.
#[derive(Debug)]
pub(crate) struct LimitState {
    pub(crate) shard: ShardId,
    pub(crate) domain_share: DomainShare,
    pub(crate) held: HeldLeases,
    pub(crate) granted: GrantedLeases,
    /// Demand of the requests that this VM handles.
    pub(crate) demand: DemandEstimator,
    /// Demand of VMs of this domain that borrow tokens without a rate.
    token_only_demand: DemandEstimator,
    pub(crate) borrowing: BorrowingState,
    /// When the limit was withdrawn. `None`: it is configured.
    withdrawn_at: Option<Millis>,
    /// Time in which this VM may spend the domain's share. `None`: it may not spend it at all.
    pub(super) ownership_window: Option<OwnershipWindow>,
    bucket: TokenBucket,
    /// Time up to which the bucket has been refilled.
    refilled_until: Millis,
    /// Rate and burst of the bucket until `capacity_valid_until`.
    capacity: Quota,
    /// Next time at which a lease or the ownership window starts or ends.
    capacity_valid_until: Millis,
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
            capacity: Quota::ZERO,
            capacity_valid_until: Millis::ZERO,
        }
    }

    /// Refills the bucket up to `now`, in steps between the times at which the capacity changes.
    pub(crate) fn advance_to(&mut self, now: Millis) {
        while self.refilled_until < now {
            if self.refilled_until >= self.capacity_valid_until {
                self.update_capacity(self.refilled_until);
            }
            let next = now.min(self.capacity_valid_until);
            self.bucket.cap_to(self.capacity.burst);
            self.bucket
                .refill(self.capacity, next - self.refilled_until);
            self.refilled_until = next;
        }
        if now >= self.capacity_valid_until {
            self.held.remove_expired(now);
            self.granted.remove_expired(now);
            self.update_capacity(now);
        }
        self.bucket.cap_to(self.capacity.burst);
    }

    /// Applies a change to the domain's share.
    pub(crate) fn update_share(&mut self, now: Millis, update: impl FnOnce(&mut DomainShare)) {
        self.advance_to(now);
        update(&mut self.domain_share);
        let withdrawn = self.domain_share.is_withdrawn();
        self.withdrawn_at = withdrawn.then(|| self.withdrawn_at.unwrap_or(now));
        self.on_capacity_change(now);
    }

    /// Sets the time in which this VM may spend the domain's share. `None`: not at all.
    pub(crate) fn set_ownership_window(&mut self, now: Millis, window: Option<OwnershipWindow>) {
        if self.ownership_window == window {
            return;
        }
        let extends = |old: OwnershipWindow, new: OwnershipWindow| {
            old.start == new.start && old.end <= new.end
        };
        if let (Some(old), Some(new)) = (self.ownership_window, window)
            && extends(old, new)
        {
            self.ownership_window = window;
            return;
        }
        self.advance_to(now);
        self.ownership_window = window;
        self.on_capacity_change(now);
    }

    /// Takes `amount` tokens. The caller has checked that the bucket holds them.
    pub(crate) fn take(&mut self, amount: u64) {
        self.bucket.take(amount);
    }

    /// Takes an amount that was already spent, from later tokens if the bucket lacks them.
    pub(crate) fn charge(&mut self, now: Millis, amount: u64) {
        self.advance_to(now);
        self.demand.record(now, amount);
        self.bucket.charge(amount);
    }

    /// Puts a grant in force. Returns whether it brought tokens or more quota.
    pub(crate) fn accept_grant(
        &mut self,
        now: Millis,
        sent_at: Millis,
        lender: &VmId,
        grant: &Grant,
    ) -> bool {
        self.advance_to(now);
        let previous_capacity = self.capacity;
        let committed = self.granted.total(now);
        let share_and_committed = (self.share(now), committed);
        let tokens = self
            .held
            .accept_grant(now, sent_at, lender, grant, share_and_committed);
        self.on_capacity_change(now);
        self.bucket.credit(tokens, self.capacity.burst);
        tokens >= self.demand.max_cost() / 4 || !self.capacity.fits_in(previous_capacity)
    }

    /// Grants a VM the quota that it asks for, as far as the fair division and the leases already
    /// granted allow.
    pub(crate) fn grant(
        &mut self,
        now: Millis,
        request: &BorrowRequest,
        limit_request: &LimitRequest,
        terms: LeaseTerms,
    ) -> Option<Grant> {
        self.advance_to(now);
        let process = &(request.from.clone(), request.incarnation);
        let previously_committed = self.granted.committed_to(now, process);
        let wanted = (
            Quota::new(limit_request.rate, limit_request.burst),
            terms.expires_at,
        );
        if !self.granted.record_request(
            process,
            terms.cross_domain,
            wanted,
            limit_request.current_grant_seq,
        ) {
            return None;
        }
        if self.granted.committed_to(now, process) != previously_committed {
            self.on_capacity_change(now);
        }
        let quota = self.grantable_quota(now, process, wanted.0, terms);
        if quota == Quota::ZERO && self.granted.committed_to(now, process) == Quota::ZERO {
            return None;
        }
        let tokens =
            self.take_tokens_for_grant(now, process, quota, limit_request, terms.cross_domain);
        if !terms.cross_domain && limit_request.rate.0 == 0 {
            self.token_only_demand.record(now, tokens);
        }
        let seq = self
            .granted
            .record_grant(process, terms.epoch, quota, terms.expires_at);
        self.update_capacity(now);
        self.bucket.cap_to(self.capacity.burst);
        Some(Grant {
            key: limit_request.key.clone(),
            seq,
            rate: Micros(quota.rate),
            burst: Micros(quota.burst),
            tokens: Micros(tokens),
            term: terms.term,
        })
    }

    /// Takes the tokens that are sent with a grant: all that no longer fit in the bucket once the
    /// burst is lent, and beyond that the tokens that exceed a reserve. The reserve is at most half
    /// of the tokens, and covers the burst that this VM wants, or that its whole domain wants if
    /// the borrower is in another domain.
    ///
    /// A VM of this domain that has too few tokens for one request gets enough for one, or only
    /// those that no longer fit: fractions of a request's cost in many buckets admit no request.
    fn take_tokens_for_grant(
        &mut self,
        now: Millis,
        process: &ProcessId,
        quota: Quota,
        limit_request: &LimitRequest,
        cross_domain: bool,
    ) -> u64 {
        let total = self.share(now).plus(self.held.total(now));
        let others = self
            .granted
            .total(now)
            .minus(self.granted.committed_to(now, process));
        let committed = others.plus(self.granted.committed_to(now, process).max(quota));
        let tokens = self.bucket.tokens();
        let displaced = tokens.saturating_sub(total.minus(committed).burst);
        let spare = if cross_domain {
            tokens - self.domain_demand(now).burst.min(tokens / 2)
        } else {
            let borrower_tokens = limit_request.burst.0.saturating_sub(limit_request.tokens.0);
            let missing = self.demand.max_cost().saturating_sub(borrower_tokens);
            let reserve = self.demand.wanted_quota(now).burst.min(tokens / 2);
            if missing > tokens {
                0
            } else {
                missing.max(tokens - reserve)
            }
        };
        let amount = limit_request
            .tokens
            .0
            .min(quota.burst)
            .min(displaced.max(spare));
        self.bucket.take(amount);
        amount
    }

    /// Recomputes the capacity after a change. Refills at the new rate start with the next
    /// millisecond, because another VM may already have been refilled for the current one.
    fn on_capacity_change(&mut self, now: Millis) {
        self.refilled_until = self.refilled_until.max(now + Millis(1));
        self.update_capacity(now);
        self.bucket.cap_to(self.capacity.burst);
    }

    fn update_capacity(&mut self, at: Millis) {
        let total = self.share(at).plus(self.held.total(at));
        self.capacity = total.minus(self.granted.total(at));
        let mut valid_until = self.held.next_expiry(at).min(self.granted.next_expiry(at));
        for boundary in self.ownership_window.iter().flat_map(|w| [w.start, w.end]) {
            if boundary > at {
                valid_until = valid_until.min(boundary);
            }
        }
        self.capacity_valid_until = valid_until;
    }
}

impl LimitState {
    /// The domain's share if this VM owns the shard and may spend it at `at`, otherwise zero.
    pub(crate) fn share(&self, at: Millis) -> Quota {
        match self.ownership_window {
            Some(window) if window.start <= at && at < window.end => self.domain_share.quota(),
            Some(_) | None => Quota::ZERO,
        }
    }

    /// Quota that this VM may spend itself, as of the last `advance_to`.
    pub(crate) fn capacity(&self) -> Quota {
        self.capacity
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

    /// Quota that an owner needs in its own bucket: for its own requests, and the rate for the VMs
    /// of its domain that borrow tokens without a rate.
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

    /// Quota to grant to a borrower: its fair part, within what is not committed to others.
    ///
    /// All quota committed now is subtracted from what will still be available when the new lease
    /// expires. This is stricter than necessary at any single moment, and therefore safe at every
    /// moment until the lease expires.
    fn grantable_quota(
        &self,
        now: Millis,
        process: &ProcessId,
        wanted: Quota,
        terms: LeaseTerms,
    ) -> Quota {
        let share = self.share(now);
        let lendable = if terms.cross_domain {
            share
        } else {
            share.plus(self.held.lendable_until(terms.expires_at))
        };
        let others = self
            .granted
            .total(now)
            .minus(self.granted.committed_to(now, process));
        let uncommitted = lendable.minus(others);
        let fair_cap = if terms.cross_domain {
            let idle = lendable.minus(self.domain_demand(now));
            let min_burst = self.demand.max_cost().min(idle.burst);
            fair_quota_cap(idle, &self.granted.wanted_quotas(now, true), min_burst)
        } else {
            let mut all_wanted = self.granted.wanted_quotas(now, false);
            all_wanted.push(self.own_demand(now));
            fair_quota_cap(lendable, &all_wanted, self.demand.max_cost())
        };
        wanted.min(fair_cap).min(uncommitted)
    }

    /// When the limit was withdrawn, or `now` if it is configured or still has granted leases.
    pub(crate) fn unused_since(&self, now: Millis) -> Millis {
        if self.granted.total(now) == Quota::ZERO {
            self.withdrawn_at.unwrap_or(now)
        } else {
            now
        }
    }

    pub(crate) fn check_invariants(&self, now: Millis) {
        if self.refilled_until >= now && now < self.capacity_valid_until {
            self.bucket.check_invariants(self.capacity.burst);
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
