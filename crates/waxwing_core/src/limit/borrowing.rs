//! Decides when a VM asks which lender for how much quota of a limit.

use std::collections::BTreeMap;

use waxwing_types::{Micros, Millis, VmId, common_derives};

use super::bucket::Quota;
use super::limit_state::LimitState;
use crate::{LimitKey, LimitRequest};

/// Time without a reply after which a lender counts as unresponsive.
const UNRESPONSIVE_AFTER: Millis = Millis(700);
/// Time for which the domain's owner may reply without a grant before other domains are asked.
const NO_GRANT_TIMEOUT: Millis = Millis(500);
/// Longest time between requests to the domain's owner while tokens are low.
pub(crate) const MAX_BACKOFF: Millis = Millis(200);
/// The tokens of an owner are low when they cover fewer requests than this.
const LOW_POOL_REQUESTS: u64 = 2;
/// Number of requests for which an owner borrows burst from other domains when its tokens are low.
const LOW_POOL_RESERVE: u64 = 3;
/// Time for which an owner borrows after its tokens were low. When a lease ends, tokens that no
/// longer fit in the bucket are lost, so leases must not come and go.
const LOW_POOL_DURATION: Millis = Millis::from_secs(3);
/// Time to wait for a reply from another domain before the next lender is asked. A call between
/// regions takes 110 ms.
const REMOTE_REPLY_TIMEOUT: Millis = Millis(200);
/// Time between requests to an unresponsive lender of another domain. Asked in turn with the
/// others, the lenders of a lost region would take a third of the turns, and each turn would wait
/// for `REMOTE_REPLY_TIMEOUT`.
const UNRESPONSIVE_RETRY_INTERVAL: Millis = Millis::from_secs(3);
/// Number of consecutive replies without tokens after which a lender is expected to have none.
const MAX_EMPTY_REPLIES: u32 = 2;
/// Time since the last request after which leases beyond twice the need are reduced early.
const EXCESS_REDUCTION_DELAY: Millis = Millis(1000);

common_derives! {
    /// State of the requests to one lender.
    struct LenderState {
        last_sent: Option<Millis>,
        /// Send time of the first request since the last reply.
        unanswered_since: Option<Millis>,
        /// Time of the first reply without a grant since the last grant.
        without_grant_since: Option<Millis>,
        /// Shortest time to the next request ahead of the regular interval. Doubles with each
        /// request that brings nothing.
        backoff: Millis,
        /// Sequence number that the last request reported as in force.
        reported_seq: u64,
        /// Number of consecutive replies that brought nothing.
        empty_replies: u32,
    }
}

common_derives! {
    /// State of the borrow requests for one limit.
    #[derive(Default)]
    pub(crate) struct BorrowingState {
        lenders: BTreeMap<VmId, LenderState>,
        /// Time until which an owner borrows from other domains because its tokens ran low.
        pool_low_until: Millis,
    }
}

common_derives! {
    /// The lenders of a limit and the intervals of the requests to them.
    pub(crate) struct Lenders<'a> {
        /// Whether this VM owns the shard in its domain.
        pub(crate) owns_shard: bool,
        /// Owner of the shard in this VM's domain, if it is another VM.
        pub(crate) domain_owner: Option<&'a VmId>,
        /// Owners of the shard in other domains.
        pub(crate) remote_owners: &'a [VmId],
        /// Regular time between requests inside the domain.
        pub(crate) interval: Millis,
        /// Regular time between requests to other domains.
        pub(crate) remote_interval: Millis,
        /// Shortest time between requests inside the domain.
        pub(crate) min_interval: Millis,
        /// Shortest time between requests to other domains.
        pub(crate) min_remote_interval: Millis,
    }
}

impl LimitState {
    /// Returns the borrow requests that are due, and records them as sent.
    pub(crate) fn due_requests(
        &mut self,
        now: Millis,
        key: &LimitKey,
        lenders: &Lenders<'_>,
    ) -> Vec<(VmId, LimitRequest)> {
        self.advance_to(now);
        if self.is_pool_low() {
            self.borrowing.pool_low_until = now + LOW_POOL_DURATION;
        }
        self.borrowing.remove_former_lenders(lenders);
        let mut due = Vec::new();
        let wanted = self.demand.wanted_quota(now);
        let mut needed = if lenders.owns_shard {
            self.needed_beyond_share(now)
        } else {
            wanted
        };
        if let Some(owner) = lenders.domain_owner {
            if self.is_owner_due(now, owner, wanted, lenders) {
                due.push(self.new_request(now, key, owner, wanted, lenders.min_interval));
            }
            if self.borrowing.is_serving(now, owner) {
                needed = Quota::ZERO;
            } else {
                let borrowed = self.held.get(now, owner).map_or(Quota::ZERO, |l| l.quota);
                needed = needed.minus(borrowed);
            }
        }
        self.add_remote_requests(now, key, needed, lenders, &mut due);
        due
    }

