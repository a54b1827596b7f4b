//! Decides when a VM requests quota of a limit, from which lender, and how much. Remote lenders are
//! VMs of other failure domains. The local owner owns the limit's shard in this VM's domain.

use std::collections::BTreeMap;

use waxwing_types::{Micros, Millis, VmId, common_derives};

use super::bucket::Quota;
use super::limit_state::LimitState;
use crate::{LimitKey, LimitRequest};

/// Time without a reply after which a lender counts as unresponsive.
const UNRESPONSIVE_AFTER: Millis = Millis(700);
/// Time for which the local owner may reply without a grant before other domains are asked.
const NO_GRANT_TIMEOUT: Millis = Millis(500);
/// Longest time between requests to the local owner while tokens are low.
pub(crate) const MAX_LOCAL_BACKOFF: Millis = Millis(200);
/// The token bucket of a shard's owner is low when its tokens cover fewer requests than this.
const LOW_BUCKET_REQUESTS: u64 = 2;
/// Burst that an owner borrows from other domains when its bucket is low, in numbers of requests.
const LOW_BUCKET_BURST: u64 = 3;
/// Time for which an owner goes on borrowing after its bucket was low. When a lease ends, the
/// tokens that no longer fit in the bucket are lost. Short leases would lose tokens often.
const LOW_BUCKET_DURATION: Millis = Millis::from_secs(3);
/// Time to wait for a remote lender before asking the next. A call between regions takes 110 ms.
const REMOTE_REPLY_TIMEOUT: Millis = Millis(200);
/// Time between requests to an unresponsive remote lender. If such lenders were asked as often as
/// responsive lenders, a third of the requests would go to the lenders of a lost region, and each
/// would wait for `REMOTE_REPLY_TIMEOUT`.
const UNRESPONSIVE_RETRY_INTERVAL: Millis = Millis::from_secs(3);
/// Number of consecutive empty replies after which a lender is expected to have no tokens.
const MAX_EMPTY_REPLIES: u32 = 2;
/// Time since the last request after which a lease above twice the need is reduced early.
const EXCESS_REDUCTION_DELAY: Millis = Millis(1000);

common_derives! {
    /// State of the requests to one lender.
    struct LenderState {
        last_sent: Option<Millis>,
        /// Send time of the first request since the last reply.
        unanswered_since: Option<Millis>,
        /// Time of the first reply without a grant since the last grant.
        without_grant_since: Option<Millis>,
        /// Shortest time to the next request ahead of the regular interval. Doubles with each reply
        /// that brings nothing while tokens are low.
        backoff: Millis,
        /// Sequence number of the grant that the last request reported as in force.
        reported_seq: u64,
        /// Number of consecutive replies that brought nothing while tokens were low.
        empty_replies: u32,
    }
}

common_derives! {
    /// State of the borrow requests for one limit.
    #[derive(Default)]
    pub(crate) struct BorrowingState {
        lenders: BTreeMap<VmId, LenderState>,
        /// Time until which an owner borrows from other domains because its bucket was low.
        bucket_low_until: Millis,
    }
}

common_derives! {
    /// The lenders of a limit, and the intervals of borrow requests for the limit.
    pub(crate) struct BorrowContext<'a> {
        /// Whether this VM owns the shard in its domain.
        pub(crate) owns_shard: bool,
        /// Owner of the shard in this VM's domain. `None`: there is none, or it is this VM.
        pub(crate) local_owner: Option<&'a VmId>,
        /// Owners of the shard in other domains.
        pub(crate) remote_owners: &'a [VmId],
        /// Regular time between borrow requests inside the domain.
        pub(crate) local_interval: Millis,
        /// Regular time between borrow requests to other domains.
        pub(crate) remote_interval: Millis,
        /// Shortest time between borrow requests inside the domain.
        pub(crate) min_local_interval: Millis,
        /// Shortest time between borrow requests to other domains.
        pub(crate) min_remote_interval: Millis,
    }
}

