//! Applies the entries of the registry, as lists and watches return them, to the state of the daemon.

use std::collections::HashSet;
use std::sync::Arc;

use waxwing_edge::{ColdStartLimit, RoutingTable};
use waxwing_records::{Deployment, Registration};
use waxwing_store::{Change, Entry, Family, Freshness};
use waxwing_types::{DomainId, Millis, TargetId, VmId};

use super::crash;
use super::origin::Origin;
use super::peers;
use super::registration;
use super::state::Shared;
use super::state_age::max_removal_delay;

/// Applies a list, which the registry returns as one change for each entry that exists.
pub(crate) fn apply_list(
    shared: &Arc<Shared>,
    family: Family,
    freshness: Freshness,
    origin: Origin,
    mut changes: Vec<Change>,
) {
    let now = shared.now();
    let names: Vec<_> = changes.iter().map(|change| change.name.clone()).collect();
    match family {
        Family::Deployment => {}
        Family::Targets => {
            let listed_ids: HashSet<_> = names.into_iter().map(TargetId).collect();
            let missing = shared.targets().ids_not_in(&listed_ids);
            for id in missing {
                remove_target(shared, now, id);
            }
            let grace = &mut shared.store_status().restore_grace;
            changes = grace.withhold_targets(now, changes);
        }
        Family::Evacuations => {
            let listed = names.into_iter().map(DomainId).collect();
            let mut status = shared.store_status();
            let in_force = std::mem::take(&mut status.evacuated);
            status.evacuated = status
                .restore_grace
                .keep_evacuations(now, in_force, &listed);
        }
        Family::Vms => {
            let listed_ids: Vec<_> = names.into_iter().map(VmId).collect();
            shared.fleet().retain_listed(&listed_ids);
            let is_own_vm_listed = listed_ids.contains(&shared.own_entry.id);
            if shared
                .store_status()
                .must_register_again(freshness, is_own_vm_listed)
            {
                register_again(shared);
            }
        }
    }
    apply_changes(shared, family, origin, changes);
}

/// Applies the first list after a restore of the store. It is a copy of an earlier state, and may lack what other VMs, the
/// operator and targets have written since.
pub(crate) fn apply_restored_list(
    shared: &Arc<Shared>,
    family: Family,
    origin: Origin,
    mut changes: Vec<Change>,
) {
    shared.record_restored_list(family);
    if family == Family::Vms {
        let listed: Vec<_> = changes.iter().map(|c| VmId(c.name.clone())).collect();
        let mut fleet = shared.fleet();
        fleet.keep_missing(shared.now(), &listed);
        for change in &mut changes {
            if let Some(Entry::Vm(entry)) = &mut change.entry {
                fleet.merge_restored(shared.now(), entry);
            }
        }
    }
    apply_list(shared, family, Freshness::Latest, origin, changes);
}

/// Applies the changes that a watch returned.
pub(crate) fn apply_changes(
    shared: &Arc<Shared>,
    family: Family,
    origin: Origin,
    changes: Vec<Change>,
) {
    let now = shared.now();
    for change in changes {
        match change.entry {
            Some(Entry::Deployment(record)) => apply_deployment(shared, now, origin, record),
            Some(Entry::Target(entry)) => {
                {
                    let mut status = shared.store_status();
                    status.pending_removals.remove(&entry.id);
                    status.restore_grace.on_target_change(&entry.id);
                }
                crash::on_registration(shared, &entry);
                log_restart(shared, &entry);
                shared.targets().upsert(now, entry);
            }
            Some(Entry::Evacuation(domain)) => {
                log::info!(domain = domain.as_str(); "failure domain evacuated");
                let mut status = shared.store_status();
                status.restore_grace.on_evacuation_change(&domain);
                status.evacuated.insert(domain);
            }
            Some(Entry::Vm(entry)) => shared.fleet().upsert(now, entry),
            Some(Entry::Unreadable(reason)) => {
                shared.metrics.count_unreadable_entry(family);
                log::warn!(
                    family = family.as_str(), name = change.name.as_str(), revision = change.revision.0,
                    source = origin.source.as_str(), reason = reason.as_str();
                    "entry not read"
                );
                if family == Family::Targets {
                    shared.targets().remove(now, &TargetId(change.name));
                }
            }
            None => apply_removal(shared, now, family, change.name),
        }
    }
    match family {
        Family::Evacuations => update_evacuations(shared, now),
        Family::Vms => update_vms(shared, now),
        // Requests for the changed targets may arrive before the next periodic tick of the target pool.
        Family::Targets => shared.targets().tick(now),
        Family::Deployment => {}
    }
}

/// Logs that a registration is that of a later process of a known target.
fn log_restart(shared: &Shared, registration: &Registration) {
    let earlier = shared.targets().incarnation(&registration.id);
    if let Some(earlier) = earlier.filter(|earlier| *earlier < registration.incarnation) {
        log::info!(
            target_id = registration.id.as_str(), service = registration.service.as_str(),
            earlier = earlier.0, incarnation = registration.incarnation.0, cold_ms = registration.cold_left.0;
            "target restarted"
        );
    }
}

