//! The platform's list of VMs and the tables of owners.

use std::collections::BTreeMap;

use waxwing_core::{OwnersTable, Vm};
use waxwing_store::{ChangesOutcome, Object, VmState, VmsOutcome};
use waxwing_types::{DomainId, Millis, Revision, VmId};

use super::{Context, pause};
use crate::state::Shared;

/// Period in which the list is read: 110 calls a second at 1,100 VMs.
const LIST_PERIOD: Millis = Millis::from_secs(10);
/// Pause after a call that failed.
const RETRY_PAUSE: Millis = Millis::from_secs(1);
/// Prefix of the tables of owners.
const OWNERS: &str = "owners/";
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
    let list = vms.into_iter().map(listed).collect();
    let mut fleet = shared.fleet();
    let now = shared.now();
    fleet.members.on_list(now, list);
    let live: Vec<VmId> = live(&fleet.members, now);
    shared.ledger().on_members(now, &live);
}

/// The usable VMs of the own failure domain, this one included.
pub(super) fn live(members: &waxwing_core::Members, now: Millis) -> Vec<VmId> {
    let listed = members.listed(members.domain()).iter();
    let mut live: Vec<VmId> = listed
        .filter(|id| members.usable(now, id))
        .cloned()
        .collect();
    let me = members.me();
    if !live.contains(me) && members.usable(now, me) {
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
    let mut seen = BTreeMap::new();
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
                    adopt_owners(shared, &mut seen, object);
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

fn adopt_owners(shared: &Shared, seen: &mut BTreeMap<DomainId, Revision>, object: &Object) {
    let Some(domain) = object.path.strip_prefix(OWNERS).map(DomainId::from) else {
        return;
    };
    if seen
        .get(&domain)
        .is_some_and(|held| *held >= object.version)
    {
        return;
    }
    match OwnersTable::parse(&object.value) {
        Ok(table) => {
            let mut ledger = shared.ledger();
            ledger.on_owners(shared.now(), &domain, object.version, &table);
            seen.insert(domain, object.version);
        }
        Err(error) => {
            let error = error.to_string();
            log::warn!(path = object.path.as_str(), error = error.as_str(); "table of owners is invalid");
        }
    }
}