impl LimitState {
    /// Returns the borrow requests that are due, and records them as sent.
    pub(crate) fn take_due_requests(
        &mut self,
        now: Millis,
        key: &LimitKey,
        ctx: &BorrowContext<'_>,
    ) -> Vec<(VmId, LimitRequest)> {
        self.advance_to(now);
        if self.is_low_on_tokens_to_lend() {
            self.borrowing.bucket_low_until = now + LOW_BUCKET_DURATION;
        }
        self.borrowing.remove_former_lenders(ctx);
        let mut requests = Vec::new();
        let wanted = self.demand.wanted_quota(now);
        let mut needed = if ctx.owns_shard {
            self.needed_beyond_share(now)
        } else {
            wanted
        };
        if let Some(owner) = ctx.local_owner {
            if self.is_local_request_due(now, owner, wanted, ctx) {
                requests.push(self.send_request(now, key, owner, wanted, ctx.min_local_interval));
            }
            if self.borrowing.is_granting(now, owner) {
                needed = Quota::ZERO;
            } else {
                let borrowed = self.held.get(now, owner).map_or(Quota::ZERO, |l| l.quota);
                needed = needed.minus(borrowed);
            }
        }
        self.add_remote_requests(now, key, needed, ctx, &mut requests);
        requests
    }

    /// Adds the due requests to remote owners, which together should lend `needed`.
    fn add_remote_requests(
        &mut self,
        now: Millis,
        key: &LimitKey,
        needed: Quota,
        ctx: &BorrowContext<'_>,
        requests: &mut Vec<(VmId, LimitRequest)>,
    ) {
        let per_lender = ctx.remote_owners.iter().map(|l| self.lent_by(now, l));
        let borrowed = per_lender.fold(Quota::ZERO, Quota::plus);
        if needed == Quota::ZERO && borrowed == Quota::ZERO && !self.must_report_any(now, ctx) {
            return;
        }
        let lender_to_ask = self.next_lender(now, needed, borrowed, ctx).cloned();
        for lender in ctx.remote_owners {
            let lent = self.lent_by(now, lender);
            if lender_to_ask.as_ref() == Some(lender) {
                let wanted = lent.plus(needed.minus(borrowed));
                requests.push(self.send_request(now, key, lender, wanted, ctx.min_remote_interval));
                continue;
            }
            let wanted = lent.scaled_by(needed.min(borrowed), borrowed);
            if self.is_remote_request_due(now, lender, needed, borrowed, wanted, ctx) {
                requests.push(self.send_request(now, key, lender, wanted, ctx.min_remote_interval));
            }
        }
    }

    /// Builds the part of a borrow request for this limit, and records the request as sent.
    fn send_request(
        &mut self,
        now: Millis,
        key: &LimitKey,
        lender: &VmId,
        wanted: Quota,
        backoff: Millis,
    ) -> (VmId, LimitRequest) {
        let current_grant_seq = self.held.get(now, lender).map_or(0, |l| l.seq);
        self.borrowing
            .record_request(now, lender, current_grant_seq, backoff);
        let missing_tokens = wanted.burst.saturating_sub(self.tokens());
        let request = LimitRequest {
            key: key.clone(),
            rate: Micros(wanted.rate),
            burst: Micros(wanted.burst),
            tokens: Micros(missing_tokens),
            current_grant_seq,
        };
        (lender.clone(), request)
    }
}

impl LimitState {
    /// Whether a lender may still give tokens: no lender has been asked yet, or a lender has
    /// sent fewer than `MAX_EMPTY_REPLIES` consecutive replies that brought nothing.
    pub(crate) fn expects_tokens(&self) -> bool {
        let mut lenders = self.borrowing.lenders.values();
        let none_asked = self.borrowing.lenders.is_empty() && self.ownership_window.is_none();
        none_asked || lenders.any(|l| l.empty_replies < MAX_EMPTY_REPLIES)
    }

    /// Whether the tokens are so low that a request may soon be refused.
    pub(crate) fn is_low_on_tokens(&self, now: Millis) -> bool {
        let wanted = self.demand.wanted_quota(now);
        wanted.burst > 0
            && self.tokens()
                < (wanted.burst / 4)
                    .max(self.demand.max_cost())
                    .min(wanted.burst)
    }

    /// Whether an owner has so few tokens that a VM of its domain may soon get none.
    pub(crate) fn is_low_on_tokens_to_lend(&self) -> bool {
        self.tokens() < self.demand.max_cost().saturating_mul(LOW_BUCKET_REQUESTS)
    }

