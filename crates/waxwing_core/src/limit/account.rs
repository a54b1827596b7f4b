//! One limit on one VM: the share that it owns, leases held and granted, and the tokens.

use waxwing_types::{Micros, Millis, VmId, common_derives};

use super::bucket::{Bucket, Quota};
use super::demand::Demand;
use super::divide::fair_level;
use super::grant::{Commitments, Process};
use super::lease::Leases;
use super::plan::Asks;
use super::share::Division;
use crate::{BorrowRequest, Grant, LimitRequest, ShardId};

common_derives! {
    copy
    /// Time in which the owner of a shard may spend and grant the shares.
    pub(crate) struct Window {
        /// End of the wait for the predecessor's quota leases.
        pub(crate) from: Millis,
        /// End of the shard lease.
        pub(crate) until: Millis,
    }
}

common_derives! {
    copy
    /// Terms on which an owner grants.
    pub(crate) struct Terms {
        /// The owner's epoch.
        pub(crate) epoch: u64,
        /// Whether the borrower belongs to another failure domain.
        pub(crate) cross: bool,
        /// Term of the quota lease.
        pub(crate) term: Millis,
        /// Its end with margin on the owner's clock.
        pub(crate) end: Millis,
    }
}

/// One limit on one VM. All tokens are in one bucket, whose capacity is the share plus the leases
/// held minus the commitments.
#[derive(Debug)]
pub(crate) struct Account {
    pub(crate) shard: ShardId,
    pub(crate) division: Division,
    pub(crate) leases: Leases,
    pub(crate) given: Commitments,
    pub(crate) demand: Demand,
    /// Tokens that VMs of the domain without a rate of their own took from the share.
    drawn: Demand,
    pub(crate) asks: Asks,
    /// When the limit was withdrawn.
    withdrawn: Option<Millis>,
    pub(super) window: Option<Window>,
    bucket: Bucket,
    /// Time up to which the bucket is refilled.
    at: Millis,
    /// Capacity until `valid_until`.
    capacity: Quota,
    valid_until: Millis,
}

impl Account {
    pub(crate) fn new(now: Millis, shard: ShardId, division: Division) -> Self {
        Self {
            shard,
            division,
            leases: Leases::default(),
            given: Commitments::default(),
            demand: Demand::new(now),
            drawn: Demand::new(now),
            asks: Asks::default(),
            withdrawn: None,
            window: None,
            bucket: Bucket::default(),
            at: now,
            capacity: Quota::ZERO,
            valid_until: Millis::ZERO,
        }
    }

    /// Refills the bucket up to `now`, in steps between the ends of leases.
    pub(crate) fn advance(&mut self, now: Millis) {
        while self.at < now {
            if self.at >= self.valid_until {
                self.refresh(self.at);
            }
            let next = now.min(self.valid_until);
            self.bucket.clip(self.capacity.burst);
            self.bucket.refill(self.capacity, next - self.at);
            self.at = next;
        }
        if now >= self.valid_until {
            self.leases.expire(now);
            self.given.expire(now);
            self.refresh(now);
        }
        self.bucket.clip(self.capacity.burst);
    }

    /// Changes the division.
    pub(crate) fn divide(&mut self, now: Millis, change: impl FnOnce(&mut Division)) {
        self.advance(now);
        change(&mut self.division);
        let withdrawn = self.division.is_withdrawn();
        self.withdrawn = withdrawn.then(|| self.withdrawn.unwrap_or(now));
        self.changed(now);
    }

    /// Sets the time in which the share may be spent. `None`: the shard has another owner.
    pub(crate) fn set_window(&mut self, now: Millis, window: Option<Window>) {
        if self.window == window {
            return;
        }
        let extends = |old: Window, new: Window| old.from == new.from && old.until <= new.until;
        if let (Some(old), Some(new)) = (self.window, window)
            && extends(old, new)
        {
            self.window = window;
            return;
        }
        self.advance(now);
        self.window = window;
        self.changed(now);
    }

    pub(crate) fn take(&mut self, amount: u64) {
        self.bucket.take(amount);
    }

    pub(crate) fn charge(&mut self, now: Millis, amount: u64) {
        self.advance(now);
        self.demand.record(now, amount);
        self.bucket.charge(amount);
    }

    /// Puts a grant in force; true if it brought tokens or more quota.
    pub(crate) fn adopt(
        &mut self,
        now: Millis,
        sent_at: Millis,
        lender: &VmId,
        grant: &Grant,
    ) -> bool {
        self.advance(now);
        let before = self.capacity;
        let committed = self.given.total(now);
        let base = (self.share(now), committed);
        let tokens = self.leases.adopt(now, sent_at, lender, grant, base);
        self.changed(now);
        self.bucket.credit(tokens, self.capacity.burst);
        tokens >= self.demand.unit() / 4 || !self.capacity.fits(before)
    }

    /// Grants what a VM asks for, as far as the fair division and the commitments allow.
    pub(crate) fn lend(
        &mut self,
        now: Millis,
        request: &BorrowRequest,
        ask: &LimitRequest,
        terms: Terms,
    ) -> Option<Grant> {
        self.advance(now);
        let process = &(request.from.clone(), request.incarnation);
        let before = self.given.of(now, process);
        let want = (Quota::of(ask.rate, ask.burst), terms.end);
        if !self
            .given
            .note(process, terms.cross, want, ask.current_grant_seq)
        {
            return None;
        }
        if self.given.of(now, process) != before {
            self.changed(now);
        }
        let quota = self.allotment(now, process, want.0, terms);
        if quota == Quota::ZERO && self.given.of(now, process) == Quota::ZERO {
            return None;
        }
        let tokens = self.debit(now, process, quota, ask, terms.cross);
        if !terms.cross && ask.rate.0 == 0 {
            self.drawn.record(now, tokens);
        }
        let seq = self.given.add(process, terms.epoch, quota, terms.end);
        self.refresh(now);
        self.bucket.clip(self.capacity.burst);
        Some(Grant {
            key: ask.key.clone(),
            seq,
            rate: Micros(quota.rate),
            burst: Micros(quota.burst),
            tokens: Micros(tokens),
            term: terms.term,
        })
    }

