//! The timers of the pulls and of the calls to the store.

use fastrand::Rng;
use waxwing_types::{Millis, Revision, VmId};

use super::{PullAction, Puller, STALE_CONFIG_AGE, STORE_POLL_WAIT, StoreCallState};
use crate::{Config, Members, PullRequest};

/// Number of peers from which a VM pulls per period until it is ready.
///
/// A VM that cannot reach the store also needs complete replies of this many peers to become ready,
/// see [`Puller::update_ready`].
const STARTUP_PULL_PEERS: usize = 3;

/// Longest time for which a new VM waits for the reply of a peer before it reads the whole
/// configuration from the store.
const START_STORE_DELAY: Millis = Millis(2000);

/// Delay between a failed call to the store and the next call, if the VM is a watcher.
const WATCHER_RETRY_DELAY: Millis = Millis(1000);

/// Shortest delay between a failed call to the store and the next call, if the VM is not a watcher.
/// The longest delay is twice as long.
///
/// During an outage the configuration of every VM becomes stale. All VMs then call the store, with
/// a mean delay of 3 s. With 1,100 VMs these are 370 calls per second, a fifth of what the store
/// can handle after the outage.
const MIN_NON_WATCHER_RETRY_DELAY: Millis = Millis(2000);

/// Number of peers from which a VM pulls per period during a sweep. With the default period of 1 s,
/// a sweep over a failure domain of 34 VMs and one VM of each of 31 other domains takes 4 s.
const SWEEP_PEERS_PER_PERIOD: usize = 16;

/// Returns the delay after a failed call to the store. It is random for VMs that are not watchers,
/// which spreads their calls.
pub(super) fn store_retry_delay(is_watcher: bool, rng: &mut Rng) -> Millis {
    if is_watcher {
        return WATCHER_RETRY_DELAY;
    }
    MIN_NON_WATCHER_RETRY_DELAY + Millis(rng.u64(0..=MIN_NON_WATCHER_RETRY_DELAY.0))
}

impl Puller {
    /// Starts the calls that are due. Must be called at least every 100 ms.
    pub fn tick(
        &mut self,
        now: Millis,
        config: &Config,
        members: &mut Members,
        rng: &mut Rng,
    ) -> Vec<PullAction> {
        let mut actions = Vec::new();
        if now >= self.next_periodic_pull {
            let first = self.next_periodic_pull == self.started_at;
            // A random first delay spreads the pulls of VMs that start together over the period.
            let delay = if first {
                rng.u64(1..=self.settings.period.0)
            } else {
                self.settings.period.0
            };
            self.next_periodic_pull = now + Millis(delay);
            self.update_staleness(now, config, members, rng);
            self.start_periodic_pulls(config, members, rng, &mut actions);
        }
        if self.is_store_call_due(now, config, members) {
            self.store_call = StoreCallState::Pending;
            let long_poll = self.ready && members.is_watcher(now);
            actions.push(PullAction::ReadStore {
                after: config.store_cursor(),
                wait: if long_poll {
                    STORE_POLL_WAIT
                } else {
                    Millis::ZERO
                },
            });
        }
        actions
    }

    fn start_periodic_pulls(
        &mut self,
        config: &Config,
        members: &mut Members,
        rng: &mut Rng,
        actions: &mut Vec<PullAction>,
    ) {
        // While a transfer runs, another peer would send the same pages again.
        if self.transfer_peer.is_some() {
            return;
        }
        let count = if self.ready { 1 } else { STARTUP_PULL_PEERS };
        for _ in 0..count {
            let to = members.next_pull_peer(rng);
            actions.extend(to.and_then(|to| self.start_pull(config, members, to)));
        }
        let remaining = self
            .sweep_queue
            .len()
            .saturating_sub(SWEEP_PEERS_PER_PERIOD);
        for to in self.sweep_queue.split_off(remaining) {
            actions.extend(self.start_pull(config, members, to));
        }
    }

    /// Updates `stale`. Starts a sweep when the configuration becomes stale, and ends the sweep
    /// when the configuration is no longer stale.
    ///
    /// A sweep is not repeated while the configuration stays stale, because in an outage of the
    /// store no peer has a newer revision.
    fn update_staleness(&mut self, now: Millis, config: &Config, members: &Members, rng: &mut Rng) {
        let stale = self.ready && config.age(now) > STALE_CONFIG_AGE;
        if stale && !self.stale {
            self.sweep_queue = members.sweep_peers(rng);
        }
        if !stale && !self.stopping {
            self.sweep_queue.clear();
        }
        self.stale = stale;
    }

    fn is_store_call_due(&self, now: Millis, config: &Config, members: &Members) -> bool {
        if self.store_call == StoreCallState::Pending || now < self.next_store_call {
            return false;
        }
        if self.ready {
            return self.stale
                || config.store_cursor() > config.revision()
                || members.is_watcher(now);
        }
        let waits_for_peers = now.since(self.started_at) < START_STORE_DELAY;
        self.transfer_peer.is_none() && (!self.completed_peers.is_empty() || !waits_for_peers)
    }

    /// Starts a pull from a peer. Returns `None` if a pull from this peer is already pending.
    pub(super) fn start_pull(
        &mut self,
        config: &Config,
        members: &Members,
        to: VmId,
    ) -> Option<PullAction> {
        if !self.pending_peers.insert(to.clone()) {
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

    /// Announces a revision higher than `previous` to a few peers by pulling from them.
    pub(super) fn announce_revision(
        &mut self,
        previous: Revision,
        config: &Config,
        members: &Members,
        rng: &mut Rng,
        actions: &mut Vec<PullAction>,
    ) {
        // A VM that is not ready yet has nothing to announce: its peers already hold the revision
        // that it reads.
        if config.revision() <= previous || !self.ready {
            return;
        }
        for to in members.random_local_peers(self.settings.announce_count, rng) {
            actions.extend(self.start_pull(config, members, to));
        }
    }

    /// Makes a new VM ready after a failed call to the store, if the VM has heard from enough
    /// peers.
    ///
    /// [`STARTUP_PULL_PEERS`] peers that have replied completely are enough. Fewer are enough if,
    /// for every other VM on the list, the VM has been in contact with this VM or the last call to
    /// it failed. This VM must also hold the highest revision that the store or a peer has
    /// reported.
    pub(super) fn update_ready(&mut self, config: &Config, members: &Members) {
        if self.ready || self.store_call != StoreCallState::Failed || config.is_transferring() {
            return;
        }
        let enough = self.completed_peers.len() >= STARTUP_PULL_PEERS || members.all_peers_tried();
        let revision = config.revision();
        self.ready = enough && revision >= self.highest_revision && revision > Revision::default();
    }
}