    /// Quota that an owner should borrow: the demand of its domain beyond the share. The burst
    /// covers a second of the missing rate, and `LOW_BUCKET_BURST` requests if the bucket was low.
    fn needed_beyond_share(&self, now: Millis) -> Quota {
        let mut needed = self.domain_demand(now).minus(self.spendable_share(now));
        if needed.rate > 0 {
            needed.burst = needed.burst.max(needed.rate);
        }
        let max_cost = self.demand.max_cost();
        if self.borrowing.bucket_low_until > now {
            needed.burst = needed.burst.max(max_cost.saturating_mul(LOW_BUCKET_BURST));
        }
        needed
    }

    fn lent_by(&self, now: Millis, lender: &VmId) -> Quota {
        self.held.get(now, lender).map_or(Quota::ZERO, |l| l.quota)
    }

    /// Whether a request to `owner` is due: after the regular interval, or after the backoff if
    /// tokens are low.
    fn is_local_request_due(
        &self,
        now: Millis,
        owner: &VmId,
        wanted: Quota,
        ctx: &BorrowContext<'_>,
    ) -> bool {
        let elapsed = self.borrowing.time_since_request(now, owner);
        let borrowed = self.lent_by(now, owner);
        if wanted == Quota::ZERO && borrowed == Quota::ZERO && !self.must_report(now, owner) {
            return false;
        }
        elapsed >= ctx.local_interval
            || (self.is_low_on_tokens(now)
                && elapsed >= self.borrowing.backoff(owner, ctx.min_local_interval))
    }

    /// Whether a request that renews, reduces or returns the lease of one remote owner is due.
    /// `needed` and `borrowed` are sums over all remote owners, `wanted` is the quota to keep.
    fn is_remote_request_due(
        &self,
        now: Millis,
        lender: &VmId,
        needed: Quota,
        borrowed: Quota,
        wanted: Quota,
        ctx: &BorrowContext<'_>,
    ) -> bool {
        let elapsed = self.borrowing.time_since_request(now, lender);
        let lent = self.lent_by(now, lender);
        let has_excess = lent != Quota::ZERO
            && needed.plus(needed).fits_in(borrowed)
            && !wanted.plus(wanted).fits_in(lent);
        let has_no_lease = wanted == Quota::ZERO && lent == Quota::ZERO;
        (self.must_report(now, lender) && elapsed >= ctx.min_remote_interval)
            || (!has_no_lease && elapsed >= ctx.remote_interval)
            || (has_excess && elapsed >= EXCESS_REDUCTION_DELAY)
    }

    /// The remote owner to ask for missing quota: the owner to which the last request is the
    /// longest ago. Only one owner is asked at a time. Small leases from many lenders would cost
    /// more messages, and leave fractions of tokens in many buckets.
    fn next_lender<'a>(
        &self,
        now: Millis,
        needed: Quota,
        borrowed: Quota,
        ctx: &'a BorrowContext<'_>,
    ) -> Option<&'a VmId> {
        let is_missing = !needed.minus(tolerated_shortfall(needed)).fits_in(borrowed)
            || (needed != Quota::ZERO && self.is_low_on_tokens(now));
        if !is_missing || self.borrowing.awaits_remote_reply(now, ctx) {
            return None;
        }
        let may_be_asked = |vm: &&VmId| {
            let min_interval = if self.borrowing.is_unresponsive(now, vm) {
                UNRESPONSIVE_RETRY_INTERVAL
            } else {
                self.borrowing.backoff(vm, ctx.min_remote_interval)
            };
            self.borrowing.time_since_request(now, vm) >= min_interval
        };
        let candidates = ctx.remote_owners.iter().filter(may_be_asked);
        candidates.max_by_key(|vm| self.borrowing.time_since_request(now, vm))
    }

    fn must_report_any(&self, now: Millis, ctx: &BorrowContext<'_>) -> bool {
        ctx.remote_owners.iter().any(|l| self.must_report(now, l))
    }

    /// Whether a reduced lease is in force that no request has reported to its lender yet.
    fn must_report(&self, now: Millis, lender: &VmId) -> bool {
        let lease = self.held.get(now, lender);
        lease.is_some_and(|l| l.reduced && self.borrowing.reported_seq(lender) < l.seq)
    }
}

