//! Schedules the pulls of configuration records from peers and from the store.

mod schedule;

use std::collections::BTreeSet;

use fastrand::Rng;
use waxwing_types::{Incarnation, Millis, Revision, VmId, common_derives};

use crate::{ApplyOutcome, Config, Members, PULL_PERIOD, PullReply, PullRequest, RecordPage};

/// Default of [`PullSettings::page_bytes`].
pub const DEFAULT_PAGE_BYTES: usize = 256 * 1024;

/// Longest time that the store holds a watcher's call while there are no changes. In fault-free
/// operation a watcher's configuration is not older than this.
pub const STORE_POLL_WAIT: Millis = Millis(2000);

/// Age of the configuration above which a VM reads from the store itself and pulls from many peers.
///
/// In fault-free operation only a few VMs at a time exceed this age, and their reads cost the store
/// little. The value leaves 5 s of the 13 s within which a change has to reach every VM.
pub const STALE_CONFIG_AGE: Millis = Millis(8000);

common_derives! {
    /// A call for the driver to make.
    pub enum PullAction {
        /// Pull from a peer. Report the result to [`Puller::on_pull_reply`] or
        /// [`Puller::on_pull_failed`].
        Pull {
            /// The peer to call.
            to: VmId,
            /// The request to send.
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
    /// Settings of the pulls. All but the period and the page size make changes spread faster than
    /// by periodic pulls alone.
    pub struct PullSettings {
        /// Time between two periodic pulls.
        pub period: Millis,
        /// Whether a VM that receives a pull from a peer at a newer revision pulls from it at once.
        pub pull_back: bool,
        /// Number of peers from which a VM pulls at once when its revision rises, so that they
        /// notice the newer revision and pull back.
        pub announce_count: usize,
        /// Most bytes of records in a reply, unless its first record alone is larger.
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
    /// The state of the calls to the store, of which one is made at a time.
    enum StoreCallState {
        /// No call is pending.
        Idle,
        /// A call is pending.
        Pending,
        /// No call is pending, and the last one failed.
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
    /// Peers that remain to be pulled from in the current sweep. A sweep starts when the
    /// configuration becomes stale or this VM stops.
    sweep_queue: Vec<VmId>,
    /// Whether the configuration was older than [`STALE_CONFIG_AGE`] at the last periodic pull.
    stale: bool,
    store_call: StoreCallState,
    next_store_call: Millis,
    /// Peers that have sent a complete reply. Only read until the VM is ready.
    replied_peers: BTreeSet<VmId>,
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
            replied_peers: BTreeSet::new(),
            highest_revision: Revision::default(),
            ready: false,
            stopping: false,
        }
    }

    /// Announces that this VM is stopping, in all further requests and replies. A sweep of pulls
    /// reaches all VMs of its failure domain within a few periods.
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
        let CallTimes { now, sent } = times;
        let from = reply.from.clone();
        self.pending_peers.remove(&from);
        members.record_contact(now, &from, reply.incarnation, reply.stopping);
        self.highest_revision = self.highest_revision.max(reply.revision);
        let previous_revision = config.revision();
        let more = page.more;
        let outcomes = config.apply_peer_page(now, sent, page);
        let mut actions = Vec::new();
        if more && config.is_transferring() {
            self.transfer_peer = Some(from.clone());
            actions.extend(self.start_pull(config, members, from));
            return (outcomes, actions);
        }
        if self.transfer_peer.as_ref() == Some(&from) {
            self.transfer_peer = None;
        }
        self.replied_peers.insert(from);
        self.announce_revision(previous_revision, config, members, rng, &mut actions);
        self.update_ready(config, members);
        (outcomes, actions)
    }

    /// Handles the failure of a pull.
    pub fn on_pull_failed(&mut self, config: &Config, members: &mut Members, to: &VmId) {
        self.pending_peers.remove(to);
        if self.transfer_peer.as_ref() == Some(to) {
            self.transfer_peer = None;
        }
        members.record_call_failure(to);
        self.update_ready(config, members);
    }

    /// Replies to a pull from a peer, and pulls from that peer if it holds a newer revision. The
    /// driver adds the fingerprints of quarantined requests to the reply.
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

    /// Applies a page from the store. `times.sent` is the `as_of` of [`Config::apply_store_page`].
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
        let outcomes = config.apply_store_page(times.now, times.sent, page);
        self.ready |= !more;
        let mut actions = Vec::new();
        self.announce_revision(previous_revision, config, members, rng, &mut actions);
        (outcomes, actions)
    }

    /// Handles the failure of a call to the store.
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
    /// When a call was sent, and when its result is handled.
    pub struct CallTimes {
        /// The current time.
        pub now: Millis,
        /// When the call was sent.
        pub sent: Millis,
    }
}

impl Puller {
    /// Whether the VM may take requests: at some time it has held the newest revision that it could
    /// get from the store or from its peers.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Whether the configuration is older than [`STALE_CONFIG_AGE`]. Updated with each periodic
    /// pull.
    pub fn is_stale(&self) -> bool {
        self.stale
    }
}
