//! The watches of the registry.

use std::collections::HashSet;
use std::sync::Arc;

use async_channel::Receiver;
use async_executor::Task;
use async_io::Timer;
use futures_lite::future;
use waxwing_edge::{ColdStartLimit, RoutingTable};
use waxwing_records::Deployment;
use waxwing_store::{Change, Entry, Family, Freshness, ListOutcome, WatchOutcome};
use waxwing_types::{DomainId, Millis, Revision, TargetId, VmId};

use super::news::Mode;
use super::peers;
use super::state::Shared;

/// Longest wait of a watch; the platform takes no longer one.
const LONGEST_WAIT: Millis = Millis::from_secs(30);
/// Time by which a watch ends before the history from its revision on may be gone: the family would have to be
/// listed again, which is a call more.
const HISTORY_MARGIN: Millis = Millis::from_secs(2);
/// Pauses after failed calls, doubled up to the greatest. Bounds on configuration count from 4 s after
/// the end of an outage.
const PAUSES: (Millis, Millis) = (Millis(60), Millis(500));
/// Longest time for which a family leaves it to another one to find out whether the store is back.
const WAIT_FOR_OTHER: Millis = Millis::from_secs(4);
/// Pause between two looks at whether it is.
const LOOK: Millis = Millis(100);

/// Part of the bound on configuration that is left for the call that brings a change, on a slow store.
const APPLY_MARGIN: Millis = Millis(2000);
/// Part of the bound on targets that leave which is left for that call and for requests on their way.
const DRAIN_MARGIN: Millis = Millis(1600);
/// Longest time for which changes gather: targets that join are used this much later.
const LONGEST_GATHER: Millis = Millis(2000);
/// Time for which evacuations gather; each second beyond the first that one waits is priced.
const EVACUATIONS_GATHER: Millis = Millis(500);
/// Time for which changes of VMs gather: heartbeats tell which of them are live.
const VMS_GATHER: Millis = Millis(2000);

/// Starts a watch of each family.
pub(crate) fn start(shared: &Arc<Shared>) -> Vec<Task<()>> {
    let watch = |family| shared.executor.spawn(watch(Arc::clone(shared), family));
    Family::ALL.into_iter().map(watch).collect()
}

async fn watch(shared: Arc<Shared>, family: Family) {
    let woken = shared.news().follow(family);
    let (least, most) = PAUSES;
    let mut pause = least;
    // Only a process that knows nothing may start from an older state: it would bring back what it knows
    // to have left.
    let mut freshness = Freshness::Recent;
    loop {
        let end = follow(&shared, family, freshness, &woken).await;
        if shared.store().read.contains(&family) {
            freshness = Freshness::Latest;
        }
        match end {
            End::Relist => pause = least,
            End::Failed { had_answer, reason } => {
                if had_answer {
                    pause = least;
                }
                note_failure(&shared, family, &reason);
                let jitter = Millis(fastrand::u64(0..=pause.0 / 2));
                Timer::after((pause + jitter).duration()).await;
                pause = Millis(pause.0 * 2).min(most);
                let mut waited = Millis::ZERO;
                while waited < WAIT_FOR_OTHER && shared.store().waits(family) {
                    Timer::after(LOOK.duration()).await;
                    waited += LOOK;
                }
            }
        }
    }
}

enum End {
    /// The history is gone: the family is to be listed again at once.
    Relist,
    Failed {
        had_answer: bool,
        reason: String,
    },
}

