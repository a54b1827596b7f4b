//! The choice between the newest and an older state.

use waxwing_store::Family;
use waxwing_types::{Millis, Revision};

use super::{LAG, Mode, News, SETTLE, SILENCE};

const START: Millis = Millis(10_000);
const FAMILY: Family = Family::Targets;

/// A table whose targets were read up to a revision, at a time when the process knows the others.
fn news(reached: u64) -> (News, Millis) {
    let mut news = News::new(START);
    let _woken = news.follow(FAMILY);
    news.reached(FAMILY, Revision(reached), true);
    (news, START + SETTLE)
}

fn seen(revision: u64) -> Vec<Revision> {
    let revision = |family| if family == FAMILY { revision } else { 0 };
    Family::ALL
        .into_iter()
        .map(revision)
        .map(Revision)
        .collect()
}

/// Guards against a fleet in which each VM watches the newest state, which costs ten times as much, and
/// against one in which none does.
#[test]
fn only_the_reader_watches_the_newest_state() {
    let (news, now) = news(5);
    assert_eq!(news.mode(now, FAMILY, true), Mode::Newest);
    assert_eq!(news.mode(now, FAMILY, false), Mode::Older);
    // All processes may start at once and hear nobody yet.
    let early = START + Millis(500);
    let left = SETTLE - Millis(500);
    assert_eq!(news.mode(early, FAMILY, true), Mode::Settling(left));
}

/// Guards against an older state that hides a change beyond the bound on it.
#[test]
fn a_state_that_lacks_what_others_saw_is_replaced() {
    let (mut news, now) = news(5);
    let woken = news.follow(FAMILY);
    news.reached(FAMILY, Revision(5), true);
    news.began(now, FAMILY, Mode::Older);
    news.heard(now, &seen(6));
    assert_eq!(news.wake(now, false), []);
    assert_eq!(news.wake(now + LAG, false), [FAMILY]);
    assert!(woken.try_recv().is_ok());
    news.ended(FAMILY);
    assert_eq!(news.mode(now + LAG, FAMILY, false), Mode::CatchUp);
    // The newest state may have nothing to tell of this family.
    news.caught_up(FAMILY);
    assert_eq!(news.mode(now + LAG, FAMILY, false), Mode::Older);
}

/// Guards against a watch that is replaced although it brings the change in time, and against one that is
/// replaced while changes gather.
#[test]
fn a_state_that_reaches_what_others_saw_is_kept() {
    let (mut news, now) = news(5);
    let woken = news.follow(FAMILY);
    news.began(now, FAMILY, Mode::Older);
    news.heard(now, &seen(6));
    news.ended(FAMILY);
    news.reached(FAMILY, Revision(6), true);
    assert_eq!(news.wake(now + LAG, false), []);
    news.heard(now + LAG, &seen(7));
    assert_eq!(news.wake(now + LAG + LAG, false), []);
    news.began(now + LAG + LAG, FAMILY, Mode::Older);
    assert_eq!(news.wake(now + LAG + LAG, false), []);
    assert!(woken.is_empty());
}

/// Guards against a failure domain without a reader: the VM that takes over has a watch of an older state
/// that lasts for seconds.
#[test]
fn a_vm_that_becomes_the_reader_replaces_its_watches() {
    let (mut news, now) = news(5);
    let _woken = news.follow(FAMILY);
    news.began(now, FAMILY, Mode::Older);
    assert_eq!(news.wake(now, true), [FAMILY]);
    news.began(now, FAMILY, Mode::Newest);
    assert_eq!(news.wake(now, true), []);
}

/// Guards against a failure domain whose reader the store turns away: it tells nothing, while the older
/// state that the others read may lack a change.
#[test]
fn a_vm_that_hears_no_reader_reads_the_newest_state() {
    let (mut news, now) = news(5);
    let _woken = news.follow(FAMILY);
    news.heard(now, &seen(0));
    news.began(now, FAMILY, Mode::Older);
    let late = now + SILENCE;
    assert_eq!(news.wake(late - Millis(1), false), []);
    assert_eq!(news.wake(late, false), [FAMILY]);
    assert_eq!(news.mode(late, FAMILY, false), Mode::Newest);
    news.heard(late, &seen(0));
    assert_eq!(news.mode(late, FAMILY, false), Mode::Older);
}

/// Guards against VMs that never hear of a change, and against messages that tell nothing new.
#[test]
fn others_are_told_of_each_change_once() {
    let (mut news, _) = news(5);
    assert!(!news.reached(FAMILY, Revision(9), false));
    assert!(news.reached(FAMILY, Revision(10), true));
    assert!(!news.reached(FAMILY, Revision(10), true));
    assert_eq!(news.seen(), seen(10));
}
