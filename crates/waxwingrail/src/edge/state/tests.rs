//! What a VM does about the answers of the store.

use waxwing_store::Freshness;

use super::StoreView;

/// Guards against a VM that registers anew because a list of an older state does not name it yet, and against one
/// whose entry was removed and that does not.
#[test]
fn only_the_latest_list_makes_a_vm_register_again() {
    let mut view = StoreView::default();
    assert!(!view.must_register(Freshness::Latest, false));
    view.registered = true;
    assert!(!view.must_register(Freshness::Recent, false));
    assert!(!view.must_register(Freshness::Latest, true));
    assert!(view.must_register(Freshness::Latest, false));
}
