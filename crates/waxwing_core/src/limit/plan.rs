//! When a VM asks which lender for how much.

use std::collections::BTreeMap;

use waxwing_types::{Micros, Millis, VmId, common_derives};

use super::account::Account;
use super::bucket::Quota;
use crate::{LimitKey, LimitRequest};

/// An owner that has not answered for this long is passed over for owners of other domains.
const SILENT: Millis = Millis(700);
/// The same for an owner that answers without granting anything.
const UNGRANTED: Millis = Millis(500);
/// Greatest time between asks to the own domain's owner while tokens are short.
pub(crate) const MAX_GAP: Millis = Millis(200);
/// Requests below which the pool of an owner counts as low.
const LOW: u64 = 2;
/// Requests that the owner of such a pool asks of other domains.
const LOW_RESERVE: u64 = 3;
/// Time for which it goes on asking. Leases that come and go lose the tokens that they displace.
const LOW_TERM: Millis = Millis::from_secs(3);
/// Time for which a reply from another domain is awaited before the next lender is asked. A call
/// between regions takes 110 ms.
const REPLY: Millis = Millis(200);
/// Time between asks to a lender of another domain that does not answer. Asked in turn with the
/// others, the lenders of a lost region would take a third of the turns, each for `REPLY`.
const PROBE: Millis = Millis::from_secs(3);
/// Replies without tokens after which a lender is not expected to give any.
const MAX_EMPTY_REPLIES: u32 = 2;
/// Time after which leases beyond twice the need are reduced ahead of their renewal.
const EXCESS: Millis = Millis(1000);

common_derives! {
    /// State of the asks to one lender.
    struct AskState {
        sent: Option<Millis>,
        /// First ask since the last reply.
        silent_since: Option<Millis>,
        /// First reply without a grant since the last grant.
        ungranted_since: Option<Millis>,
        /// Least time to the next ask ahead of the period. Doubles with each ask that gains
        /// nothing.
        gap: Millis,
        /// Sequence number named as in force in the last ask.
        told: u64,
        /// Replies in a row that brought nothing.
        empty_replies: u32,
    }
}

common_derives! {
    /// State of the asks for one limit.
    #[derive(Default)]
    pub(crate) struct Asks {
        lenders: BTreeMap<VmId, AskState>,
        /// End of the time in which an owner asks other domains for a reserve.
        low_until: Millis,
    }
}

common_derives! {
    /// What `Account::plan` needs to know of the shard.
    pub(crate) struct Lenders<'a> {
        /// Whether this VM owns the shard in its domain.
        pub(crate) owner: bool,
        /// Owner of the shard in the own domain, if it is another VM.
        pub(crate) home: Option<&'a VmId>,
        /// Owners of the shard in other domains.
        pub(crate) others: &'a [VmId],
        /// Time between asks inside the domain.
        pub(crate) period: Millis,
        /// Time between asks to other domains.
        pub(crate) cross_period: Millis,
        /// Least time between asks inside the domain.
        pub(crate) gap: Millis,
        /// Least time between asks to other domains.
        pub(crate) min_cross_domain_borrow_interval: Millis,
    }
}

impl Account {
    /// The asks that are due.
    pub(crate) fn plan(
        &mut self,
        now: Millis,
        key: &LimitKey,
        lenders: &Lenders<'_>,
    ) -> Vec<(VmId, LimitRequest)> {
        self.advance(now);
        if self.is_low() {
            self.asks.low_until = now + LOW_TERM;
        }
        self.asks.forget_former(lenders);
        let mut asks = Vec::new();
        let want = self.demand.want(now);
        let mut need = if lenders.owner {
            self.owner_need(now)
        } else {
            want
        };
        if let Some(home) = lenders.home {
            if self.home_is_due(now, home, want, lenders) {
                asks.push(self.ask(now, key, home, want, lenders.gap));
            }
            if self.asks.serves(now, home) {
                need = Quota::ZERO;
            } else {
                let lent = self.leases.of(now, home).map_or(Quota::ZERO, |l| l.quota);
                need = need.minus(lent);
            }
        }
        self.plan_cross(now, key, need, lenders, &mut asks);
        asks
    }

