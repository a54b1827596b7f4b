//! The platform's list of VMs and the tables of owners.

use std::collections::BTreeSet;

use waxwing_core::{OwnersTable, Vm};
use waxwing_store::{ChangesOutcome, Object, VmState, VmsOutcome};
use waxwing_types::{DomainId, Millis, Revision, VmId};

use super::{Context, pause, quota};
use crate::state::Shared;

/// Period in which the list is read: 110 calls a second at 1,100 VMs.
const LIST_PERIOD: Millis = Millis::from_secs(10);
/// Pause after a call that failed.
const RETRY_PAUSE: Millis = Millis::from_secs(1);
/// Period in which failure domains whose table was not read are looked for.
const FIND_PERIOD: Millis = Millis(200);
/// Prefix of the tables of owners.
pub(super) const OWNERS: &str = "owners/";
/// Time for which the store holds a watch of the owners, which change seldom.
const OWNERS_WAIT: Millis = Millis::from_secs(30);

/// Reads the platform's list of VMs from time to time.
pub(super) async fn list_vms(ctx: Context) {
    let shared = &ctx.shared;
    loop {
        let wait = match shared.store.vms(shared.settings.store_timeout).await {
            VmsOutcome::Listed(vms) => {
                adopt(shared, vms);
                LIST_PERIOD
            }
            VmsOutcome::Unreachable(reason) => {
                shared.metrics.store_failures.increment(1);
                log::debug!(reason = reason.as_str(); "the list of VMs cannot be read");
                RETRY_PAUSE
            }
        };
        // VMs that start together spread over the period.
        pause(Millis(wait.0 / 2 + fastrand::u64(..=wait.0 / 2))).await;
    }
}

fn adopt(shared: &Shared, vms: Vec<waxwing_store::Vm>) {
    let each = |vm: &waxwing_store::Vm| [vm.client.ip(), vm.peer.ip(), vm.peer_http.ip()];
    let addresses = vms.iter().flat_map(each).collect();
    let list = vms.into_iter().map(listed).collect();
    let mut fleet = shared.fleet();
    fleet.addresses = addresses;
    let now = shared.now();
    fleet.members.update_vm_list(now, list);
    let live: Vec<VmId> = live(&fleet.members, now);
    shared.rate_limiter().on_live_vms(now, &live);
}

/// The usable VMs of the own failure domain, this one included.
pub(super) fn live(members: &waxwing_core::Members, now: Millis) -> Vec<VmId> {
    let listed = members.listed_vms(members.own_domain()).iter();
    let mut live: Vec<VmId> = listed
        .filter(|id| members.is_usable(now, id))
        .cloned()
        .collect();
    let me = members.own_id();
    if !live.contains(me) && members.is_usable(now, me) {
        live.push(me.clone());
    }
    live
}

fn listed(vm: waxwing_store::Vm) -> Vm {
    Vm {
        id: vm.id,
        domain: vm.domain,
        client: vm.client,
        peer: vm.peer,
        peer_http: vm.peer_http,
        leaving: vm.state == VmState::Leaving,
    }
}

/// Watches the tables of owners of all failure domains.
pub(super) async fn watch_owners(ctx: Context) {
    let shared = &ctx.shared;
    let mut after = Revision::default();
    loop {
        let timeout = shared.settings.store_timeout;
        let wait = if after == Revision::default() {
            Millis::ZERO
        } else {
            OWNERS_WAIT
        };
        let call = shared.store.changes(OWNERS, after, wait, timeout);
        match call.await {
            ChangesOutcome::Changes {
                objects, revision, ..
            } => {
                let idle = objects.is_empty() && wait == Millis::ZERO;
                for object in &objects {
                    let domain = object.path.strip_prefix(OWNERS);
                    if let Some(domain) = domain.map(DomainId::from) {
                        adopt_owners(shared, &domain, object);
                    }
                }
                after = after.max(revision);
                if idle && after == Revision::default() {
                    pause(RETRY_PAUSE).await;
                }
            }
            ChangesOutcome::Unreachable(reason) => {
                shared.metrics.store_failures.increment(1);
                log::debug!(reason = reason.as_str(); "the owners cannot be watched");
                pause(RETRY_PAUSE).await;
            }
        }
    }
}

/// Reads the tables of domains that the watch has not shown, because a domain without a table shows
/// up in no watch, and the ledger waits until it knows of all.
pub(super) async fn find_owners(ctx: Context) {
    let shared = &ctx.shared;
    let mut known = BTreeSet::new();
    loop {
        let mut domains: Vec<_> = shared.config().domains().keys().cloned().collect();
        // The ledger asks for the table of its own domain, in the order of its writes.
        domains.retain(|d| *d != shared.settings.domain);
        known.retain(|d| domains.contains(d));
        for domain in domains {
            let read = async || quota::read(&ctx, &OwnersTable::path(&domain)).await;
            if !known.contains(&domain) && read().await {
                known.insert(domain);
            }
        }
        pause(FIND_PERIOD).await;
    }
}

/// Passes a table to the ledger, which ignores one that is older than the one it has.
pub(super) fn adopt_owners(shared: &Shared, domain: &DomainId, object: &Object) {
    match OwnersTable::parse(&object.value) {
        Ok(table) => {
            let mut ledger = shared.rate_limiter();
            ledger.on_owners_table(shared.now(), domain, object.version, &table);
        }
        Err(error) => {
            let error = error.to_string();
            log::warn!(
                path = object.path.as_str(), error = error.as_str();
                "table of owners is invalid"
            );
        }
    }
}
