//! Schedules the pulls of configuration records from peers and from the store.

mod schedule;

use std::collections::BTreeSet;

use fastrand::Rng;
use waxwing_types::{Incarnation, Millis, Revision, VmId, common_derives};

use crate::{ApplyOutcome, Config, Members, PULL_PERIOD, PullReply, PullRequest, RecordPage};

/// Default of [`PullSettings::page_bytes`].
pub const DEFAULT_PAGE_BYTES: usize = 256 * 1024;

/// Longest time for which the store holds the call of a watcher while there are no changes. In
/// fault-free operation the configuration of a watcher is not older than this.
///
/// Watchers are the [`WATCHERS_PER_DOMAIN`](crate::WATCHERS_PER_DOMAIN) VMs of a failure domain
/// that read changes from the store with long polls. The other VMs get changes from their peers.
pub const STORE_POLL_WAIT: Millis = Millis(2000);

/// Age of the configuration above which a VM reads from the store itself and pulls from many peers.
///
/// In fault-free operation only a few VMs at a time exceed this age, and their reads are a small
/// load for the store. The value leaves 5 s of the 13 s within which a change has to reach every
/// VM.
pub const STALE_CONFIG_AGE: Millis = Millis(8000);

common_derives! {
    /// A call that the caller of [`Puller`] must make.
    pub enum PullAction {
        /// Pull from a peer. Report the result to [`Puller::on_pull_reply`] or
        /// [`Puller::on_pull_failed`].
        Pull {
            /// The peer to call.
            to: VmId,
            /// The request, which asks for the records after [`Config::peer_cursor`].
            request: PullRequest,
        },
        /// Read the changes under `config/` from the store. Report the result to
        /// [`Puller::on_store_reply`] or [`Puller::on_store_failed`].
        ReadStore {
            /// The revision after which to read changes.
            after: Revision,
            /// Longest time that the store may hold the call while there are no changes.
            wait: Millis,
        },
    }
}

common_derives! {
    copy
    /// Settings of the pulls. `pull_back` and `announce_count` make changes spread faster than by
    /// periodic pulls alone.
    pub struct PullSettings {
        /// Time between two periodic pulls.
        pub period: Millis,
        /// Whether a VM that receives a pull from a peer with a newer revision immediately pulls
        /// from that peer in return.
        pub pull_back: bool,
        /// Number of peers from which a VM pulls immediately when its revision rises. The requests
        /// tell these peers that the VM holds a newer revision, and they pull from the VM.
        pub announce_count: usize,
        /// Greatest number of bytes of records in a reply. If the first record alone is larger, the
        /// reply holds only that record.
        pub page_bytes: usize,
    }
}

impl Default for PullSettings {
    fn default() -> Self {
        Self {
            period: PULL_PERIOD,
            pull_back: true,
            announce_count: 2,
            page_bytes: DEFAULT_PAGE_BYTES,
        }
    }
}

common_derives! {
    copy
    /// The state of the calls to the store. At most one call is pending at a time.
    enum StoreCallState {
        /// No call is pending.
        Idle,
        /// A call was sent, and its result has not arrived.
        Pending,
        /// No call is pending, and the last call failed.
        Failed,
    }
}

/// Decides when a VM pulls from peers and when it calls the store.
#[derive(Debug)]
pub struct Puller {
    settings: PullSettings,
    incarnation: Incarnation,
    started_at: Millis,
    next_periodic_pull: Millis,
    /// Peers with a pending pull.
    pending_peers: BTreeSet<VmId>,
    /// The peer that is sending a transfer of several pages.
    transfer_peer: Option<VmId>,
    /// Peers that remain to be pulled from in the current sweep.
    ///
    /// A sweep pulls once from every other VM of the failure domain and from one VM of each other
    /// domain. A sweep starts when the configuration becomes stale or this VM begins to stop.
    sweep_queue: Vec<VmId>,
    /// Whether the configuration was older than [`STALE_CONFIG_AGE`] at the last periodic pull.
    stale: bool,
    store_call: StoreCallState,
    next_store_call: Millis,
    /// Peers that have replied and from which no further page is expected.
    /// [`Puller::update_ready`] counts them.
    completed_peers: BTreeSet<VmId>,
    /// Highest revision that a peer or the store reported.
    highest_revision: Revision,
    /// See [`Puller::is_ready`].
    ready: bool,
    stopping: bool,
}

impl Puller {
    /// Creates a schedule that starts at `now`.
    pub fn new(now: Millis, incarnation: Incarnation, settings: PullSettings) -> Self {
        Self {
            settings,
            incarnation,
            started_at: now,
            next_periodic_pull: now,
            pending_peers: BTreeSet::new(),
            transfer_peer: None,
            sweep_queue: Vec::new(),
            stale: false,
            store_call: StoreCallState::Idle,
            next_store_call: now,
            completed_peers: BTreeSet::new(),
            highest_revision: Revision::default(),
            ready: false,
            stopping: false,
        }
    }

