//! Max-min fair division of an amount.

/// Returns the max-min fair cap for dividing `total` among consumers that want `wanted`.
///
/// Serving each consumer `min(wanted, cap)` uses at most `total`, and no higher cap has this
/// property. The cap is `u64::MAX` if `total` covers all wanted amounts.
pub(crate) fn max_min_fair_cap(total: u64, wanted: &[u64]) -> u64 {
    let mut sorted = wanted.to_vec();
    sorted.sort_unstable();
    let mut remaining = total;
    for (served, &want) in sorted.iter().enumerate() {
        let equal_share = remaining / (sorted.len() - served) as u64;
        if want > equal_share {
            return equal_share;
        }
        remaining -= want;
    }
    u64::MAX
}
