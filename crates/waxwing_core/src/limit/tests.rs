use waxwing_types::Millis;

use super::bucket::{Quota, TokenBucket};
use super::fair_share::max_min_fair_cap;

/// Guards against losing the remainder of refills when a bucket is refilled in small steps.
#[test]
fn refill_in_steps_equals_refill_at_once() {
    let quota = Quota {
        rate: 333_333,
        burst: 10_000_000,
    };
    let (mut stepwise, mut at_once) = (TokenBucket::default(), TokenBucket::default());

    for _ in 0..7_777 {
        stepwise.refill(quota, Millis(1));
    }
    at_once.refill(quota, Millis(7_777));

    assert_eq!(stepwise, at_once);
}

/// Guards against a debt that the next refill forgets.
#[test]
fn debt_is_paid_before_tokens_accrue() {
    let quota = Quota {
        rate: 1_000,
        burst: 5_000,
    };
    let mut bucket = TokenBucket::default();

    bucket.charge(2_000);
    bucket.refill(quota, Millis(3_000));

    assert_eq!(bucket.tokens(), 1_000);
}

/// Guards against a cap that is too high, so that the consumers together get more than the total.
/// Also guards against a cap that leaves a consumer short while some of the total is unused.
#[test]
fn fair_cap_is_the_highest_within_the_total() {
    assert_eq!(max_min_fair_cap(10, &[1, 20, 20]), 4);
    assert_eq!(max_min_fair_cap(10, &[1, 2, 3]), u64::MAX);
    assert_eq!(max_min_fair_cap(0, &[5]), 0);
}
