//! The timers of the pulls and store calls.

use fastrand::Rng;
use waxwing_types::{Millis, Revision, VmId};

use super::{PullAction, Puller, STALE_CONFIG_AGE, STORE_POLL_WAIT, StoreCall};
use crate::{Config, Members, PullRequest};

/// Peers that a VM asks at a time until it is ready, and whose answers make it ready if the store
/// is out of reach.
const START_PEERS: usize = 3;

/// Time that a new VM gives its peers before it asks the store for the whole configuration.
const START_GRACE: Millis = Millis(2000);

/// Pause of a watcher after a failed call to the store.
const WATCH_PAUSE: Millis = Millis(1000);

/// Pause of others after a failed call to the store, at least; at most twice that. At 1,100 VMs it
/// makes 370 calls a second after an outage, a fifth of what the store takes.
const READ_PAUSE: Millis = Millis(2000);

/// Peers asked with each period of a sweep: a domain of 34 VMs and 31 others take 4 s.
const SWEEP_STEP: usize = 16;

pub(super) fn store_pause(watcher: bool, rng: &mut Rng) -> Millis {
    if watcher {
        return WATCH_PAUSE;
    }
    READ_PAUSE + Millis(rng.u64(0..=READ_PAUSE.0))
}

impl Puller {
    /// Starts what is due. Call it at least every 100 ms.
    pub fn tick(
        &mut self,
        now: Millis,
        config: &Config,
        members: &mut Members,
        rng: &mut Rng,
    ) -> Vec<PullAction> {
        let mut actions = Vec::new();
        if now >= self.next {
            let first = self.next == self.started;
            // VMs that start together spread over the period.
            let pause = if first {
                rng.u64(1..=self.settings.period.0)
            } else {
                self.settings.period.0
            };
            self.next = now + Millis(pause);
            self.note_age(now, config, members, rng);
            self.periodic(config, members, rng, &mut actions);
        }
        if self.store_due(now, config, members) {
            self.store = StoreCall::Pending;
            let watches = self.ready && members.is_watcher(now);
            actions.push(PullAction::ReadStore {
                after: config.store_cursor(),
                wait: if watches {
                    STORE_POLL_WAIT
                } else {
                    Millis::ZERO
                },
            });
        }
        actions
    }

    fn periodic(
        &mut self,
        config: &Config,
        members: &mut Members,
        rng: &mut Rng,
        actions: &mut Vec<PullAction>,
    ) {
        // A second sender would send the same pages again.
        if self.sender.is_some() {
            return;
        }
        let count = if self.ready { 1 } else { START_PEERS };
        for _ in 0..count {
            let to = members.next_pull_peer(rng);
            actions.extend(to.and_then(|to| self.pull(config, members, to)));
        }
        let rest = self.sweep.len().saturating_sub(SWEEP_STEP);
        for to in self.sweep.split_off(rest) {
            actions.extend(self.pull(config, members, to));
        }
    }

    /// Starts a sweep when the configuration becomes stale. There is one for each time, because in
    /// an outage of the store nobody has news.
    fn note_age(&mut self, now: Millis, config: &Config, members: &Members, rng: &mut Rng) {
        let stale = self.ready && config.age(now) > STALE_CONFIG_AGE;
        if stale && !self.stale {
            self.sweep = members.sweep_peers(rng);
        }
        if !stale && !self.stopping {
            self.sweep.clear();
        }
        self.stale = stale;
    }

    fn store_due(&self, now: Millis, config: &Config, members: &Members) -> bool {
        if self.store == StoreCall::Pending || now < self.store_next {
            return false;
        }
        if self.ready {
            return self.stale
                || config.store_cursor() > config.revision()
                || members.is_watcher(now);
        }
        let grace = now.since(self.started) < START_GRACE;
        self.sender.is_none() && (!self.answered.is_empty() || !grace)
    }

    /// A pull from a peer, unless one is under way.
    pub(super) fn pull(
        &mut self,
        config: &Config,
        members: &Members,
        to: VmId,
    ) -> Option<PullAction> {
        if !self.asked.insert(to.clone()) {
            return None;
        }
        let request = PullRequest {
            from: members.own_id().clone(),
            incarnation: self.incarnation,
            domain: members.own_domain().clone(),
            after: config.peer_cursor(),
            stopping: self.stopping,
        };
        Some(PullAction::Pull { to, request })
    }

    /// Announces a higher revision.
    pub(super) fn after_news(
        &mut self,
        before: Revision,
        config: &Config,
        members: &Members,
        rng: &mut Rng,
        actions: &mut Vec<PullAction>,
    ) {
        // The first revision of a new VM is news to nobody.
        if config.revision() <= before || !self.ready {
            return;
        }
        for to in members.random_local_peers(self.settings.announce_count, rng) {
            actions.extend(self.pull(config, members, to));
        }
    }

    /// Without the store a new VM is ready when several peers, or all there are, answered or failed
    /// and it holds the highest revision that any of them named.
    pub(super) fn update_ready(&mut self, config: &Config, members: &Members) {
        if self.ready || self.store != StoreCall::Failed || config.is_transferring() {
            return;
        }
        let enough = self.answered.len() >= START_PEERS || members.all_peers_tried();
        let revision = config.revision();
        self.ready = enough && revision >= self.highest && revision > Revision::default();
    }
}