impl BorrowingState {
    fn record_request(&mut self, now: Millis, lender: &VmId, current_seq: u64, backoff: Millis) {
        let state = self.lenders.entry(lender.clone()).or_insert(LenderState {
            last_sent: None,
            unanswered_since: None,
            without_grant_since: None,
            backoff,
            reported_seq: 0,
            empty_replies: 0,
        });
        state.last_sent = Some(now);
        state.unanswered_since = state.unanswered_since.or(Some(now));
        state.reported_seq = current_seq;
    }

    /// Records a reply. `has_grant`: whether the reply contained a grant. `resets_backoff`: whether
    /// the VM gained tokens or quota, or is not low on tokens. `min` and `max` bound the backoff.
    pub(crate) fn record_reply(
        &mut self,
        now: Millis,
        lender: &VmId,
        (has_grant, resets_backoff): (bool, bool),
        (min, max): (Millis, Millis),
    ) {
        let Some(state) = self.lenders.get_mut(lender) else {
            return;
        };
        state.unanswered_since = None;
        state.without_grant_since = if has_grant {
            None
        } else {
            state.without_grant_since.or(Some(now))
        };
        state.empty_replies = if resets_backoff {
            0
        } else {
            state.empty_replies + 1
        };
        state.backoff = if resets_backoff {
            min
        } else {
            (state.backoff + state.backoff).min(max).max(min)
        };
    }

    /// Removes VMs that no longer own the shard in any domain.
    fn remove_former_lenders(&mut self, ctx: &BorrowContext<'_>) {
        if self.lenders.len() > ctx.remote_owners.len() + 1 {
            self.lenders
                .retain(|vm, _| ctx.local_owner == Some(vm) || ctx.remote_owners.contains(vm));
        }
    }
}

impl BorrowingState {
    /// Whether the last request to `lender` was sent at `sent_at`.
    pub(crate) fn is_last_request_time(&self, lender: &VmId, sent_at: Millis) -> bool {
        let state = self.lenders.get(lender);
        state.is_some_and(|s| s.last_sent == Some(sent_at))
    }

    /// Whether the local owner responds and grants quota. If not, other domains are asked.
    fn is_granting(&self, now: Millis, lender: &VmId) -> bool {
        let exceeds =
            |since: Option<Millis>, timeout| since.is_some_and(|s| now.since(s) > timeout);
        self.lenders.get(lender).is_none_or(|s| {
            !exceeds(s.unanswered_since, UNRESPONSIVE_AFTER)
                && !exceeds(s.without_grant_since, NO_GRANT_TIMEOUT)
        })
    }

    fn time_since_request(&self, now: Millis, lender: &VmId) -> Millis {
        let last_sent = self.lenders.get(lender).and_then(|s| s.last_sent);
        last_sent.map_or(Millis::MAX, |s| now.since(s))
    }

    fn backoff(&self, lender: &VmId, default: Millis) -> Millis {
        self.lenders.get(lender).map_or(default, |s| s.backoff)
    }

    fn reported_seq(&self, lender: &VmId) -> u64 {
        self.lenders.get(lender).map_or(0, |s| s.reported_seq)
    }

    /// Whether the lender has left requests unanswered for longer than `UNRESPONSIVE_AFTER`.
    fn is_unresponsive(&self, now: Millis, lender: &VmId) -> bool {
        let since = self.lenders.get(lender).and_then(|s| s.unanswered_since);
        since.is_some_and(|s| now.since(s) > UNRESPONSIVE_AFTER)
    }

    /// Whether a reply from another domain may still arrive.
    fn awaits_remote_reply(&self, now: Millis, ctx: &BorrowContext<'_>) -> bool {
        ctx.remote_owners.iter().any(|vm| {
            let since = self.lenders.get(vm).and_then(|s| s.unanswered_since);
            since.is_some_and(|_| self.time_since_request(now, vm) < REMOTE_REPLY_TIMEOUT)
                && !self.is_unresponsive(now, vm)
        })
    }
}

/// Quota that may be missing without a request ahead of the regular interval.
fn tolerated_shortfall(needed: Quota) -> Quota {
    Quota {
        rate: needed.rate / 8,
        burst: needed.burst / 8,
    }
}
