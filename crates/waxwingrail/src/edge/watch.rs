//! The watches of the registry.

use std::collections::HashSet;
use std::sync::Arc;

use async_executor::Task;
use async_io::Timer;
use waxwing_edge::{ColdRule, Plan};
use waxwing_records::Deployment;
use waxwing_store::{Change, Entry, Family, ListOutcome, WatchOutcome};
use waxwing_types::{DomainId, Millis, Revision, TargetId, VmId};

use super::peers;
use super::state::Shared;

/// Longest wait of a watch; the platform takes no longer one.
const WATCH_WAIT: Millis = Millis::from_secs(30);
/// Pauses after failed calls, doubled up to the greatest. Bounds on configuration count from 4 s after
/// the end of an outage.
const PAUSES: (Millis, Millis) = (Millis(60), Millis(500));
/// Longest time for which a family leaves it to another one to find out whether the store is back.
const WAIT_FOR_OTHER: Millis = Millis::from_secs(4);
/// Pause between two looks at whether it is.
const LOOK: Millis = Millis(100);

/// Starts a watch of each family.
pub(crate) fn start(shared: &Arc<Shared>) -> Vec<Task<()>> {
    let watch = |family| shared.executor.spawn(watch(Arc::clone(shared), family));
    Family::ALL.into_iter().map(watch).collect()
}

async fn watch(shared: Arc<Shared>, family: Family) {
    let (least, most) = PAUSES;
    let mut pause = least;
    loop {
        match follow(&shared, family).await {
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
async fn follow(shared: &Arc<Shared>, family: Family) -> End {
    let timeout = shared.settings.store_timeout;
    let mut revision = match shared.registry.list(family, timeout).await {
        ListOutcome::Listed { entries, revision } => {
            note_success(shared, family);
            adopt_list(shared, family, entries);
            revision
        }
        ListOutcome::Unreachable(reason) => {
            return End::Failed {
                had_answer: false,
                reason,
            };
        }
    };
    loop {
        let outcome = shared
            .registry
            .watch(family, revision, WATCH_WAIT, timeout)
            .await;
        match outcome {
            WatchOutcome::Changed {
                changes,
                revision: reached,
            } => {
                adopt_changes(shared, family, changes);
                revision = Revision(reached.0.max(revision.0));
                Timer::after(gather_time(family).duration()).await;
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

/// Time for which changes are left to gather before the next call, as each call is priced. Changes are to
/// be in force within 2.5 s.
const fn gather_time(family: Family) -> Millis {
    match family {
        Family::Deployment | Family::Evacuations => Millis(500),
        Family::Targets => Millis(900),
        Family::Vms => Millis(2000),
    }
}

fn note_failure(shared: &Shared, family: Family, reason: &str) {
    let first = shared.store().failing.insert(family);
    metrics::counter!("edge_store_failures_total", "family" => family.as_str()).increment(1);
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

fn adopt_list(shared: &Arc<Shared>, family: Family, entries: Vec<Change>) {
    let now = shared.now();
    let names: Vec<_> = entries.iter().map(|e| e.name.clone()).collect();
    match family {
        Family::Deployment => {}
        Family::Targets => {
            let listed: HashSet<_> = names.into_iter().map(TargetId).collect();
            let missing = shared.targets().missing(&listed);
            for id in missing {
                drop_target(shared, now, id);
            }
        }
        Family::Evacuations => shared.store().evacuated.clear(),
        Family::Vms => {
            let listed: Vec<_> = names.into_iter().map(VmId).collect();
            shared.fleet().keep(&listed);
            if shared.store().registered && !listed.contains(&shared.own.id) {
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
                shared.targets().adopt(now, entry);
            }
            Some(Entry::Evacuation(domain)) => {
                log::info!(domain = domain.as_str(); "failure domain evacuated");
                shared.store().evacuated.insert(domain);
            }
            Some(Entry::Vm(entry)) => shared.fleet().adopt(now, entry),
            Some(Entry::Unreadable(reason)) => {
                metrics::counter!("edge_unreadable_total", "family" => family.as_str())
                    .increment(1);
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
    let plan = Plan::new(record);
    {
        let mut targets = shared.targets();
        for service in &plan.record().services {
            let rule = ColdRule {
                rate: service.cold_rate,
                time: service.cold_time,
            };
            targets.set_cold(&service.id, rule);
        }
    }
    shared.quota().adopt(now, plan.workspaces());
    let version = plan.version();
    if shared.set_plan(plan) {
        log::info!(version = version; "deployment in force");
    }
}

fn put_evacuations(shared: &Shared, now: Millis) {
    let evacuated = shared.store().evacuated.clone();
    shared.targets().set_evacuated(now, evacuated);
}

fn count_vms(shared: &Shared) {
    let (count, region, near) = {
        let fleet = shared.fleet();
        (fleet.count(), fleet.region_ids(), fleet.near())
    };
    let names = region.iter().map(VmId::as_str);
    shared.targets().set_vms(names, near);
    shared.quota().set_vms(count);
}

/// Registers this VM again, after its entry was removed.
fn reannounce(shared: &Arc<Shared>) {
    if !shared.is_stopping() {
        let task = peers::register(Arc::clone(shared));
        shared.executor.spawn(task).detach();
    }
}