    /// Adds the due requests to owners in other domains. Together they should lend `needed`.
    fn add_remote_requests(
        &mut self,
        now: Millis,
        key: &LimitKey,
        needed: Quota,
        lenders: &Lenders<'_>,
        due: &mut Vec<(VmId, LimitRequest)>,
    ) {
        let borrowed = lenders.remote_owners.iter().map(|l| self.lent_by(now, l));
        let borrowed = borrowed.fold(Quota::ZERO, Quota::plus);
        if needed == Quota::ZERO && borrowed == Quota::ZERO && !self.must_report_any(now, lenders) {
            return;
        }
        let next = self.next_lender(now, needed, borrowed, lenders).cloned();
        for lender in lenders.remote_owners {
            let lent = self.lent_by(now, lender);
            if next.as_ref() == Some(lender) {
                let target = lent.plus(needed.minus(borrowed));
                due.push(self.new_request(now, key, lender, target, lenders.min_remote_interval));
                continue;
            }
            let target = lent.scaled_by(needed.min(borrowed), borrowed);
            if self.is_remote_due(now, lender, needed, borrowed, target, lenders) {
                due.push(self.new_request(now, key, lender, target, lenders.min_remote_interval));
            }
        }
    }

    /// Builds the entry of a borrow request and records it as sent.
    fn new_request(
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
    /// Whether a lender may still give tokens: none has been asked yet, or one of them gave some in
    /// its last replies.
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

    /// Whether the tokens of an owner are so low that a VM of its domain may soon get none.
    pub(crate) fn is_pool_low(&self) -> bool {
        self.tokens() < self.demand.max_cost().saturating_mul(LOW_POOL_REQUESTS)
    }

    /// Quota that an owner borrows for its domain: the demand beyond the share, with a second of
    /// the missing rate as burst, and burst for `LOW_POOL_RESERVE` requests if its tokens ran low.
    fn needed_beyond_share(&self, now: Millis) -> Quota {
        let mut needed = self.domain_demand(now).minus(self.share(now));
        if needed.rate > 0 {
            needed.burst = needed.burst.max(needed.rate);
        }
        let max_cost = self.demand.max_cost();
        if self.borrowing.pool_low_until > now {
            needed.burst = needed.burst.max(max_cost.saturating_mul(LOW_POOL_RESERVE));
        }
        needed
    }

    fn lent_by(&self, now: Millis, lender: &VmId) -> Quota {
        self.held.get(now, lender).map_or(Quota::ZERO, |l| l.quota)
    }

    /// Whether a request to the domain's owner is due: the regular interval has passed, or tokens
    /// are low and the backoff has passed.
    fn is_owner_due(
        &self,
        now: Millis,
        owner: &VmId,
        wanted: Quota,
        lenders: &Lenders<'_>,
    ) -> bool {
        let elapsed = self.borrowing.since_last_request(now, owner);
        let borrowed = self.lent_by(now, owner);
        if wanted == Quota::ZERO && borrowed == Quota::ZERO && !self.must_report(now, owner) {
            return false;
        }
        elapsed >= lenders.interval
            || (self.is_low_on_tokens(now)
                && elapsed >= self.borrowing.backoff(owner, lenders.min_interval))
    }

    /// Whether a request that renews, reduces or returns the lease of a remote owner is due.
    /// `needed` and `borrowed` are sums over all remote owners, `target` is the quota to keep here.
    fn is_remote_due(
        &self,
        now: Millis,
        lender: &VmId,
        needed: Quota,
        borrowed: Quota,
        target: Quota,
        lenders: &Lenders<'_>,
    ) -> bool {
        let elapsed = self.borrowing.since_last_request(now, lender);
        let lent = self.lent_by(now, lender);
        let excess = lent != Quota::ZERO
            && needed.plus(needed).fits_in(borrowed)
            && !target.plus(target).fits_in(lent);
        let unused = target == Quota::ZERO && lent == Quota::ZERO;
        (self.must_report(now, lender) && elapsed >= lenders.min_remote_interval)
            || (!unused && elapsed >= lenders.remote_interval)
            || (excess && elapsed >= EXCESS_REDUCTION_DELAY)
    }

    /// The owner in another domain to ask for the missing quota: the one whose last request is the
    /// longest ago. Only one is asked at a time, because parts of the quota from many lenders cost
    /// more messages and leave fractions of tokens in many buckets.
    fn next_lender<'a>(
        &self,
        now: Millis,
        needed: Quota,
        borrowed: Quota,
        lenders: &'a Lenders<'_>,
    ) -> Option<&'a VmId> {
        let is_missing = !needed.minus(tolerated_shortfall(needed)).fits_in(borrowed)
            || (needed != Quota::ZERO && self.is_low_on_tokens(now));
        if !is_missing || self.borrowing.awaits_remote_reply(now, lenders) {
            return None;
        }
        let ready = |vm: &&VmId| {
            let min_interval = if self.borrowing.is_unresponsive(now, vm) {
                UNRESPONSIVE_RETRY_INTERVAL
            } else {
                self.borrowing.backoff(vm, lenders.min_remote_interval)
            };
            self.borrowing.since_last_request(now, vm) >= min_interval
        };
        let candidates = lenders.remote_owners.iter().filter(ready);
        candidates.max_by_key(|vm| self.borrowing.since_last_request(now, vm))
    }

    fn must_report_any(&self, now: Millis, lenders: &Lenders<'_>) -> bool {
        lenders
            .remote_owners
            .iter()
            .any(|l| self.must_report(now, l))
    }

    /// Whether a reduced lease is in force that no request has reported to the lender yet.
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

    /// Records a reply. `granted`: whether it contained a grant. `useful`: whether the VM gained
    /// something or lacks nothing. `min` and `max` bound the backoff.
    pub(crate) fn record_reply(
        &mut self,
        now: Millis,
        lender: &VmId,
        (granted, useful): (bool, bool),
        (min, max): (Millis, Millis),
    ) {
        let Some(state) = self.lenders.get_mut(lender) else {
            return;
        };
        state.unanswered_since = None;
        state.without_grant_since = if granted {
            None
        } else {
            state.without_grant_since.or(Some(now))
        };
        state.empty_replies = if useful { 0 } else { state.empty_replies + 1 };
        state.backoff = if useful {
            min
        } else {
            (state.backoff + state.backoff).min(max).max(min)
        };
    }

    /// Removes VMs that own the shard in no domain any more.
    fn remove_former_lenders(&mut self, lenders: &Lenders<'_>) {
        if self.lenders.len() > lenders.remote_owners.len() + 1 {
            self.lenders.retain(|vm, _| {
                lenders.domain_owner == Some(vm) || lenders.remote_owners.contains(vm)
            });
        }
    }
}

impl BorrowingState {
    /// Whether the last request to `lender` was sent at `sent_at`.
    pub(crate) fn was_last_sent_at(&self, lender: &VmId, sent_at: Millis) -> bool {
        let state = self.lenders.get(lender);
        state.is_some_and(|s| s.last_sent == Some(sent_at))
    }

    /// Whether the domain's owner responds and grants quota. If not, other domains are asked.
    fn is_serving(&self, now: Millis, lender: &VmId) -> bool {
        let exceeds =
            |since: Option<Millis>, timeout| since.is_some_and(|s| now.since(s) > timeout);
        self.lenders.get(lender).is_none_or(|s| {
            !exceeds(s.unanswered_since, UNRESPONSIVE_AFTER)
                && !exceeds(s.without_grant_since, NO_GRANT_TIMEOUT)
        })
    }

    fn since_last_request(&self, now: Millis, lender: &VmId) -> Millis {
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
    fn awaits_remote_reply(&self, now: Millis, lenders: &Lenders<'_>) -> bool {
        lenders.remote_owners.iter().any(|vm| {
            let since = self.lenders.get(vm).and_then(|s| s.unanswered_since);
            since.is_some_and(|_| self.since_last_request(now, vm) < REMOTE_REPLY_TIMEOUT)
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
