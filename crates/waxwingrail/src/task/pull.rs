//! Pulls from peers and watches of the store.

use std::sync::{Arc, PoisonError};

use smol_str::SmolStr;
use waxwing_core::{
    ApplyOutcome, BlockTable, CallTimes, ParsedRecord, PullAction, PullReply, PullRequest,
    RecordPage, VersionedRecord,
};
use waxwing_store::{ChangesOutcome, Object};
use waxwing_types::{Millis, Revision, VmId};

use super::{Context, PEER_TIME, pause, peer_failed};
use crate::state::Shared;

/// Time between ticks of the schedule.
const TICK: Millis = Millis(100);
/// Prefix of the configuration records.
const CONFIG: &str = "config/";
/// Fingerprints told in one reply.
const MAX_PRINTS: usize = 256;

pub(super) async fn run(ctx: Context) {
    loop {
        let actions = tick(&ctx.shared);
        perform_all(&ctx, actions);
        pause(TICK).await;
    }
}

fn tick(shared: &Shared) -> Vec<PullAction> {
    let config = shared.config();
    let mut fleet = shared.fleet();
    let mut tail = shared.tail();
    let now = shared.now();
    let fleet = &mut *fleet;
    if fleet.puller.is_ready() {
        shared.note_configured();
    }
    fleet
        .puller
        .tick(now, &config, &mut fleet.members, &mut tail.rng)
}

pub(super) fn perform_all(ctx: &Context, actions: Vec<PullAction>) {
    for action in actions {
        ctx.shared
            .executor
            .spawn(perform(ctx.clone(), action))
            .detach();
    }
}

async fn perform(ctx: Context, action: PullAction) {
    let next = match action {
        PullAction::Pull { to, request } => pull(&ctx, to, request).await,
        PullAction::ReadStore { after, wait } => watch(&ctx, after, wait).await,
    };
    perform_all(&ctx, next);
}

async fn pull(ctx: &Context, to: VmId, request: PullRequest) -> Vec<PullAction> {
    let shared = &ctx.shared;
    let sent = shared.now();
    let after = request.after;
    let reply = match shared.peer_address(&to) {
        Some(address) => {
            let reply = ctx.peers.pull(address, request, PEER_TIME).await;
            reply.map_err(|error| error.to_string())
        }
        None => Err("not on the list".to_owned()),
    };
    match reply {
        Ok(reply) => adopt_reply(shared, sent, after, reply),
        Err(error) => {
            peer_failed(shared, &to, "pull", &error);
            let config = shared.config();
            let mut fleet = shared.fleet();
            let fleet = &mut *fleet;
            fleet
                .puller
                .on_pull_failed(&config, &mut fleet.members, &to);
            Vec::new()
        }
    }
}

fn adopt_reply(
    shared: &Arc<Shared>,
    sent: Millis,
    after: Revision,
    mut reply: PullReply,
) -> Vec<PullAction> {
    let paths = paths(&reply.records);
    let page = RecordPage::from_reply(after, &mut reply);
    let (adoptions, actions) = {
        let mut config = shared.config();
        let mut fleet = shared.fleet();
        let mut tail = shared.tail();
        let now = shared.now();
        tail.quarantine.merge_peer(now, &reply.quarantined);
        let fleet = &mut *fleet;
        let tables = (&mut *config, &mut fleet.members);
        let clocks = CallTimes { now, sent };
        fleet
            .puller
            .on_pull_reply(clocks, tables, &reply, page, &mut tail.rng)
    };
    after_adoption(shared, &paths, &adoptions);
    actions
}

async fn watch(ctx: &Context, after: Revision, wait: Millis) -> Vec<PullAction> {
    let shared = &ctx.shared;
    let sent = shared.now();
    let timeout = shared.settings.store_timeout;
    let outcome = shared.store.changes(CONFIG, after, wait, timeout).await;
    match outcome {
        ChangesOutcome::Changes {
            objects,
            revision,
            more,
        } => {
            // A watch without news was answered when its time was over.
            let sent = if objects.is_empty() {
                sent + wait
            } else {
                sent
            };
            adopt_changes(shared, sent, after, (objects, revision, more))
        }
        ChangesOutcome::Unreachable(reason) => {
            shared.metrics.store_failures.increment(1);
            log::debug!(reason = reason.as_str(); "the configuration cannot be read");
            let config = shared.config();
            let mut fleet = shared.fleet();
            let mut tail = shared.tail();
            let fleet = &mut *fleet;
            let now = shared.now();
            fleet
                .puller
                .on_store_failed(now, &config, &fleet.members, &mut tail.rng);
            Vec::new()
        }
    }
}