    /// Takes the tokens that go with a grant: all that its burst displaces, and beyond that what
    /// is not needed as a reserve for the wants inside the domain, half of the tokens at most. A VM
    /// of the domain that cannot admit a request gets enough for one, or nothing: parts of a token
    /// in many buckets admit nothing.
    fn debit(
        &mut self,
        now: Millis,
        process: &Process,
        quota: Quota,
        ask: &LimitRequest,
        cross: bool,
    ) -> u64 {
        let held = self.share(now).plus(self.leases.total(now));
        let others = self.given.total(now).minus(self.given.of(now, process));
        let committed = others.plus(self.given.of(now, process).max(quota));
        let tokens = self.bucket.tokens();
        let displaced = tokens.saturating_sub(held.minus(committed).burst);
        let spare = if cross {
            tokens - self.inside_wants(now).burst.min(tokens / 2)
        } else {
            let present = ask.burst.0.saturating_sub(ask.tokens.0);
            let lacking = self.demand.unit().saturating_sub(present);
            let reserve = self.demand.want(now).burst.min(tokens / 2);
            if lacking > tokens {
                0
            } else {
                lacking.max(tokens - reserve)
            }
        };
        let amount = ask.tokens.0.min(quota.burst).min(displaced.max(spare));
        self.bucket.take(amount);
        amount
    }

    /// Recomputes the capacity after a change. The refill at the new rate starts with the next
    /// millisecond: the running one may already have been refilled elsewhere.
    fn changed(&mut self, now: Millis) {
        self.at = self.at.max(now + Millis(1));
        self.refresh(now);
        self.bucket.clip(self.capacity.burst);
    }

    fn refresh(&mut self, at: Millis) {
        let held = self.share(at).plus(self.leases.total(at));
        self.capacity = held.minus(self.given.total(at));
        let mut end = self.leases.next_end(at).min(self.given.next_end(at));
        for edge in self.window.iter().flat_map(|w| [w.from, w.until]) {
            if edge > at {
                end = end.min(edge);
            }
        }
        self.valid_until = end;
    }
}

impl Account {
    /// The share of the domain, as far as this VM may spend it.
    pub(crate) fn share(&self, at: Millis) -> Quota {
        match self.window {
            Some(window) if window.from <= at && at < window.until => self.division.share(),
            Some(_) | None => Quota::ZERO,
        }
    }

    /// Quota that this VM may spend itself, after `advance`.
    pub(crate) fn capacity(&self) -> Quota {
        self.capacity
    }

    /// Tokens after `advance`.
    pub(crate) fn tokens(&self) -> u64 {
        self.bucket.tokens()
    }

    /// What the VM and the borrowers of its domain want together.
    pub(crate) fn inside_wants(&self, now: Millis) -> Quota {
        let inside = self.given.wants(now, false).into_iter();
        inside.fold(self.own_want(now), Quota::plus)
    }

    /// What the owner keeps: its own demand, and the rate for VMs that draw tokens alone.
    fn own_want(&self, now: Millis) -> Quota {
        Quota {
            rate: self.demand.rate(now).saturating_add(self.drawn.rate(now)),
            burst: self.demand.want(now).burst,
        }
    }

    /// Whether the commitments fit into the share and the leases that outlive them.
    pub(crate) fn fits(&self, now: Millis) -> bool {
        let leases = self.leases.outliving(self.given.last_end());
        let held = self.division.share().plus(leases);
        self.given.total(now).fits(held)
    }

    /// Quota for a borrower: its fair part, within what is not committed to others.
    ///
    /// The commitments in force now are held against what outlives the new lease. That is stricter
    /// than necessary at each single moment, and therefore safe at every moment until it ends.
    fn allotment(&self, now: Millis, process: &Process, want: Quota, terms: Terms) -> Quota {
        let share = self.share(now);
        let backing = if terms.cross {
            share
        } else {
            share.plus(self.leases.outliving(terms.end))
        };
        let others = self.given.total(now).minus(self.given.of(now, process));
        let free = backing.minus(others);
        let level = if terms.cross {
            let idle = backing.minus(self.inside_wants(now));
            let unit = self.demand.unit().min(idle.burst);
            level(idle, &self.given.wants(now, true), unit)
        } else {
            let mut wants = self.given.wants(now, false);
            wants.push(self.own_want(now));
            level(backing, &wants, self.demand.unit())
        };
        want.min(level).min(free)
    }

    /// Since when nothing of the limit has been lent.
    pub(crate) fn idle_since(&self, now: Millis) -> Millis {
        if self.given.total(now) == Quota::ZERO {
            self.withdrawn.unwrap_or(now)
        } else {
            now
        }
    }

    pub(crate) fn check_invariants(&self, now: Millis) {
        if self.at >= now && now < self.valid_until {
            self.bucket.check_invariants(self.capacity.burst);
        }
    }
}

/// Fair level of rate and burst; the burst is at least `unit`, because less admits nothing.
fn level(total: Quota, wants: &[Quota], unit: u64) -> Quota {
    let rates: Vec<u64> = wants.iter().map(|w| w.rate).collect();
    let bursts: Vec<u64> = wants.iter().map(|w| w.burst).collect();
    Quota {
        rate: fair_level(total.rate, &rates),
        burst: fair_level(total.burst, &bursts).max(unit),
    }
}
