//! The stored table of the shard owners of a failure domain.

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use waxwing_types::{DomainId, Incarnation, Millis, Revision, VmId, common_derives};

use crate::{LimitKey, ShardId};

/// Number of shards over which the limits of a failure domain are spread.
pub const SHARD_COUNT: usize = 8;

common_derives! {
    /// The stored entry of one shard. It names the owner, which holds the shard lease, and the
    /// standby, which takes over if the owner fails.
    #[derive(Default, Serialize, Deserialize)]
    #[serde(default)]
    pub struct ShardEntry {
        /// VM that grants the quota of the shard's limits.
        pub owner: Option<VmId>,
        /// Incarnation of the owner's process. 0 after a handover, until the new owner writes its
        /// own.
        pub incarnation: Incarnation,
        /// Increases with each change of owner or standby.
        pub epoch: u64,
        /// VM that acknowledges renewals of the shard lease, and takes over if they stop.
        pub standby: Option<VmId>,
        /// Increases with each write, so that every write changes the entry. Other VMs measure the
        /// time since the last change, to decide whether the owner has failed.
        #[serde(rename = "beat")]
        pub write_counter: u64,
        /// The confirmed revision: a configuration revision for which the owner confirms that all
        /// granted quota fits in the domain's shares. When the domains of a limit change, other
        /// domains raise their shares only after this confirmation.
        #[serde(rename = "confirmed")]
        pub confirmed_revision: Revision,
        /// Set by a handover: longest remaining term of the quota leases that the previous owner
        /// granted.
        #[serde(rename = "outstanding_ms")]
        pub max_outstanding_term: Option<Millis>,
        /// Whether the quota leases of this owner end with its shard lease at the latest. Owners of
        /// earlier versions do not set this, and a handover clears it.
        pub nested_leases: bool,
    }
}

common_derives! {
    /// The owners table of a failure domain: the owner and standby of each shard, stored as JSON
    /// under `owners/{domain}`.
    #[derive(Serialize, Deserialize)]
    pub struct OwnersTable {
        /// One entry per shard, ordered by shard number.
        pub shards: Vec<ShardEntry>,
    }
}

impl OwnersTable {
    /// A table in which no shard has an owner.
    pub fn without_owners() -> Self {
        Self {
            shards: vec![ShardEntry::default(); SHARD_COUNT],
        }
    }

    /// Store path of the table of `domain`.
    pub fn path(domain: &DomainId) -> SmolStr {
        format_smolstr!("owners/{domain}")
    }

    /// Parses a table from JSON.
    ///
    /// # Errors
    /// Fails if the JSON is malformed or does not list every shard.
    pub fn parse(json: &[u8]) -> Result<Self, serde_json::Error> {
        let table: Self = serde_json::from_slice(json)?;
        if table.shards.len() == SHARD_COUNT {
            return Ok(table);
        }
        let found = table.shards.len();
        Err(serde::de::Error::custom(format!(
            "shards: expected {SHARD_COUNT} entries, got {found}"
        )))
    }

    /// Serializes the table as JSON.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// The entry of `shard`.
    pub fn entry(&self, shard: ShardId) -> Option<&ShardEntry> {
        self.shards.get(usize::from(shard.0))
    }
}

/// The shard to which a limit belongs.
pub(crate) fn shard_of(key: &LimitKey) -> ShardId {
    let index = hash_parts(&[&key.to_string()]) % SHARD_COUNT as u64;
    ShardId(u8::try_from(index).unwrap_or(0))
}

/// Ranks the VMs by rendezvous hashing: sorts them by a hash of VM and shard, highest first.
pub(crate) fn rank_vms(domain: &DomainId, shard: ShardId, vms: &[VmId]) -> Vec<VmId> {
    let weight = |vm: &VmId| hash_parts(&[domain.as_str(), &shard.0.to_string(), vm.as_str()]);
    let mut ranked = vms.to_vec();
    ranked.sort_by_key(|vm| std::cmp::Reverse(weight(vm)));
    ranked
}

/// Hashes the parts, each followed by a separator, with FNV-1a and the `SplitMix64` finalizer. The
/// finalizer is needed because the high bits of plain FNV-1a hardly differ between short names.
fn hash_parts(parts: &[&str]) -> u64 {
    let mut state = 0xcbf2_9ce4_8422_2325_u64;
    for part in parts {
        for byte in part.bytes().chain([0xff]) {
            state = (state ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
    state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    state ^ (state >> 31)
}