fn adopt_changes(
    shared: &Arc<Shared>,
    sent: Millis,
    after: Revision,
    (objects, revision, more): (Vec<Object>, Revision, bool),
) -> Vec<PullAction> {
    let records: Vec<_> = objects.into_iter().map(record).collect();
    let paths = paths(&records);
    let page = RecordPage {
        after,
        revision,
        age: Millis::ZERO,
        more,
        records: records.into_iter().map(ParsedRecord::parse).collect(),
    };
    let (adoptions, actions) = {
        let mut config = shared.config();
        let mut fleet = shared.fleet();
        let mut tail = shared.tail();
        let fleet = &mut *fleet;
        let now = shared.now();
        let clocks = CallTimes {
            now,
            sent: sent.min(now),
        };
        let tables = (&mut *config, &mut fleet.members);
        fleet
            .puller
            .on_store_reply(clocks, tables, page, &mut tail.rng)
    };
    after_adoption(shared, &paths, &adoptions);
    actions
}

fn record(object: Object) -> VersionedRecord {
    VersionedRecord {
        path: object.path,
        version: object.version,
        value: object.value,
    }
}

fn paths(records: &[VersionedRecord]) -> Vec<SmolStr> {
    records.iter().map(|r| r.path.clone()).collect()
}

/// Puts what changed in force in the other tables.
fn after_adoption(shared: &Arc<Shared>, paths: &[SmolStr], adoptions: &[ApplyOutcome]) {
    let mut changed = false;
    for (path, adoption) in paths.iter().zip(adoptions) {
        let path = path.as_str();
        match adoption {
            ApplyOutcome::NotNewer => continue,
            ApplyOutcome::Applied => log::info!(path = path; "record in force"),
            ApplyOutcome::Withdrawn => {
                log::info!(path = path; "record withdrawn");
                drop_key(shared, path);
            }
            ApplyOutcome::Rejected(findings) => {
                let findings = findings.to_string();
                log::warn!(path = path, findings = findings.as_str(); "record rejected");
            }
        }
        changed = true;
    }
    // A revision that rises without a record still has to be confirmed by the owners of shards.
    let config = shared.config();
    if !shared.take_limits_revision(config.revision()) && !changed {
        return;
    }
    let mut ledger = shared.ledger();
    let domains = config.domains().keys().cloned().collect();
    let (revision, limits) = (config.revision(), config.limits());
    ledger.configure(shared.now(), revision, domains, limits);
    drop((config, ledger));
    if changed {
        rebuild_blocks(shared);
    }
}

/// Gives the requests that wait with a withdrawn key their turn, which ends them.
fn drop_key(shared: &Shared, path: &str) {
    let Some(key) = path.strip_prefix("config/key/") else {
        return;
    };
    let waiting = shared.queue().remove_requests_of_key(key);
    for flow in waiting {
        shared.wake(flow);
    }
}

/// Builds the table of client blocks again if its records changed. A large one takes longer than a
/// worker thread may be held, so that it gets a thread of its own.
fn rebuild_blocks(shared: &Arc<Shared>) {
    let parts = shared.config().block_records().clone();
    if !shared.take_blocks_generation(parts.generation()) {
        return;
    }
    let shared = Arc::clone(shared);
    let generation = parts.generation();
    let build = move || {
        let table = Arc::new(BlockTable::build(&parts));
        let mut held = shared
            .blocks
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if held.0 < generation {
            *held = (generation, table);
        }
    };
    let thread = std::thread::Builder::new().name("blocks".to_owned());
    if let Err(error) = thread.spawn(build) {
        let error = error.to_string();
        log::error!(error = error.as_str(); "the table of blocks cannot be built");
    }
}

/// Answers a pull of another daemon. Returns the calls that it leads to as well.
pub(super) fn answer(shared: &Shared, request: &PullRequest) -> (PullReply, Vec<PullAction>) {
    let config = shared.config();
    let mut fleet = shared.fleet();
    let tail = shared.tail();
    let now = shared.now();
    let fleet = &mut *fleet;
    let (mut reply, actions) =
        fleet
            .puller
            .on_pull_request(now, &config, &mut fleet.members, request);
    reply.quarantined = tail.quarantine.fingerprints_to_share(now, MAX_PRINTS);
    (reply, actions)
}
