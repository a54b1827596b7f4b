//! Reads what targets say of themselves from the heads of their responses.

use hyper::HeaderMap;
use waxwing_edge::{SelectedTarget, TargetNotice};

use super::state::Shared;

/// Applies what a target says of itself in a response, counts it and logs what changed. The response must be that of the
/// selected process to the request that was sent to it.
pub(crate) fn apply_notice(shared: &Shared, selected: &SelectedTarget, headers: &HeaderMap) {
    let notice = parse_notice(shared, headers);
    if notice == TargetNotice::default() {
        return;
    }
    for kind in notice.kinds() {
        shared.metrics.count_notice(kind);
    }
    let now = shared.now();
    let change = shared.targets().on_notice(now, selected, notice);
    if change.began_leaving {
        log::info!(
            target_id = selected.id.as_str(), incarnation = selected.incarnation.0;
            "target is leaving"
        );
    }
}

fn parse_notice(shared: &Shared, headers: &HeaderMap) -> TargetNotice {
    let name = &shared.dialect.headers().leaving;
    let mut values = headers.get_all(name).iter();
    TargetNotice {
        leaving: values.any(|value| value.as_bytes().trim_ascii() == b"1"),
    }
}
