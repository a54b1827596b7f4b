//! Reads the platform's VM list and the tables of shard owners.

use std::collections::BTreeSet;

use waxwing_core::{OwnersTable, Vm};
use waxwing_store::{ChangesOutcome, Object, VmState, VmsOutcome};
use waxwing_types::{DomainId, Millis, Revision, VmId};

use super::{TaskContext, pause, rate_limiter};
use crate::state::Shared;

/// Maximum time between two reads of the VM list. If each of 1,100 VMs reads the list once per period, the
/// platform serves 110 reads per second.
const VM_LIST_PERIOD: Millis = Millis::from_secs(10);
/// Pause after a failed call to the store.
const RETRY_PAUSE: Millis = Millis::from_secs(1);
/// Period of the check for failure domains whose table of shard owners has not been read.
const MISSING_TABLES_PERIOD: Millis = Millis(200);
/// Path prefix of the tables of shard owners in the store.
pub(super) const OWNERS_PREFIX: &str = "owners/";
/// Time for which the store may hold a watch of the shard owners open. A watch that met a silence of the store stays without
/// an answer until then; changes must be in force within 13 s.
const OWNERS_WATCH_TIME: Millis = Millis::from_secs(10);

/// Reads the platform's VM list periodically.
pub(super) async fn refresh_vm_list(ctx: TaskContext) {
    let shared = &ctx.shared;
    loop {
        let wait = match shared.store.vms(shared.settings.store_timeout).await {
            VmsOutcome::Listed(vms) => {
                apply_vm_list(shared, vms);
                VM_LIST_PERIOD
            }
            VmsOutcome::Unreachable(reason) => {
                shared.metrics.store_failures.increment(1);
                log::debug!(reason = reason.as_str(); "the VM list cannot be read");
                RETRY_PAUSE
            }
        };
        // The pause is random, so that VMs that start together do not read the list together.
        pause(Millis(wait.0 / 2 + fastrand::u64(..=wait.0 / 2))).await;
    }
}

/// Passes a new VM list to the member table and the live VMs to the rate limiter.
fn apply_vm_list(shared: &Shared, vms: Vec<waxwing_store::Vm>) {
    let ips = |vm: &waxwing_store::Vm| [vm.client.ip(), vm.peer.ip(), vm.peer_http.ip()];
    let addresses = vms.iter().flat_map(ips).collect();
    let list = vms.into_iter().map(listed_vm).collect();
    let mut fleet = shared.fleet();
    fleet.addresses = addresses;
    let now = shared.now();
    fleet.members.update_vm_list(now, list);
    let live: Vec<VmId> = live_vms(&fleet.members, now);
    shared.rate_limiter().on_live_vms(now, &live);
}

/// Usable VMs of the failure domain of this VM, including this VM.
pub(super) fn live_vms(members: &waxwing_core::Members, now: Millis) -> Vec<VmId> {
    let listed = members.listed_vms(members.own_domain()).iter();
    let mut live: Vec<VmId> = listed
        .filter(|id| members.is_usable(now, id))
        .cloned()
        .collect();
    let own_id = members.own_id();
    if !live.contains(own_id) && members.is_usable(now, own_id) {
        live.push(own_id.clone());
    }
    live
}

fn listed_vm(vm: waxwing_store::Vm) -> Vm {
    Vm {
        id: vm.id,
        domain: vm.domain,
        client: vm.client,
        peer: vm.peer,
        peer_http: vm.peer_http,
        leaving: vm.state == VmState::Leaving,
    }
}

/// Watches the tables of shard owners of all failure domains.
pub(super) async fn watch_owners_tables(ctx: TaskContext) {
    let shared = &ctx.shared;
    let mut after = Revision::default();
    loop {
        let timeout = shared.settings.store_timeout;
        let wait = if after == Revision::default() {
            Millis::ZERO
        } else {
            OWNERS_WATCH_TIME
        };
        let call = shared.store.changes(OWNERS_PREFIX, after, wait, timeout);
        match call.await {
            ChangesOutcome::Changes {
                objects, revision, ..
            } => {
                let empty_snapshot = objects.is_empty() && wait == Millis::ZERO;
                for object in &objects {
                    let domain = object.path.strip_prefix(OWNERS_PREFIX);
                    if let Some(domain) = domain.map(DomainId::from) {
                        apply_owners_table(shared, &domain, object);
                    }
                }
                after = after.max(revision);
                if empty_snapshot && after == Revision::default() {
                    pause(RETRY_PAUSE).await;
                }
            }
            ChangesOutcome::Unreachable(reason) => {
                shared.metrics.store_failures.increment(1);
                log::debug!(reason = reason.as_str(); "the tables of shard owners cannot be watched");
                pause(RETRY_PAUSE).await;
            }
        }
    }
}

/// Reads the tables of shard owners of the other failure domains one by one. The watch alone is not
/// enough: it does not report a domain without a table, but the rate limiter waits until it knows for each
/// domain whether a table exists.
pub(super) async fn read_missing_owners_tables(ctx: TaskContext) {
    let shared = &ctx.shared;
    let mut domains_read = BTreeSet::new();
    loop {
        let mut domains: Vec<_> = shared.config().domains().keys().cloned().collect();
        // The rate limiter itself asks for the table of its own domain, in order with its writes.
        domains.retain(|domain| *domain != shared.settings.domain);
        domains_read.retain(|domain| domains.contains(domain));
        for domain in domains {
            let read = async || rate_limiter::read_owners(&ctx, &OwnersTable::path(&domain)).await;
            if !domains_read.contains(&domain) && read().await {
                domains_read.insert(domain);
            }
        }
        pause(MISSING_TABLES_PERIOD).await;
    }
}

/// Passes a table of shard owners to the rate limiter. The rate limiter ignores a table older than its own.
pub(super) fn apply_owners_table(shared: &Shared, domain: &DomainId, object: &Object) {
    match OwnersTable::parse(&object.value) {
        Ok(table) => {
            let mut rate_limiter = shared.rate_limiter();
            rate_limiter.on_owners_table(shared.now(), domain, object.version, &table);
        }
        Err(error) => {
            let error = error.to_string();
            log::warn!(
                path = object.path.as_str(), error = error.as_str();
                "table of shard owners is invalid"
            );
        }
    }
}
