//! Rendezvous hashing: all VMs compute the same ranking of the VMs for a duty, without exchanging
//! messages.

use std::cmp::Reverse;

use waxwing_types::{DomainId, Millis, VmId};

use super::Members;

/// Number of VMs of each failure domain that watch the store.
pub const WATCHERS_PER_DOMAIN: usize = 2;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Sorts the candidates by their weight for a duty, the highest first.
pub fn rendezvous_rank<'a>(
    duty: &str,
    candidates: impl Iterator<Item = &'a VmId>,
) -> Vec<&'a VmId> {
    let mut ranked: Vec<_> = candidates.collect();
    ranked.sort_by_cached_key(|vm| Reverse((weight(duty, vm.as_str()), *vm)));
    ranked
}

fn weight(duty: &str, vm: &str) -> u64 {
    let bytes = duty.bytes().chain([0]).chain(vm.bytes());
    let hash = bytes.fold(FNV_BASIS, |h, b| (h ^ u64::from(b)).wrapping_mul(FNV_PRIME));
    splitmix64_finalize(hash)
}

/// The finalizer of `SplitMix64`.
///
/// It mixes all bits of a hash. With FNV alone, names that differ only in the last byte would have
/// the same order for most duties.
pub(crate) const fn splitmix64_finalize(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

impl Members {
    /// The usable VMs of a failure domain by their weight for a duty, the highest first.
    pub fn ranked_usable_vms(&self, now: Millis, domain: &DomainId, duty: &str) -> Vec<&VmId> {
        let listed = self.listed_vms(domain).iter();
        rendezvous_rank(duty, listed.filter(|id| self.is_usable(now, id)))
    }

    /// The VMs of this VM's failure domain that should watch the store.
    pub fn watchers(&self, now: Millis) -> Vec<&VmId> {
        let mut ranked = self.ranked_usable_vms(now, &self.own_domain, "watch");
        ranked.truncate(WATCHERS_PER_DOMAIN);
        ranked
    }

    /// Whether this VM should watch the store.
    pub fn is_watcher(&self, now: Millis) -> bool {
        self.watchers(now).contains(&&self.own_id)
    }

    /// Whether this VM should write the status of its failure domain. The watcher with the highest
    /// weight does so.
    pub fn is_status_writer(&self, now: Millis) -> bool {
        self.watchers(now).first() == Some(&&self.own_id)
    }
}
