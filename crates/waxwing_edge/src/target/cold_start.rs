//! Which VMs send requests to a cold target, and how many.
//!
//! Answers the load of a fleet whose VMs share the small rate that a target tolerates after its start.

use waxwing_types::{Millis, common_derives};

use super::{ColdStartLimit, TargetKey, TargetPool};
use crate::hash::mix64;

/// Greatest number of VMs that send requests to a cold target. Each of these VMs can hold one cold start token and may use it
/// at any time.
const MAX_SENDERS: u64 = 4;
/// Sets of senders for which the limit has room: a VM that is cut off from the store may go on by an old list of VMs.
const SENDER_SETS: u64 = 2;
/// Time within which a change of the list of VMs is known to all VMs that reach the store. A VM that joins sends after this time,
/// when the VM whose place it takes knows of it. The place of a VM that leaves is taken at once, because that VM has ceased to send.
const LIST_LAG: Millis = Millis::from_secs(3);
/// Time from the use of a token until its request is sent, at most. The connection may have to be opened first.
pub(super) const MAX_OPENING_TIME: Millis = Millis(100);
/// Time after the start of a cold time within which a sender gets its first token at once.
const FIRST_TOKEN_TIME: Millis = Millis(500);
/// Time after the end of a cold time from which on the next one is another one, with a first token of its own.
const RENEWAL_TIME: Millis = Millis(1000);
/// One cold start token in millionths.
const TOKEN: u64 = 1_000_000;

common_derives! {
    copy
    /// What the requests to a cold target in one second may exceed its rate by.
    pub struct ColdStartTerms {
        /// Requests per thousand of the rate.
        pub overshoot_permille: u64,
        /// Requests in addition.
        pub slack: u64,
    }
}

impl Default for ColdStartTerms {
    fn default() -> Self {
        Self {
            overshoot_permille: 1500,
            slack: 5,
        }
    }
}

impl ColdStartTerms {
    /// Number of VMs that send requests to a cold target. The tokens that [`SENDER_SETS`] sets of senders hold stay below the
    /// slack.
    pub fn senders(self) -> u64 {
        (self.slack.saturating_sub(1) / SENDER_SETS).clamp(1, MAX_SENDERS)
    }

    /// Requests per 1000 s that one sender may send to a cold target. In one second, [`SENDER_SETS`] sets of senders use the tokens
    /// that they hold at its start and those that are added until its end, from [`MAX_OPENING_TIME`] before it on.
    pub fn sender_rate(self, limit: ColdStartLimit) -> u64 {
        let senders = self.senders();
        let allowed =
            limit.requests_per_1000_s * self.overshoot_permille / 1000 + self.slack * 1000;
        let added = allowed.saturating_sub(SENDER_SETS * senders * 1000);
        let rate = added * 1000 / (SENDER_SETS * (1000 + MAX_OPENING_TIME.0));
        rate.min(limit.requests_per_1000_s) / senders
    }
}

/// The cold time of a target, and the cold start tokens of this VM for it.
#[derive(Debug, Default)]
pub(super) struct ColdStart {
    began_at: Millis,
    until: Millis,
    /// Whether the end was stated by the process itself, and not by its entry, which may have been read late.
    is_stated: bool,
    /// Whether this VM has been a sender in this cold time.
    was_sender: bool,
    /// In millionths of a token, at `tokens_at`. A VM holds one token at most, so that it does not send several requests at once.
    tokens: u64,
    tokens_at: Millis,
    /// Millionths of a token that are added per ms; zero unless this VM is a sender.
    rate: u64,
}

impl ColdStart {
    /// The cold time that a registration states.
    pub(super) fn new(now: Millis, left: Millis) -> Self {
        Self {
            began_at: now,
            until: now + left,
            tokens_at: now,
            ..Self::default()
        }
    }

    /// The cold time that the registration of a later process states. If the process itself has stated its cold time to a VM,
    /// that time holds, because the entry may be read late, and the tokens go on.
    pub(super) fn of_later_process(self, now: Millis, left: Millis) -> Self {
        if !self.is_stated || !self.is_cold(now) || left == Millis::ZERO {
            return Self::new(now, left);
        }
        Self {
            until: self.until.min(now + left),
            ..self
        }
    }

    pub(super) fn is_cold(&self, now: Millis) -> bool {
        now < self.until
    }

    /// Extends the cold time, or begins one.
    pub(super) fn extend(&mut self, now: Millis, left: Millis) {
        let is_new = now.since(self.until) >= RENEWAL_TIME;
        if is_new {
            *self = Self::new(now, left);
        }
        self.until = self.until.max(now + left);
    }

