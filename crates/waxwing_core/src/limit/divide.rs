//! Max-min fair division.

/// The level up to which every want can be served: the sum of `min(want, level)` is at most
/// `total`, and no higher level has this property unless all wants are served.
pub(crate) fn fair_level(total: u64, wants: &[u64]) -> u64 {
    let mut sorted = wants.to_vec();
    sorted.sort_unstable();
    let mut left = total;
    for (served, &want) in sorted.iter().enumerate() {
        let equal = left / (sorted.len() - served) as u64;
        if want > equal {
            return equal;
        }
        left -= want;
    }
    u64::MAX
}