/// Lists a family and follows its changes until a call fails.
async fn follow(
    shared: &Arc<Shared>,
    family: Family,
    freshness: Freshness,
    woken: &Receiver<()>,
) -> End {
    let timeout = shared.settings.store_timeout;
    let mut revision = match shared.registry.list(family, freshness, timeout).await {
        ListOutcome::Listed { entries, revision } => {
            note_success(shared, family);
            adopt_list(shared, family, freshness, entries);
            // A list of the newest state stands for changes whose history is gone.
            note_reached(shared, family, revision, freshness == Freshness::Latest);
            revision
        }
        ListOutcome::Unreachable(reason) => {
            return End::Failed {
                had_answer: false,
                reason,
            };
        }
    };
    let longest = (shared.settings.history - HISTORY_MARGIN).min(LONGEST_WAIT);
    if family == Family::Vms {
        // All VMs may start at once; their entries come with one call.
        Timer::after(gather_time(shared, family).duration()).await;
    }
    loop {
        let now = shared.now();
        let reader = shared.fleet().is_store_reader(now);
        let mode = {
            let mut news = shared.news();
            let mode = news.mode(now, family, reader);
            news.began(now, family, mode);
            mode
        };
        let wait = match mode {
            Mode::Newest | Mode::Older => longest,
            Mode::Settling(left) => left.min(longest),
            Mode::CatchUp => Millis::ZERO,
        };
        // One that came after the end of the last watch does not concern this one.
        while woken.try_recv().is_ok() {}
        let watch = shared
            .registry
            .watch(family, revision, mode.freshness(), wait, timeout);
        let watch = async { Some(watch.await) };
        let replaced = async { woken.recv().await.ok().and(None) };
        let outcome = future::or(watch, replaced).await;
        shared.news().ended(family);
        let Some(outcome) = outcome else {
            continue;
        };
        match outcome {
            WatchOutcome::Changed {
                changes,
                revision: reached,
            } => {
                let changed = !changes.is_empty();
                adopt_changes(shared, family, changes);
                revision = Revision(reached.0.max(revision.0));
                if mode == Mode::CatchUp {
                    shared.news().caught_up(family);
                }
                note_reached(shared, family, revision, changed);
                if changed {
                    Timer::after(gather_time(shared, family).duration()).await;
                }
            }
            WatchOutcome::HistoryGone => return End::Relist,
            WatchOutcome::Unreachable(reason) => {
                return End::Failed {
                    had_answer: true,
                    reason,
                };
            }
        }
    }
}

/// Gives up watches that are to be replaced by ones of the newest state.
pub(crate) fn wake(shared: &Shared, now: Millis) {
    let reader = shared.fleet().is_store_reader(now);
    let woken = shared.news().wake(now, reader);
    for family in woken {
        log::debug!(family = family.as_str(), reader = reader; "watch replaced");
    }
}

/// Notes how far a family is known, and tells the neighbours of changes.
fn note_reached(shared: &Shared, family: Family, revision: Revision, changed: bool) {
    if shared.news().reached(family, revision, changed) {
        peers::spread_news(shared);
    }
}

/// Time for which changes are left to gather before the next call, as each call is priced.
fn gather_time(shared: &Shared, family: Family) -> Millis {
    let settings = &shared.settings;
    match family {
        Family::Deployment => (settings.apply_time - APPLY_MARGIN).min(LONGEST_GATHER),
        Family::Targets => (settings.drain_time - DRAIN_MARGIN).min(LONGEST_GATHER),
        Family::Evacuations => EVACUATIONS_GATHER,
        Family::Vms => VMS_GATHER,
    }
}

fn note_failure(shared: &Shared, family: Family, reason: &str) {
    let first = shared.store().failing.insert(family);
    shared.metrics.store_failed(family);
    if first {
        log::warn!(family = family.as_str(), reason = reason; "store not reached");
    }
}

fn note_success(shared: &Shared, family: Family) {
    let now = shared.now();
    let mut store = shared.store();
    store.read.insert(family);
    if store.failing.remove(&family) {
        store.back.insert(family, now);
        log::info!(family = family.as_str(); "store reached again");
    }
}

fn adopt_list(shared: &Arc<Shared>, family: Family, freshness: Freshness, entries: Vec<Change>) {
    let now = shared.now();
    let names: Vec<_> = entries.iter().map(|e| e.name.clone()).collect();
    match family {
        Family::Deployment => {}
        Family::Targets => {
            let listed: HashSet<_> = names.into_iter().map(TargetId).collect();
            let missing = shared.targets().ids_not_in(&listed);
            for id in missing {
                drop_target(shared, now, id);
            }
        }
        Family::Evacuations => shared.store().evacuated.clear(),
        Family::Vms => {
            let listed: Vec<_> = names.into_iter().map(VmId).collect();
            shared.fleet().retain_listed(&listed);
            let own_listed = listed.contains(&shared.own.id);
            if shared.store().must_register(freshness, own_listed) {
                reannounce(shared);
            }
        }
    }
    adopt_changes(shared, family, entries);
}

