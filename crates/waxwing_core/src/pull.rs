//! When records are pulled, from whom, and when the store is watched.

mod schedule;

use std::collections::BTreeSet;

use fastrand::Rng;
use waxwing_types::{Incarnation, Millis, Revision, VmId, common_derives};

use crate::{ApplyOutcome, Config, Members, PULL_PERIOD, PullReply, PullRequest, RecordPage};

/// Default of [`PullSettings::page_bytes`].
pub const DEFAULT_PAGE_BYTES: usize = 256 * 1024;

/// Time for which the store holds a watch without news. It bounds the age of a watcher's
/// configuration in fault-free operation.
pub const STORE_POLL_WAIT: Millis = Millis(2000);

/// Age of the configuration beyond which a VM asks the store and a sweep of peers itself. Bound of
/// the age in fault-free operation, but for a few VMs at a time whose read costs the store little;
/// it leaves 5 s of the 13 s in which a change has to arrive.
pub const STALE_CONFIG_AGE: Millis = Millis(8000);

common_derives! {
    /// A call that the driver makes.
    pub enum PullAction {
        /// Call a peer; report to [`Puller::on_pull_reply`] or [`Puller::on_pull_failed`].
        Pull {
            /// The peer.
            to: VmId,
            /// The request.
            request: PullRequest,
        },
        /// Ask the store for changes under `config/`; report to [`Puller::on_store_reply`] or
        /// [`Puller::on_store_failed`].
        ReadStore {
            /// The revision after which to ask.
            after: Revision,
            /// Time for which the store may hold the call.
            wait: Millis,
        },
    }
}

common_derives! {
    copy
    /// Parts of the protocol that spread news faster than periodic pulls.
    pub struct PullSettings {
        /// Time between periodic pulls.
        pub period: Millis,
        /// Whether a VM that is pulled by one with news pulls from it at once.
        pub pull_back: bool,
        /// Peers that a VM pulls from at once after news, so that they pull back.
        pub announce_count: usize,
        /// Bytes of records in a reply, unless one record alone is larger.
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
    /// The state of the calls to the store.
    enum StoreCall {
        /// None is under way.
        Idle,
        /// One is under way.
        Pending,
        /// The last one failed.
        Failed,
    }
}

/// The schedule of pulls and store calls of one VM.
#[derive(Debug)]
pub struct Puller {
    settings: PullSettings,
    incarnation: Incarnation,
    started: Millis,
    next: Millis,
    /// Peers with a call under way.
    asked: BTreeSet<VmId>,
    /// The peer that sends a transfer of several pages.
    sender: Option<VmId>,
    /// Peers still to be asked because the configuration is stale.
    sweep: Vec<VmId>,
    stale: bool,
    store: StoreCall,
    store_next: Millis,
    /// Peers that answered in full before the VM was ready.
    answered: BTreeSet<VmId>,
    /// Highest revision that a peer or the store named.
    highest: Revision,
    ready: bool,
    stopping: bool,
}

impl Puller {
    /// A schedule that starts now.
    pub fn new(now: Millis, incarnation: Incarnation, settings: PullSettings) -> Self {
        Self {
            settings,
            incarnation,
            started: now,
            next: now,
            asked: BTreeSet::new(),
            sender: None,
            sweep: Vec::new(),
            stale: false,
            store: StoreCall::Idle,
            store_next: now,
            answered: BTreeSet::new(),
            highest: Revision::default(),
            ready: false,
            stopping: false,
        }
    }

    /// Tells peers from now on that this VM is stopping, those of its own domain within a few
    /// periods.
    pub fn announce_stop(&mut self, members: &Members, rng: &mut Rng) {
        self.stopping = true;
        self.sweep = members.sweep_peers(rng);
    }

    /// Adopts a peer's reply to a pull that was sent at `sent`.
    pub fn on_pull_reply(
        &mut self,
        clock: CallTimes,
        (config, members): (&mut Config, &mut Members),
        reply: &PullReply,
        page: RecordPage,
        rng: &mut Rng,
    ) -> (Vec<ApplyOutcome>, Vec<PullAction>) {
        let CallTimes { now, sent } = clock;
        let from = reply.from.clone();
        self.asked.remove(&from);
        members.record_contact(now, &from, reply.incarnation, reply.stopping);
        self.highest = self.highest.max(reply.revision);
        let before = config.revision();
        let more = page.more;
        let adoptions = config.apply_peer_page(now, sent, page);
        let mut actions = Vec::new();
        if more && config.is_transferring() {
            self.sender = Some(from.clone());
            actions.extend(self.pull(config, members, from));
            return (adoptions, actions);
        }
        if self.sender.as_ref() == Some(&from) {
            self.sender = None;
        }
        self.answered.insert(from);
        self.after_news(before, config, members, rng, &mut actions);
        self.update_ready(config, members);
        (adoptions, actions)
    }

    /// Notes that a pull failed.
    pub fn on_pull_failed(&mut self, config: &Config, members: &mut Members, to: &VmId) {
        self.asked.remove(to);
        if self.sender.as_ref() == Some(to) {
            self.sender = None;
        }
        members.record_call_failure(to);
        self.update_ready(config, members);
    }

    /// Answers a pull, and pulls back if the caller has news. The driver adds the fingerprints.
    pub fn on_pull_request(
        &mut self,
        now: Millis,
        config: &Config,
        members: &mut Members,
        request: &PullRequest,
    ) -> (PullReply, Vec<PullAction>) {
        members.record_contact(now, &request.from, request.incarnation, request.stopping);
        let mut actions = Vec::new();
        if self.settings.pull_back && config.is_behind(request) && self.sender.is_none() {
            actions.extend(self.pull(config, members, request.from.clone()));
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

    /// Adopts an answer of the store; `clock.sent` is the moment as [`Config::apply_store_page`] wants it.
    pub fn on_store_reply(
        &mut self,
        clock: CallTimes,
        (config, members): (&mut Config, &mut Members),
        page: RecordPage,
        rng: &mut Rng,
    ) -> (Vec<ApplyOutcome>, Vec<PullAction>) {
        let before = config.revision();
        self.store = StoreCall::Idle;
        self.store_next = clock.now;
        self.highest = self.highest.max(page.revision);
        let more = page.more;
        let adoptions = config.apply_store_page(clock.now, clock.sent, page);
        self.ready |= !more;
        let mut actions = Vec::new();
        self.after_news(before, config, members, rng, &mut actions);
        (adoptions, actions)
    }

    /// Notes that a call to the store failed.
    pub fn on_store_failed(
        &mut self,
        now: Millis,
        config: &Config,
        members: &Members,
        rng: &mut Rng,
    ) {
        self.store = StoreCall::Failed;
        self.store_next = now + schedule::store_pause(members.is_watcher(now), rng);
        self.update_ready(config, members);
    }
}

common_derives! {
    copy
    /// The moments between which a call took place.
    pub struct CallTimes {
        /// The present.
        pub now: Millis,
        /// When the call was sent.
        pub sent: Millis,
    }
}

impl Puller {
    /// Whether the VM may take work: it has once held the highest revision it could reach.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Whether the configuration is older than in fault-free operation.
    pub fn is_stale(&self) -> bool {
        self.stale
    }
}
