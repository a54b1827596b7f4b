//! Keeps the configuration up to date by pulls from peers and watches of the store.

use std::sync::{Arc, PoisonError};

use smol_str::SmolStr;
use waxwing_core::{
    ApplyOutcome, BlockTable, CallTimes, ParsedRecord, PullAction, PullReply, PullRequest,
    RecordPage, VersionedRecord,
};
use waxwing_store::{ChangesOutcome, Object};
use waxwing_types::{Millis, Revision, VmId};

use super::{PEER_TIMEOUT, TaskContext, pause, record_peer_failure};
use crate::state::Shared;

/// Period at which the schedule of pulls and watches is checked.
const TICK_PERIOD: Millis = Millis(100);
/// Path prefix of the configuration records in the store.
const CONFIG_PREFIX: &str = "config/";
/// Maximum number of fingerprints of quarantined requests in a reply to a pull.
const MAX_FINGERPRINTS: usize = 256;

pub(super) async fn run(ctx: TaskContext) {
    loop {
        let actions = tick(&ctx.shared);
        spawn_actions(&ctx, actions);
        pause(TICK_PERIOD).await;
    }
}

/// Returns the calls that are due. Marks the daemon as configured once the puller is ready.
fn tick(shared: &Shared) -> Vec<PullAction> {
    let config = shared.config();
    let mut fleet = shared.fleet();
    let mut retry_state = shared.retry_state();
    let now = shared.now();
    let fleet = &mut *fleet;
    if fleet.puller.is_ready() {
        shared.set_configured();
    }
    fleet
        .puller
        .tick(now, &config, &mut fleet.members, &mut retry_state.rng)
}

/// Starts a task for each action.
pub(super) fn spawn_actions(ctx: &TaskContext, actions: Vec<PullAction>) {
    for action in actions {
        ctx.shared
            .executor
            .spawn(perform(ctx.clone(), action))
            .detach();
    }
}

async fn perform(ctx: TaskContext, action: PullAction) {
    let next_actions = match action {
        PullAction::Pull { to, request } => pull(&ctx, to, request).await,
        PullAction::ReadStore { after, wait } => watch_store(&ctx, after, wait).await,
    };
    spawn_actions(&ctx, next_actions);
}