    fn plan_cross(
        &mut self,
        now: Millis,
        key: &LimitKey,
        need: Quota,
        lenders: &Lenders<'_>,
        asks: &mut Vec<(VmId, LimitRequest)>,
    ) {
        let held = lenders.others.iter().map(|l| self.lent_by(now, l));
        let held = held.fold(Quota::ZERO, Quota::plus);
        if need == Quota::ZERO && held == Quota::ZERO && !self.any_untold(now, lenders) {
            return;
        }
        let next = self.next_lender(now, need, held, lenders).cloned();
        for lender in lenders.others {
            let lent = self.lent_by(now, lender);
            if next.as_ref() == Some(lender) {
                let target = lent.plus(need.minus(held));
                asks.push(self.ask(
                    now,
                    key,
                    lender,
                    target,
                    lenders.min_cross_domain_borrow_interval,
                ));
                continue;
            }
            let target = lent.scaled(need.min(held), held);
            if self.cross_is_due(now, lender, need, held, target, lenders) {
                asks.push(self.ask(
                    now,
                    key,
                    lender,
                    target,
                    lenders.min_cross_domain_borrow_interval,
                ));
            }
        }
    }

    /// Builds an ask and notes that it is sent.
    fn ask(
        &mut self,
        now: Millis,
        key: &LimitKey,
        lender: &VmId,
        want: Quota,
        gap: Millis,
    ) -> (VmId, LimitRequest) {
        let in_force = self.leases.of(now, lender).map_or(0, |l| l.seq);
        self.asks.note_sent(now, lender, in_force, gap);
        let missing = want.burst.saturating_sub(self.tokens());
        let ask = LimitRequest {
            key: key.clone(),
            rate: Micros(want.rate),
            burst: Micros(want.burst),
            tokens: Micros(missing),
            current_grant_seq: in_force,
        };
        (lender.clone(), ask)
    }
}

impl Account {
    /// Whether a lender may still give tokens: none was asked yet, or one gave some lately.
    pub(crate) fn expects_tokens(&self) -> bool {
        let mut lenders = self.asks.lenders.values();
        let unasked = self.asks.lenders.is_empty() && self.window.is_none();
        unasked || lenders.any(|l| l.empty_replies < MAX_EMPTY_REPLIES)
    }

    /// Whether the tokens are so few that a request may soon find none.
    pub(crate) fn is_short(&self, now: Millis) -> bool {
        let want = self.demand.want(now);
        want.burst > 0 && self.tokens() < (want.burst / 4).max(self.demand.unit()).min(want.burst)
    }

    /// Whether the pool of an owner may soon leave a VM of its domain without a token.
    pub(crate) fn is_low(&self) -> bool {
        self.tokens() < self.demand.unit().saturating_mul(LOW)
    }

    /// What the domain lacks: quota beyond the share, with a second of the rate as burst, and two
    /// requests when the pool is low.
    fn owner_need(&self, now: Millis) -> Quota {
        let mut need = self.inside_wants(now).minus(self.share(now));
        if need.rate > 0 {
            need.burst = need.burst.max(need.rate);
        }
        let unit = self.demand.unit();
        if self.asks.low_until > now {
            need.burst = need.burst.max(unit.saturating_mul(LOW_RESERVE));
        }
        need
    }

    fn lent_by(&self, now: Millis, lender: &VmId) -> Quota {
        self.leases.of(now, lender).map_or(Quota::ZERO, |l| l.quota)
    }

    fn home_is_due(&self, now: Millis, home: &VmId, want: Quota, lenders: &Lenders<'_>) -> bool {
        let waited = self.asks.waited(now, home);
        let lent = self.lent_by(now, home);
        if want == Quota::ZERO && lent == Quota::ZERO && !self.untold(now, home) {
            return false;
        }
        waited >= lenders.period
            || (self.is_short(now) && waited >= self.asks.gap(home, lenders.gap))
    }

    fn cross_is_due(
        &self,
        now: Millis,
        lender: &VmId,
        need: Quota,
        held: Quota,
        target: Quota,
        lenders: &Lenders<'_>,
    ) -> bool {
        let waited = self.asks.waited(now, lender);
        let lent = self.lent_by(now, lender);
        let excess =
            lent != Quota::ZERO && need.plus(need).fits(held) && !target.plus(target).fits(lent);
        let idle = target == Quota::ZERO && lent == Quota::ZERO;
        (self.untold(now, lender) && waited >= lenders.min_cross_domain_borrow_interval)
            || (!idle && waited >= lenders.cross_period)
            || (excess && waited >= EXCESS)
    }

