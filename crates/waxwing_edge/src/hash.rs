//! Hashes that give the same result on every VM.

/// Hashes bytes with FNV-1a.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Combines two hashes so that each bit of the result depends on all bits of both (`SplitMix64`).
pub const fn mix64(first: u64, second: u64) -> u64 {
    let mut x = first ^ second.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Maps a hash to a number in [0, 1).
#[allow(clippy::cast_precision_loss, reason = "53 bits are kept")]
pub(crate) fn unit_interval(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