fn adopt_changes(shared: &Arc<Shared>, family: Family, changes: Vec<Change>) {
    let now = shared.now();
    for change in changes {
        match change.entry {
            Some(Entry::Deployment(record)) => adopt_deployment(shared, now, record),
            Some(Entry::Target(entry)) => {
                shared.store().doubtful.remove(&entry.id);
                shared.targets().upsert(now, entry);
            }
            Some(Entry::Evacuation(domain)) => {
                log::info!(domain = domain.as_str(); "failure domain evacuated");
                shared.store().evacuated.insert(domain);
            }
            Some(Entry::Vm(entry)) => shared.fleet().upsert(now, entry),
            Some(Entry::Unreadable(reason)) => {
                shared.metrics.unread(family);
                log::warn!(
                    family = family.as_str(), name = change.name.as_str(),
                    reason = reason.as_str();
                    "entry not read"
                );
                if family == Family::Targets {
                    shared.targets().remove(&TargetId(change.name));
                }
            }
            None => removed(shared, now, family, change.name),
        }
    }
    match family {
        Family::Evacuations => put_evacuations(shared, now),
        Family::Vms => count_vms(shared),
        // Requests may come before the next tick.
        Family::Targets => shared.targets().tick(now),
        Family::Deployment => {}
    }
}

fn removed(shared: &Arc<Shared>, now: Millis, family: Family, name: smol_str::SmolStr) {
    match family {
        Family::Deployment => {}
        Family::Targets => drop_target(shared, now, TargetId(name)),
        Family::Evacuations => {
            log::info!(domain = name.as_str(); "failure domain taken back");
            shared.store().evacuated.remove(&DomainId(name));
        }
        Family::Vms => {
            let vm = VmId(name);
            if vm == shared.own.id {
                reannounce(shared);
            } else {
                shared.fleet().remove(&vm);
            }
        }
    }
}

/// Forgets a target. One whose entry went while the store was away has time to come back, counted from
/// the return of the store.
fn drop_target(shared: &Shared, now: Millis, id: TargetId) {
    {
        let mut store = shared.store();
        let until = store.entries_back();
        if now < until {
            store.doubtful.entry(id).or_insert(until);
            return;
        }
        store.doubtful.remove(&id);
    }
    shared.targets().remove(&id);
}

/// Forgets the targets whose entries did not come back in time.
pub(crate) fn settle(shared: &Shared, now: Millis) {
    let gone = shared.store().take_gone(now);
    if gone.is_empty() {
        return;
    }
    let mut targets = shared.targets();
    for id in &gone {
        targets.remove(id);
    }
}

fn adopt_deployment(shared: &Shared, now: Millis, record: Deployment) {
    if let Err(findings) = record.check() {
        log::warn!(version = record.version, findings = findings.to_string().as_str(); "deployment rejected");
        return;
    }
    let plan = RoutingTable::new(record);
    {
        let mut targets = shared.targets();
        for service in &plan.deployment().services {
            let rule = ColdStartLimit {
                rate: service.cold_rate,
                duration: service.cold_time,
            };
            targets.set_cold_start_limit(&service.id, rule);
        }
    }
    shared.quota().update_specs(now, plan.workspaces());
    let version = plan.version();
    if shared.set_plan(plan) {
        log::info!(version = version; "deployment in force");
    }
}

fn put_evacuations(shared: &Shared, now: Millis) {
    let evacuated = shared.store().evacuated.clone();
    shared.targets().set_evacuated_domains(now, evacuated);
}

fn count_vms(shared: &Shared) {
    let (count, region) = {
        let fleet = shared.fleet();
        (fleet.vm_count(), fleet.region_vm_ids())
    };
    let names = region.iter().map(VmId::as_str);
    shared.targets().set_region_vms(names);
    shared.quota().set_vm_count(count);
}

/// Registers this VM again, after its entry was removed.
fn reannounce(shared: &Arc<Shared>) {
    if !shared.is_stopping() {
        let task = peers::register(Arc::clone(shared));
        shared.executor.spawn(task).detach();
    }
}