fn apply_removal(shared: &Arc<Shared>, now: Millis, family: Family, name: smol_str::SmolStr) {
    match family {
        Family::Deployment => {}
        Family::Targets => remove_target(shared, now, TargetId(name)),
        Family::Evacuations => {
            log::info!(domain = name.as_str(); "failure domain no longer evacuated");
            let domain = DomainId(name);
            let mut status = shared.store_status();
            status.restore_grace.on_evacuation_change(&domain);
            status.evacuated.remove(&domain);
        }
        Family::Vms => {
            let vm = VmId(name);
            shared.fleet().remove(&vm);
            if vm == shared.own_entry.id {
                register_again(shared);
            }
        }
    }
}

/// Removes a target whose entry is gone. Shortly after a store outage, the removal is delayed: the entry may
/// have expired because of the outage, and the target may restore it.
fn remove_target(shared: &Shared, now: Millis, id: TargetId) {
    {
        let mut status = shared.store_status();
        status.restore_grace.on_target_change(&id);
        let deadline = status.reregistration_deadline(max_removal_delay(&shared.settings));
        if now < deadline {
            log::debug!(
                target_id = id.0.as_str(), delay_ms = deadline.since(now).0;
                "removal of a target delayed"
            );
            status.pending_removals.entry(id).or_insert(deadline);
            return;
        }
        status.pending_removals.remove(&id);
    }
    remove_left_target(shared, now, &id);
}

/// Removes a target that has left.
fn remove_left_target(shared: &Shared, now: Millis, id: &TargetId) {
    let incarnation = shared.targets().incarnation(id);
    if let Some(incarnation) = incarnation {
        let grace = &mut shared.store_status().restore_grace;
        grace.on_target_left(now, id.clone(), incarnation);
    }
    shared.targets().remove(now, id);
}

/// Ends what this VM has kept or withheld for a limited time after an outage or a restore of the store.
pub(crate) fn apply_due_changes(shared: &Shared, now: Millis) {
    let (removals, targets, evacuations) = {
        let mut status = shared.store_status();
        let removals = status.take_due_removals(now);
        let targets = status.restore_grace.take_due_targets(now);
        let evacuations = status.restore_grace.take_due_evacuations(now);
        for domain in &evacuations {
            status.evacuated.remove(domain);
        }
        (removals, targets, evacuations)
    };
    for id in removals {
        remove_left_target(shared, now, &id);
    }
    for target in targets {
        shared.targets().upsert(now, target);
    }
    for domain in &evacuations {
        log::info!(domain = domain.as_str(); "evacuation not written again");
    }
    if !evacuations.is_empty() {
        update_evacuations(shared, now);
    }
    if shared.fleet().remove_missing(now) {
        update_vms(shared, now);
    }
}

/// Puts a deployment in force if it is valid and newer than the one in force.
pub(crate) fn apply_deployment(shared: &Shared, now: Millis, origin: Origin, record: Deployment) {
    if let Err(findings) = record.check() {
        shared.metrics.count_rejected_deployment();
        log::warn!(
            version = record.version, source = origin.source.as_str(), bytes = origin.bytes,
            findings = findings.to_string().as_str();
            "deployment rejected"
        );
        return;
    }
    let version = record.version;
    let mut versions = shared.deployment_log();
    // The limits of an older deployment must not replace those in use either.
    let replaced = shared.routing_table();
    let in_force = replaced.as_ref().map_or(0, |table| table.version());
    if in_force >= version {
        if in_force > version {
            log::info!(version = version, in_force = in_force, source = origin.source.as_str(); "deployment older than the one in force");
        }
        return;
    }
    let routes = record.routes.len();
    if let Some(replaced) = replaced {
        versions.changes.record(replaced.deployment(), &record);
    }
    let routing_table = RoutingTable::new(record);
    {
        let mut targets = shared.targets();
        for service in &routing_table.deployment().services {
            let cold_start_limit = ColdStartLimit {
                requests_per_1000_s: service.cold_rate,
                cold_time: service.cold_time,
            };
            targets.set_cold_start_limit(&service.id, cold_start_limit);
        }
    }
    shared.quota().update_specs(now, routing_table.workspaces());
    peers::assign_coordinators(shared, now);
    shared.replace_routing_table(routing_table);
    shared.metrics.count_deployment(origin);
    log::info!(
        version = version, replaced = in_force, source = origin.source.as_str(), bytes = origin.bytes,
        call_ms = now.since(origin.sent_at).0, routes = routes;
        "deployment in force"
    );
}

fn update_evacuations(shared: &Shared, now: Millis) {
    let evacuated = shared.store_status().evacuated.clone();
    shared.targets().set_evacuated_domains(now, evacuated);
}

fn update_vms(shared: &Shared, now: Millis) {
    let region_vm_ids = shared.fleet().region_vm_ids();
    let names = region_vm_ids.iter().map(VmId::as_str);
    shared.targets().set_region_vms(now, names);
    peers::assign_coordinators(shared, now);
}

/// Registers this VM again after its entry was removed, unless the VM is stopping.
fn register_again(shared: &Arc<Shared>) {
    if !shared.is_stopping() {
        let task = registration::register(Arc::clone(shared));
        shared.executor.spawn(task).detach();
    }
}
