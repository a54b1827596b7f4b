use waxwing_types::Millis;

use super::bucket::{Bucket, Quota};
use super::divide::fair_level;

/// Guards against refills that lose the remainder when a bucket is refilled in small steps.
#[test]
fn refill_in_steps_equals_refill_at_once() {
    let quota = Quota {
        rate: 333_333,
        burst: 10_000_000,
    };
    let (mut steps, mut once) = (Bucket::default(), Bucket::default());

    for _ in 0..7_777 {
        steps.refill(quota, Millis(1));
    }
    once.refill(quota, Millis(7_777));

    assert_eq!(steps, once);
}

/// Guards against a debt that is forgotten at the next refill.
#[test]
fn debt_is_paid_before_tokens_accrue() {
    let quota = Quota {
        rate: 1_000,
        burst: 5_000,
    };
    let mut bucket = Bucket::default();

    bucket.charge(2_000);
    bucket.refill(quota, Millis(3_000));

    assert_eq!(bucket.tokens(), 1_000);
}

/// Guards against a division that exceeds the total or leaves a want unserved needlessly.
#[test]
fn fair_level_serves_small_wants_first() {
    assert_eq!(fair_level(10, &[1, 20, 20]), 4);
    assert_eq!(fair_level(10, &[1, 2, 3]), u64::MAX);
    assert_eq!(fair_level(0, &[5]), 0);
}
