//! Blocks of client addresses and the sites to which they are assigned.

use std::collections::BTreeSet;
use std::net::IpAddr;

use waxwing_types::{SiteId, common_derives};

use crate::Findings;
use crate::check::check_name;
use crate::wire::Place;

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
    /// Checks the blocks of a record, each with its position there: entries that cannot be read are
    /// missing from the list.
    pub(crate) fn check(list: &Place<'_>, blocks: &[(usize, Block)], out: &mut Findings) {
        let mut seen = BTreeSet::new();
        for (i, block) in blocks {
            let place = Place::Item(list, *i);
            check_name(&place, block.site.as_str(), out);
            let masked = block.masked();
            if masked != block.base {
                out.add(
                    place.to_string(),
                    format!(
                        "expected the block's first address, {masked}/{}",
                        block.bits
                    ),
                );
            }
            if !seen.insert((block.base, block.bits)) {
                out.add(
                    place.to_string(),
                    format!("\"{}/{}\" stands twice", block.base, block.bits),
                );
            }
        }
    }
}