/// Pulls from a peer. Returns the actions that follow from the reply.
async fn pull(ctx: &TaskContext, to: VmId, request: PullRequest) -> Vec<PullAction> {
    let shared = &ctx.shared;
    let sent = shared.now();
    let after = request.after;
    let reply = match shared.peer_address(&to) {
        Some(address) => {
            let reply = ctx.peers.pull(address, request, PEER_TIMEOUT).await;
            reply.map_err(|error| error.to_string())
        }
        None => Err("the VM is not on the platform's VM list".to_owned()),
    };
    match reply {
        Ok(reply) => apply_pull_reply(shared, sent, after, reply),
        Err(error) => {
            record_peer_failure(shared, &to, "pull", &error);
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

fn apply_pull_reply(
    shared: &Arc<Shared>,
    sent: Millis,
    after: Revision,
    mut reply: PullReply,
) -> Vec<PullAction> {
    let paths = record_paths(&reply.records);
    let page = RecordPage::from_reply(after, &mut reply);
    let (outcomes, actions) = {
        let mut config = shared.config();
        let mut fleet = shared.fleet();
        let mut retry_state = shared.retry_state();
        let now = shared.now();
        retry_state.quarantine.merge_peer(now, &reply.quarantined);
        let fleet = &mut *fleet;
        let tables = (&mut *config, &mut fleet.members);
        let times = CallTimes { now, as_of: sent };
        fleet
            .puller
            .on_pull_reply(times, tables, &reply, page, &mut retry_state.rng)
    };
    on_records_applied(shared, &paths, &outcomes);
    actions
}

async fn watch_store(ctx: &TaskContext, after: Revision, wait: Millis) -> Vec<PullAction> {
    let shared = &ctx.shared;
    let sent = shared.now();
    let timeout = shared.settings.store_timeout;
    let outcome = shared
        .store
        .changes(CONFIG_PREFIX, after, wait, timeout)
        .await;
    match outcome {
        ChangesOutcome::Changes {
            objects,
            revision,
            more,
        } => {
            // Without changes, the store answers a watch only when the wait is over. The answer then
            // describes the end of the wait, not the time when the call was sent.
            let sent = if objects.is_empty() {
                sent + wait
            } else {
                sent
            };
            apply_store_changes(shared, sent, after, (objects, revision, more))
        }
        ChangesOutcome::Unreachable(reason) => {
            shared.metrics.store_failures.increment(1);
            log::debug!(reason = reason.as_str(); "the configuration cannot be read");
            let config = shared.config();
            let mut fleet = shared.fleet();
            let mut retry_state = shared.retry_state();
            let fleet = &mut *fleet;
            let now = shared.now();
            fleet
                .puller
                .on_store_failed(now, &config, &fleet.members, &mut retry_state.rng);
            Vec::new()
        }
    }
}

fn apply_store_changes(
    shared: &Arc<Shared>,
    sent: Millis,
    after: Revision,
    (objects, revision, more): (Vec<Object>, Revision, bool),
) -> Vec<PullAction> {
    let records: Vec<_> = objects.into_iter().map(versioned_record).collect();
    let paths = record_paths(&records);
    let page = RecordPage {
        after,
        revision,
        age: Millis::ZERO,
        more,
        records: records.into_iter().map(ParsedRecord::parse).collect(),
    };
    let (outcomes, actions) = {
        let mut config = shared.config();
        let mut fleet = shared.fleet();
        let mut retry_state = shared.retry_state();
        let fleet = &mut *fleet;
        let now = shared.now();
        let times = CallTimes {
            now,
            as_of: sent.min(now),
        };
        let tables = (&mut *config, &mut fleet.members);
        fleet
            .puller
            .on_store_reply(times, tables, page, &mut retry_state.rng)
    };
    on_records_applied(shared, &paths, &outcomes);
    actions
}

fn versioned_record(object: Object) -> VersionedRecord {
    VersionedRecord {
        path: object.path,
        version: object.version,
        value: object.value,
    }
}

fn record_paths(records: &[VersionedRecord]) -> Vec<SmolStr> {
    records.iter().map(|r| r.path.clone()).collect()
}

/// Logs the outcome for each record, and passes configuration changes on to the rate limiter, the
/// request queue and the block table.
fn on_records_applied(shared: &Arc<Shared>, paths: &[SmolStr], outcomes: &[ApplyOutcome]) {
    let mut changed = false;
    for (path, outcome) in paths.iter().zip(outcomes) {
        let path = path.as_str();
        match outcome {
            ApplyOutcome::NotNewer => continue,
            ApplyOutcome::Applied => log::info!(path = path; "record in force"),
            ApplyOutcome::Withdrawn => {
                log::info!(path = path; "record withdrawn");
                dequeue_requests_of_key(shared, path);
            }
            ApplyOutcome::Rejected(findings) => {
                let findings = findings.to_string();
                log::warn!(path = path, findings = findings.as_str(); "record rejected");
            }
        }
        changed = true;
    }
    // The rate limiter also needs a new revision without changed records, because the owners of shards
    // have to confirm the revision.
    let config = shared.config();
    if !shared.advance_limits_revision(config.revision()) && !changed {
        return;
    }
    let mut rate_limiter = shared.rate_limiter();
    let domains = config.domains().keys().cloned().collect();
    let (revision, limits) = (config.revision(), config.limits());
    rate_limiter.configure(shared.now(), revision, domains, limits);
    drop((config, rate_limiter));
    if changed {
        rebuild_block_table(shared);
    }
}

/// Removes the requests of a withdrawn key from the queue and wakes them, which ends them.
fn dequeue_requests_of_key(shared: &Shared, path: &str) {
    let Some(key) = path.strip_prefix("config/key/") else {
        return;
    };
    let dequeued = shared.queue().remove_requests_of_key(key);
    for flow in dequeued {
        shared.wake_request(flow);
    }
}

/// Rebuilds the table of client address blocks if its records have changed. The build runs on its own
/// thread, because the build of a large table would block a worker thread for too long.
fn rebuild_block_table(shared: &Arc<Shared>) {
    let records = shared.config().block_records().clone();
    if !shared.start_block_build(records.generation()) {
        return;
    }
    let shared = Arc::clone(shared);
    let generation = records.generation();
    let build = move || {
        let table = Arc::new(BlockTable::build(&records));
        let mut blocks = shared
            .blocks
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if blocks.0 < generation {
            *blocks = (generation, table);
        }
    };
    let thread = std::thread::Builder::new().name("blocks".to_owned());
    if let Err(error) = thread.spawn(build) {
        let error = error.to_string();
        log::error!(error = error.as_str(); "the table of client address blocks cannot be built");
    }
}

/// Answers a pull from another daemon. Also returns the actions that follow from it.
pub(super) fn on_pull_request(
    shared: &Shared,
    request: &PullRequest,
) -> (PullReply, Vec<PullAction>) {
    let config = shared.config();
    let mut fleet = shared.fleet();
    let retry_state = shared.retry_state();
    let now = shared.now();
    let fleet = &mut *fleet;
    let (mut reply, actions) =
        fleet
            .puller
            .on_pull_request(now, &config, &mut fleet.members, request);
    reply.quarantined = retry_state
        .quarantine
        .fingerprints_to_share(now, MAX_FINGERPRINTS);
    (reply, actions)
}
