//! Blocks of client addresses and the sites to which they are assigned.

use std::net::IpAddr;

use waxwing_types::{SiteId, common_derives};

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
