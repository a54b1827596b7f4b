//! Blocks of client addresses and the sites to which they are assigned.

use std::net::IpAddr;

use waxwing_types::{SiteId, common_derives};

use crate::Findings;
use crate::check::{check_name, check_unique};

common_derives! {
    /// Addresses that share a prefix.
    pub struct Block {
        /// First address of the block.
        pub base: IpAddr,
        /// Bits of the prefix.
        pub bits: u8,
        /// The site for clients in the block.
        pub site: SiteId,
    }
}

common_derives! {
    /// A part of the table of blocks.
    pub struct Blocks {
        /// The blocks; where two overlap the longer prefix wins.
        pub blocks: Vec<Block>,
    }
}

impl Block {
    /// The block's address with the bits after the prefix cleared.
    fn masked(&self) -> IpAddr {
        let bits = u32::from(self.bits);
        match self.base {
            IpAddr::V4(base) => {
                let mask = u32::MAX.checked_shl(32 - bits).unwrap_or(0);
                IpAddr::from((base.to_bits() & mask).to_be_bytes())
            }
            IpAddr::V6(base) => {
                let mask = u128::MAX.checked_shl(128 - bits).unwrap_or(0);
                IpAddr::from((base.to_bits() & mask).to_be_bytes())
            }
        }
    }
}

impl Blocks {
    pub(crate) fn check(&self, place: &str, out: &mut Findings) {
        let list = format!("{place}.blocks");
        for (i, block) in self.blocks.iter().enumerate() {
            check_name(&format!("{list}[{i}]"), block.site.as_str(), out);
            let masked = block.masked();
            if masked != block.base {
                out.add(
                    format!("{list}[{i}]"),
                    format!(
                        "expected the block's first address, {masked}/{}",
                        block.bits
                    ),
                );
            }
        }
        let prefixes = self.blocks.iter().map(|b| format!("{}/{}", b.base, b.bits));
        check_unique(&list, "", prefixes, out);
    }
}