    /// The lender to ask for what is missing: the one that was not asked for the longest time. One
    /// at a time, because parts of a request from many lenders cost more messages and leave parts
    /// of tokens everywhere.
    fn next_lender<'a>(
        &self,
        now: Millis,
        need: Quota,
        held: Quota,
        lenders: &'a Lenders<'_>,
    ) -> Option<&'a VmId> {
        let lacking =
            !need.minus(part(need)).fits(held) || (need != Quota::ZERO && self.is_short(now));
        if !lacking || self.asks.awaits_any(now, lenders) {
            return None;
        }
        let ready = |vm: &&VmId| {
            let gap = if self.asks.is_silent(now, vm) {
                PROBE
            } else {
                self.asks.gap(vm, lenders.min_cross_domain_borrow_interval)
            };
            self.asks.waited(now, vm) >= gap
        };
        let others = lenders.others.iter().filter(ready);
        others.max_by_key(|vm| self.asks.waited(now, vm))
    }

    fn any_untold(&self, now: Millis, lenders: &Lenders<'_>) -> bool {
        lenders.others.iter().any(|l| self.untold(now, l))
    }

    /// Whether the lender does not know yet that a reduced lease is in force.
    fn untold(&self, now: Millis, lender: &VmId) -> bool {
        let lease = self.leases.of(now, lender);
        lease.is_some_and(|l| l.reduced && self.asks.told(lender) < l.seq)
    }
}

impl Asks {
    fn note_sent(&mut self, now: Millis, lender: &VmId, in_force: u64, gap: Millis) {
        let state = self.lenders.entry(lender.clone()).or_insert(AskState {
            sent: None,
            silent_since: None,
            ungranted_since: None,
            gap,
            told: 0,
            empty_replies: 0,
        });
        state.sent = Some(now);
        state.silent_since = state.silent_since.or(Some(now));
        state.told = in_force;
    }

    /// Notes the reply to the ask sent at `sent_at`. `granted`: whether it held a grant;
    /// `gained`: whether that brought anything.
    pub(crate) fn note_reply(
        &mut self,
        now: Millis,
        lender: &VmId,
        (granted, gained): (bool, bool),
        (gap, longest): (Millis, Millis),
    ) {
        let Some(state) = self.lenders.get_mut(lender) else {
            return;
        };
        state.silent_since = None;
        state.ungranted_since = if granted {
            None
        } else {
            state.ungranted_since.or(Some(now))
        };
        state.empty_replies = if gained { 0 } else { state.empty_replies + 1 };
        state.gap = if gained {
            gap
        } else {
            (state.gap + state.gap).min(longest).max(gap)
        };
    }

    /// Forgets VMs that are no lenders any more.
    fn forget_former(&mut self, lenders: &Lenders<'_>) {
        if self.lenders.len() > lenders.others.len() + 1 {
            self.lenders
                .retain(|vm, _| lenders.home == Some(vm) || lenders.others.contains(vm));
        }
    }
}

impl Asks {
    pub(crate) fn was_sent(&self, lender: &VmId, sent_at: Millis) -> bool {
        let state = self.lenders.get(lender);
        state.is_some_and(|s| s.sent == Some(sent_at))
    }

    fn serves(&self, now: Millis, lender: &VmId) -> bool {
        let over = |since: Option<Millis>, most| since.is_some_and(|s| now.since(s) > most);
        self.lenders
            .get(lender)
            .is_none_or(|s| !over(s.silent_since, SILENT) && !over(s.ungranted_since, UNGRANTED))
    }

    fn waited(&self, now: Millis, lender: &VmId) -> Millis {
        let sent = self.lenders.get(lender).and_then(|s| s.sent);
        sent.map_or(Millis::MAX, |s| now.since(s))
    }

    fn gap(&self, lender: &VmId, least: Millis) -> Millis {
        self.lenders.get(lender).map_or(least, |s| s.gap)
    }

    fn told(&self, lender: &VmId) -> u64 {
        self.lenders.get(lender).map_or(0, |s| s.told)
    }

    /// Whether the lender has not answered for long.
    fn is_silent(&self, now: Millis, lender: &VmId) -> bool {
        let since = self.lenders.get(lender).and_then(|s| s.silent_since);
        since.is_some_and(|s| now.since(s) > SILENT)
    }

    /// Whether a reply from another domain may still come.
    fn awaits_any(&self, now: Millis, lenders: &Lenders<'_>) -> bool {
        lenders.others.iter().any(|vm| {
            let since = self.lenders.get(vm).and_then(|s| s.silent_since);
            since.is_some_and(|_| self.waited(now, vm) < REPLY) && !self.is_silent(now, vm)
        })
    }
}

/// What may be missing before it is asked for ahead of the period.
fn part(need: Quota) -> Quota {
    Quota {
        rate: need.rate / 8,
        burst: need.burst / 8,
    }
}