    /// Announces in all further requests and replies that this VM is stopping. Starts a sweep,
    /// which tells all VMs of the failure domain within a few periods.
    pub fn announce_stop(&mut self, members: &Members, rng: &mut Rng) {
        self.stopping = true;
        self.sweep_queue = members.sweep_peers(rng);
    }

    /// Applies a peer's reply to a pull. `page` holds the records of `reply`, already parsed.
    pub fn on_pull_reply(
        &mut self,
        times: CallTimes,
        (config, members): (&mut Config, &mut Members),
        reply: &PullReply,
        page: RecordPage,
        rng: &mut Rng,
    ) -> (Vec<ApplyOutcome>, Vec<PullAction>) {
        let CallTimes { now, as_of } = times;
        let from = reply.from.clone();
        self.pending_peers.remove(&from);
        members.record_contact(now, &from, reply.incarnation, reply.stopping);
        self.highest_revision = self.highest_revision.max(reply.revision);
        let previous_revision = config.revision();
        let more = page.more;
        let outcomes = config.apply_peer_page(now, as_of, page);
        let mut actions = Vec::new();
        if more && config.is_transferring() {
            self.transfer_peer = Some(from.clone());
            actions.extend(self.start_pull(config, members, from));
            return (outcomes, actions);
        }
        if self.transfer_peer.as_ref() == Some(&from) {
            self.transfer_peer = None;
        }
        self.completed_peers.insert(from);
        self.announce_revision(previous_revision, config, members, rng, &mut actions);
        self.update_ready(config, members);
        (outcomes, actions)
    }

    /// Notes that the last call to a peer failed. If the peer was sending a transfer, other peers
    /// may continue the transfer.
    pub fn on_pull_failed(&mut self, config: &Config, members: &mut Members, to: &VmId) {
        self.pending_peers.remove(to);
        if self.transfer_peer.as_ref() == Some(to) {
            self.transfer_peer = None;
        }
        members.record_call_failure(to);
        self.update_ready(config, members);
    }

    /// Replies to a pull from a peer, and pulls from that peer if the peer holds a newer revision.
    ///
    /// The reply also carries the fingerprints of quarantined requests, which spread between peers
    /// with the pulls. `quarantined` is empty here, and the caller fills it in.
    pub fn on_pull_request(
        &mut self,
        now: Millis,
        config: &Config,
        members: &mut Members,
        request: &PullRequest,
    ) -> (PullReply, Vec<PullAction>) {
        members.record_contact(now, &request.from, request.incarnation, request.stopping);
        let mut actions = Vec::new();
        if self.settings.pull_back && config.is_behind(request) && self.transfer_peer.is_none() {
            actions.extend(self.start_pull(config, members, request.from.clone()));
        }
        let delta = config.delta(now, request.after, self.settings.page_bytes);
        let reply = PullReply {
            from: members.own_id().clone(),
            incarnation: self.incarnation,
            revision: delta.revision,
            age: delta.age,
            records: delta.records,
            more: delta.more,
            quarantined: Vec::new(),
            stopping: self.stopping,
        };
        (reply, actions)
    }

    /// Applies a page from the store.
    pub fn on_store_reply(
        &mut self,
        times: CallTimes,
        (config, members): (&mut Config, &mut Members),
        page: RecordPage,
        rng: &mut Rng,
    ) -> (Vec<ApplyOutcome>, Vec<PullAction>) {
        let previous_revision = config.revision();
        self.store_call = StoreCallState::Idle;
        self.next_store_call = times.now;
        self.highest_revision = self.highest_revision.max(page.revision);
        let more = page.more;
        let outcomes = config.apply_store_page(times.now, times.as_of, page);
        self.ready |= !more;
        let mut actions = Vec::new();
        self.announce_revision(previous_revision, config, members, rng, &mut actions);
        (outcomes, actions)
    }

    /// Schedules the next call to the store after a failed call. A VM that has heard from enough
    /// peers becomes ready without the store.
    pub fn on_store_failed(
        &mut self,
        now: Millis,
        config: &Config,
        members: &Members,
        rng: &mut Rng,
    ) {
        self.store_call = StoreCallState::Failed;
        self.next_store_call = now + schedule::store_retry_delay(members.is_watcher(now), rng);
        self.update_ready(config, members);
    }
}

common_derives! {
    copy
    /// The times of a call to a peer or to the store.
    pub struct CallTimes {
        /// When the result is handled.
        pub now: Millis,
        /// A time before the other side replied. For a pull, this is the time of sending, the
        /// `sent` of [`Config::apply_peer_page`]. For a call to the store, this is the `as_of` of
        /// [`Config::apply_store_page`].
        pub as_of: Millis,
    }
}

impl Puller {
    /// Whether the VM may take requests. A VM becomes ready when it holds the newest revision that
    /// the store or the peers have sent, and then stays ready.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Whether the configuration was older than [`STALE_CONFIG_AGE`] at the last periodic pull.
    /// Always `false` until the VM is ready.
    pub fn is_stale(&self) -> bool {
        self.stale
    }
}