    /// Extends the cold time, or begins one without a token at once.
    pub(super) fn extend_without_token(&mut self, now: Millis, left: Millis) {
        self.extend(now, left);
        self.was_sender = true;
    }

    /// Records the cold time that the process itself states.
    pub(super) fn state(&mut self, now: Millis, left: Millis) {
        self.extend(now, left);
        self.is_stated = true;
    }

    /// Sets the rate at which this VM gets tokens, zero if it is not a sender. A VM that is a sender from the start of the cold time
    /// on gets its first token at once.
    fn set_rate(&mut self, now: Millis, rate: u64) {
        let is_first = !self.was_sender && now.since(self.began_at) <= FIRST_TOKEN_TIME;
        self.tokens = match rate {
            0 => 0,
            _ if is_first => TOKEN,
            _ => self.tokens(now),
        };
        self.tokens_at = now;
        self.rate = rate;
        self.was_sender |= rate > 0;
    }

    fn tokens(&self, now: Millis) -> u64 {
        (self.tokens + self.rate * now.since(self.tokens_at).0).min(TOKEN)
    }

    /// Whether this VM may send a request to the target while the target is cold.
    pub(super) fn has_token(&self, now: Millis) -> bool {
        self.tokens(now) >= TOKEN
    }

    /// Uses a token, and returns whether there was one.
    pub(super) fn take_token(&mut self, now: Millis) -> bool {
        let has_token = self.has_token(now);
        if has_token {
            self.tokens = self.tokens(now) - TOKEN;
            self.tokens_at = now;
        }
        has_token
    }
}

/// The lists of VMs of the region by which senders are chosen.
#[derive(Debug, Default)]
pub(super) struct SenderLists {
    /// Lists that were in force in the last [`LIST_LAG`], with the times of their ends.
    former: Vec<(Millis, Vec<u64>)>,
    is_first_read: bool,
}

impl SenderLists {
    /// Records that a list is replaced. The one before the first list that was read says nothing.
    pub(super) fn replace(&mut self, now: Millis, replaced: Vec<u64>) {
        self.former.retain(|(end, _)| now.since(*end) < LIST_LAG);
        if std::mem::replace(&mut self.is_first_read, true) {
            self.former.push((now, replaced));
        }
    }

    /// Whether all lists of the last [`LIST_LAG`] have a VM.
    fn all_have(&self, now: Millis, vm: u64) -> bool {
        let lately = |(end, _): &&(Millis, Vec<u64>)| now.since(*end) < LIST_LAG;
        let mut lists = self.former.iter().filter(lately);
        lists.all(|(_, list)| list.contains(&vm))
    }
}

/// Whether rendezvous hashing ranks a VM among the first `senders` of a list for a target.
fn is_sender(vms: &[u64], vm: u64, target: u64, senders: u64) -> bool {
    let score = mix64(vm, target);
    let higher = vms.iter().filter(|other| mix64(**other, target) > score);
    vms.contains(&vm) && (higher.count() as u64) < senders
}

impl TargetPool {
    /// Sets what the requests to a cold target in one second may exceed its rate by.
    #[must_use]
    pub fn with_cold_start_terms(mut self, terms: ColdStartTerms) -> Self {
        self.cold_start_terms = terms;
        self
    }

    /// Ends the requests of this VM to cold targets. To be called before its entry is removed, from which on others take its place.
    pub fn begin_leaving(&mut self, now: Millis) {
        self.is_leaving = true;
        self.assign_cold_targets(now);
    }

    /// Determines the cold targets to which this VM sends requests, and at which rate.
    pub(super) fn assign_cold_targets(&mut self, now: Millis) {
        let cold = self.targets.iter().filter(|(_, t)| t.is_cold(now));
        let keys: Vec<TargetKey> = cold.map(|(key, _)| key).collect();
        for key in keys {
            self.assign_cold_target(now, key);
        }
    }

    /// Determines whether and at which rate this VM sends requests to a cold target.
    pub(super) fn assign_cold_target(&mut self, now: Millis, key: TargetKey) {
        let target = &self.targets[key];
        let senders = self.cold_start_terms.senders();
        let own_vm = self.own_vm_hash;
        let is_sender = !self.is_leaving
            && target.region_index == self.own_region_index
            && is_sender(&self.region_vm_hashes, own_vm, target.id_hash, senders)
            && self.sender_lists.all_have(now, own_vm);
        let service = self.services.get(&target.registration.service);
        let rate = service.map_or(0, |service| {
            self.cold_start_terms.sender_rate(service.cold_start_limit)
        });
        let rate = if is_sender { rate } else { 0 };
        self.targets[key].cold_start.set_rate(now, rate);
    }
}
