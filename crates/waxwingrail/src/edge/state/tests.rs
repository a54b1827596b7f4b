//! When a VM registers again after a list of VMs.

use waxwing_store::Freshness;

use super::StoreStatus;

/// Guards against a VM that registers again because a list of an older state does not contain it yet, and
/// against one that does not register again after its entry was removed.
#[test]
fn only_the_latest_list_causes_a_new_registration() {
    let mut status = StoreStatus::default();
    assert!(!status.must_register_again(Freshness::Latest, false));
    status.registered = true;
    assert!(!status.must_register_again(Freshness::Recent, false));
    assert!(!status.must_register_again(Freshness::Latest, true));
    assert!(status.must_register_again(Freshness::Latest, false));
}
