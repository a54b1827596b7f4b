//! Decides from a list of VMs whether this VM must register again.

use waxwing_store::Freshness;

use super::StoreStatus;

/// Guards against a VM that registers again because a list of an older state does not contain its entry yet.
/// Also guards against a VM that does not register again after its entry was removed.
#[test]
fn only_the_latest_list_causes_a_new_registration() {
    let mut status = StoreStatus::default();
    assert!(!status.must_register_again(Freshness::Latest, false));
    status.is_registered = true;
    assert!(!status.must_register_again(Freshness::Recent, false));
    assert!(!status.must_register_again(Freshness::Latest, true));
    assert!(status.must_register_again(Freshness::Latest, false));
}
